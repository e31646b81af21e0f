package slugplacement

import (
	"container/list"
)

// cache is what is believed of the prompt parts that an endpoint keeps: those used
// there last, up to its memory, corrected by what the endpoint tells.
type cache struct {
	capacity int
	tokens   int
	order    *list.List
	parts    map[PartID]*list.Element
	// told tells that the endpoint tells what it keeps, or a process that knows.
	told bool
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), parts: map[PartID]*list.Element{}}
}

// used notes that a prompt was processed.
func (c *cache) used(parts []Part) {
	for _, p := range parts {
		c.keep(p)
	}
}

// keep notes that a part is kept.
func (c *cache) keep(p Part) {
	c.drop(p.ID)
	c.parts[p.ID] = c.order.PushFront(p)
	c.tokens += p.Tokens
	for c.tokens > c.capacity && c.order.Len() > 0 {
		c.drop(c.order.Back().Value.(Part).ID)
	}
}

// know notes how many tokens of the leading parts are kept for certain.
func (c *cache) know(parts []Part, cached int) {
	tokens := 0
	for _, p := range parts {
		if tokens += p.Tokens; tokens <= cached {
			c.keep(p)
		} else {
			c.drop(p.ID)
		}
	}
}

// drop notes that a part is not kept.
func (c *cache) drop(id PartID) {
	e := c.parts[id]
	if e == nil {
		return
	}
	c.tokens -= c.order.Remove(e).(Part).Tokens
	delete(c.parts, id)
}

// cached returns the tokens of the leading parts that are kept.
func (c *cache) cached(parts []Part) int {
	n := 0
	for _, p := range parts {
		e := c.parts[p.ID]
		if e == nil {
			break
		}
		kept := min(p.Tokens, e.Value.(Part).Tokens)
		n += kept
		if kept < p.Tokens {
			break
		}
	}
	return n
}

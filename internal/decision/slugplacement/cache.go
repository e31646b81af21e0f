package slugplacement

import (
	"container/list"
)

// cache is what is believed of the prompt parts that an endpoint keeps: those used
// there last, up to its memory.
type cache struct {
	capacity int
	tokens   int
	order    *list.List
	parts    map[PartID]*list.Element
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), parts: map[PartID]*list.Element{}}
}

// used notes that a prompt was processed.
func (c *cache) used(parts []Part) {
	for _, p := range parts {
		if e := c.parts[p.ID]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.parts[p.ID] = c.order.PushFront(p)
		c.tokens += p.Tokens
	}
	for c.tokens > c.capacity && c.order.Len() > 0 {
		last := c.order.Back()
		p := c.order.Remove(last).(Part)
		delete(c.parts, p.ID)
		c.tokens -= p.Tokens
	}
}

// cached returns the tokens of the leading parts that are kept.
func (c *cache) cached(parts []Part) int {
	n := 0
	for _, p := range parts {
		if c.parts[p.ID] == nil {
			break
		}
		n += p.Tokens
	}
	return n
}

package slugplacement

import (
	"container/list"
)

// cache is an LRU model of the prompt parts that an endpoint has cached, limited by its
// capacity and corrected by its reports.
type cache struct {
	// capacity is the size of the cache in tokens.
	capacity int
	// tokens is the number of tokens of all parts.
	tokens int
	lru    *list.List
	parts  map[PartID]*list.Element
	// reported is set once a report of the endpoint's cache has been received.
	reported bool
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, lru: list.New(), parts: map[PartID]*list.Element{}}
}

// addAll records that the parts of a prompt were processed.
func (c *cache) addAll(parts []Part) {
	for _, p := range parts {
		c.add(p)
	}
}

// add records that a part is cached, and evicts the least recently used parts beyond
// the capacity.
func (c *cache) add(p Part) {
	c.remove(p.ID)
	c.parts[p.ID] = c.lru.PushFront(p)
	c.tokens += p.Tokens
	for c.tokens > c.capacity && c.lru.Len() > 0 {
		c.remove(c.lru.Back().Value.(Part).ID)
	}
}

// correct records how many tokens of the leading parts are known to be cached.
func (c *cache) correct(parts []Part, cached int) {
	tokens := 0
	for _, p := range parts {
		if tokens += p.Tokens; tokens <= cached {
			c.add(p)
		} else {
			c.remove(p.ID)
		}
	}
}

// remove records that a part is not cached.
func (c *cache) remove(id PartID) {
	e := c.parts[id]
	if e == nil {
		return
	}
	c.tokens -= c.lru.Remove(e).(Part).Tokens
	delete(c.parts, id)
}

// cached returns the number of tokens of the leading parts that are cached.
func (c *cache) cached(parts []Part) int {
	n := 0
	for _, p := range parts {
		e := c.parts[p.ID]
		if e == nil {
			break
		}
		tokens := min(p.Tokens, e.Value.(Part).Tokens)
		n += tokens
		if tokens < p.Tokens {
			break
		}
	}
	return n
}

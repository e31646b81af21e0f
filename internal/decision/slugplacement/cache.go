package slugplacement

import (
	"container/list"
	"time"
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
	// readyAt is when parts that are yet to be processed are expected to be, and when others were
	// last used, if that is known.
	readyAt map[PartID]time.Time
	// reported is set once a report of the endpoint's cache has been received.
	reported bool
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, lru: list.New(), parts: map[PartID]*list.Element{}, readyAt: map[PartID]time.Time{}}
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

// addUnprocessed records that the parts of a prompt will be processed by a time. Parts that are
// cached, or will be earlier, remain so; they are used now.
func (c *cache) addUnprocessed(parts []Part, readyAt, now time.Time) {
	for _, p := range parts {
		at, waiting := c.readyAt[p.ID]
		_, known := c.parts[p.ID]
		c.add(p)
		switch {
		case !known:
			c.readyAt[p.ID] = readyAt
		case waiting:
			c.readyAt[p.ID] = later(at, now)
		default:
			c.readyAt[p.ID] = now
		}
	}
}

// ready returns when the leading tokens of a prompt have been processed: the zero time if that is
// so already.
func (c *cache) ready(parts []Part, tokens int) (at time.Time) {
	for _, p := range parts {
		if tokens <= 0 {
			break
		}
		tokens -= p.Tokens
		at = later(at, c.readyAt[p.ID])
	}
	return at
}

// correct records how many tokens of the leading parts are known to be cached, and from when.
func (c *cache) correct(parts []Part, cached int, readyAt time.Time) {
	tokens := 0
	for _, p := range parts {
		if tokens += p.Tokens; tokens <= cached {
			c.add(p)
			c.readyAt[p.ID] = readyAt
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
	delete(c.readyAt, id)
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

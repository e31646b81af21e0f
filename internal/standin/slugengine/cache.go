package slugengine

import (
	"container/list"
	"net/http"
	"strconv"

	"github.com/sassafraslug/sassafraslug/internal/request/slugprefix"
)

// CacheEvent says that a prefix came into the cache or left it.
type CacheEvent struct {
	Prefix  string `json:"prefix"`
	Removed bool   `json:"removed,omitempty"`
}

// CacheEvents is the answer to a read of cache events.
type CacheEvents struct {
	// First is the number of the first event; a gap shows as a higher one.
	First int `json:"first"`
	// Last is the number of the newest event; a restarted engine begins at 1.
	Last   int          `json:"last"`
	Events []CacheEvent `json:"events"`
}

// keptEvents is the number of cache events that can be read.
const keptEvents = 4096

// prefixCache keeps the least recently used prefixes.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
	events   []CacheEvent
	first    int
}

func newPrefixCache(pieces, tokensPerPiece int) *prefixCache {
	blocks := pieces * tokensPerPiece * bytesPerToken / slugprefix.BlockBytes
	return &prefixCache{capacity: max(1, blocks/2), order: list.New(), blocks: map[uint64]*list.Element{}, first: 1}
}

// use returns the number of cached tokens of a prompt and caches all of it.
func (c *prefixCache) use(salt, prompt string) int {
	cached := 0
	hit := true
	for _, h := range slugprefix.Hashes(salt, []byte(prompt)) {
		e, ok := c.blocks[h]
		hit = hit && ok
		if ok {
			c.order.MoveToFront(e)
		} else {
			c.blocks[h] = c.order.PushFront(h)
			c.publish(h, false)
		}
		if hit {
			cached += slugprefix.BlockTokens
		}
	}
	for c.order.Len() > c.capacity {
		h := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, h)
		c.publish(h, true)
	}
	return cached
}

func (c *prefixCache) publish(h uint64, removed bool) {
	c.events = append(c.events, CacheEvent{Prefix: strconv.FormatUint(h, 16), Removed: removed})
	if n := len(c.events) - keptEvents; n > 0 {
		c.events = c.events[n:]
		c.first += n
	}
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	e.mu.Lock()
	first := max(after+1, e.cache.first)
	skip := min(first-e.cache.first, len(e.cache.events))
	answer := CacheEvents{First: first, Last: e.cache.first + len(e.cache.events) - 1, Events: append([]CacheEvent{}, e.cache.events[skip:]...)}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}

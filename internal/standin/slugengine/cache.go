package slugengine

import (
	"container/list"
	"net/http"
	"strconv"

	"github.com/sassafraslug/sassafraslug/internal/request/slugprefix"
)

// CacheEvent reports that a block of a prompt prefix was added to the prefix cache or
// evicted from it.
type CacheEvent struct {
	Prefix  string `json:"prefix"`
	Removed bool   `json:"removed,omitempty"`
}

// CacheEvents is the response to a read of cache events.
type CacheEvents struct {
	// First is the number of the first event returned. It is higher than the number asked
	// for if older events were dropped.
	First int `json:"first"`
	// Last is the number of the newest event. Numbering starts again at 1 when the engine
	// restarts.
	Last   int          `json:"last"`
	Events []CacheEvent `json:"events"`
}

// maxCacheEvents is the number of past cache events that are kept for readers.
const maxCacheEvents = 4096

// prefixCache is an LRU cache of prompt blocks as slugprefix hashes them. It holds as
// many blocks as half of the KV cache has room for, and at least one.
type prefixCache struct {
	capacity int
	recency  *list.List
	blocks   map[uint64]*list.Element
	events   []CacheEvent
	// firstEvent is the number of events[0].
	firstEvent int
}

func newPrefixCache(pieces, tokensPerPiece int) *prefixCache {
	kvBlocks := pieces * tokensPerPiece * bytesPerToken / slugprefix.BlockBytes
	return &prefixCache{capacity: max(1, kvBlocks/2), recency: list.New(), blocks: map[uint64]*list.Element{}, firstEvent: 1}
}

// lookUpAndInsert returns the number of tokens in the longest cached prefix of a prompt
// and then caches all blocks of the prompt.
func (c *prefixCache) lookUpAndInsert(salt, prompt string) int {
	cached := 0
	inPrefix := true
	for _, hash := range slugprefix.Hashes(salt, []byte(prompt)) {
		e, ok := c.blocks[hash]
		inPrefix = inPrefix && ok
		if ok {
			c.recency.MoveToFront(e)
		} else {
			c.blocks[hash] = c.recency.PushFront(hash)
			c.recordEvent(hash, false)
		}
		if inPrefix {
			cached += slugprefix.BlockTokens
		}
	}
	for c.recency.Len() > c.capacity {
		evicted := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.blocks, evicted)
		c.recordEvent(evicted, true)
	}
	return cached
}

func (c *prefixCache) recordEvent(hash uint64, removed bool) {
	c.events = append(c.events, CacheEvent{Prefix: strconv.FormatUint(hash, 16), Removed: removed})
	if n := len(c.events) - maxCacheEvents; n > 0 {
		c.events = c.events[n:]
		c.firstEvent += n
	}
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	e.mu.Lock()
	first := max(after+1, e.cache.firstEvent)
	skip := min(first-e.cache.firstEvent, len(e.cache.events))
	answer := CacheEvents{First: first, Last: e.cache.firstEvent + len(e.cache.events) - 1, Events: append([]CacheEvent{}, e.cache.events[skip:]...)}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}

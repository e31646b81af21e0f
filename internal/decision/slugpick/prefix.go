package slugpick

import (
	"slices"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

// holder is an endpoint that is assumed to have a prefix cached.
type holder struct {
	endpoint  slugname.Endpoint
	expiresAt time.Time
}

// maxPrefixes limits the prefixes that one picker tracks.
const maxPrefixes = 1 << 16

// maxHolders limits the endpoints tracked per prefix.
const maxHolders = 8

// prefixIndex tracks which endpoints have which prefixes cached.
type prefixIndex struct {
	byHash map[uint64][]holder
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{byHash: map[uint64][]holder{}}
}

func (x *prefixIndex) holders(hash uint64) []holder { return x.byHash[hash] }

func (x *prefixIndex) add(hash uint64, e slugname.Endpoint, until time.Time) {
	list := x.byHash[hash]
	for i := range list {
		if list[i].endpoint == e {
			list[i].expiresAt = until
			return
		}
	}
	if list == nil && len(x.byHash) >= maxPrefixes {
		x.evict()
	}
	if len(list) >= maxHolders {
		list = list[1:]
	}
	x.byHash[hash] = append(list, holder{e, until})
}

// evict removes an eighth of maxPrefixes, chosen arbitrarily.
func (x *prefixIndex) evict() {
	n := 0
	for h := range x.byHash {
		delete(x.byHash, h)
		if n++; n >= maxPrefixes/8 {
			return
		}
	}
}

func (x *prefixIndex) remove(hash uint64, e slugname.Endpoint) {
	list := slices.DeleteFunc(x.byHash[hash], func(h holder) bool { return h.endpoint == e })
	if len(list) == 0 {
		delete(x.byHash, hash)
		return
	}
	x.byHash[hash] = list
}

// removeEndpoint removes an endpoint from all prefixes.
func (x *prefixIndex) removeEndpoint(e slugname.Endpoint) {
	for h := range x.byHash {
		x.remove(h, e)
	}
}

// samplePositions returns the blocks whose prefixes are tracked for a prompt of n
// blocks: four at each interval of 1, 2, 4, 8, ... blocks, and the last.
func samplePositions(n int) []int {
	if n < len(shortPromptPositions) {
		return shortPromptPositions[n]
	}
	return computePositions(n)
}

// shortPromptPositions caches the positions for prompts of fewer than 512 blocks.
var shortPromptPositions = func() [][]int {
	t := make([][]int, 512)
	for n := range t {
		t[n] = computePositions(n)
	}
	return t
}()

func computePositions(n int) []int {
	var out []int
	for i, step := 0, 1; i < n; i += step {
		out = append(out, i)
		if len(out)%4 == 0 {
			step *= 2
		}
	}
	if n > 0 && out[len(out)-1] != n-1 {
		out = append(out, n-1)
	}
	return out
}

package slugpick

import (
	"slices"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

// holder is an endpoint that is assumed to have a prefix cached.
type holder struct {
	endpoint slugname.Endpoint
	until    time.Time
}

// maxPrefixes bounds the prefixes that one picker remembers.
const maxPrefixes = 1 << 16

// maxHolders bounds the endpoints remembered for one prefix.
const maxHolders = 8

// prefixIndex remembers which endpoints have which prefixes.
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
			list[i].until = until
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

// evict drops an arbitrary part of the prefixes.
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

// forget drops all prefixes of an endpoint.
func (x *prefixIndex) forget(e slugname.Endpoint) {
	for h := range x.byHash {
		x.remove(h, e)
	}
}

// samplePositions returns the blocks whose prefixes are remembered: all of the
// first few, then ever fewer, and the last one.
func samplePositions(n int) []int {
	if n < len(positionTable) {
		return positionTable[n]
	}
	return makePositions(n)
}

// positionTable holds the positions of short prompts.
var positionTable = func() [][]int {
	t := make([][]int, 512)
	for n := range t {
		t[n] = makePositions(n)
	}
	return t
}()

func makePositions(n int) []int {
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

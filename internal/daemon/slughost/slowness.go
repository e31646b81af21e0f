package slughost

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

const (
	// usualTolerance is the relative difference from a usual engine, and from what was told
	// last, below which peers are not told of the speed of an engine.
	usualTolerance = 0.1
	// maxPublishedSlowness bounds the engines of whose speed a row tells, at some 15 bytes
	// each.
	maxPublishedSlowness = 64
)

// publishedSlowness is the slowness of engines that peers were told last.
type publishedSlowness struct {
	mu   sync.Mutex
	last map[slugname.Endpoint]uint16
}

// slowNow is the factor from which an endpoint counts as slow in the metrics.
const slowNow = 1.5

// exportLoads writes the numbers of endpoints that state their load, and of those that are slow
// now, into the metrics.
func (h *Host) exportLoads() {
	h.mu.Lock()
	placers := maps.Clone(h.placers)
	h.mu.Unlock()
	now := time.Now()
	for s, p := range placers {
		stating, slow := p.CountLoads(slowNow, now)
		h.metrics.Set("load.stated."+string(s), intVar(stating))
		h.metrics.Set("load.slow."+string(s), intVar(slow))
	}
}

// measuredSlowness returns, in percent, the slowness of the engines of which this process is
// the owner, for its row.
func (h *Host) measuredSlowness() map[slugname.Endpoint]uint16 {
	measured := map[slugname.Endpoint]float64{}
	for _, p := range h.allPlacers() {
		maps.Copy(measured, p.OwnSlowness(time.Now()))
	}
	return h.slowness.Choose(measured)
}

// Choose returns the figures to publish for measured ones: those that differ most from a usual
// engine, and unchanged as long as they are about right.
func (p *publishedSlowness) Choose(measured map[slugname.Endpoint]float64) map[slugname.Endpoint]uint16 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var next map[slugname.Endpoint]uint16
	for e, slowness := range measured {
		figure, told := p.last[e]
		if !told || differenceOf(slowness, float64(figure)/percentOfOne) >= usualTolerance {
			figure, told = percent(slowness), differenceOf(slowness, 1) >= usualTolerance
		}
		if !told {
			continue
		}
		if next == nil {
			next = map[slugname.Endpoint]uint16{}
		}
		next[e] = figure
	}
	if len(next) > maxPublishedSlowness {
		names := slices.SortedFunc(maps.Keys(next), func(a, b slugname.Endpoint) int {
			return cmp.Compare(differenceOf(float64(next[b])/percentOfOne, 1), differenceOf(float64(next[a])/percentOfOne, 1))
		})
		for _, e := range names[maxPublishedSlowness:] {
			delete(next, e)
		}
	}
	p.last = next
	return next
}

// differenceOf returns the relative difference of two ratios, in either direction.
func differenceOf(a, b float64) float64 { return math.Abs(math.Log(a / b)) }

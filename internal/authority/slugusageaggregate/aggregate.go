// Package slugusageaggregate collects the request counts of every process by accounting
// window, for the holder of the usage duty. The counts of processes that have since
// ended are retained.
//
// # Usage
//
//	c := slugusageaggregate.New()
//	c.Heard(process, windows)
//	all := c.Windows()
package slugusageaggregate

import (
	"slices"
	"sync"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

// retainedWindows is the number of windows that are retained, counted back from the
// newest. Older windows are no longer reported.
const retainedWindows = 8

// Aggregate holds the counts of all processes. It is safe for concurrent use.
type Aggregate struct {
	mu sync.Mutex
	// windows maps window number and process to counts.
	windows map[int64]map[slugname.Process]slugpeer.WindowCount
	newest  int64
}

// New returns an empty Collection.
func New() *Aggregate {
	return &Aggregate{windows: map[int64]map[slugname.Process]slugpeer.WindowCount{}}
}

// Update merges the counts that a process announced. Messages may arrive out of order;
// since counts only grow, the ones with the greater total are kept.
func (c *Aggregate) Update(p slugname.Process, windows []slugpeer.WindowCount) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range windows {
		c.newest = max(c.newest, w.Window)
		if w.Window <= c.newest-retainedWindows {
			continue
		}
		if c.windows[w.Window] == nil {
			c.windows[w.Window] = map[slugname.Process]slugpeer.WindowCount{}
		}
		if w.Total() >= c.windows[w.Window][p].Total() {
			c.windows[w.Window][p] = w
		}
	}
	for k := range c.windows {
		if k <= c.newest-retainedWindows {
			delete(c.windows, k)
		}
	}
}

// Windows returns the counts of all processes, ordered by window.
func (c *Aggregate) Windows() []slugpeer.WindowCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []slugpeer.WindowCount
	for _, processes := range c.windows {
		for _, w := range processes {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b slugpeer.WindowCount) int { return int(a.Window - b.Window) })
	return out
}

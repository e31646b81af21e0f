// Package slugusageaggregate aggregates the request counts of every process by accounting
// window, for the holder of the usage duty. The counts of processes that have since
// ended are retained.
//
// # Usage
//
//	a := slugusageaggregate.New()
//	a.Update(process, windows)
//	all := a.Windows()
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

// New returns an empty Aggregate.
func New() *Aggregate {
	return &Aggregate{windows: map[int64]map[slugname.Process]slugpeer.WindowCount{}}
}

// Update merges the counts that a process reported. Messages may arrive out of order;
// since counts only grow, the ones with the greater total are kept.
func (a *Aggregate) Update(p slugname.Process, windows []slugpeer.WindowCount) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range windows {
		a.newest = max(a.newest, w.Window)
		if w.Window <= a.newest-retainedWindows {
			continue
		}
		if a.windows[w.Window] == nil {
			a.windows[w.Window] = map[slugname.Process]slugpeer.WindowCount{}
		}
		if w.Total() >= a.windows[w.Window][p].Total() {
			a.windows[w.Window][p] = w
		}
	}
	for k := range a.windows {
		if k <= a.newest-retainedWindows {
			delete(a.windows, k)
		}
	}
}

// Windows returns the counts of all processes, ordered by window.
func (a *Aggregate) Windows() []slugpeer.WindowCount {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []slugpeer.WindowCount
	for _, processes := range a.windows {
		for _, w := range processes {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(x, y slugpeer.WindowCount) int { return int(x.Window - y.Window) })
	return out
}

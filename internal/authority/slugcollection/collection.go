// Package slugcollection keeps what the processes told of the requests that began in
// each accounting window, for whoever holds the duty of reporting them. Figures of
// processes that have ended meanwhile remain.
//
// # Usage
//
//	c := slugcollection.New()
//	c.Heard(process, windows)
//	all := c.Windows()
package slugcollection

import (
	"slices"
	"sync"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

// keptWindows is how many windows back from the newest one figures are kept: no report
// of an older one is wanted any more.
const keptWindows = 8

// Collection holds the windows of all processes. Its methods may be called from many
// goroutines.
type Collection struct {
	mu sync.Mutex
	// windows holds each process's figures by window.
	windows map[int64]map[slugname.Process]slugpeer.WindowCount
	newest  int64
}

// New returns an empty Collection.
func New() *Collection {
	return &Collection{windows: map[int64]map[slugname.Process]slugpeer.WindowCount{}}
}

// Heard takes a process's figures, which replace its earlier ones of the same windows.
// Messages may overtake each other: figures only grow, so the greater ones count.
func (c *Collection) Heard(p slugname.Process, windows []slugpeer.WindowCount) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range windows {
		c.newest = max(c.newest, w.Window)
		if w.Window <= c.newest-keptWindows {
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
		if k <= c.newest-keptWindows {
			delete(c.windows, k)
		}
	}
}

// Windows returns the figures of all processes.
func (c *Collection) Windows() []slugpeer.WindowCount {
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

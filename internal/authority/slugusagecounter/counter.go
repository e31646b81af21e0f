// Package slugusagecounter counts the requests that started, by accounting window and
// workspace.
//
// # Usage
//
//	c := slugusagecounter.New(slugusagecounter.Config{Window: 5 * time.Second, Now: clock.Now})
//	c.Count(workspace)
//	rows := c.Windows()
package slugusagecounter

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

// retainedWindows is the number of windows that are retained: the current one and those
// whose report may still be due.
const retainedWindows = 5

// Config configures a Counter.
type Config struct {
	// Window is the length of a window.
	Window time.Duration
	// Now returns the current time of day.
	Now func() time.Time
}

// Counter counts the requests of one process. It is safe for concurrent use.
type Counter struct {
	cfg Config

	mu      sync.Mutex
	windows map[int64]map[slugname.Workspace]uint32
}

// New returns an empty Counter.
func New(cfg Config) *Counter {
	return &Counter{cfg: cfg, windows: map[int64]map[slugname.Workspace]uint32{}}
}

// WindowNumber returns the number of the window of the given length that contains t,
// counted from the Unix epoch. Package slugledger identifies windows by their start instead.
func WindowNumber(t time.Time, length time.Duration) int64 {
	return t.UnixNano() / int64(length)
}

// Count counts a request that starts now. Requests without a workspace are not counted.
func (c *Counter) Count(w slugname.Workspace) {
	if w == "" {
		return
	}
	k := WindowNumber(c.cfg.Now(), c.cfg.Window)
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.windows[k]
	if counts == nil {
		counts = map[slugname.Workspace]uint32{}
		c.windows[k] = counts
	}
	counts[w]++
}

// Windows returns the counts of the retained windows, oldest first.
func (c *Counter) Windows() []slugpeer.WindowCount {
	oldest := WindowNumber(c.cfg.Now(), c.cfg.Window) - retainedWindows + 1
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []slugpeer.WindowCount
	for k, counts := range c.windows {
		if k < oldest {
			delete(c.windows, k)
			continue
		}
		out = append(out, slugpeer.WindowCount{Window: k, Counts: maps.Clone(counts)})
	}
	slices.SortFunc(out, func(a, b slugpeer.WindowCount) int { return int(a.Window - b.Window) })
	return out
}

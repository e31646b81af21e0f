// Package slugusagecounter counts the requests that started, by accounting window and workspace.
//
// # Usage
//
//	t := slugusagecounter.New(slugusagecounter.Config{Window: 5 * time.Second, Now: clock.Now})
//	t.Count(workspace)
//	rows := t.Windows()
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

// Config configures a Tally.
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

// New returns an empty Tally.
func New(cfg Config) *Counter {
	return &Counter{cfg: cfg, windows: map[int64]map[slugname.Workspace]uint32{}}
}

// WindowNumber returns the number of the window of the given length that contains t,
// counted from the Unix epoch. Package slugledger identifies windows by their start instead.
func WindowNumber(t time.Time, length time.Duration) int64 {
	return t.UnixNano() / int64(length)
}

// Count counts a request that starts now. Requests without a workspace are not counted.
func (t *Counter) Count(w slugname.Workspace) {
	if w == "" {
		return
	}
	k := WindowNumber(t.cfg.Now(), t.cfg.Window)
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.windows[k]
	if counts == nil {
		counts = map[slugname.Workspace]uint32{}
		t.windows[k] = counts
	}
	counts[w]++
}

// Windows returns the counts of the retained windows, oldest first.
func (t *Counter) Windows() []slugpeer.WindowCount {
	oldest := WindowNumber(t.cfg.Now(), t.cfg.Window) - retainedWindows + 1
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []slugpeer.WindowCount
	for k, counts := range t.windows {
		if k < oldest {
			delete(t.windows, k)
			continue
		}
		out = append(out, slugpeer.WindowCount{Window: k, Counts: maps.Clone(counts)})
	}
	slices.SortFunc(out, func(a, b slugpeer.WindowCount) int { return int(a.Window - b.Window) })
	return out
}

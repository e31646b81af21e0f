// Package slugtally counts the requests that began to run, by accounting window and
// workspace.
//
// # Usage
//
//	t := slugtally.New(slugtally.Config{Window: 5 * time.Second, Now: clock.Now})
//	t.Count(workspace)
//	rows := t.Windows()
package slugtally

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

// kept is the number of windows that are kept: the present one and those whose report
// may still be due.
const kept = 5

// Config makes a Tally.
type Config struct {
	// Window is the length of a window.
	Window time.Duration
	// Now returns the true time of day.
	Now func() time.Time
}

// Tally counts for one process.
type Tally struct {
	cfg Config

	mu      sync.Mutex
	windows map[int64]map[slugname.Workspace]uint32
}

// New returns a Tally without counts.
func New(cfg Config) *Tally {
	return &Tally{cfg: cfg, windows: map[int64]map[slugname.Workspace]uint32{}}
}

// Window returns the number of the window of a time.
func Window(t time.Time, length time.Duration) int64 {
	return t.UnixNano() / int64(length)
}

// Count counts a request that began to run now. Requests without a workspace are not
// accounted.
func (t *Tally) Count(w slugname.Workspace) {
	if w == "" {
		return
	}
	k := Window(t.cfg.Now(), t.cfg.Window)
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.windows[k]
	if counts == nil {
		counts = map[slugname.Workspace]uint32{}
		t.windows[k] = counts
	}
	counts[w]++
}

// Windows returns the counts of the windows that are kept, the oldest first.
func (t *Tally) Windows() []slugpeer.WindowCount {
	oldest := Window(t.cfg.Now(), t.cfg.Window) - kept + 1
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

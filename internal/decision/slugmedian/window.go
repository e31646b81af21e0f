// Package slugmedian keeps the median of the durations measured in the last seconds.
//
// The package performs no I/O.
//
// # Usage
//
//	w := slugmedian.New(10 * time.Second)
//	w.Add(20*time.Millisecond, time.Now())
//	d, ok := w.Median(time.Now())
package slugmedian

import (
	"slices"
	"time"
)

const (
	// capacity is the number of durations that are kept.
	capacity = 64
	// minMeasurements is the number of durations below which there is no median.
	minMeasurements = 8
)

// measurement is a duration with the time at which it was measured.
type measurement struct {
	at   time.Time
	took time.Duration
}

// Window holds the latest durations. It is not safe for concurrent use.
type Window struct {
	maxAge time.Duration
	list   []measurement
	next   int
	// median is the result of the last computation, valid for changes equal to computed.
	median            time.Duration
	ok                bool
	changes, computed int
	computedAt        time.Time
}

// New returns an empty Window whose measurements are used until they have reached maxAge.
func New(maxAge time.Duration) *Window { return &Window{maxAge: maxAge, computed: -1} }

// Add adds a measured duration.
func (w *Window) Add(took time.Duration, now time.Time) {
	m := measurement{now, took}
	if len(w.list) < capacity {
		w.list = append(w.list, m)
	} else {
		w.list[w.next] = m
	}
	w.next = (w.next + 1) % capacity
	w.changes++
}

// recomputeAfter is the age and recomputeChanges the number of changes at which the median
// is computed again.
const (
	recomputeAfter   = time.Second
	recomputeChanges = 8
)

// Median returns the median of the durations, and false if there are too few of them.
func (w *Window) Median(now time.Time) (time.Duration, bool) {
	if w.computed >= 0 && w.changes-w.computed < recomputeChanges && now.Sub(w.computedAt) < recomputeAfter {
		return w.median, w.ok
	}
	var all []time.Duration
	for _, m := range w.list {
		if now.Sub(m.at) < w.maxAge {
			all = append(all, m.took)
		}
	}
	w.computed, w.computedAt = w.changes, now
	w.median, w.ok = 0, len(all) >= minMeasurements
	if w.ok {
		slices.Sort(all)
		w.median = all[len(all)/2]
	}
	return w.median, w.ok
}

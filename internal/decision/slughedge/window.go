package slughedge

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Size is a class of prompt sizes; 0 stands for requests without a prompt.
type Size int

// sizeLimits are the numbers of prompt tokens below which prompts belong to the classes from
// 1 on; the last class has no limit. Within a class, processing times differ by a factor of 4
// at most, which is what queues add as well.
var sizeLimits = []int{512, 2048, 8192, 32768}

// SizeOf returns the class of a prompt with a number of tokens.
func SizeOf(tokens int) Size {
	for i, limit := range sizeLimits {
		if tokens < limit {
			return Size(i + 1)
		}
	}
	return Size(len(sizeLimits) + 1)
}

// Class is a class of requests whose latencies are compared.
type Class struct {
	Route string
	Size  Size
}

const (
	// windowLength is the time over which latencies are collected. The latencies of the
	// current window and of the one before it are used. At a few requests per second and
	// host, shorter ones would hold too few.
	windowLength = 30 * time.Second
	// minLatencies is the number of latencies below which no quantile is used.
	minLatencies = 20
	// minLatency and maxLatency are the limits of a recorded latency.
	minLatency, maxLatency = 100 * time.Microsecond, time.Minute
	// significantDigits is the precision of a histogram: 1 digit means an error of 6 in 100 at
	// most, and 3 KB for each histogram.
	significantDigits = 1
	// recomputeAfter is the age at which a quantile is computed again.
	recomputeAfter = time.Second
)

// window holds the latest latencies of a class.
type window struct {
	current, previous *hdrhistogram.Histogram
	// startedAt is when the current window began.
	startedAt time.Time
	// delay is the result of the last computation, at computedAt.
	delay      time.Duration
	ok         bool
	computedAt time.Time
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency.Microseconds(), maxLatency.Microseconds(), significantDigits)
}

func newWindow(now time.Time) *window {
	return &window{current: newHistogram(), previous: newHistogram(), startedAt: now}
}

// advance begins a new window if the current one has ended.
func (w *window) advance(now time.Time) {
	age := now.Sub(w.startedAt)
	if age < windowLength {
		return
	}
	w.current, w.previous = w.previous, w.current
	w.current.Reset()
	if age >= 2*windowLength {
		w.previous.Reset()
	}
	w.startedAt, w.computedAt = now, time.Time{}
}

func (w *window) add(took time.Duration, now time.Time) {
	w.advance(now)
	// RecordValue fails only for values outside of the limits.
	_ = w.current.RecordValue(min(max(took, minLatency), maxLatency).Microseconds())
}

// quantile returns the latency that a fraction q of the requests did not exceed, and false if
// there are too few latencies.
func (w *window) quantile(q float64, now time.Time) (time.Duration, bool) {
	w.advance(now)
	if !w.computedAt.IsZero() && now.Sub(w.computedAt) < recomputeAfter {
		return w.delay, w.ok
	}
	w.computedAt = now
	n := w.current.TotalCount() + w.previous.TotalCount()
	w.delay, w.ok = 0, n >= max(minLatencies, int64(math.Ceil(1/(1-q))))
	if w.ok {
		all := newHistogram()
		all.Merge(w.previous)
		all.Merge(w.current)
		w.delay = time.Duration(all.ValueAtQuantile(100*q)) * time.Microsecond
	}
	return w.delay, w.ok
}

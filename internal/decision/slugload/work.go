package slugload

import (
	"math"
	"time"
)

const (
	// workHalfLife is the time after which measured work counts half. The lasting speed of a
	// machine changes rarely, and single measurements are inexact.
	workHalfLife = 10 * time.Second
	// minWork is the decayed number of measurements below which they are not used.
	minWork = 4
	// minSlowness and maxSlowness limit the ratio of a single measurement.
	minSlowness, maxSlowness = 0.25, 8
)

// Work is the measured time of work at an endpoint, compared with the expected one. The zero
// value has no measurements.
type Work struct {
	// took and expected are the sums of all measurements in seconds, and count their number,
	// decayed up to at.
	took, expected, count float64
	at                    time.Time
}

// Add adds a measurement.
func (w *Work) Add(took, expected time.Duration, now time.Time) {
	if took <= 0 || expected <= 0 {
		return
	}
	if decay := w.decay(now); decay < 1 {
		w.took, w.expected, w.count = w.took*decay, w.expected*decay, w.count*decay
	}
	ratio := min(max(float64(took)/float64(expected), minSlowness), maxSlowness)
	w.took += ratio * expected.Seconds()
	w.expected += expected.Seconds()
	w.count++
	w.at = now
}

// Slowness returns how many times longer than expected work takes, and false if there are too
// few measurements.
func (w *Work) Slowness(now time.Time) (float64, bool) {
	if w.count < minWork || w.count*w.decay(now) < minWork {
		return 1, false
	}
	return w.took / w.expected, true
}

// decay returns the weight of the measurements now.
func (w *Work) decay(now time.Time) float64 {
	if w.at.IsZero() {
		return 0
	}
	return math.Exp2(-max(0, now.Sub(w.at).Seconds()) / workHalfLife.Seconds())
}

// Package slugpeak keeps the highest value of a quantity over the last seconds.
//
// New capacity takes seconds to start, so it follows the peaks of demand. The peak is taken
// of the sum over all hosts and not summed over the peaks of the hosts: these do not fall
// into the same second, and with many hosts their sum is several times the demand.
//
// The package performs no I/O.
//
// # Usage
//
//	w := slugpeak.New(12 * time.Second)
//	w.Add(3.5, time.Now())
//	highest := w.Peak(12*time.Second, time.Now())
package slugpeak

import "time"

// sample is a value with the time at which it was measured.
type sample struct {
	at    time.Time
	value float64
}

// Window holds the samples that may still be the peak of some span. It is not safe for
// concurrent use.
type Window struct {
	span time.Duration
	// samples are in the order of their times, with falling values.
	samples []sample
}

// New returns an empty Window that remembers the given span.
func New(span time.Duration) *Window { return &Window{span: span} }

// Add adds a value.
func (w *Window) Add(value float64, now time.Time) {
	n := len(w.samples)
	for n > 0 && w.samples[n-1].value <= value {
		n--
	}
	w.samples = append(w.samples[:n], sample{now, value})
	first := 0
	for now.Sub(w.samples[first].at) > w.span {
		first++
	}
	w.samples = w.samples[first:]
}

// Peak returns the highest value of the last span, which must not exceed that of New, or 0
// if there is none.
func (w *Window) Peak(span time.Duration, now time.Time) float64 {
	for _, s := range w.samples {
		if now.Sub(s.at) <= span {
			return s.value
		}
	}
	return 0
}

// Package slugload keeps what is known of the load and the speed of an endpoint: what it
// stated in its responses to this process, and how long its work was measured to take.
//
// Endpoints share their machines with other work, so both change many times a second. Every
// figure is therefore used with its age: it counts less as it grows older, and not at all once
// it is older than the time for which it holds.
//
// The package performs no I/O.
//
// # Usage
//
//	var l slugload.Load
//	l.Record(slugload.Report{Stated: true, Running: 3, Slots: 8, Factor: 2.5}, 2, time.Now())
//	n := l.Requests(own, others, time.Now())
//	slower := l.Factor(time.Now())
package slugload

import "time"

const (
	// reportMaxAge is how long stated numbers of requests are used. Requests last some 100 ms,
	// and hosts tell each other their own requests every 100 ms to 5 s.
	reportMaxAge = 500 * time.Millisecond
	// factorMaxAge is how long a stated factor is used. Factors were observed to change every
	// 600 ms.
	factorMaxAge = 600 * time.Millisecond
	// minFactor and maxFactor limit the factors that are used, so that a single odd one
	// neither attracts all requests nor keeps all away.
	minFactor, maxFactor = 0.2, 20
)

// Report is the load that a response of an endpoint states.
type Report struct {
	// Stated is set if the response states a load.
	Stated bool
	// Running and Waiting are the numbers of requests, and Slots that of the requests that the
	// endpoint runs at once; 0 if it does not say.
	Running, Waiting, Slots int
	// Factor is how many times longer than usual work takes at the endpoint at this moment, or
	// 0 if it does not say.
	Factor float64
}

// Load is what is known of the load and the speed of one endpoint. It is not safe for
// concurrent use. The zero value knows nothing.
type Load struct {
	report Report
	at     time.Time
	// own is the number of this process's requests at the endpoint at the time of the report.
	own      int
	factor   float64
	factorAt time.Time
	work     Work
}

// Record records a report that has just been received, with the number of this process's own
// requests at the endpoint.
func (l *Load) Record(r Report, own int, now time.Time) {
	if !r.Stated {
		return
	}
	l.report, l.own, l.at = r, own, now
	if r.Factor > 0 {
		l.RecordFactor(r.Factor, now)
	}
}

// RecordFactor records a factor that was observed at the given time, unless a newer one is
// known.
func (l *Load) RecordFactor(factor float64, at time.Time) {
	if factor > 0 && at.After(l.factorAt) {
		l.factor, l.factorAt = min(max(factor, minFactor), maxFactor), at
	}
}

// Stated reports whether the endpoint has ever stated its load.
func (l *Load) Stated() bool { return l.report.Stated }

// Report returns the last report and its time.
func (l *Load) Report() (r Report, at time.Time) { return l.report, l.at }

// Slots returns the number of slots that the endpoint stated last, or the given one.
func (l *Load) Slots(registered int) int {
	if l.report.Slots > 0 {
		return l.report.Slots
	}
	return registered
}

// Requests returns the expected number of requests at the endpoint, given this process's own
// and those that other processes said to have. The requests of others in the report replace
// the latter as far as the report is young.
func (l *Load) Requests(own, others int, now time.Time) float64 {
	weight := freshness(l.at, reportMaxAge, now)
	reported := float64(max(0, l.report.Running+l.report.Waiting-l.own))
	return float64(own) + weight*reported + (1-weight)*float64(others)
}

// Factor returns how many times longer than usual work is expected to take at the endpoint
// now; 1 if nothing is known.
func (l *Load) Factor(now time.Time) float64 {
	return 1 + (l.factor-1)*freshness(l.factorAt, factorMaxAge, now)
}

// LastFactor returns the factor last observed and its time, which is zero if there is none.
func (l *Load) LastFactor() (factor float64, at time.Time) { return l.factor, l.factorAt }

// RecordWork records the measured time of work at the endpoint, and that expected of a usual
// endpoint with the factor of the time.
func (l *Load) RecordWork(took, expected time.Duration, now time.Time) {
	l.work.Add(took, expected, now)
}

// Slowness returns the measured ratio of the times of work at the endpoint and at a usual one,
// and false if there are too few measurements.
func (l *Load) Slowness(now time.Time) (float64, bool) { return l.work.Slowness(now) }

// freshness returns the weight of a figure of the given time: 1 at first, and 0 once it has
// reached maxAge.
func freshness(at time.Time, maxAge time.Duration, now time.Time) float64 {
	if at.IsZero() {
		return 0
	}
	return min(1, max(0, 1-float64(now.Sub(at))/float64(maxAge)))
}

// Stretch returns how long work takes at the endpoint from now on that takes the given time
// with factor 1. The factor is taken to hold for half of the time for which it is used.
func (l *Load) Stretch(work time.Duration, now time.Time) time.Duration {
	factor := l.Factor(now)
	held := max(0, factorMaxAge-now.Sub(l.factorAt)) / 2
	if factor == 1 || held == 0 {
		return work
	}
	done := time.Duration(float64(held) / factor)
	if work <= done {
		return time.Duration(float64(work) * factor)
	}
	return held + work - done
}

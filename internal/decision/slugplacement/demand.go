package slugplacement

import (
	"slices"
	"time"
)

const (
	// demandInterval is the period over which demand is averaged.
	demandInterval = time.Second
	// demandIntervals is the number of intervals whose maximum counts as the demand.
	// New engines take seconds to start, so capacity follows the peaks.
	demandIntervals = 12
)

// demand measures the recent work of prompts and the number of concurrent responses.
type demand struct {
	interval    int64
	prefillWork [demandIntervals]time.Duration
	// streams holds the maximum number of concurrent responses in each interval.
	streams [demandIntervals]int
	started bool
}

// advance clears the intervals between the last update and now.
func (d *demand) advance(now time.Time) {
	interval := now.UnixNano() / int64(demandInterval)
	if !d.started || interval-d.interval >= demandIntervals {
		*d = demand{interval: interval, started: true}
	}
	for ; d.interval < interval; d.interval++ {
		d.prefillWork[(d.interval+1)%demandIntervals], d.streams[(d.interval+1)%demandIntervals] = 0, 0
	}
}

// add adds the processing time of a prompt.
func (d *demand) add(work time.Duration, now time.Time) {
	d.advance(now)
	d.prefillWork[d.interval%demandIntervals] += work
}

// recordStreams records the number of concurrent responses.
func (d *demand) recordStreams(n int, now time.Time) {
	d.advance(now)
	d.streams[d.interval%demandIntervals] = max(d.streams[d.interval%demandIntervals], n)
}

// peakPrefillBusy returns the recent peak of the number of engines kept busy by
// prompts.
func (d *demand) peakPrefillBusy(now time.Time) float64 {
	d.advance(now)
	var peak time.Duration
	for _, w := range d.prefillWork {
		peak = max(peak, w)
	}
	return peak.Seconds() / demandInterval.Seconds()
}

// Demand returns the recent peaks of the number of engines kept busy by prompts,
// averaged over a second, and of the number of concurrent responses.
func (p *Placer) Demand(now time.Time) (prefillBusy, streams float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	busy := p.demand.peakPrefillBusy(now)
	return busy, float64(slices.Max(p.demand.streams[:]))
}

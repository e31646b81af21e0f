package slugplacement

import (
	"time"
)

const (
	// demandStep is the time over which demand is averaged.
	demandStep = time.Second
	// demandSteps is the number of averages of which the greatest counts: new engines
	// take seconds to start, so capacity follows the peaks.
	demandSteps = 12
)

// demand measures the work that prompts bring.
type demand struct {
	step  int64
	work  [demandSteps]time.Duration
	began bool
}

func (d *demand) roll(now time.Time) {
	step := now.UnixNano() / int64(demandStep)
	if !d.began || step-d.step >= demandSteps {
		d.work, d.began, d.step = [demandSteps]time.Duration{}, true, step
	}
	for ; d.step < step; d.step++ {
		d.work[(d.step+1)%demandSteps] = 0
	}
}

func (d *demand) add(work time.Duration, now time.Time) {
	d.roll(now)
	d.work[d.step%demandSteps] += work
}

// busiest returns the greatest number of engines that prompts kept busy.
func (d *demand) busiest(now time.Time) float64 {
	d.roll(now)
	var most time.Duration
	for _, w := range d.work {
		most = max(most, w)
	}
	return most.Seconds() / demandStep.Seconds()
}

// Demand returns the number of engines that prompts kept busy in the busiest second of
// late, and the number of answers under way.
func (p *Placer) Demand(now time.Time) (prefillBusy, streams float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.state {
		streams += float64(s.own.Streams)
	}
	return p.demand.busiest(now), streams
}

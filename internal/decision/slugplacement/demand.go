package slugplacement

import (
	"slices"
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
	step int64
	work [demandSteps]time.Duration
	// streams are the most answers under way in each step.
	streams [demandSteps]int
	began   bool
}

func (d *demand) roll(now time.Time) {
	step := now.UnixNano() / int64(demandStep)
	if !d.began || step-d.step >= demandSteps {
		*d = demand{step: step, began: true}
	}
	for ; d.step < step; d.step++ {
		d.work[(d.step+1)%demandSteps], d.streams[(d.step+1)%demandSteps] = 0, 0
	}
}

func (d *demand) add(work time.Duration, now time.Time) {
	d.roll(now)
	d.work[d.step%demandSteps] += work
}

// running notes the number of answers under way.
func (d *demand) running(n int, now time.Time) {
	d.roll(now)
	d.streams[d.step%demandSteps] = max(d.streams[d.step%demandSteps], n)
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
// late, and the most answers that were under way.
func (p *Placer) Demand(now time.Time) (prefillBusy, streams float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	busy := p.demand.busiest(now)
	return busy, float64(slices.Max(p.demand.streams[:]))
}

package slugplacement

import "time"

// demandInterval is the period over which demand is averaged.
const demandInterval = time.Second

// interval is the demand in one period.
type interval struct {
	number int64
	// prefillWork is the processing time of all prompts.
	prefillWork time.Duration
	// streams is the maximum number of concurrent responses.
	streams int
}

// demand measures the current work of prompts and the number of concurrent responses.
type demand struct {
	previous, current interval
}

// advance makes the period of now the current one.
func (d *demand) advance(now time.Time) {
	number := now.UnixNano() / int64(demandInterval)
	if number == d.current.number {
		return
	}
	d.previous, d.current = d.current, interval{number: number}
	if d.previous.number != number-1 {
		d.previous = interval{}
	}
}

// add adds the processing time of a prompt.
func (d *demand) add(work time.Duration, now time.Time) {
	d.advance(now)
	d.current.prefillWork += work
}

// recordStreams records the number of concurrent responses.
func (d *demand) recordStreams(n int, now time.Time) {
	d.advance(now)
	d.current.streams = max(d.current.streams, n)
}

// Demand returns the current number of engines kept busy by prompts, averaged over a
// second, and the highest number of concurrent responses in this second and the one before.
func (p *Placer) Demand(now time.Time) (prefillBusy, streams float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := &p.demand
	d.advance(now)
	work := max(d.previous.prefillWork, d.current.prefillWork)
	return work.Seconds() / demandInterval.Seconds(), float64(max(d.previous.streams, d.current.streams))
}

package slugbacklog

import (
	"slices"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugload"
)

// Ticket identifies announced work whose end its sender reports. It is chosen by the sender; 0
// means that the end is not reported.
type Ticket uint32

// Work is announced work.
type Work struct {
	Ticket Ticket
	// Usual is the time that the work takes at the endpoint when its factor is 1, and Nominal
	// the time that it takes at a usual endpoint.
	Usual, Nominal time.Duration
}

// End is the reported end of announced work.
type End struct {
	Ticket Ticket
	At     time.Time
	// Served is set if the endpoint completed the work.
	Served bool
}

// Measured is the time that an endpoint took for work, and that expected of a usual endpoint;
// both are 0 if a reported end shows no such time.
type Measured struct{ Took, Nominal time.Duration }

const (
	// reportDelay is how long after its end work may be unreported: senders collect reports for
	// some 50 ms, and the message travels.
	reportDelay = 120 * time.Millisecond
	// expiryFactor and minExpiry determine when the work that the endpoint should be at is
	// removed unreported, as a multiple of its expected time and at least: its sender has
	// failed, or the message was lost. Work behind it does not expire for its delay, because
	// the wait at an endpoint that is far behind would then appear to be short.
	expiryFactor = 4
	minExpiry    = 500 * time.Millisecond
	// maxWorkAge is the age at which any work is removed.
	maxWorkAge = 2 * maxBacklog
	// reorderWindow is the time between announcements within which work may arrive at the
	// endpoint in another order.
	reorderWindow = 30 * time.Millisecond
	// maxItems bounds the work that is known of one endpoint.
	maxItems = 512
)

// item is announced work that is not known to be done.
type item struct {
	Work
	at time.Time
}

// queue is the work at an endpoint whose senders report its end, in order of announcement.
type queue struct {
	items []item
	// freeAt is when the last work that is known to be done ended.
	freeAt time.Time
}

// Announce adds work at an endpoint and returns how long it waits for the work added before.
// load is what is known of the endpoint's speed. Work whose end is reported remains until then,
// or until it expires; other work is assumed to complete at the announced pace.
func (b *Backlog) Announce(e slugname.Endpoint, w Work, load *slugload.Load, now time.Time) (wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.queues[e]
	if q == nil && w.Ticket == 0 {
		return b.add(e, load.Stretch(w.Usual, now), now)
	}
	if q == nil {
		q = b.newQueue(e, now)
	}
	wait = q.wait(load, now)
	if w.Usual > 0 {
		q.items = append(q.items, item{w, now})
		q.items = q.items[max(0, len(q.items)-maxItems):]
	}
	return wait
}

// Wait returns how long work that is added now waits at an endpoint.
func (b *Backlog) Wait(e slugname.Endpoint, load *slugload.Load, now time.Time) time.Duration {
	return b.Announce(e, Work{}, load, now)
}

// Withdraw removes work that was announced but not sent.
func (b *Backlog) Withdraw(e slugname.Endpoint, w Work, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.queues[e]
	if q == nil {
		b.add(e, -w.Usual, now)
		return
	}
	for i, x := range slices.Backward(q.items) {
		if x.Ticket == w.Ticket && (w.Ticket != 0 || x.Usual == w.Usual) {
			q.items = slices.Delete(q.items, i, i+1)
			return
		}
	}
}

// End removes work whose end was reported, and what was announced before it: endpoints work in
// order. fixed is the part of the time of a call that does not occupy the endpoint.
func (b *Backlog) End(e slugname.Endpoint, r End, fixed time.Duration) Measured {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.queues[e]
	if q == nil {
		return Measured{}
	}
	i := slices.IndexFunc(q.items, func(x item) bool { return x.Ticket == r.Ticket })
	if i < 0 {
		return Measured{}
	}
	if !r.Served {
		if i == 0 {
			q.freeAt = later(q.freeAt, r.At)
		}
		q.items = slices.Delete(q.items, i, i+1)
		return Measured{}
	}
	return q.end(i, r.At, fixed)
}

// end removes the item that ended at a time, and those before it.
func (q *queue) end(i int, at time.Time, fixed time.Duration) (m Measured) {
	last := q.items[i]
	before := 0
	for before < i && last.at.Sub(q.items[before].at) > reorderWindow {
		before++
	}
	if before == i {
		m = q.measure(i, at, fixed)
	}
	q.items = slices.Delete(q.items, i, i+1)
	q.items = slices.Delete(q.items, 0, before)
	q.freeAt = later(q.freeAt, at)
	return m
}

// measure returns the time that the endpoint took for the items up to one that ended at a time.
// If it may have been idle in between, there is no measurement: the report of an earlier item
// may be lost.
func (q *queue) measure(i int, at time.Time, fixed time.Duration) (m Measured) {
	// Work that the endpoint began when idle was on its way for a time.
	begin := later(q.freeAt, q.items[0].at.Add(fixed))
	end := begin
	for _, x := range q.items[:i+1] {
		if x.at.After(end) && x.at.After(begin) {
			return Measured{}
		}
		m.Nominal += x.Nominal
		end = end.Add(x.Usual)
	}
	m.Took = max(0, at.Sub(begin))
	return m
}

// wait returns how long work that is added now waits. Work that has not been reported as done
// cannot have ended before the time for which reports may be under way.
func (q *queue) wait(load *slugload.Load, now time.Time) time.Duration {
	factor := load.Factor(now)
	q.expire(factor, now)
	end, done := q.freeAt, 0
	for i, x := range q.items {
		end = later(end, x.at).Add(time.Duration(float64(x.Usual) * factor))
		if x.Ticket != 0 {
			end = later(end, now.Add(-reportDelay))
		} else if done == i && !end.After(now) {
			q.freeAt, done = end, i+1
		}
	}
	q.items = slices.Delete(q.items, 0, done)
	left := time.Duration(float64(max(0, end.Sub(now))) / factor)
	return min(load.Stretch(left, now), maxBacklog)
}

// expire removes the first items as far as they have expired.
func (q *queue) expire(factor float64, now time.Time) {
	for len(q.items) > 0 {
		x := q.items[0]
		limit := minExpiry + time.Duration(expiryFactor*factor*float64(x.Usual))
		switch {
		case now.Sub(x.at) > maxWorkAge:
		case now.Sub(later(q.freeAt, x.at)) > limit:
			// The next one may have begun as late as now.
			q.freeAt = now
		default:
			return
		}
		q.items = slices.Delete(q.items, 0, 1)
	}
}

// newQueue returns a new queue for an endpoint, which begins with the work added before. The
// caller must hold b.mu.
func (b *Backlog) newQueue(e slugname.Endpoint, now time.Time) *queue {
	if len(b.queues) >= pruneThreshold {
		for name, q := range b.queues {
			if len(q.items) == 0 && now.Sub(q.freeAt) > maxBacklog {
				delete(b.queues, name)
			}
		}
	}
	q := &queue{freeAt: b.idleAt[e]}
	b.queues[e] = q
	delete(b.idleAt, e)
	return q
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Package slugqueue admits requests of one service fairly: start-time fair
// queueing over workspaces by weight and estimated cost, the earliest deadline
// first within a workspace. What cannot meet its deadline is shed early.
//
// # Usage
//
//	err := q.Wait(ctx, &slugqueue.Ticket{Workspace: w, Weight: 2, Cost: 0.4, Deadline: d, Try: pick})
//	...
//	q.Wake() // when an endpoint may have room again
package slugqueue

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

// Errors of admission. In all cases the request has not run.
var (
	// ErrFull says that the queue has no room for the workspace.
	ErrFull = errors.New("queue is full")
	// ErrDeadline says that the deadline would pass or has passed in the queue.
	ErrDeadline = errors.New("deadline cannot be met")
	// ErrWithdrawn says that the request lost its right while it waited.
	ErrWithdrawn = errors.New("right was withdrawn")
)

// Cost is the estimated work of a request in seconds of an engine.
type Cost float64

// Config bounds the queue.
type Config struct {
	// Length is the greatest number of waiting requests.
	Length int
}

// Ticket is a request that waits.
type Ticket struct {
	Workspace slugname.Workspace
	// Weight is the workspace's part, at least 1.
	Weight int
	Cost   Cost
	// Deadline is the latest time at which the request may still be started.
	Deadline time.Time
	// Started requests ran before and are not shed early.
	Started bool
	// Try starts the request and reports false when there is no room for it. It
	// is called with the queue's lock held.
	Try func() bool
	// Valid reports whether the request still has its right; nil means yes.
	Valid func() bool
	// Ended is called once, with the queue's lock held, when the request has been
	// started (nil) or shed.
	Ended func(error)

	ended bool
	index int
}

// end tells how the wait ended.
func (t *Ticket) end(err error) {
	t.ended = true
	t.Ended(err)
}

// Queue holds the waiting requests of one service.
type Queue struct {
	cfg Config

	mu      sync.Mutex
	flows   map[slugname.Workspace]*flow
	length  int
	virtual float64
	rate    rate
}

// flow is the queue of one workspace.
type flow struct {
	tickets ticketHeap
	weight  int
	// sum is the cost of all tickets.
	sum Cost
	// finish is the virtual time at which the last started request ends.
	finish float64
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	if cfg.Length == 0 {
		cfg.Length = 1024
	}
	return &Queue{cfg: cfg, flows: map[slugname.Workspace]*flow{}}
}

// Wait returns nil once the request has been started by its Try. Errors:
// ErrFull, ErrDeadline, ErrWithdrawn or the context's.
func (q *Queue) Wait(ctx context.Context, t *Ticket) error {
	done := make(chan error, 1)
	t.Ended = func(err error) { done <- err }
	if err := q.Enter(t, time.Now()); err != nil {
		return err
	}
	timer := time.NewTimer(time.Until(t.Deadline))
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-timer.C:
		return q.abandon(t, ErrDeadline, done)
	case <-ctx.Done():
		return q.abandon(t, ctx.Err(), done)
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.length
}

// Wake starts as many requests as there is room for.
func (q *Queue) Wake() { q.Dispatch(time.Now()) }

// Dispatch is Wake at a time.
func (q *Queue) Dispatch(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatch(now)
}

// Enter puts a request into the queue, and starts it if there is room. Its Ended is
// called when the wait ends, unless Enter returns an error.
func (q *Queue) Enter(t *Ticket, now time.Time) error {
	t.Weight = max(1, t.Weight)
	q.mu.Lock()
	defer q.mu.Unlock()
	if !t.Deadline.After(now) {
		return ErrDeadline
	}
	if wait := q.predictedWait(t, now); !t.Started && now.Add(wait).After(t.Deadline) {
		return ErrDeadline
	}
	if q.length >= q.cfg.Length && !q.evictFor(t) {
		return ErrFull
	}
	f := q.flow(t)
	heap.Push(&f.tickets, t)
	f.sum += t.Cost
	q.length++
	q.dispatch(now)
	return nil
}

func (q *Queue) flow(t *Ticket) *flow {
	f := q.flows[t.Workspace]
	if f == nil {
		f = &flow{finish: q.virtual}
		q.flows[t.Workspace] = f
	}
	f.weight = t.Weight
	return f
}

// predictedWait returns how long the request would wait, from the rate at which
// work was started lately. Only the work that fair queueing puts before the
// request counts: each other workspace's, up to its part.
func (q *Queue) predictedWait(t *Ticket, now time.Time) time.Duration {
	r := q.rate.perSecond(now)
	if q.length == 0 || r <= 0 {
		return 0
	}
	own := t.Cost
	if f := q.flows[t.Workspace]; f != nil {
		own += f.cost(t.Deadline)
	}
	ahead := own
	for w, f := range q.flows {
		if w != t.Workspace {
			part := own * Cost(f.weight) / Cost(t.Weight)
			ahead += min(part, f.sum)
		}
	}
	return time.Duration(float64(ahead) / r * float64(time.Second))
}

// cost returns the cost of the requests due before a deadline.
func (f *flow) cost(before time.Time) Cost {
	var sum Cost
	for _, t := range f.tickets {
		if !t.Deadline.After(before) {
			sum += t.Cost
		}
	}
	return sum
}

// evictFor makes room by shedding the least urgent request of the workspace that
// has the most waiting for its weight. It reports false when that is the
// newcomer's own workspace.
func (q *Queue) evictFor(t *Ticket) bool {
	var longest *flow
	most := 0.0
	for w, f := range q.flows {
		n := float64(len(f.tickets)) / float64(max(1, f.weight))
		if w == t.Workspace {
			n = float64(len(f.tickets)+1) / float64(t.Weight)
		}
		if n > most {
			longest, most = f, n
		}
	}
	if longest == nil || longest == q.flows[t.Workspace] || len(longest.tickets) == 0 {
		return false
	}
	last := longest.tickets[0]
	for _, x := range longest.tickets {
		if x.Deadline.After(last.Deadline) {
			last = x
		}
	}
	q.remove(longest, last)
	last.end(ErrFull)
	return true
}

// remove takes a ticket out of its flow; q.mu is held.
func (q *Queue) remove(f *flow, t *Ticket) {
	heap.Remove(&f.tickets, t.index)
	f.sum -= t.Cost
	q.length--
	if len(f.tickets) == 0 && f.finish <= q.virtual {
		delete(q.flows, t.Workspace)
	}
}

func (q *Queue) abandon(t *Ticket, err error, done <-chan error) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.ended {
		return <-done
	}
	if f := q.flows[t.Workspace]; f != nil && t.index >= 0 {
		q.remove(f, t)
	}
	return err
}

// dispatch starts requests while there is room; q.mu is held.
func (q *Queue) dispatch(now time.Time) {
	for q.length > 0 {
		f := q.next()
		t := f.tickets[0]
		if err := expired(t, now); err != nil {
			q.remove(f, t)
			t.end(err)
			continue
		}
		if !t.Try() {
			return
		}
		start := max(q.virtual, f.finish)
		f.finish = start + float64(t.Cost)/float64(f.weight)
		q.virtual = start
		q.rate.add(float64(t.Cost), now)
		q.remove(f, t)
		t.end(nil)
	}
}

func expired(t *Ticket, now time.Time) error {
	if t.Valid != nil && !t.Valid() {
		return ErrWithdrawn
	}
	if !t.Deadline.After(now) {
		return ErrDeadline
	}
	return nil
}

// next returns the flow whose first request starts earliest in virtual time.
// Equal flows go by the deadline.
func (q *Queue) next() *flow {
	var best *flow
	for w, f := range q.flows {
		if len(f.tickets) == 0 {
			if f.finish <= q.virtual {
				delete(q.flows, w)
			}
			continue
		}
		if best == nil || q.before(f, best) {
			best = f
		}
	}
	return best
}

func (q *Queue) before(a, b *flow) bool {
	x, y := max(q.virtual, a.finish), max(q.virtual, b.finish)
	if x != y {
		return x < y
	}
	return a.tickets[0].Deadline.Before(b.tickets[0].Deadline)
}

// ticketHeap orders the tickets of a workspace by deadline.
type ticketHeap []*Ticket

func (h ticketHeap) Len() int           { return len(h) }
func (h ticketHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }
func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends a *Ticket.
func (h *ticketHeap) Push(x any) {
	t := x.(*Ticket)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop removes the last ticket.
func (h *ticketHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	t.index = -1
	return t
}

// rateWindow is the time over which the rate is measured.
const rateWindow = 5 * time.Second

// rate measures the cost started a second over two adjoining windows.
type rate struct {
	start    time.Time
	current  float64
	previous float64
}

func (r *rate) roll(now time.Time) {
	elapsed := now.Sub(r.start)
	switch {
	case r.start.IsZero() || elapsed >= 2*rateWindow:
		r.start, r.current, r.previous = now, 0, 0
	case elapsed >= rateWindow:
		r.start, r.previous, r.current = r.start.Add(rateWindow), r.current, 0
	}
}

func (r *rate) add(cost float64, now time.Time) {
	r.roll(now)
	r.current += cost
}

// perSecond returns 0 until a whole window was seen.
func (r *rate) perSecond(now time.Time) float64 {
	r.roll(now)
	if r.previous == 0 {
		return 0
	}
	part := now.Sub(r.start).Seconds() / rateWindow.Seconds()
	return (r.current + r.previous*(1-part)) / rateWindow.Seconds()
}

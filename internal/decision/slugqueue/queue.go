// Package slugqueue is a fair admission queue for the requests of one service. It uses
// start-time fair queueing across workspaces, by weight and estimated cost, and
// earliest deadline first within a workspace. Requests that cannot meet their deadline
// are shed early.
//
// # Usage
//
//	err := q.Wait(ctx, &slugqueue.Ticket{Workspace: w, Weight: 2, Cost: 0.4, Deadline: d, TryStart: pick})
//	...
//	q.Wake() // when an endpoint may have capacity again
package slugqueue

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

// Errors returned for requests that are not admitted. In all cases the request has not
// run.
var (
	// ErrFull means that the queue has no room for a request of the workspace.
	ErrFull = errors.New("queue is full")
	// ErrDeadline means that the deadline has passed, or is predicted to pass before
	// the request starts.
	ErrDeadline = errors.New("deadline cannot be met")
	// ErrUnauthorized means that the request lost its authorization while it was queued.
	ErrUnauthorized = errors.New("authorization was withdrawn")
)

// Cost is the estimated work of a request in engine seconds.
type Cost float64

// Config holds the limits of a Queue.
type Config struct {
	// MaxLength is the maximum number of waiting requests; 0 means 1024.
	MaxLength int
}

// Ticket is a request that waits in a Queue.
type Ticket struct {
	Workspace slugname.Workspace
	// Weight is the workspace's weight in fair queueing, at least 1.
	Weight int
	Cost   Cost
	// Deadline is the latest time at which the request may start.
	Deadline time.Time
	// Started marks a request that an endpoint may have received before. It is not shed
	// because of its predicted wait.
	Started bool
	// TryStart starts the request, or returns false if there is no capacity for it. It is
	// called with the queue's lock held.
	TryStart func() bool
	// Authorized reports whether the request is still authorized; nil means that it is.
	Authorized func() bool
	// OnEnd is called once, with the queue's lock held, when the request has started
	// (with nil) or has been shed.
	OnEnd func(error)

	ended bool
	// index is the position in the workspace's heap.
	index int
}

// end reports the outcome of the wait.
func (t *Ticket) end(err error) {
	t.ended = true
	t.OnEnd(err)
}

// Queue holds the waiting requests of one service. It is safe for concurrent use.
type Queue struct {
	cfg Config

	mu     sync.Mutex
	flows  map[slugname.Workspace]*flow
	length int
	// virtualTime is the virtual start time of the request that started last.
	virtualTime float64
	rate        rate
}

// flow holds the waiting requests of one workspace.
type flow struct {
	tickets ticketHeap
	weight  int
	// totalCost is the cost of all tickets.
	totalCost Cost
	// virtualFinish is the virtual time at which the request started last finishes.
	virtualFinish float64
}

// New returns an empty Queue.
func New(cfg Config) *Queue {
	if cfg.MaxLength == 0 {
		cfg.MaxLength = 1024
	}
	return &Queue{cfg: cfg, flows: map[slugname.Workspace]*flow{}}
}

// Wait blocks until the request has been started by its TryStart and returns nil, or returns
// ErrFull, ErrDeadline, ErrUnauthorized or the error of ctx.
func (q *Queue) Wait(ctx context.Context, t *Ticket) error {
	done := make(chan error, 1)
	t.OnEnd = func(err error) { done <- err }
	if err := q.Enqueue(t, time.Now()); err != nil {
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

// Wake starts as many waiting requests as there is capacity for.
func (q *Queue) Wake() { q.Dispatch(time.Now()) }

// Dispatch is like Wake with the current time given.
func (q *Queue) Dispatch(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatch(now)
}

// Enqueue adds a request to the queue and starts it if there is capacity. OnEnd is called
// when the wait ends, unless Enqueue returns an error.
func (q *Queue) Enqueue(t *Ticket, now time.Time) error {
	t.Weight = max(1, t.Weight)
	q.mu.Lock()
	defer q.mu.Unlock()
	if !t.Deadline.After(now) {
		return ErrDeadline
	}
	if wait := q.predictedWait(t, now); !t.Started && now.Add(wait).After(t.Deadline) {
		return ErrDeadline
	}
	if q.length >= q.cfg.MaxLength && !q.evictFor(t) {
		return ErrFull
	}
	f := q.flow(t)
	heap.Push(&f.tickets, t)
	f.totalCost += t.Cost
	q.length++
	q.dispatch(now)
	return nil
}

// flow returns the flow of the ticket's workspace, creating it if necessary. The caller
// must hold q.mu.
func (q *Queue) flow(t *Ticket) *flow {
	f := q.flows[t.Workspace]
	if f == nil {
		f = &flow{virtualFinish: q.virtualTime}
		q.flows[t.Workspace] = f
	}
	f.weight = t.Weight
	return f
}

// predictedWait estimates how long the request would wait, from the recent rate at
// which work was started. It counts only the work that fair queueing starts before the
// request: the workspace's own and, of every other workspace, at most its weighted
// share.
func (q *Queue) predictedWait(t *Ticket, now time.Time) time.Duration {
	costPerSecond := q.rate.perSecond(now)
	if q.length == 0 || costPerSecond <= 0 {
		return 0
	}
	ownCost := t.Cost
	if f := q.flows[t.Workspace]; f != nil {
		ownCost += f.costDueBy(t.Deadline)
	}
	ahead := ownCost
	for w, f := range q.flows {
		if w != t.Workspace {
			share := ownCost * Cost(f.weight) / Cost(t.Weight)
			ahead += min(share, f.totalCost)
		}
	}
	return time.Duration(float64(ahead) / costPerSecond * float64(time.Second))
}

// costDueBy returns the cost of the requests whose deadline is not after the given one.
func (f *flow) costDueBy(deadline time.Time) Cost {
	var sum Cost
	for _, t := range f.tickets {
		if !t.Deadline.After(deadline) {
			sum += t.Cost
		}
	}
	return sum
}

// evictFor makes room for a new request: it sheds the request with the latest deadline
// of the workspace with the most waiting requests relative to its weight. It returns
// false if that is the new request's own workspace. The caller must hold q.mu.
func (q *Queue) evictFor(t *Ticket) bool {
	var longest *flow
	greatest := 0.0
	for w, f := range q.flows {
		waiting := float64(len(f.tickets)) / float64(max(1, f.weight))
		if w == t.Workspace {
			waiting = float64(len(f.tickets)+1) / float64(t.Weight)
		}
		if waiting > greatest {
			longest, greatest = f, waiting
		}
	}
	if longest == nil || longest == q.flows[t.Workspace] || len(longest.tickets) == 0 {
		return false
	}
	last := longest.tickets[0]
	for _, ticket := range longest.tickets {
		if ticket.Deadline.After(last.Deadline) {
			last = ticket
		}
	}
	q.remove(longest, last)
	last.end(ErrFull)
	return true
}

// remove removes a ticket from its flow. The caller must hold q.mu.
func (q *Queue) remove(f *flow, t *Ticket) {
	heap.Remove(&f.tickets, t.index)
	f.totalCost -= t.Cost
	q.length--
	if len(f.tickets) == 0 && f.virtualFinish <= q.virtualTime {
		delete(q.flows, t.Workspace)
	}
}

// abandon removes a request whose caller stopped waiting and returns err, or the
// outcome if the wait has already ended.
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

// dispatch starts waiting requests while there is capacity. The caller must hold q.mu.
func (q *Queue) dispatch(now time.Time) {
	for q.length > 0 {
		f := q.nextFlow()
		t := f.tickets[0]
		if err := startError(t, now); err != nil {
			q.remove(f, t)
			t.end(err)
			continue
		}
		if !t.TryStart() {
			return
		}
		start := max(q.virtualTime, f.virtualFinish)
		f.virtualFinish = start + float64(t.Cost)/float64(f.weight)
		q.virtualTime = start
		q.rate.add(float64(t.Cost), now)
		q.remove(f, t)
		t.end(nil)
	}
}

// startError returns the reason why a request must not start any more, or nil.
func startError(t *Ticket, now time.Time) error {
	if t.Authorized != nil && !t.Authorized() {
		return ErrUnauthorized
	}
	if !t.Deadline.After(now) {
		return ErrDeadline
	}
	return nil
}

// nextFlow returns the flow whose first request has the earliest virtual start time,
// and removes idle flows. Ties go to the earlier deadline. The caller must hold q.mu.
func (q *Queue) nextFlow() *flow {
	var best *flow
	for w, f := range q.flows {
		if len(f.tickets) == 0 {
			if f.virtualFinish <= q.virtualTime {
				delete(q.flows, w)
			}
			continue
		}
		if best == nil || q.startsBefore(f, best) {
			best = f
		}
	}
	return best
}

// startsBefore reports whether the first request of a precedes that of b.
func (q *Queue) startsBefore(a, b *flow) bool {
	x, y := max(q.virtualTime, a.virtualFinish), max(q.virtualTime, b.virtualFinish)
	if x != y {
		return x < y
	}
	return a.tickets[0].Deadline.Before(b.tickets[0].Deadline)
}

// ticketHeap is a heap of the tickets of a workspace, the earliest deadline first.
type ticketHeap []*Ticket

func (h ticketHeap) Len() int           { return len(h) }
func (h ticketHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }
func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(x any) {
	t := x.(*Ticket)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *ticketHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	t.index = -1
	return t
}

// rateWindow is the length of the windows over which the start rate is measured.
const rateWindow = 5 * time.Second

// rate measures the cost started per second over two consecutive windows.
type rate struct {
	start    time.Time
	current  float64
	previous float64
}

// advance moves the windows forward so that the current one contains now.
func (r *rate) advance(now time.Time) {
	elapsed := now.Sub(r.start)
	switch {
	case r.start.IsZero() || elapsed >= 2*rateWindow:
		r.start, r.current, r.previous = now, 0, 0
	case elapsed >= rateWindow:
		r.start, r.previous, r.current = r.start.Add(rateWindow), r.current, 0
	}
}

func (r *rate) add(cost float64, now time.Time) {
	r.advance(now)
	r.current += cost
}

// perSecond returns the cost started per second, or 0 if nothing was started in the
// previous window.
func (r *rate) perSecond(now time.Time) float64 {
	r.advance(now)
	if r.previous == 0 {
		return 0
	}
	fraction := now.Sub(r.start).Seconds() / rateWindow.Seconds()
	return (r.current + r.previous*(1-fraction)) / rateWindow.Seconds()
}

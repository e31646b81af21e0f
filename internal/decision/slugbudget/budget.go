// Package slugbudget bounds the requests that are sent to an endpoint once more.
//
// All processes share one budget: a part of the requests and a fixed number in each
// window of time. A process takes the part of its own requests and its share of the
// fixed number; it never counts on what others leave unused, so that the sum stays
// within the bound without word from them. The load that it answers is a service
// whose endpoints fail or refuse a part of all requests: without a bound, sending
// again adds to the load that made them fail.
//
// # Usage
//
//	b := slugbudget.New(slugbudget.Config{Ratio: 0.2, Window: 10 * time.Second})
//	b.SetExtra(54.0 / 7)
//	b.Request(now)
//	if b.Take(now) { send again }
package slugbudget

import (
	"sync"
	"time"
)

// Config sets the bound.
type Config struct {
	// Ratio is the number of repeats that each request earns.
	Ratio float64
	// Window is the time over which requests and repeats are counted.
	Window time.Duration
	// Reserve is the part of the budget that is kept unused, since windows of
	// different processes do not begin together.
	Reserve float64
}

// Budget counts the requests and repeats of one service.
type Budget struct {
	cfg Config

	mu    sync.Mutex
	extra float64
	// requests and repeats hold the times within the window.
	requests []time.Time
	repeats  []time.Time
}

// New returns a Budget without a fixed number.
func New(cfg Config) *Budget { return &Budget{cfg: cfg} }

// SetExtra sets this process's share of the fixed number of repeats a window.
func (b *Budget) SetExtra(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.extra = n
}

// Request notes a request.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.expire(b.requests, now), now)
}

// Take notes a repeat and reports true if the budget allows it.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left(now) < 1 {
		return false
	}
	b.repeats = append(b.repeats, now)
	return true
}

// Left returns the number of repeats that are allowed now.
func (b *Budget) Left(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(now)
}

func (b *Budget) left(now time.Time) float64 {
	b.requests = b.expire(b.requests, now)
	b.repeats = b.expire(b.repeats, now)
	allowed := (b.cfg.Ratio*float64(len(b.requests)) + b.extra) * (1 - b.cfg.Reserve)
	return allowed - float64(len(b.repeats))
}

// expire drops the times before the window.
func (b *Budget) expire(list []time.Time, now time.Time) []time.Time {
	n := 0
	for n < len(list) && now.Sub(list[n]) >= b.cfg.Window {
		n++
	}
	return list[n:]
}

// Package slugbudget limits retries with a budget per service.
//
// All processes share one budget: a fraction of the requests plus a fixed number of
// retries per time window. Each process uses the fraction of its own requests and its
// share of the fixed number. It never uses what other processes leave unused, so the
// total stays within the limit without coordination. The budget protects a service
// whose endpoints fail or refuse part of all requests: unlimited retries would add to
// the load that causes the failures.
//
// # Usage
//
//	b := slugbudget.New(slugbudget.Config{Ratio: 0.2, Window: 10 * time.Second})
//	b.SetExtra(54.0 / 7) // 54 retries per window, shared by 7 processes
//	b.RecordRequest(now)
//	if b.TryRetry(now) { retry }
package slugbudget

import (
	"slices"
	"sync"
	"time"
)

// Config holds the limits of a Budget.
type Config struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// Window is the period over which requests and retries are counted.
	Window time.Duration
	// Reserve is the fraction of the budget that is kept unused, because the windows of
	// different processes do not start at the same time.
	Reserve float64
}

// Budget counts the requests and retries of one service. It is safe for concurrent use.
type Budget struct {
	mu  sync.Mutex
	cfg Config
	// windowBefore is the window until windowSetAt, if cfg.Window is longer.
	windowBefore time.Duration
	windowSetAt  time.Time
	// extra is this process's share of the fixed number of retries per window.
	extra float64
	// requests and retries hold the times of the events within the window, oldest
	// first.
	requests []time.Time
	retries  []time.Time
}

// New returns a Budget whose share of the fixed number of retries is 0.
func New(cfg Config) *Budget { return &Budget{cfg: cfg} }

// SetLimits changes the limits. A longer window grows with the time since the change, because
// the events before the old one are forgotten: without this, retries of the old window would
// be allowed again.
func (b *Budget) SetLimits(cfg Config, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if cfg == b.cfg {
		return
	}
	b.windowBefore, b.windowSetAt = b.window(now), now
	b.cfg = cfg
}

// window returns the window that applies now. The caller must hold b.mu.
func (b *Budget) window(now time.Time) time.Duration {
	if b.windowSetAt.IsZero() {
		return b.cfg.Window
	}
	return min(b.cfg.Window, b.windowBefore+now.Sub(b.windowSetAt))
}

// SetExtra sets this process's share of the fixed number of retries per window.
func (b *Budget) SetExtra(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.extra = n
}

// RecordRequest records a request.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.expire(b.requests, now), now)
}

// TryRetry records a retry and returns true if the budget allows one.
func (b *Budget) TryRetry(now time.Time) bool { return b.TryRetries(1, now) }

// TryRetries records n retries and returns true if the budget allows them all; otherwise it
// records none.
func (b *Budget) TryRetries(n int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left(now) < float64(n) {
		return false
	}
	for range n {
		b.retries = append(b.retries, now)
	}
	return true
}

// Return takes back n retries that were recorded at the given time and not used.
func (b *Budget) Return(n int, recordedAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries = slices.DeleteFunc(b.retries, func(at time.Time) bool {
		if n == 0 || !at.Equal(recordedAt) {
			return false
		}
		n--
		return true
	})
}

// Left returns the number of retries that the budget currently allows.
func (b *Budget) Left(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(now)
}

// left implements Left. The caller must hold b.mu.
func (b *Budget) left(now time.Time) float64 {
	b.retries = b.expire(b.retries, now)
	return b.allowed(now) - float64(len(b.retries))
}

// Allowed returns the number of retries that the budget allows in the window that ends now,
// including those that were recorded.
func (b *Budget) Allowed(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allowed(now)
}

// allowed implements Allowed. The caller must hold b.mu.
func (b *Budget) allowed(now time.Time) float64 {
	b.requests = b.expire(b.requests, now)
	return (b.cfg.Ratio*float64(len(b.requests)) + b.extra) * (1 - b.cfg.Reserve)
}

// expire returns the times that are still within the window.
func (b *Budget) expire(times []time.Time, now time.Time) []time.Time {
	n, window := 0, b.window(now)
	for n < len(times) && now.Sub(times[n]) >= window {
		n++
	}
	return times[n:]
}

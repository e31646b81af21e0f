// Package slugbackoff limits retries by capped exponential delays with full jitter, and by
// a retry budget that limits the share of retries among all calls.
//
// # Usage
//
//	b := slugbackoff.New(slugbackoff.Config{Base: 50 * time.Millisecond, Cap: 2 * time.Second, Ratio: 0.2})
//	b.RecordAttempt()
//	for n := 0; ; n++ {
//		if err := call(); err == nil || !b.Allow() {
//			break
//		}
//		if b.Wait(ctx, n) != nil {
//			break
//		}
//	}
package slugbackoff

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Config configures the delays and the retry budget.
type Config struct {
	// Base is the upper bound of the delay before the first retry. It doubles with each
	// further retry.
	Base time.Duration
	// Cap is the upper bound of all delays.
	Cap time.Duration
	// Ratio is the number of retries that each first attempt adds to the budget.
	Ratio float64
	// Burst is the initial budget and its maximum, in retries; 0 means 10.
	Burst float64
}

// Backoff holds the retry budget of one kind of call. It is safe for concurrent use.
type Backoff struct {
	cfg Config
	mu  sync.Mutex
	// tokens is the number of retries left.
	tokens float64
}

// New returns a Backoff with a full budget.
func New(cfg Config) *Backoff {
	if cfg.Burst == 0 {
		cfg.Burst = 10
	}
	return &Backoff{cfg: cfg, tokens: cfg.Burst}
}

// RecordAttempt records the first attempt of a call, which adds Config.Ratio to the
// budget. It must not be called for retries.
func (b *Backoff) RecordAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.cfg.Burst, b.tokens+b.cfg.Ratio)
}

// Allow takes one retry from the budget. It returns false if the budget is used up.
func (b *Backoff) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Delay returns a random delay before retry n, where n is 0 for the first retry.
func (b *Backoff) Delay(n int) time.Duration {
	limit := b.cfg.Cap
	// The bound on n prevents an overflow of the shift.
	if n < 30 && b.cfg.Base<<n < limit {
		limit = b.cfg.Base << n
	}
	return time.Duration(rand.Int64N(int64(limit) + 1))
}

// Wait sleeps for the delay before retry n. It returns ctx's error if ctx ends first.
func (b *Backoff) Wait(ctx context.Context, n int) error {
	return Sleep(ctx, b.Delay(n))
}

// Sleep waits for d. It returns ctx's error if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// Every calls f repeatedly, with a pause after each call, until f fails or ctx ends. It
// returns f's error, or nil if ctx ended.
func Every(ctx context.Context, pause time.Duration, f func() error) error {
	for ctx.Err() == nil {
		if err := f(); err != nil {
			return err
		}
		_ = Sleep(ctx, pause)
	}
	return nil
}

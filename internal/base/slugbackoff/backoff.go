// Package slugbackoff spaces retries: capped exponential delays with full
// jitter, and a budget that bounds the share of retries among all calls.
//
// # Usage
//
//	b := slugbackoff.New(slugbackoff.Config{Base: 50 * time.Millisecond, Cap: 2 * time.Second, Ratio: 0.2})
//	for n := 0; ; n++ {
//		if err := call(); err == nil || !b.Allow() {
//			break
//		}
//		b.Wait(ctx, n)
//	}
package slugbackoff

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Config sets the delays and the budget.
type Config struct {
	// Base is the upper bound of the first delay.
	Base time.Duration
	// Cap is the upper bound of every delay.
	Cap time.Duration
	// Ratio is the number of retries that one first try earns.
	Ratio float64
	// Burst is the greatest number of retries saved up.
	Burst float64
}

// Backoff holds the retry budget of one kind of call.
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

// First records a first try, which earns part of a retry.
func (b *Backoff) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.cfg.Burst, b.tokens+b.cfg.Ratio)
}

// Allow takes one retry from the budget and reports whether there was one.
func (b *Backoff) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Delay returns a random delay before retry n, which counts from 0.
func (b *Backoff) Delay(n int) time.Duration {
	limit := b.cfg.Cap
	if n < 30 && b.cfg.Base<<n < limit {
		limit = b.cfg.Base << n
	}
	return time.Duration(rand.Int64N(int64(limit) + 1))
}

// Wait sleeps before retry n or until ctx ends, and returns ctx's error.
func (b *Backoff) Wait(ctx context.Context, n int) error {
	return Sleep(ctx, b.Delay(n))
}

// Sleep waits for d or until ctx ends, and returns ctx's error.
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

// Every calls f again and again, with a pause after each call, until ctx ends or f
// fails. It returns f's error.
func Every(ctx context.Context, pause time.Duration, f func() error) error {
	for ctx.Err() == nil {
		if err := f(); err != nil {
			return err
		}
		_ = Sleep(ctx, pause)
	}
	return nil
}

// Package slugcachefeed follows the cache events of engines: which prompt parts each
// engine has added to its KV cache or evicted from it.
//
// Each engine is read by long polling: a call returns as soon as there are events. Engines
// limit the number of such calls, so in a large system only a few hosts read each engine.
// Events arrive late and some are lost, so the resulting view of a cache is approximate.
//
// # Usage
//
//	f := slugcachefeed.New(slugcachefeed.Config{Read: read, Apply: apply})
//	f.Follow(ctx, engines)
package slugcachefeed

import (
	"context"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
)

// Change is a prompt part that was added to the cache of an engine, or evicted from it if
// Tokens is 0.
type Change struct {
	Part   slugplacement.PartID
	Tokens int
}

// Page is a batch of cache events of one engine.
type Page struct {
	// Epoch changes when the engine restarts with an empty cache.
	Epoch string
	// Next is the cursor for the next read.
	Next int64
	// Lost reports that events before Changes are missing.
	Lost    bool
	Changes []Change
	// Incarnation is the start that the engine stated, 0 if none.
	Incarnation int64
}

// Engine identifies an engine to follow.
type Engine struct {
	Name        slugname.Endpoint
	Incarnation int64
	Address     string
	Service     slugname.Service
}

// Config configures a Feed.
type Config struct {
	// Read waits up to wait for events of an engine after the cursor since.
	Read func(ctx context.Context, e Engine, since int64, wait time.Duration) (Page, error)
	// Apply is called with each page. If fresh is true, everything known about the cache
	// of the engine must be discarded first.
	Apply func(e Engine, p Page, fresh bool)
}

const (
	// readWait is how long an engine may hold a call open while it has no events.
	readWait = time.Second
	// readTimeout bounds one call.
	readTimeout = readWait + time.Second
	// retryDelay is the delay after a failed read.
	retryDelay = time.Second
	// batchDelay is the pause after a page with changes, so that the events of a busy
	// engine are read in batches rather than one by one.
	batchDelay = 150 * time.Millisecond
)

// Feed reads the cache events of a set of engines.
type Feed struct {
	cfg Config

	mu      sync.Mutex
	running map[Engine]context.CancelFunc
	wg      sync.WaitGroup
}

// New returns a Feed that follows no engines.
func New(cfg Config) *Feed { return &Feed{cfg: cfg, running: map[Engine]context.CancelFunc{}} }

// Follow replaces the set of followed engines. They are followed until ctx ends.
func (f *Feed) Follow(ctx context.Context, engines []Engine) {
	wanted := make(map[Engine]bool, len(engines))
	for _, e := range engines {
		wanted[e] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for e, cancel := range f.running {
		if !wanted[e] {
			cancel()
			delete(f.running, e)
		}
	}
	for e := range wanted {
		if f.running[e] != nil || ctx.Err() != nil {
			continue
		}
		engineCtx, cancel := context.WithCancel(ctx)
		f.running[e] = cancel
		f.wg.Go(func() { f.follow(engineCtx, e) })
	}
}

// Wait blocks until all reads have stopped. Cancel the context of Follow first, or call
// Follow without engines.
func (f *Feed) Wait() { f.wg.Wait() }

// follow reads the events of one engine until ctx ends.
func (f *Feed) follow(ctx context.Context, e Engine) {
	var since int64
	epoch := ""
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		page, err := f.cfg.Read(callCtx, e, since, readWait)
		cancel()
		if err != nil {
			// Failing engines are detected by the requests sent to them. A stale view of
			// the cache costs only time, so retrying is enough here.
			_ = slugbackoff.Sleep(ctx, retryDelay)
			continue
		}
		f.cfg.Apply(e, page, epoch != page.Epoch)
		epoch, since = page.Epoch, page.Next
		if len(page.Changes) > 0 {
			_ = slugbackoff.Sleep(ctx, batchDelay)
		}
	}
}

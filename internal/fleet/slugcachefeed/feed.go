// Package slugcachefeed follows what engines say of the prompt parts that they keep.
//
// Each engine is read by a waiting call that ends as soon as there is news. Engines
// bound the number of such calls, so that a large system reads each engine from a few
// hosts only. News comes late and some never comes: what it says is a belief.
//
// # Usage
//
//	f := slugcachefeed.New(slugcachefeed.Config{Read: read, Apply: apply, Log: log})
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

// Change is one part that an engine keeps now, with no tokens when it keeps it no
// longer.
type Change struct {
	Part   slugplacement.PartID
	Tokens int
}

// Page is an engine's news.
type Page struct {
	// Epoch changes when the engine starts again and keeps nothing.
	Epoch string
	// Next is where to go on.
	Next int64
	// Lost tells that news before these changes is missing.
	Lost    bool
	Changes []Change
}

// Engine is an engine to follow.
type Engine struct {
	Name    slugname.Endpoint
	Address string
	Service slugname.Service
}

// Config makes a Feed.
type Config struct {
	// Read waits for the news of an engine since a place.
	Read func(ctx context.Context, address string, since int64, wait time.Duration) (Page, error)
	// Apply takes news; fresh tells that what was known of the engine is void.
	Apply func(e Engine, p Page, fresh bool)
}

const (
	// readWait is how long one call waits for news.
	readWait = time.Second
	// readTimeout bounds one call.
	readTimeout = readWait + time.Second
	// retryPause is the time between tries to read an engine that does not answer.
	retryPause = time.Second
	// gather is the pause after news, so that a busy engine is not asked for each part.
	gather = 150 * time.Millisecond
)

// Feed follows engines.
type Feed struct {
	cfg Config

	mu      sync.Mutex
	running map[Engine]context.CancelFunc
	wg      sync.WaitGroup
}

// New returns a Feed that follows nothing.
func New(cfg Config) *Feed { return &Feed{cfg: cfg, running: map[Engine]context.CancelFunc{}} }

// Follow replaces the engines that are followed. They are followed until ctx ends.
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
		one, cancel := context.WithCancel(ctx)
		f.running[e] = cancel
		f.wg.Go(func() { f.follow(one, e) })
	}
}

// Wait waits until nothing is followed any more, after ctx has ended.
func (f *Feed) Wait() { f.wg.Wait() }

func (f *Feed) follow(ctx context.Context, e Engine) {
	var since int64
	epoch := ""
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		p, err := f.cfg.Read(callCtx, e.Address, since, readWait)
		cancel()
		if err != nil {
			// An engine that does not answer is noticed by the requests to it; what is
			// believed of its memory only costs time where it is wrong.
			_ = slugbackoff.Sleep(ctx, retryPause)
			continue
		}
		f.cfg.Apply(e, p, epoch != p.Epoch)
		epoch, since = p.Epoch, p.Next
		if len(p.Changes) > 0 {
			_ = slugbackoff.Sleep(ctx, gather)
		}
	}
}

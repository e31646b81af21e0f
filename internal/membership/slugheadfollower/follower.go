// Package slugheadfollower keeps the newest configuration in effect in a process, where the
// configuration is stored as a head and chunks. It watches the head in the platform's store,
// and takes reports of newer revisions from peers. The revision in effect never goes back.
// Package slugconfigfollower does the same for a configuration in a single object.
//
// # Usage
//
//	f := slugheadfollower.New(slugheadfollower.Config{Store: store, Log: log})
//	go f.Run(ctx)
//	snapshot := f.Snapshot()
package slugheadfollower

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugfreshness"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"github.com/sassafraslug/sassafraslug/internal/version/slughead"
)

// Bundle is a head with its chunks, as peers exchange it.
type Bundle struct {
	Head   slughead.Head
	Chunks map[slughead.Hash]json.RawMessage
}

// Config configures a Follower.
type Config struct {
	Store *slugstore.Store
	Log   *slugevent.Log
	// Wait returns how long one watch call may wait for a change.
	Wait func() time.Duration
	// FromPeer fetches the bundle of a revision, or of a later one, from a peer; nil means
	// that there are no peers.
	FromPeer func(ctx context.Context, r slugconfig.Revision) (Bundle, error)
	// InForce is called after each change of the revision in effect; it may be nil.
	InForce func(*slugconfig.Snapshot)
	// StoreAnswers is called when the store starts or stops answering; it may be nil.
	StoreAnswers func(bool)
}

// Follower keeps the newest configuration in effect. Its methods are safe for concurrent
// use.
type Follower struct {
	cfg      Config
	loader   *slughead.Loader
	snapshot atomic.Pointer[slugconfig.Snapshot]
	// pending are heads from the store that are still to be loaded.
	pending   chan slughead.Head
	freshness *slugfreshness.Tracker

	mu sync.Mutex
	// head is the head of the snapshot in effect.
	head slughead.Head
}

// retryDelay is the delay between attempts to load a head.
const retryDelay = 200 * time.Millisecond

// New returns a Follower with no configuration in effect.
func New(cfg Config) *Follower {
	return &Follower{cfg: cfg, loader: slughead.NewLoader(cfg.Store), pending: make(chan slughead.Head, 16), freshness: slugfreshness.New()}
}

// Snapshot returns the configuration in effect, or nil before the first one.
func (f *Follower) Snapshot() *slugconfig.Snapshot { return f.snapshot.Load() }

// Revision returns the revision in effect, or 0 before the first one.
func (f *Follower) Revision() slugconfig.Revision {
	if s := f.snapshot.Load(); s != nil {
		return s.Revision
	}
	return 0
}

// LastConfirmed returns when the revision in effect was last confirmed to be the newest, by
// the store or by a peer, and whether the store answers.
func (f *Follower) LastConfirmed() (slugclock.Instant, bool) {
	return f.freshness.LastConfirmed(), f.freshness.StoreAnswers()
}

// Bundle returns the head in effect with its chunks, for peers that fetch it.
func (f *Follower) Bundle() Bundle {
	f.mu.Lock()
	h := f.head
	f.mu.Unlock()
	b := Bundle{Head: h, Chunks: make(map[slughead.Hash]json.RawMessage, len(h.Chunks))}
	for _, c := range h.Chunks {
		if body, ok := f.loader.Chunk(c); ok {
			b.Chunks[c] = body
		}
	}
	return b
}

// ObservePeer takes a peer's report that r was the newest revision at an instant.
func (f *Follower) ObservePeer(r slugconfig.Revision, at slugclock.Instant) {
	f.freshness.ObservePeer(f.Revision(), r, at)
}

// setStoreAnswers records whether the store answers, and logs an event if that has
// changed.
func (f *Follower) setStoreAnswers(ok bool) {
	if !f.freshness.SetStoreAnswers(ok) {
		return
	}
	if f.cfg.StoreAnswers != nil {
		f.cfg.StoreAnswers(ok)
	}
	if ok {
		f.cfg.Log.Emit(slugevent.StoreAvailable, nil)
		return
	}
	f.cfg.Log.Emit(slugevent.StoreUnavailable, nil)
}

// Run follows the configuration until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.loadHeads(ctx)
	}()
	err := f.cfg.Store.Watch(ctx, slugstore.Watcher{
		Prefix:   slughead.HeadName,
		Wait:     f.cfg.Wait,
		OnChange: func(objects []slugstore.Object) { f.changed(ctx, objects) },
		OnError:  func(error) { f.setStoreAnswers(false) },
	})
	<-done
	return err
}

// changed queues the heads in a response of the store. A response without changes confirms
// the revision in effect.
func (f *Follower) changed(ctx context.Context, objects []slugstore.Object) {
	f.setStoreAnswers(true)
	for _, o := range objects {
		h, err := slughead.Decode(o)
		if err != nil {
			f.cfg.Log.Error(slugevent.ConfigurationUnreadable, err, nil)
			continue
		}
		select {
		case f.pending <- h:
		case <-ctx.Done():
		}
	}
	if len(objects) == 0 && f.Revision() >= f.freshness.NewestReported() {
		f.freshness.Confirm(slugclock.Now())
	}
}

// loadHeads puts heads into effect as they arrive from the store or are reported by peers,
// until ctx ends.
func (f *Follower) loadHeads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-f.pending:
			f.loadHead(ctx, h)
		case <-f.freshness.NewerReported():
			f.loadFromPeer(ctx)
		}
	}
}

// loadHead loads a head until it succeeds or a newer head is pending. After a failure it
// also tries the peers.
func (f *Follower) loadHead(ctx context.Context, h slughead.Head) {
	for h.Revision > f.Revision() {
		at := slugclock.Now()
		snapshot, err := f.loader.Load(ctx, h)
		if err == nil {
			f.activate(h, snapshot, at)
			return
		}
		if ctx.Err() != nil || f.newerPending() {
			return
		}
		f.cfg.Log.Error(slugevent.ConfigurationUnreadable, err, slugevent.Fields{"revision": h.Revision})
		f.loadFromPeer(ctx)
		_ = slugbackoff.Sleep(ctx, retryDelay)
	}
	if h.Revision == f.Revision() {
		f.freshness.Confirm(slugclock.Now())
	}
}

// newerPending reports whether another head is waiting to be loaded.
func (f *Follower) newerPending() bool { return len(f.pending) > 0 }

// loadFromPeer puts a newer revision that a peer has reported into effect. It checks each
// chunk against its hash in the head, and fetches chunks that are missing or wrong from
// the store.
func (f *Follower) loadFromPeer(ctx context.Context) {
	wanted := f.freshness.NewestReported()
	if f.cfg.FromPeer == nil || wanted <= f.Revision() {
		return
	}
	at := slugclock.Now()
	bundle, err := f.cfg.FromPeer(ctx, wanted)
	if err != nil || bundle.Head.Revision < wanted {
		return
	}
	peerLoader := slughead.NewLoader(f.cfg.Store)
	peerLoader.Fetch = func(ctx context.Context, h slughead.Hash) (json.RawMessage, error) {
		if body, ok := bundle.Chunks[h]; ok && slughead.HashOf(body) == h {
			return body, nil
		}
		return f.loader.Fetch(ctx, h)
	}
	snapshot, err := peerLoader.Load(ctx, bundle.Head)
	if err != nil {
		f.cfg.Log.Error(slugevent.ConfigurationUnreadable, err, slugevent.Fields{"revision": bundle.Head.Revision})
		return
	}
	f.loader.ReplaceCache(peerLoader)
	f.activate(bundle.Head, snapshot, at)
}

// activate puts a snapshot into effect unless its revision is already in effect or older,
// and confirms the revision as of at.
func (f *Follower) activate(h slughead.Head, loaded *slugconfig.Snapshot, at slugclock.Instant) {
	f.mu.Lock()
	if loaded.Revision <= f.Revision() {
		f.mu.Unlock()
		return
	}
	f.head = h
	f.snapshot.Store(loaded)
	f.mu.Unlock()
	f.freshness.Confirm(at)
	f.cfg.Log.Emit(slugevent.ConfigurationInForce, slugevent.Fields{"revision": loaded.Revision})
	if f.cfg.InForce != nil {
		f.cfg.InForce(loaded)
	}
}

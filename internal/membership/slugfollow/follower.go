// Package slugfollow keeps the configuration in force in a process. It follows
// the head in the platform's store, and takes word of newer revisions from
// peers. The revision in force never goes down.
//
// # Usage
//
//	f := slugfollow.New(slugfollow.Config{Store: store, Log: log})
//	go f.Run(ctx)
//	snapshot := f.Snapshot()
package slugfollow

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
	"github.com/sassafraslug/sassafraslug/internal/membership/slugword"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"github.com/sassafraslug/sassafraslug/internal/version/slughead"
)

// Bundle is a head with its chunks, as peers pass it on.
type Bundle struct {
	Head   slughead.Head
	Chunks map[slughead.Hash]json.RawMessage
}

// Config makes a Follower.
type Config struct {
	Store *slugstore.Store
	Log   *slugevent.Log
	// Wait returns how long one watch call may wait.
	Wait func() time.Duration
	// FromPeer returns the bundle of a revision or a later one from a peer; nil
	// means that there are no peers.
	FromPeer func(ctx context.Context, r slugconfig.Revision) (Bundle, error)
	// InForce is called after each change; it may be nil.
	InForce func(*slugconfig.Snapshot)
	// StoreAnswers is called when the store begins or ceases to answer; it may be
	// nil.
	StoreAnswers func(bool)
}

// Follower keeps the configuration in force.
type Follower struct {
	cfg      Config
	loader   *slughead.Loader
	snapshot atomic.Pointer[slugconfig.Snapshot]
	pending  chan slughead.Head
	word     *slugword.Tracker

	mu sync.Mutex
	// head is the head of the snapshot in force.
	head slughead.Head
}

// retryDelay is the time between tries to load a head.
const retryDelay = 200 * time.Millisecond

// New returns a Follower with nothing in force.
func New(cfg Config) *Follower {
	return &Follower{cfg: cfg, loader: slughead.NewLoader(cfg.Store), pending: make(chan slughead.Head, 16), word: slugword.New()}
}

// Snapshot returns what is in force, nil before the first configuration.
func (f *Follower) Snapshot() *slugconfig.Snapshot { return f.snapshot.Load() }

// Revision returns the revision in force, 0 before the first.
func (f *Follower) Revision() slugconfig.Revision {
	if s := f.snapshot.Load(); s != nil {
		return s.Revision
	}
	return 0
}

// Word returns the last time at which the revision in force was known to be the
// newest, directly or through a peer, and whether the store answers.
func (f *Follower) Word() (slugclock.Instant, bool) {
	return f.word.LastConfirmed(), f.word.StoreAnswers()
}

// Bundle returns what is in force for a peer.
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

// Heard takes a peer's word that r was the newest revision at a time.
func (f *Follower) Heard(r slugconfig.Revision, at slugclock.Instant) {
	f.word.ReportedByPeer(f.Revision(), r, at)
}

func (f *Follower) store(ok bool) {
	if !f.word.SetStoreAnswers(ok) {
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
		f.load(ctx)
	}()
	err := f.cfg.Store.Watch(ctx, slugstore.Watcher{
		Prefix:  slughead.Name,
		Wait:    f.cfg.Wait,
		Changed: func(objects []slugstore.Object) { f.changed(ctx, objects) },
		Lost:    func(error) { f.store(false) },
	})
	<-done
	return err
}

func (f *Follower) changed(ctx context.Context, objects []slugstore.Object) {
	f.store(true)
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
	if len(objects) == 0 && f.Revision() >= f.word.NewestReported() {
		f.word.Confirm(slugclock.Now())
	}
}

// load puts heads into force as they come.
func (f *Follower) load(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-f.pending:
			f.loadHead(ctx, h)
		case <-f.word.NewerReported():
			f.loadFromPeer(ctx)
		}
	}
}

func (f *Follower) loadHead(ctx context.Context, h slughead.Head) {
	for h.Revision > f.Revision() {
		at := slugclock.Now()
		s, err := f.loader.Load(ctx, h)
		if err == nil {
			f.force(h, s, at)
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
		f.word.Confirm(slugclock.Now())
	}
}

func (f *Follower) newerPending() bool { return len(f.pending) > 0 }

// loadFromPeer takes a revision that a peer told of from that peer. Its chunks
// are checked by the hashes in the head.
func (f *Follower) loadFromPeer(ctx context.Context) {
	want := f.word.NewestReported()
	if f.cfg.FromPeer == nil || want <= f.Revision() {
		return
	}
	at := slugclock.Now()
	b, err := f.cfg.FromPeer(ctx, want)
	if err != nil || b.Head.Revision < want {
		return
	}
	peer := slughead.NewLoader(f.cfg.Store)
	peer.Fetch = func(ctx context.Context, h slughead.Hash) (json.RawMessage, error) {
		if body, ok := b.Chunks[h]; ok && slughead.HashOf(body) == h {
			return body, nil
		}
		return f.loader.Fetch(ctx, h)
	}
	s, err := peer.Load(ctx, b.Head)
	if err != nil {
		f.cfg.Log.Error(slugevent.ConfigurationUnreadable, err, slugevent.Fields{"revision": b.Head.Revision})
		return
	}
	f.loader.Adopt(peer)
	f.force(b.Head, s, at)
}

// force puts a snapshot into force unless a newer one is.
func (f *Follower) force(h slughead.Head, s *slugconfig.Snapshot, at slugclock.Instant) {
	f.mu.Lock()
	if s.Revision <= f.Revision() {
		f.mu.Unlock()
		return
	}
	f.head = h
	f.snapshot.Store(s)
	f.mu.Unlock()
	f.word.Confirm(at)
	f.cfg.Log.Emit(slugevent.ConfigurationInForce, slugevent.Fields{"revision": s.Revision})
	if f.cfg.InForce != nil {
		f.cfg.InForce(s)
	}
}

// Package slugnewest keeps the newest configuration that operators wrote into the
// platform's store in force in this process.
//
// It follows the store, and takes both newer versions and word of their freshness
// from peers, so that a process that the store does not answer still learns of a
// withdrawn key. The version in force never goes down.
//
// # Usage
//
//	f := slugnewest.New(slugnewest.Config{Name: "config/main", Store: store, Decode: decode, Log: log})
//	go f.Run(ctx)
//	table := f.Table()
package slugnewest

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugword"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"github.com/sassafraslug/sassafraslug/internal/version/slugrouting"
)

// Config makes a Follower.
type Config struct {
	// Name is the object that holds the configuration.
	Name  string
	Store *slugstore.Store
	// Decode reads a configuration.
	Decode func([]byte) (*slugrouting.Table, error)
	// FromPeer returns the bytes of a version or a later one from a peer; nil means
	// that there are no peers.
	FromPeer func(context.Context, slugconfig.Revision) ([]byte, error)
	// InForce is called after each change; it may be nil.
	InForce func(*slugrouting.Table)
	// Wait is how long one watch of the store waits. Word of the configuration must be
	// much younger than the time in which a withdrawn key stops working. 0 means
	// DefaultWait.
	Wait time.Duration
	// Sharing lets processes share their watches.
	Sharing slugstore.Sharing
	Log     *slugevent.Log
}

const (
	// DefaultWait is how long one watch of the store waits. It bounds how long a
	// connection that went silent hides a change.
	DefaultWait = 1500 * time.Millisecond
	// fetchTimeout bounds the fetch of a version from a peer.
	fetchTimeout = time.Second
)

// Follower keeps the newest configuration.
type Follower struct {
	cfg   Config
	word  *slugword.Tracker
	table atomic.Pointer[slugrouting.Table]

	mu  sync.Mutex
	raw []byte
	// at is the instant of the answer that is being taken.
	at slugclock.Instant
}

// New returns a Follower with nothing in force.
func New(cfg Config) *Follower {
	if cfg.InForce == nil {
		cfg.InForce = func(*slugrouting.Table) {}
	}
	if cfg.Wait == 0 {
		cfg.Wait = DefaultWait
	}
	return &Follower{cfg: cfg, word: slugword.New()}
}

// Table returns what is in force, nil before the first configuration.
func (f *Follower) Table() *slugrouting.Table { return f.table.Load() }

// Version returns the version in force, 0 before the first.
func (f *Follower) Version() slugconfig.Revision {
	if t := f.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Word returns when the version in force was last known to be the newest.
func (f *Follower) Word() slugclock.Instant { return f.word.LastConfirmed() }

// Raw returns the bytes of the version in force, for peers.
func (f *Follower) Raw() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.raw
}

// Heard takes a peer's word that r was the newest version at an instant.
func (f *Follower) Heard(r slugconfig.Revision, at slugclock.Instant) {
	f.word.ReportedByPeer(f.Version(), r, at)
}

// Run follows the configuration until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.takeFromPeers(ctx)
	}()
	err := f.cfg.Store.Watch(ctx, slugstore.Watcher{
		Prefix: f.cfg.Name, Foreign: true, Wait: func() time.Duration { return f.cfg.Wait },
		Sharing: f.cfg.Sharing,
		Current: func(at slugclock.Instant) { f.at = at },
		Changed: f.changed,
		Lost:    f.lost,
	})
	<-done
	return err
}

// lost notes a watch that failed. A peer that does not answer says nothing of the
// store.
func (f *Follower) lost(err error) {
	if !errors.Is(err, slugstore.ErrSource) {
		f.store(false, err)
	}
}

// store notes whether the store answers.
func (f *Follower) store(answers bool, err error) {
	switch {
	case !f.word.SetStoreAnswers(answers):
	case answers:
		f.cfg.Log.Emit(slugevent.StoreAvailable, nil)
	default:
		f.cfg.Log.Error(slugevent.StoreUnavailable, err, nil)
	}
}

// changed takes an answer of the store. Word of a version that cannot be read is not
// taken: it may have withdrawn keys.
func (f *Follower) changed(objects []slugstore.Object) {
	f.store(true, nil)
	for _, o := range objects {
		if o.Name != f.cfg.Name || o.Body == nil {
			continue
		}
		if !f.take(o.Body) {
			return
		}
	}
	if f.Version() > 0 && f.word.NewestReported() <= f.Version() {
		f.word.Confirm(f.at)
	}
}

// take puts a configuration into force unless a newer one is, and reports whether it
// could be read.
func (f *Follower) take(raw []byte) bool {
	t, err := f.cfg.Decode(raw)
	if err != nil {
		f.cfg.Log.Error(slugevent.ConfigurationUnreadable, err, slugevent.Fields{"inForce": f.Version()})
		return false
	}
	f.mu.Lock()
	if t.Version <= f.Version() {
		f.mu.Unlock()
		return true
	}
	f.table.Store(t)
	f.raw = raw
	f.mu.Unlock()
	f.cfg.Log.Emit(slugevent.ConfigurationInForce, slugevent.Fields{"version": t.Version, "routes": len(t.Routes), "workspaces": len(t.Workspaces)})
	f.cfg.InForce(t)
	return true
}

// takeFromPeers fetches versions that peers told of.
func (f *Follower) takeFromPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.word.NewerReported():
		}
		wanted := f.word.NewestReported()
		if f.cfg.FromPeer == nil || wanted <= f.Version() {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		raw, err := f.cfg.FromPeer(callCtx, wanted)
		cancel()
		if err != nil {
			f.cfg.Log.Error(slugevent.ConfigurationUnreadable, err, slugevent.Fields{"inForce": f.Version(), "wanted": wanted})
			continue
		}
		f.take(raw)
	}
}

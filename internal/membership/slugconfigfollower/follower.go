// Package slugconfigfollower keeps the newest configuration in effect in a process, where the
// configuration is a single object that operators write to the platform's store. Package
// slugheadfollower does the same for a configuration that is stored as a head and chunks.
//
// A Follower watches the store. It also takes newer versions, and reports of which version
// is the newest, from peers, so that a process that gets no response from the store still
// learns of a revoked key. The version in effect never goes back.
//
// # Usage
//
//	f := slugconfigfollower.New(slugconfigfollower.Config{Name: "config/main", Store: store, Decode: decode, Log: log})
//	go f.Run(ctx)
//	table := f.Table()
package slugconfigfollower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugfreshness"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"github.com/sassafraslug/sassafraslug/internal/version/slugrouting"
)

// Config configures a Follower.
type Config struct {
	// Name is the name of the object in the store that holds the configuration.
	Name  string
	Store *slugstore.Store
	// Decode parses a configuration.
	Decode func([]byte) (*slugrouting.Table, error)
	// FromPeer fetches the encoded configuration of a version, or of a later one, from a
	// peer, and names that; nil means that there are no peers.
	FromPeer func(context.Context, slugconfig.Revision) (encoded []byte, from slugname.Process, err error)
	// AskPeers returns the encoded configurations of peers that may have a newer one than the
	// store. It is called before the first one of the store takes effect, because the store
	// may have been restored from a copy; nil means that there are no such peers.
	AskPeers func(context.Context) [][]byte
	// InForce is called after each change of the version in effect, in the order of the
	// versions; it may be nil.
	InForce func(*slugrouting.Table)
	// Wait is how long one watch call waits for a change. It bounds the age of the last
	// confirmation, so it must be much shorter than the time within which a revoked key
	// stops working. It may change between calls. nil and 0 mean DefaultWait.
	Wait func() time.Duration
	// SharedWatch lets a few processes watch the store for the others.
	SharedWatch slugstore.SharedWatch
	Log         *slugevent.Log
}

const (
	// DefaultWait is the default of Config.Wait. It bounds how long a connection that was
	// silently lost can hide a change.
	DefaultWait = 1500 * time.Millisecond
	// fetchTimeout bounds the fetch of a version from peers.
	fetchTimeout = time.Second
	// fetchRetryInterval is the time between a failed fetch and the next one.
	fetchRetryInterval = 200 * time.Millisecond
)

// Follower keeps the newest configuration in effect.
type Follower struct {
	cfg       Config
	freshness *slugfreshness.Tracker
	table     atomic.Pointer[slugrouting.Table]

	// applying is held while a version takes effect, so that InForce is called for one version
	// after the other.
	applying sync.Mutex

	mu sync.Mutex
	// encoded is the encoded configuration in effect.
	encoded []byte
	// askPeers returns the configurations of peers; it is nil after its call. Only the watch
	// uses it and response.
	askPeers func() [][]byte
	// response describes the response being processed.
	response slugstore.Response
}

// via is the way on which a configuration has arrived, as logged.
type via string

const (
	viaWatch  via = "watch"
	viaReport via = "report"
	viaStart  via = "start"
)

// arrival says where a configuration comes from, and what delayed it.
type arrival struct {
	via via
	// source is the process that sent it, or empty for the store.
	source string
	// failures is the number of calls that failed before, and failingFor the time that they took.
	failures   int
	failingFor time.Duration
}

// New returns a Follower with no configuration in effect.
func New(cfg Config) *Follower {
	if cfg.InForce == nil {
		cfg.InForce = func(*slugrouting.Table) {}
	}
	return &Follower{cfg: cfg, freshness: slugfreshness.New()}
}

// Table returns the configuration in effect, or nil before the first one.
func (f *Follower) Table() *slugrouting.Table { return f.table.Load() }

// Version returns the version in effect, or 0 before the first one.
func (f *Follower) Version() slugconfig.Revision {
	if t := f.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// LastConfirmed returns when the version in effect was last confirmed to be the newest.
func (f *Follower) LastConfirmed() slugclock.Instant { return f.freshness.LastConfirmed() }

// Encoded returns the encoded configuration in effect, for peers that fetch it.
func (f *Follower) Encoded() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.encoded
}

// ObservePeer takes a peer's report that r was the newest version at an instant.
func (f *Follower) ObservePeer(r slugconfig.Revision, at slugclock.Instant) {
	f.freshness.ObservePeer(f.Version(), r, at)
}

// watchWait returns how long the next watch call waits for a change.
func (f *Follower) watchWait() time.Duration {
	if f.cfg.Wait != nil {
		if wait := f.cfg.Wait(); wait > 0 {
			return wait
		}
	}
	return DefaultWait
}

// Run follows the configuration until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	if f.cfg.AskPeers != nil {
		f.askPeers = func() [][]byte { return f.cfg.AskPeers(ctx) }
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.fetchFromPeers(ctx)
	}()
	err := f.cfg.Store.Watch(ctx, slugstore.Watcher{
		Prefix: f.cfg.Name, NoEnvelope: true, Wait: f.watchWait,
		SharedWatch: f.cfg.SharedWatch,
		OnResponse:  func(r slugstore.Response) { f.response = r },
		OnChange:    f.changed,
		OnError:     f.watchFailed,
	})
	<-done
	return err
}

// watchFailed handles a failed watch call. Failures of a peer that shares its watch say
// nothing about the store.
func (f *Follower) watchFailed(err error) {
	if errors.Is(err, slugstore.ErrStale) {
		f.cfg.Log.Error(slugevent.StaleReadIgnored, err, slugevent.Fields{"inForce": f.Version(), "era": f.cfg.Store.Era()})
	}
	if !errors.Is(err, slugstore.ErrSourceUnavailable) {
		f.setStoreAnswers(false, err)
	}
}

// setStoreAnswers records whether the store answers, and logs an event if that has
// changed.
func (f *Follower) setStoreAnswers(answers bool, err error) {
	switch {
	case !f.freshness.SetStoreAnswers(answers):
	case answers:
		f.cfg.Log.Emit(slugevent.StoreAvailable, nil)
	default:
		f.cfg.Log.Error(slugevent.StoreUnavailable, err, nil)
	}
}

// changed applies a response of the store. If the configuration cannot be read, the version
// in effect is not confirmed: the unreadable one may have revoked keys.
func (f *Follower) changed(objects []slugstore.Object) {
	f.setStoreAnswers(true, nil)
	for _, o := range objects {
		if o.Name != f.cfg.Name || o.Body == nil {
			continue
		}
		f.applyFromPeers()
		if !f.apply(o.Body, arrival{viaWatch, f.response.Source, f.response.Failures, f.response.FailingFor}) {
			return
		}
	}
	if f.Version() > 0 && f.freshness.NewestReported() <= f.Version() {
		f.freshness.Confirm(f.response.CurrentAt)
	}
}

// applyFromPeers puts the newest configuration of the peers into effect, the first time that it
// is called.
func (f *Follower) applyFromPeers() {
	if f.askPeers == nil {
		return
	}
	var newest []byte
	var version slugconfig.Revision
	for _, encoded := range f.askPeers() {
		if t, err := f.cfg.Decode(encoded); err == nil && t.Version > version {
			newest, version = encoded, t.Version
		}
	}
	f.askPeers = nil
	if newest != nil {
		f.apply(newest, arrival{via: viaStart})
	}
}

// apply puts a configuration into effect unless its version is already in effect or older,
// and reports whether it could be read.
func (f *Follower) apply(encoded []byte, from arrival) bool {
	t, err := f.cfg.Decode(encoded)
	if err != nil {
		f.cfg.Log.Error(slugevent.ConfigurationUnreadable, err, slugevent.Fields{"inForce": f.Version()})
		return false
	}
	f.applying.Lock()
	defer f.applying.Unlock()
	previous := f.Version()
	if t.Version <= previous {
		return true
	}
	f.mu.Lock()
	f.table.Store(t)
	f.encoded = encoded
	f.mu.Unlock()
	f.logInForce(previous, t, from)
	f.cfg.InForce(t)
	return true
}

// logInForce logs that a configuration is in effect, with what shows how late it is: the time
// since the version before was last known to be the newest, and since a peer first reported a
// newer one. Both are 0 if there was no such time.
func (f *Follower) logInForce(previous slugconfig.Revision, t *slugrouting.Table, from arrival) {
	f.cfg.Log.Emit(slugevent.ConfigurationInForce, slugevent.Fields{
		"version": t.Version, "routes": len(t.Routes), "workspaces": len(t.Workspaces),
		"via": from.via, "source": from.source, "failures": from.failures, "failingMs": from.failingFor.Milliseconds(),
		"unconfirmedMs": millisecondsSince(f.freshness.LastConfirmed()), "reportedMs": millisecondsSince(f.freshness.NewerReportedAt(previous)),
	})
}

// millisecondsSince returns the time since an instant in milliseconds, or 0 for the zero Instant.
func millisecondsSince(at slugclock.Instant) int64 {
	if at.IsZero() {
		return 0
	}
	return slugclock.Since(at).Milliseconds()
}

// fetchFromPeers fetches newer versions that peers have reported, until ctx ends.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.freshness.NewerReported():
		}
		if f.cfg.FromPeer != nil {
			f.fetchNewest(ctx)
		}
	}
}

// fetchNewest fetches the newest version that peers have reported until it is in effect, ctx ends
// or what they send cannot be read. Peers report a version rarely, so it tries again by itself.
func (f *Follower) fetchNewest(ctx context.Context) {
	began, failures := slugclock.Now(), 0
	for ctx.Err() == nil {
		wanted := f.freshness.NewestReported()
		if wanted <= f.Version() {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		encoded, peer, err := f.cfg.FromPeer(callCtx, wanted)
		cancel()
		if err != nil {
			if failures++; failures == 1 {
				f.cfg.Log.Error(slugevent.ConfigurationNotFetched, err, slugevent.Fields{"inForce": f.Version(), "wanted": wanted, "tookMs": millisecondsSince(began)})
			}
			_ = slugbackoff.Sleep(ctx, fetchRetryInterval)
			continue
		}
		from := arrival{via: viaReport, source: string(peer), failures: failures}
		if failures > 0 {
			from.failingFor = slugclock.Since(began)
		}
		if !f.apply(encoded, from) || f.Version() < wanted {
			return
		}
	}
}

package slugconfigfollower

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"github.com/sassafraslug/sassafraslug/internal/version/slugrouting"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// runFollower runs a follower whose store holds version 7 and has no changes. A configuration is
// encoded as its version.
func runFollower(t *testing.T, cfg Config) *Follower {
	t.Helper()
	cfg.Name, cfg.Log = "config", slugevent.Discard()
	cfg.Store = slugstore.New(slugstore.Config{Backend: &slugstore.Backend{
		List: func(context.Context, string) (slugstore.Listing, error) {
			return slugstore.Listing{Values: []slugstore.Value{{Name: "config", Version: 1, Bytes: []byte("7")}}, Revision: 1}, nil
		},
		Watch: func(ctx context.Context, _ string, _ slugstore.Version, _ time.Duration) (slugstore.Listing, error) {
			<-ctx.Done()
			return slugstore.Listing{}, ctx.Err()
		},
	}})
	cfg.Decode = func(b []byte) (*slugrouting.Table, error) {
		version, err := strconv.Atoi(string(b))
		return slugrouting.New(slugrouting.Source{Version: slugconfig.Revision(version)}), err
	}
	f := New(cfg)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return f
}

// awaitVersion waits until a version is in effect.
func awaitVersion(t *testing.T, f *Follower, v slugconfig.Revision) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.Version() == v {
			return poll.Success()
		}
		return poll.Continue("version %d is in effect", f.Version())
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

// TestOlderVersionTakesEffectLast guards against an older version that is applied after a newer one,
// because one comes from the store and the other from a peer.
func TestOlderVersionTakesEffectLast(t *testing.T) {
	var mu sync.Mutex
	var applied []slugconfig.Revision
	var f *Follower
	started := make(chan struct{})
	f = runFollower(t, Config{
		FromPeer: func(context.Context, slugconfig.Revision) ([]byte, slugname.Process, error) {
			return []byte("8"), "peer", nil
		},
		InForce: func(table *slugrouting.Table) {
			<-started
			if table.Version == 7 {
				f.ObservePeer(8, slugclock.Now())
				time.Sleep(50 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			applied = append(applied, table.Version)
		},
	})
	close(started)
	awaitVersion(t, f, 8)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		mu.Lock()
		defer mu.Unlock()
		if len(applied) == 2 {
			return poll.Success()
		}
		return poll.Continue("%d versions were applied", len(applied))
	}, poll.WithTimeout(5*time.Second))
	assert.DeepEqual(t, applied, []slugconfig.Revision{7, 8})
}

// TestFailedFetchIsNotRepeated guards against a version that is not fetched again after a failure,
// until a peer reports it once more.
func TestFailedFetchIsNotRepeated(t *testing.T) {
	calls := 0
	f := runFollower(t, Config{FromPeer: func(context.Context, slugconfig.Revision) ([]byte, slugname.Process, error) {
		if calls++; calls == 1 {
			return nil, "", errors.New("silent")
		}
		return []byte("8"), "peer", nil
	}})
	awaitVersion(t, f, 7)
	f.ObservePeer(8, slugclock.Now())
	awaitVersion(t, f, 8)
}

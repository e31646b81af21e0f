package sluglease

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugplatform"
	"gotest.tools/v3/assert"
)

// runAsHolder runs f as the work of a holder whose clock the test can advance. The lease
// is not renewed meanwhile, as in a suspended process.
func runAsHolder(t *testing.T, f func(t *testing.T, g *Grant, suspend func(time.Duration))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := slugplatform.New(slugplatform.Config{})
		var clockOffset atomic.Int64
		l := New(Config{
			Duty: "test", Self: "a-1", Host: "a", TTL: 9 * time.Second, Log: slugevent.Discard(),
			Store: slugstore.New(slugstore.Config{BaseURL: "http://platform", Do: p.Link("a").Do}),
			Rank:  func() int { return 0 },
			Now:   func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = l.Run(ctx, func(_ context.Context, g *Grant) error {
				// Ends Run also when an assertion in f fails and ends this goroutine.
				defer cancel()
				f(t, g, func(d time.Duration) { clockOffset.Add(int64(d)) })
				return nil
			})
		}()
		<-done
	})
}

// TestSuspendedHolderDoesNotAct guards against a process that is suspended past the
// expiry of its lease and acts when it resumes.
func TestSuspendedHolderDoesNotAct(t *testing.T) {
	runAsHolder(t, func(t *testing.T, g *Grant, suspend func(time.Duration)) {
		actions := 0
		act := func(context.Context) error {
			actions++
			return nil
		}
		assert.NilError(t, g.Do(t.Context(), time.Second, act))
		suspend(20 * time.Second)
		err := g.Do(t.Context(), time.Second, act)
		assert.Assert(t, errors.Is(err, ErrExpired), "%v", err)
		assert.Assert(t, errors.Is(g.Check(), ErrExpired))
		assert.Equal(t, actions, 1)
	})
}

// TestActionMustFitRemainingLease guards against an action that may outlast the lease,
// which happens when a process resumes shortly before the expiry.
func TestActionMustFitRemainingLease(t *testing.T) {
	runAsHolder(t, func(t *testing.T, g *Grant, suspend func(time.Duration)) {
		suspend(g.Remaining() - 500*time.Millisecond)
		err := g.Do(t.Context(), time.Second, func(context.Context) error { return nil })
		assert.Assert(t, errors.Is(err, ErrExpired), "%v", err)
		assert.NilError(t, g.Check())
	})
}

// TestReturningHostWaits guards against a host that claims a duty right after it held it
// before another host.
func TestReturningHostWaits(t *testing.T) {
	var r Record
	for i, host := range []slugname.Host{"a", "b"} {
		r = r.nextClaim("test", slugname.Process(host)+"-1", host, time.Second)
		assert.Equal(t, r.Fence, Fence(i+1))
		r.Released = true
	}
	for host, want := range map[slugname.Host]bool{"a": true, "b": false, "c": false} {
		assert.Equal(t, r.heldBefore(host), want, "%s", host)
	}
	r = r.nextClaim("test", "b-2", "b", time.Second)
	assert.Assert(t, r.heldBefore("a"), "a new process on the same host keeps the previous hosts")
}

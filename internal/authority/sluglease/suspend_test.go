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

// holdWithClock runs f under a right whose clock the test moves on. Nothing of the
// lease runs meanwhile, as in a process that is suspended.
func holdWithClock(t *testing.T, f func(t *testing.T, r *Right, suspend func(time.Duration))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := slugplatform.New(slugplatform.Config{})
		var ahead atomic.Int64
		l := New(Config{
			Duty: "test", Self: "a-1", Host: "a", TTL: 9 * time.Second, Log: slugevent.Discard(),
			Store: slugstore.New(slugstore.Config{BaseURL: "http://platform", Do: p.Link("a").Do}),
			Rank:  func() int { return 0 },
			Now:   func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = l.Run(ctx, func(_ context.Context, r *Right) error {
				// A failed assertion ends this goroutine.
				defer cancel()
				f(t, r, func(d time.Duration) { ahead.Add(int64(d)) })
				return nil
			})
		}()
		<-done
	})
}

// TestSuspendedHolderDoesNotAct wakes a holder after its lease with an action ready.
func TestSuspendedHolderDoesNotAct(t *testing.T) {
	holdWithClock(t, func(t *testing.T, r *Right, suspend func(time.Duration)) {
		acted := 0
		act := func(context.Context) error {
			acted++
			return nil
		}
		assert.NilError(t, r.Do(t.Context(), time.Second, act))
		suspend(20 * time.Second)
		err := r.Do(t.Context(), time.Second, act)
		assert.Assert(t, errors.Is(err, ErrNoRight), "%v", err)
		assert.Assert(t, errors.Is(r.Check(), ErrNoRight))
		assert.Equal(t, acted, 1)
	})
}

// TestActionMustFitIntoTheRight wakes a holder when less of its lease is left than the
// action may take.
func TestActionMustFitIntoTheRight(t *testing.T) {
	holdWithClock(t, func(t *testing.T, r *Right, suspend func(time.Duration)) {
		suspend(r.Remaining() - 500*time.Millisecond)
		err := r.Do(t.Context(), time.Second, func(context.Context) error { return nil })
		assert.Assert(t, errors.Is(err, ErrNoRight), "%v", err)
		assert.NilError(t, r.Check())
	})
}

func TestReturningHostWaits(t *testing.T) {
	var r Record
	for i, host := range []slugname.Host{"a", "b"} {
		r = r.claimed("test", slugname.Process(host)+"-1", host, time.Second)
		assert.Equal(t, r.Fence, Fence(i+1))
		r.Released = true
	}
	for host, want := range map[slugname.Host]bool{"a": true, "b": false, "c": false} {
		assert.Equal(t, r.returning(host), want, "%s", host)
	}
	r = r.claimed("test", "b-2", "b", time.Second)
	assert.Assert(t, r.returning("a"), "a new process of the same host changes nothing")
}

package slugstore_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"gotest.tools/v3/assert"
)

// Guards against objects that disappear because a source lags behind: its list is older
// than what the watcher has seen, and must be rejected with ErrStale.
func TestWatchRejectsOlderListFromSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		value := slugstore.Value{Name: "p/a", Version: 9, Bytes: []byte("1")}
		store := slugstore.New(slugstore.Config{Backend: &slugstore.Backend{
			List: func(context.Context, string) (slugstore.Listing, error) {
				return slugstore.Listing{Values: []slugstore.Value{value}, Revision: 9}, nil
			},
		}})
		old := &slugstore.Source{Follow: func(context.Context, string, slugstore.Version, time.Duration) (slugstore.Changes, error) {
			time.Sleep(100 * time.Millisecond)
			return slugstore.Changes{Listing: slugstore.Listing{Revision: 7}, Complete: true, CurrentAt: slugclock.Now()}, nil
		}}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		known, stale := map[string]bool{}, 0
		_ = store.Watch(ctx, slugstore.Watcher{
			Prefix: "p/", NoEnvelope: true, SharedWatch: slugstore.SharedWatch{NextSource: func(int, time.Duration) *slugstore.Source { return old }},
			OnChange: func(objects []slugstore.Object) {
				for _, o := range objects {
					known[o.Name] = o.Body != nil
				}
			},
			OnError: func(err error) {
				assert.Assert(t, errors.Is(err, slugstore.ErrStale), "%v", err)
				stale++
			},
		})
		assert.Assert(t, known["p/a"], "an outdated list made the object disappear")
		assert.Assert(t, stale > 0)
	})
}

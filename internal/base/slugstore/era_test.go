package slugstore_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"gotest.tools/v3/assert"
)

// TestVersionsOrderByEra guards against a revision that was given out again counting as older
// than the one of the era before.
func TestVersionsOrderByEra(t *testing.T) {
	old, restored := slugstore.NewVersion(1, 900), slugstore.NewVersion(2, 7)
	assert.Assert(t, old < restored)
	assert.Equal(t, restored.Era(), slugstore.Era(2))
	assert.Equal(t, restored.Revision(), uint64(7))
	assert.Equal(t, slugstore.NewVersion(0, 7), slugstore.Version(7))
	highest := slugstore.NewVersion(slugstore.MaxEra, slugstore.MaxRevision)
	assert.Equal(t, highest.Era(), slugstore.MaxEra)
	assert.Equal(t, highest.Revision(), slugstore.MaxRevision)
}

// TestReadsAcrossRestores guards against responses of a restored store that are rejected as
// late answers, and against late answers of an older era that are accepted.
func TestReadsAcrossRestores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var value slugstore.Value
		var changes [][2]slugstore.Era
		s := slugstore.New(slugstore.Config{
			Backend:    &slugstore.Backend{Get: func(context.Context, string) (slugstore.Value, error) { return value, nil }},
			EraChanged: func(previous, current slugstore.Era) { changes = append(changes, [2]slugstore.Era{previous, current}) },
		})
		get := func(e slugstore.Era, revision uint64, body string) (slugstore.Object, error) {
			value = slugstore.Value{Name: "a", Version: slugstore.NewVersion(e, revision)}
			if body != "" {
				value.Bytes = []byte(`{"body":` + body + `}`)
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			return s.Get(ctx, "a")
		}
		_, err := get(3, 90, "1")
		assert.NilError(t, err)
		assert.Equal(t, s.Era(), slugstore.Era(3))
		seenAt := s.EraSeenAt()
		time.Sleep(time.Second)
		o, err := get(4, 0, "")
		assert.NilError(t, err, "the copy lacks the object")
		assert.Equal(t, o.Version, slugstore.Version(0))
		assert.Assert(t, s.EraSeenAt().After(seenAt))
		_, err = get(4, 12, "2")
		assert.NilError(t, err)
		_, err = get(3, 91, "1")
		assert.Assert(t, errors.Is(err, slugstore.ErrStale), "%v", err)
		assert.Equal(t, s.Era(), slugstore.Era(4))
		assert.DeepEqual(t, changes, [][2]slugstore.Era{{3, 4}})
	})
}

// TestWriteExpectsVersionOfOlderEra guards against a write that replaces another value
// because the store has given its expected revision out again.
func TestWriteExpectsVersionOfOlderEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writes := 0
		s := slugstore.New(slugstore.Config{Backend: &slugstore.Backend{
			Get: func(context.Context, string) (slugstore.Value, error) {
				return slugstore.Value{Name: "a", Version: slugstore.NewVersion(2, 5), Bytes: []byte(`{"change":"other","body":1}`)}, nil
			},
			Write: func(context.Context, string, slugstore.Version, []byte) (slugstore.Version, error) {
				writes++
				if writes == 1 {
					return 0, slugstore.ErrUnavailable
				}
				return slugstore.NewVersion(2, 6), nil
			},
		}})
		_, err := s.Put(t.Context(), "a", slugstore.NewVersion(1, 5), 7)
		assert.Assert(t, errors.Is(err, slugstore.ErrConflict), "the store was restored during the call: %v", err)
		assert.Equal(t, writes, 1)
		_, err = s.Put(t.Context(), "a", slugstore.NewVersion(1, 5), 7)
		assert.Assert(t, errors.Is(err, slugstore.ErrConflict), "%v", err)
		assert.Assert(t, errors.Is(s.Delete(t.Context(), "a", slugstore.NewVersion(1, 5)), slugstore.ErrConflict))
		assert.Equal(t, writes, 1, "a call was made")
		_, err = s.Put(t.Context(), "a", slugstore.NewVersion(2, 5), 7)
		assert.NilError(t, err)
	})
}

// TestWatchStartsOverInNewEra guards against changes that are missed because the store has
// given out the revision again from which the watch continues.
func TestWatchStartsOverInNewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var era atomic.Uint64
		era.Store(1)
		version := func() slugstore.Version { return slugstore.NewVersion(slugstore.Era(era.Load()), 9) }
		lists := 0
		s := slugstore.New(slugstore.Config{Backend: &slugstore.Backend{
			List: func(context.Context, string) (slugstore.Listing, error) {
				lists++
				l := slugstore.Listing{Revision: version()}
				if era.Load() == 1 {
					l.Values = append(l.Values, slugstore.Value{Name: "p/lost", Version: slugstore.NewVersion(1, 9), Bytes: []byte("1")})
				}
				return l, nil
			},
			Watch: func(_ context.Context, _ string, _ slugstore.Version, wait time.Duration) (slugstore.Listing, error) {
				time.Sleep(wait)
				return slugstore.Listing{Revision: version()}, nil
			},
		}})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		exists := map[string]bool{}
		go func() {
			time.Sleep(3 * time.Second)
			era.Store(2)
		}()
		_ = s.Watch(ctx, slugstore.Watcher{
			Prefix: "p/", NoEnvelope: true, Wait: func() time.Duration { return time.Second },
			OnChange: func(objects []slugstore.Object) {
				for _, o := range objects {
					exists[o.Name] = o.Body != nil
				}
			},
		})
		assert.Equal(t, lists, 2)
		assert.Assert(t, !exists["p/lost"], "an object that the copy lacks was kept")
	})
}

// TestStuckWatchIsFailing guards against a process that is asked to watch the store for
// others although it rejects all that the store answers.
func TestStuckWatchIsFailing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var revision atomic.Uint64
		revision.Store(90)
		s := slugstore.New(slugstore.Config{Backend: &slugstore.Backend{
			List: func(context.Context, string) (slugstore.Listing, error) {
				return slugstore.Listing{Revision: slugstore.NewVersion(1, revision.Load())}, nil
			},
			Watch: func(_ context.Context, _ string, _ slugstore.Version, wait time.Duration) (slugstore.Listing, error) {
				time.Sleep(wait)
				return slugstore.Listing{Revision: slugstore.NewVersion(1, revision.Load())}, nil
			},
		}})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		go func() {
			_ = s.Watch(ctx, slugstore.Watcher{Prefix: "p/", Wait: func() time.Duration { return time.Second }, OnChange: func([]slugstore.Object) {}})
		}()
		time.Sleep(1500 * time.Millisecond)
		assert.Assert(t, !s.Failing(time.Second))
		revision.Store(40)
		time.Sleep(2 * time.Second)
		assert.Assert(t, s.Failing(time.Second))
		cancel()
		synctest.Wait()
	})
}

// TestLaggingSourceIsNoOutage guards against a process that takes the store for unavailable
// because a peer does not know of its restore yet.
func TestLaggingSourceIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := slugstore.New(slugstore.Config{Backend: &slugstore.Backend{
			List: func(context.Context, string) (slugstore.Listing, error) {
				return slugstore.Listing{Revision: slugstore.NewVersion(2, 40)}, nil
			},
		}})
		lagging := &slugstore.Source{Follow: func(context.Context, string, slugstore.Version, time.Duration) (slugstore.Changes, error) {
			time.Sleep(100 * time.Millisecond)
			return slugstore.Changes{Listing: slugstore.Listing{Revision: slugstore.NewVersion(1, 90)}, Complete: true}, nil
		}}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		failures := 0
		_ = s.Watch(ctx, slugstore.Watcher{
			Prefix: "p/", OnChange: func([]slugstore.Object) {}, SharedWatch: slugstore.SharedWatch{NextSource: func(int, time.Duration) *slugstore.Source { return lagging }},
			OnError: func(err error) {
				failures++
				assert.Assert(t, errors.Is(err, slugstore.ErrSourceUnavailable), "%v", err)
				assert.Assert(t, errors.Is(err, slugstore.ErrStale), "%v", err)
			},
		})
		assert.Assert(t, failures > 0)
		assert.Assert(t, !s.Failing(time.Minute))
	})
}

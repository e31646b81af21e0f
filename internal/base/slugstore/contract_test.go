package slugstore_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugplatform"
	"gotest.tools/v3/assert"
)

// testStore is a store implementation under test.
type testStore struct {
	do func(*http.Request) (*http.Response, error)
	// loseResponses drops the responses to the next n writes after they have taken effect.
	loseResponses func(n int)
	// disconnect makes all calls fail while it is set.
	disconnect func(bool)
}

func standin() testStore {
	l := slugplatform.New(slugplatform.Config{}).Link("test")
	return testStore{l.Do, l.LoseResponses, l.Cut}
}

// Guards against a store, or a client of it, that breaks a guarantee which the system
// relies on: conditional writes, lost responses resolved by reading back, and watches
// without missed changes. Other implementations of the store can be added to the list.
func TestContract(t *testing.T) {
	for name, implementation := range map[string]func() testStore{"stand-in": standin} {
		t.Run(name, func(t *testing.T) {
			for _, tt := range contract {
				t.Run(tt.name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						x := implementation()
						tt.check(t, x, slugstore.New(slugstore.Config{BaseURL: "http://platform", Do: x.do}))
					})
				})
			}
		})
	}
}

var contract = []struct {
	name  string
	check func(t *testing.T, x testStore, s *slugstore.Store)
}{
	{"an object that does not exist has version 0", func(t *testing.T, _ testStore, s *slugstore.Store) {
		o, err := s.Get(t.Context(), "a")
		assert.NilError(t, err)
		assert.Equal(t, o.Version, slugstore.Version(0))
		assert.Assert(t, o.Body == nil)
	}},
	{"versions increase and the expected version is checked", func(t *testing.T, _ testStore, s *slugstore.Store) {
		v1, err := s.Put(t.Context(), "a", 0, 1)
		assert.NilError(t, err)
		v2, err := s.Put(t.Context(), "a", v1, 2)
		assert.NilError(t, err)
		assert.Assert(t, v2 > v1)
		_, err = s.Put(t.Context(), "a", v1, 3)
		assert.Assert(t, errors.Is(err, slugstore.ErrConflict), "%v", err)
		_, err = s.Put(t.Context(), "a", 0, 3)
		assert.Assert(t, errors.Is(err, slugstore.ErrConflict), "%v", err)
	}},
	{"a write with a lost response is resolved by reading back", func(t *testing.T, x testStore, s *slugstore.Store) {
		x.loseResponses(1)
		v, err := s.Put(t.Context(), "a", 0, 1)
		assert.NilError(t, err)
		_, err = s.Put(t.Context(), "a", v, 2)
		assert.NilError(t, err)
	}},
	{"a change is stored with its change id", func(t *testing.T, _ testStore, s *slugstore.Store) {
		v1, err := s.PutChange(t.Context(), "a", 0, 1, "change")
		assert.NilError(t, err)
		o, err := s.Get(t.Context(), "a")
		assert.NilError(t, err)
		assert.Equal(t, o.Change, slugstore.ChangeID("change"))
		assert.Equal(t, o.Version, v1)
	}},
	{"an unreachable store leaves the outcome unknown", func(t *testing.T, x testStore, s *slugstore.Store) {
		x.disconnect(true)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := s.Put(ctx, "a", 0, 1)
		assert.Assert(t, errors.Is(err, slugstore.ErrUnknown), "%v", err)
		assert.Assert(t, !errors.Is(err, slugstore.ErrConflict))
	}},
	{"a deleted object can be created again", func(t *testing.T, _ testStore, s *slugstore.Store) {
		v, err := s.Put(t.Context(), "a", 0, 1)
		assert.NilError(t, err)
		assert.NilError(t, s.Delete(t.Context(), "a", v))
		again, err := s.Put(t.Context(), "a", 0, 2)
		assert.NilError(t, err)
		assert.Assert(t, again > v)
	}},
	{"a value over the size limit is refused and the old value is kept", func(t *testing.T, _ testStore, s *slugstore.Store) {
		v, err := s.Put(t.Context(), "a", 0, 1)
		assert.NilError(t, err)
		_, err = s.Put(t.Context(), "a", v, make([]byte, 2<<20))
		assert.ErrorContains(t, err, "refused")
		o, err := s.Get(t.Context(), "a")
		assert.NilError(t, err)
		assert.Equal(t, string(o.Body), "1")
	}},
	{"a watch reports all objects first, then each change and removal", func(t *testing.T, _ testStore, s *slugstore.Store) {
		ctx, cancel := context.WithCancel(t.Context())
		seen := make(chan slugstore.Object, 16)
		v, err := s.Put(ctx, "p/a", 0, 1)
		assert.NilError(t, err)
		go func() {
			_ = s.Watch(ctx, slugstore.Watcher{Prefix: "p/", OnChange: func(objects []slugstore.Object) {
				for _, o := range objects {
					seen <- o
				}
			}})
		}()
		assert.Equal(t, string((<-seen).Body), "1")
		_, err = s.Put(ctx, "q/b", 0, 1)
		assert.NilError(t, err)
		v, err = s.Put(ctx, "p/a", v, 2)
		assert.NilError(t, err)
		assert.Equal(t, string((<-seen).Body), "2")
		assert.NilError(t, s.Delete(ctx, "p/a", v))
		assert.Assert(t, (<-seen).Body == nil)
		cancel()
		synctest.Wait()
	}},
}

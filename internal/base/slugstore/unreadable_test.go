package slugstore_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"gotest.tools/v3/assert"
)

// fixedBackend returns a backend that lists listed, and answers the first watch call with
// changed.
func fixedBackend(listed, changed []slugstore.Value) *slugstore.Backend {
	return &slugstore.Backend{
		List: func(context.Context, string) (slugstore.Listing, error) {
			return slugstore.Listing{Values: listed, Revision: 10}, nil
		},
		Watch: func(_ context.Context, _ string, after slugstore.Version, wait time.Duration) (slugstore.Listing, error) {
			if after == 10 {
				return slugstore.Listing{Values: changed, Revision: 20}, nil
			}
			time.Sleep(wait)
			return slugstore.Listing{Revision: after}, nil
		},
	}
}

// observeWatch watches for a minute and returns the value of each object that can be
// decoded, the number of errors per object that cannot, and the number of failed calls.
func observeWatch(t *testing.T, backend *slugstore.Backend) (values, unreadable map[string]int, failed int) {
	values, unreadable = map[string]int{}, map[string]int{}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	err := slugstore.New(slugstore.Config{Backend: backend}).Watch(ctx, slugstore.Watcher{
		Prefix: "p/",
		OnChange: func(objects []slugstore.Object) {
			for _, o := range objects {
				var n int
				switch {
				case o.Body == nil:
					delete(values, o.Name)
				case o.Decode(&n) != nil:
					unreadable[o.Name]++
				default:
					values[o.Name] = n
				}
			}
		},
		OnError: func(error) { failed++ },
	})
	assert.NilError(t, err)
	return values, unreadable, failed
}

// TestUnreadableObjectHidesOthers guards against one object that cannot be decoded and makes
// a watch lose the other objects of the same response for good.
func TestUnreadableObjectHidesOthers(t *testing.T) {
	value := func(name string, version slugstore.Version, b string) slugstore.Value {
		return slugstore.Value{Name: "p/" + name, Version: version, Bytes: []byte(b)}
	}
	for name, odd := range map[string]string{
		"not JSON": "\xff\xfe", "truncated": `{"change":"x","body":`, "number": "7", "null": "null", "without a body": `{"change":"x"}`, "empty": "",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listed := []slugstore.Value{value("a", 3, `{"change":"c","body":1}`), value("odd", 4, odd), value("z", 5, `{"change":"c","body":2}`)}
				changed := []slugstore.Value{value("odd2", 11, odd), value("z", 12, `{"change":"c","body":3}`), value("odd", 13, `{"change":"c","body":4}`)}
				values, unreadable, failed := observeWatch(t, fixedBackend(listed, changed))
				assert.DeepEqual(t, values, map[string]int{"p/a": 1, "p/z": 3, "p/odd": 4})
				assert.DeepEqual(t, unreadable, map[string]int{"p/odd": 1, "p/odd2": 1})
				assert.Equal(t, failed, 0)
			})
		})
	}
}

// TestUnreadableObjectFailsList guards against one object that cannot be decoded and makes a
// list call fail as a whole.
func TestUnreadableObjectFailsList(t *testing.T) {
	s := slugstore.New(slugstore.Config{Backend: fixedBackend([]slugstore.Value{
		{Name: "p/a", Version: 3, Bytes: []byte(`"odd"`)}, {Name: "p/b", Version: 4, Bytes: []byte(`{"change":"c","body":1}`)},
	}, nil)})
	objects, err := s.List(t.Context(), "p/")
	assert.NilError(t, err)
	assert.Equal(t, len(objects), 2)
	var n int
	assert.ErrorContains(t, objects[0].Decode(&n), "p/a")
	assert.NilError(t, objects[1].Decode(&n))
	assert.Equal(t, n, 1)
}

// FuzzWatch checks that a watch passes on every object, whatever bytes another one has.
func FuzzWatch(f *testing.F) {
	for _, seed := range []string{"", "null", "[", `{"change":1}`, `{"body":1e400}`, "\x00"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, odd []byte) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		good := false
		listed := []slugstore.Value{{Name: "p/a", Version: 1, Bytes: odd}, {Name: "p/b", Version: 2, Bytes: []byte(`{"change":"c","body":1}`)}}
		backend := fixedBackend(listed, nil)
		_ = slugstore.New(slugstore.Config{Backend: backend}).Watch(ctx, slugstore.Watcher{
			Prefix: "p/",
			OnChange: func(objects []slugstore.Object) {
				for _, o := range objects {
					var body json.RawMessage
					good = good || o.Name == "p/b" && o.Decode(&body) == nil
				}
				cancel()
			},
			OnError: func(err error) {
				t.Errorf("%v", errors.Cause(err))
				cancel()
			},
		})
		assert.Assert(t, good)
	})
}

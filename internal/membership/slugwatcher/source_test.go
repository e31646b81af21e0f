package slugwatcher

import (
	"slices"
	"testing"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"gotest.tools/v3/assert"
)

// TestWatcherWaitsForFailingStore guards against a watcher that goes on asking a store that
// answers others, while its followers get no changes from it.
func TestWatcherWaitsForFailingStore(t *testing.T) {
	near, far := []slugname.Process{"a-0", "a-1"}, []slugname.Process{"b-0", "b-1"}
	next := func(failures int, storeFails bool) slugname.Process {
		return Next("a-0", near, far, Situation{Failures: failures, StoreFails: storeFails, Hosts: 100})
	}
	assert.Equal(t, next(0, false), Store)
	assert.Assert(t, next(1, true) != Store, "after one failed call")
	assert.Equal(t, next(0, true), slugname.Process("a-1"), "the store has just failed")
	assert.Equal(t, next(1, false), Store, "the store answers, and has forgotten the changes")
	var asked []slugname.Process
	for failures := range 8 {
		asked = append(asked, next(failures, true))
	}
	for _, p := range []slugname.Process{Store, "a-1", "b-0", "b-1"} {
		assert.Assert(t, slices.Contains(asked, p), "%v does not contain %q", asked, p)
	}
	assert.Equal(t, Next("a-0", []slugname.Process{"a-0"}, nil, Situation{Failures: 1, StoreFails: true}), Store, "nobody else watches")
}

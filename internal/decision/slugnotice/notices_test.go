package slugnotice

import (
	"fmt"
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"gotest.tools/v3/assert"
)

// Guards against an endpoint that gets requests after it said that it leaves, because its
// registration stays, is older or comes back.
func TestLeavingEndsOnlyWithNewIncarnation(t *testing.T) {
	now := time.Now()
	n := New()
	assert.Equal(t, n.Record("a", 5, Notice{Leaving: true}, now), Notice{Leaving: true})
	assert.Equal(t, n.Record("a", 5, Notice{Leaving: true}, now), Notice{}, "told again")
	for _, incarnation := range []int64{0, 4, 5} {
		_, leaving := n.Wait("a", incarnation, now.Add(time.Hour))
		assert.Assert(t, leaving, "incarnation %d", incarnation)
	}
	_, leaving := n.Wait("a", 6, now)
	assert.Assert(t, !leaving)
	_, leaving = n.Wait("b", 5, now)
	assert.Assert(t, !leaving)
	assert.Equal(t, n.Record("a", 6, Notice{RetryAfter: time.Second}, now), Notice{RetryAfter: time.Second})
	assert.Equal(t, n.Record("a", 5, Notice{Leaving: true}, now), Notice{}, "a late response of an older incarnation")
	wait, leaving := n.Wait("a", 6, now)
	assert.Assert(t, wait == time.Second && !leaving)
}

// Guards against a wait that a response which was overtaken shortens, or that never ends.
func TestWaitIsTheLongestStated(t *testing.T) {
	now := time.Now()
	n := New()
	wait := func(after time.Duration) time.Duration {
		w, _ := n.Wait("a", 1, now.Add(after))
		return w
	}
	assert.Equal(t, n.Record("a", 1, Notice{RetryAfter: 3 * time.Second}, now).RetryAfter, 3*time.Second)
	assert.Equal(t, n.Record("a", 1, Notice{RetryAfter: 200 * time.Millisecond}, now.Add(time.Second)), Notice{})
	assert.Equal(t, wait(time.Second), 2*time.Second)
	assert.Equal(t, n.Record("a", 1, Notice{RetryAfter: 4 * time.Second}, now.Add(time.Second)), Notice{}, "extended")
	assert.Equal(t, wait(4999*time.Millisecond), time.Millisecond)
	assert.Equal(t, wait(5*time.Second), time.Duration(0))
	assert.Equal(t, n.Record("a", 1, Notice{RetryAfter: -time.Second}, now), Notice{})
	n.Record("b", 1, Notice{RetryAfter: 1e9 * time.Second}, now)
	w, _ := n.Wait("b", 1, now)
	assert.Equal(t, w, maxRetryAfter)
}

// Guards against memory that grows with each endpoint that ever left.
func TestNoticesOfGoneEndpointsAreForgotten(t *testing.T) {
	now := time.Now()
	n := New()
	for i := range 100 {
		n.Record("kept", 1, Notice{Leaving: true}, now)
		n.Wait("kept", 1, now)
		n.Record(slugname.Endpoint(fmt.Sprint("i-", i)), 1, Notice{Leaving: true}, now)
		now = now.Add(time.Hour)
	}
	assert.Assert(t, len(n.states) <= 27, "%d", len(n.states))
	_, leaving := n.Wait("kept", 1, now)
	assert.Assert(t, leaving)
}

// Guards against an endpoint without incarnations that is never used again after a restart,
// and against one that is used again because of a response from before its notice.
func TestReturnEndsNotice(t *testing.T) {
	now := time.Now()
	n := New()
	assert.Assert(t, !n.RecordReturn("a", now))
	n.Record("a", 0, Notice{Leaving: true, RetryAfter: time.Minute}, now)
	assert.Assert(t, !n.RecordReturn("a", now))
	_, leaving := n.Wait("a", 0, now)
	assert.Assert(t, leaving)
	assert.Assert(t, n.RecordReturn("a", now.Add(time.Millisecond)))
	wait, leaving := n.Wait("a", 0, now)
	assert.Assert(t, wait == 0 && !leaving)
	n.Record("a", 0, Notice{RetryAfter: time.Minute}, now)
	assert.Assert(t, !n.RecordReturn("a", now.Add(time.Second)))
	wait, _ = n.Wait("a", 0, now)
	assert.Equal(t, wait, time.Minute)
}

package slugfreshness

import (
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"gotest.tools/v3/assert"
)

// TestTracker guards against a revision that counts as fresh although peers know a newer
// one, and against confirmations that move back in time.
func TestTracker(t *testing.T) {
	tracker, now := New(), slugclock.Now()
	tracker.ObservePeer(7, 6, now)
	assert.Equal(t, tracker.LastConfirmed(), now, "a report that an older revision was the newest confirms ours")
	tracker.Confirm(now.Add(-time.Second))
	assert.Equal(t, tracker.LastConfirmed(), now, "an older confirmation does not replace a newer one")
	tracker.ObservePeer(7, 9, now.Add(time.Second))
	tracker.ObservePeer(7, 8, now.Add(time.Second))
	assert.Equal(t, tracker.LastConfirmed(), now, "a report of a newer revision does not confirm ours")
	assert.Equal(t, uint64(tracker.NewestReported()), uint64(9))
	<-tracker.NewerReported()
	assert.Assert(t, tracker.SetStoreAnswers(true))
	assert.Assert(t, !tracker.SetStoreAnswers(true))
	assert.Assert(t, tracker.StoreAnswers())
}

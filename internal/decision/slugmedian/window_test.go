package slugmedian

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// TestMedianOfRecentDurations guards against a median of too few or of old durations, and
// against one that ignores new durations.
func TestMedianOfRecentDurations(t *testing.T) {
	w, now := New(10*time.Second), time.Unix(1000, 0)
	_, ok := w.Median(now)
	assert.Assert(t, !ok)
	for i := range 2*minMeasurements + 1 {
		w.Add(time.Duration(i)*ms, now)
	}
	d, ok := w.Median(now)
	assert.Assert(t, ok)
	assert.Equal(t, d, minMeasurements*ms)

	now = now.Add(9 * time.Second)
	for range 4 * capacity {
		w.Add(100*ms, now)
	}
	d, _ = w.Median(now)
	assert.Equal(t, d, 100*ms)
	assert.Equal(t, len(w.list), capacity)

	_, ok = w.Median(now.Add(11 * time.Second))
	assert.Assert(t, !ok, "the durations are too old")
}

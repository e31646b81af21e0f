package slugturn

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a change that several processes make at once, that nobody makes because the
// first one has failed, or that a process repeats without a pause.
func TestTurns(t *testing.T) {
	now := time.Now()
	for rank, want := range map[int]time.Duration{0: 0, 1: delay, 2: 2 * delay, 500: maxRank * delay} {
		turns := New(func(string) int { return rank })
		assert.Equal(t, turns.Due("a", now), want == 0)
		if want > 0 {
			assert.Assert(t, !turns.Due("a", now.Add(want-time.Millisecond)))
			assert.Assert(t, turns.Due("a", now.Add(want)))
		}
		assert.Assert(t, !turns.Due("a", now.Add(want+retryInterval-time.Millisecond)))
		assert.Assert(t, turns.Due("a", now.Add(want+retryInterval)))
		// A change that is wanted again has a turn of its own.
		turns.Keep(func(string) bool { return false })
		assert.Equal(t, turns.Due("a", now.Add(want+retryInterval)), rank == 0)
	}
}

package slugusagecounter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCountsByWindow guards against requests that are counted in the wrong window, or
// without a workspace, and against windows that are never dropped.
func TestCountsByWindow(t *testing.T) {
	now := time.Unix(1000, 0)
	counter := New(Config{Window: 5 * time.Second, Now: func() time.Time { return now }})
	counter.Count("a")
	counter.Count("a")
	counter.Count("")
	now = now.Add(4999 * time.Millisecond)
	counter.Count("b")
	now = now.Add(time.Millisecond)
	counter.Count("a")
	w := counter.Windows()
	assert.Equal(t, len(w), 2)
	assert.Equal(t, w[0].Window, int64(200))
	assert.Equal(t, w[0].Counts["a"], uint32(2))
	assert.Equal(t, w[0].Counts["b"], uint32(1))
	assert.Equal(t, w[1].Counts["a"], uint32(1))
	now = now.Add(25 * time.Second)
	assert.Equal(t, len(counter.Windows()), 0)
}

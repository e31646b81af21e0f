package slugtally

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestWindows(t *testing.T) {
	now := time.Unix(1000, 0)
	x := New(Config{Window: 5 * time.Second, Now: func() time.Time { return now }})
	x.Count("a")
	x.Count("a")
	x.Count("")
	now = now.Add(4999 * time.Millisecond)
	x.Count("b")
	now = now.Add(time.Millisecond)
	x.Count("a")
	w := x.Windows()
	assert.Equal(t, len(w), 2)
	assert.Equal(t, w[0].Window, int64(200))
	assert.Equal(t, w[0].Counts["a"], uint32(2))
	assert.Equal(t, w[0].Counts["b"], uint32(1))
	assert.Equal(t, w[1].Counts["a"], uint32(1))
	now = now.Add(25 * time.Second)
	assert.Equal(t, len(x.Windows()), 0)
}

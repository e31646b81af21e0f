package slugtruetime

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"gotest.tools/v3/assert"
)

func TestMedianOfClocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		truth := time.Now().Round(0)
		c := NewAt(truth.Add(3 * time.Second))
		for i, off := range []time.Duration{0, 10 * time.Millisecond, -10 * time.Millisecond, 2 * time.Second} {
			c.Heard(slugname.Process(rune('a'+i)), truth.Add(off), slugclock.Now())
		}
		off := c.Now().Sub(truth)
		assert.Assert(t, off.Abs() < 50*time.Millisecond, "%s", off)
		time.Sleep(time.Minute)
		// The peers are forgotten, the own count goes on.
		off = c.Now().Sub(truth.Add(time.Minute + 3*time.Second))
		assert.Assert(t, off.Abs() < 50*time.Millisecond, "%s", off)
	})
}

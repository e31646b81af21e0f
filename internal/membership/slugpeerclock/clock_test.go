package slugpeerclock

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"gotest.tools/v3/assert"
)

// TestMedianOfClocks guards against an estimate that follows a single wrong clock: both
// this process and one of four peers are seconds off.
func TestMedianOfClocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		trueTime := time.Now().Round(0)
		c := NewAt(trueTime.Add(3 * time.Second))
		for i, deviation := range []time.Duration{0, 10 * time.Millisecond, -10 * time.Millisecond, 2 * time.Second} {
			c.AddSample(slugname.Process(rune('a'+i)), trueTime.Add(deviation), slugclock.Now())
		}
		offset := c.Now().Sub(trueTime)
		assert.Assert(t, offset.Abs() < 50*time.Millisecond, "%s", offset)
		time.Sleep(time.Minute)
		// The samples have expired, so only the clock of this process is left.
		offset = c.Now().Sub(trueTime.Add(time.Minute + 3*time.Second))
		assert.Assert(t, offset.Abs() < 50*time.Millisecond, "%s", offset)
	})
}

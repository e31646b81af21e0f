package slugclock

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestSinceFollowsTheRuntime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := Now()
		time.Sleep(time.Minute)
		passed := Since(i)
		assert.Assert(t, passed >= time.Minute && passed < time.Minute+time.Second, "%s", passed)
	})
}

func TestSubCountsSuspensions(t *testing.T) {
	now := time.Now()
	before := Instant{at: now, boot: time.Hour}
	after := Instant{at: now.Add(time.Second), boot: time.Hour + time.Minute}
	assert.Equal(t, after.Sub(before), time.Minute)
}

func TestZeroIsLongAgo(t *testing.T) {
	assert.Equal(t, Since(Instant{}), Forever)
}

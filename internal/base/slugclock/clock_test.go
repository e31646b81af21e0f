package slugclock

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an Instant that ignores the runtime's clock, such as the fake clock of
// synctest.
func TestSinceFollowsRuntimeClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := Now()
		time.Sleep(time.Minute)
		passed := Since(i)
		assert.Assert(t, passed >= time.Minute && passed < time.Minute+time.Second, "%s", passed)
	})
}

// Guards against tests in virtual time whose data ages while their process gets no processor
// time.
func TestStalledProcessDoesNotAgeData(t *testing.T) {
	defer IgnoreSuspensions()()
	synctest.Test(t, func(t *testing.T) {
		i := Now()
		for begun := bootClock(); bootClock()-begun < 50*time.Millisecond; {
			continue
		}
		assert.Equal(t, Since(i), time.Duration(0))
		time.Sleep(time.Minute)
		assert.Equal(t, Since(i), time.Minute)
	})
}

// Guards against a lease that seems valid after a suspension, during which only the boot
// clock advances.
func TestSubIncludesSuspension(t *testing.T) {
	now := time.Now()
	before := Instant{runtime: now, sinceBoot: time.Hour}
	after := Instant{runtime: now.Add(time.Second), sinceBoot: time.Hour + time.Minute}
	assert.Equal(t, after.Sub(before), time.Minute)
}

// Guards against treating data that was never received as recent.
func TestSinceZeroInstantIsForever(t *testing.T) {
	assert.Equal(t, Since(Instant{}), Forever)
}

// Guards against a deadline that a suspension does not bring nearer.
func TestUntilIncludesSuspension(t *testing.T) {
	now := time.Now()
	suspended := Instant{runtime: now, sinceBoot: bootClock() - time.Minute}
	left := suspended.Until(now.Add(time.Hour))
	assert.Assert(t, left <= 59*time.Minute && left > 58*time.Minute, "%s", left)
}

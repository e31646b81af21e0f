// Package slugclock measures elapsed time, including time during which the host was
// suspended.
//
// The monotonic clock of the Go runtime stops while the host is suspended, and the wall
// clock may be adjusted, so neither can tell the age of a lease or of received data. An
// Instant therefore holds a reading of the runtime's clock and one of CLOCK_BOOTTIME.
//
// # Usage
//
//	sent := slugclock.Now()
//	...
//	if slugclock.Since(sent) > limit { ... }
package slugclock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time that is only meaningful within this process. The zero
// Instant is before all others.
type Instant struct {
	runtime   time.Time
	sinceBoot time.Duration
}

// Now returns the current Instant.
func Now() Instant { return Instant{runtime: time.Now(), sinceBoot: bootTime()} }

// runtimeOnly makes bootTime return 0, so that only the runtime's clock counts.
var runtimeOnly atomic.Bool

// IgnoreSuspensions makes new Instants hold only the runtime's clock, until the returned
// function is called. Tests in virtual time need it: the boot clock goes on while the test
// process gets no processor time, and virtual time does not.
func IgnoreSuspensions() (restore func()) {
	runtimeOnly.Store(true)
	return func() { runtimeOnly.Store(false) }
}

// bootTime returns the time since the host was booted, including suspensions, or 0
// if it is not known or does not count.
func bootTime() time.Duration {
	if runtimeOnly.Load() {
		return 0
	}
	return bootClock()
}

// bootClock reads CLOCK_BOOTTIME, or returns 0 if the kernel does not support it.
func bootClock() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// IsZero reports whether i is the zero Instant.
func (i Instant) IsZero() bool { return i.runtime.IsZero() }

// Time returns the reading of the runtime's clock.
func (i Instant) Time() time.Time { return i.runtime }

// Add returns the Instant that is d later.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{runtime: i.runtime.Add(d), sinceBoot: i.sinceBoot + d}
}

// After reports whether i is later than j according to the runtime's clock. It ignores
// suspensions.
func (i Instant) After(j Instant) bool { return i.runtime.After(j.runtime) }

// Sub returns the time from j to i: the longer of the times that the two clocks measured,
// so that a lease or received data is never taken to be younger than it is.
func (i Instant) Sub(j Instant) time.Duration {
	return max(i.runtime.Sub(j.runtime), i.sinceBoot-j.sinceBoot)
}

// Until returns the time until t. A suspension of the host since i counts, by which t is sooner.
func (i Instant) Until(t time.Time) time.Duration { return t.Sub(i.runtime) - Since(i) }

// Since returns the time elapsed since i, including suspensions, or Forever if i is the
// zero Instant.
func Since(i Instant) time.Duration {
	if i.IsZero() {
		return Forever
	}
	return Now().Sub(i)
}

// Forever is the result of Since for the zero Instant.
const Forever = time.Duration(1<<63 - 1)

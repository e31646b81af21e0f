// Package slugclock measures time that has passed, also while the host was
// suspended.
//
// The runtime's monotonic clock stands still during a suspension and the wall clock
// may be set, so that neither alone tells whether a lease or a piece of news is
// still young. An Instant holds a reading of the monotonic clock and of the clock
// that counts from the boot of the host.
//
// # Usage
//
//	sent := slugclock.Now()
//	...
//	if slugclock.Since(sent) > limit { ... }
package slugclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a moment as this process's steady clocks saw it. The zero Instant is
// before all others.
type Instant struct {
	at   time.Time
	boot time.Duration
}

// Now returns the present Instant.
func Now() Instant { return Instant{at: time.Now(), boot: bootTime()} }

// bootTime returns the time since the host was booted, suspensions included. It is
// 0 where the kernel does not tell.
func bootTime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// IsZero reports whether i is the zero Instant.
func (i Instant) IsZero() bool { return i.at.IsZero() }

// Time returns the reading of the runtime's clock.
func (i Instant) Time() time.Time { return i.at }

// Add returns the Instant that is d later.
func (i Instant) Add(d time.Duration) Instant { return Instant{at: i.at.Add(d), boot: i.boot + d} }

// After reports whether i is later than j by the runtime's clock.
func (i Instant) After(j Instant) bool { return i.at.After(j.at) }

// Sub returns the time from j to i, by the clock that shows more.
func (i Instant) Sub(j Instant) time.Duration { return max(i.at.Sub(j.at), i.boot-j.boot) }

// Since returns the time since i, suspensions included.
func Since(i Instant) time.Duration {
	if i.IsZero() {
		return Forever
	}
	return Now().Sub(i)
}

// Forever is the time since the zero Instant.
const Forever = time.Duration(1<<63 - 1)

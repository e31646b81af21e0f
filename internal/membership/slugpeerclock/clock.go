// Package slugpeerclock estimates the time of day on hosts whose wall clocks may jump.
//
// A process reads the wall clock of its host once, when it starts, and advances that
// reading with the monotonic clock, so later jumps have no effect. Since the wall clock
// may have been wrong at the start, the estimate is the median of the clocks that this
// process and its peers keep in this way.
//
// # Usage
//
//	c := slugpeerclock.New()
//	c.AddSample(peer, peerTime, at)
//	now := c.Now()
package slugpeerclock

import (
	"slices"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

// sampleTTL is how long a sample of a peer's clock is used.
const sampleTTL = 20 * time.Second

// sample is the offset of a peer's clock from the clock of this process, and when it was
// measured.
type sample struct {
	offset     time.Duration
	measuredAt slugclock.Instant
}

// Clock estimates the time of day. Its methods are safe for concurrent use.
type Clock struct {
	start     slugclock.Instant
	startWall time.Time

	mu      sync.Mutex
	samples map[slugname.Process]sample
}

// New returns a Clock that starts at the wall clock of this host and has no samples.
func New() *Clock { return NewAt(time.Now()) }

// NewAt returns a Clock that starts at a given wall time.
func NewAt(wall time.Time) *Clock {
	return &Clock{start: slugclock.Now(), startWall: wall.Round(0), samples: map[slugname.Process]sample{}}
}

// OwnTime returns the time by the clock of this process alone, to be sent to peers.
func (c *Clock) OwnTime() time.Time { return c.startWall.Add(slugclock.Since(c.start)) }

// AddSample records the time of a peer's own clock at an instant.
func (c *Clock) AddSample(p slugname.Process, peerTime time.Time, at slugclock.Instant) {
	ownTime := c.startWall.Add(at.Sub(c.start))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples[p] = sample{peerTime.Sub(ownTime), at}
}

// Now returns the estimated time of day: the median of this clock and all recent samples.
// With an even number it is the lower of the two middle ones.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	offsets := []time.Duration{0}
	for p, s := range c.samples {
		if slugclock.Since(s.measuredAt) > sampleTTL {
			delete(c.samples, p)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	c.mu.Unlock()
	slices.Sort(offsets)
	return c.OwnTime().Add(offsets[(len(offsets)-1)/2])
}

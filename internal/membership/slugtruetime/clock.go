// Package slugtruetime estimates the true time of day on hosts whose clocks jump.
//
// A process reads the clock of its host once, at its start, and counts on with its
// steady clock, so that later jumps change nothing. It may have started while its
// host's clock was wrong: the estimate is therefore the median of what this process
// and its peers counted in that way.
//
// # Usage
//
//	c := slugtruetime.New()
//	c.Heard(peer, theirCount, when)
//	window := c.Now().Unix() / 5
package slugtruetime

import (
	"slices"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

// sampleAge is how long a peer's clock is remembered.
const sampleAge = 20 * time.Second

// sample is how far a peer's count is ahead of this process's.
type sample struct {
	ahead time.Duration
	at    slugclock.Instant
}

// Clock estimates the time of day.
type Clock struct {
	start slugclock.Instant
	wall  time.Time

	mu    sync.Mutex
	peers map[slugname.Process]sample
}

// New returns a Clock that has only its own host's.
func New() *Clock { return NewAt(time.Now()) }

// NewAt returns a Clock whose host showed a wall time.
func NewAt(wall time.Time) *Clock {
	return &Clock{start: slugclock.Now(), wall: wall.Round(0), peers: map[slugname.Process]sample{}}
}

// Count returns this process's own count of the time, for peers.
func (c *Clock) Count() time.Time { return c.wall.Add(slugclock.Since(c.start)) }

// Heard takes a peer's count, which was true at an instant.
func (c *Clock) Heard(p slugname.Process, count time.Time, at slugclock.Instant) {
	own := c.wall.Add(at.Sub(c.start))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[p] = sample{count.Sub(own), at}
}

// Now returns the estimated time of day.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	ahead := []time.Duration{0}
	for p, s := range c.peers {
		if slugclock.Since(s.at) > sampleAge {
			delete(c.peers, p)
			continue
		}
		ahead = append(ahead, s.ahead)
	}
	c.mu.Unlock()
	slices.Sort(ahead)
	return c.Count().Add(ahead[(len(ahead)-1)/2])
}

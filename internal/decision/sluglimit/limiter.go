// Package sluglimit holds workspaces to their limits over all hosts. Gates share
// a limit by the demand that each of them sees; a gate that hears nothing from
// its peers falls back to an equal part.
//
// # Usage
//
//	release, retryAfter, ok := l.Acquire(workspace, limits)
//	if !ok { refuse }
//	defer release()
package sluglimit

import (
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

const (
	// equalPart is the part of a rate that is shared equally, so that a host
	// without demand so far can begin.
	equalPart = 0.1
	// demandSmoothing is the weight of a new second in the demand.
	demandSmoothing = 0.5
	// minBurst is the least number of requests that may come at once.
	minBurst = 1
)

// Demand is what gates tell each other.
type Demand struct {
	// PerSecond is the smoothed number of requests a second.
	PerSecond map[slugname.Workspace]float32
	// Running is the number of running requests.
	Running map[slugname.Workspace]uint32
}

// bucket is the state of one workspace.
type bucket struct {
	tokens   float64
	filledAt time.Time
	running  int
	asked    float64
	demand   float64
	// others is the demand and the running requests of all other gates.
	others        float64
	othersRunning int
}

// Limiter holds the state of one gate.
type Limiter struct {
	mu      sync.Mutex
	buckets map[slugname.Workspace]*bucket
	// gates is the number of live gates, this one included.
	gates int
	// heard tells whether peers are heard from.
	heard bool
}

// New returns a Limiter of a single gate.
func New() *Limiter {
	return &Limiter{buckets: map[slugname.Workspace]*bucket{}, gates: 1, heard: true}
}

// SetPeers takes the demand that the other live gates told of. heard is false
// when the peers are silent.
func (l *Limiter) SetPeers(others []Demand, gates int, heard bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gates, l.heard = max(1, gates), heard
	for _, b := range l.buckets {
		b.others, b.othersRunning = 0, 0
	}
	for _, d := range others {
		for w, x := range d.PerSecond {
			l.bucket(w).others += float64(x)
		}
		for w, n := range d.Running {
			l.bucket(w).othersRunning += int(n)
		}
	}
}

func (l *Limiter) bucket(w slugname.Workspace) *bucket {
	b := l.buckets[w]
	if b == nil {
		b = &bucket{tokens: minBurst, filledAt: time.Now()}
		l.buckets[w] = b
	}
	return b
}

// Acquire counts a request against the limits. It returns when to try again if
// the request is over a limit.
func (l *Limiter) Acquire(w slugname.Workspace, x slugmanifest.Limits) (release func(), retryAfter time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(w)
	b.asked++
	if x.Concurrent > 0 && !l.admits(b, x.Concurrent) {
		return nil, time.Second, false
	}
	if x.RequestsPerSecond > 0 {
		if wait := l.takeToken(b, float64(x.RequestsPerSecond)); wait > 0 {
			return nil, wait, false
		}
	}
	b.running++
	var once sync.Once
	return func() { once.Do(func() { l.release(w) }) }, 0, true
}

// admits reports whether one more request may run.
func (l *Limiter) admits(b *bucket, limit int) bool {
	if !l.heard {
		return b.running < max(1, limit/l.gates)
	}
	return b.running+b.othersRunning < limit
}

func (l *Limiter) release(w slugname.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bucket(w).running--
}

// takeToken takes one token from a bucket that fills at this gate's part of the
// rate, or returns how long to wait for one.
func (l *Limiter) takeToken(b *bucket, limit float64) time.Duration {
	rate := l.part(b) * limit
	now := time.Now()
	b.tokens = min(max(minBurst, rate), b.tokens+rate*now.Sub(b.filledAt).Seconds())
	b.filledAt = now
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second))
}

// part returns this gate's part of a limit. The parts of all gates add up to 1.
func (l *Limiter) part(b *bucket) float64 {
	equal := 1 / float64(l.gates)
	total := b.demand + b.others
	if !l.heard || total == 0 {
		return equal
	}
	return equalPart*equal + (1-equalPart)*b.demand/total
}

// Tick smooths the demand; it is called once a second. It returns what to tell
// the other gates.
func (l *Limiter) Tick() Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := Demand{PerSecond: map[slugname.Workspace]float32{}, Running: map[slugname.Workspace]uint32{}}
	for w, b := range l.buckets {
		b.demand += demandSmoothing * (b.asked - b.demand)
		b.asked = 0
		if b.demand < 0.01 {
			b.demand = 0
		}
		if b.demand > 0 {
			d.PerSecond[w] = float32(b.demand)
		}
		if b.running > 0 {
			d.Running[w] = uint32(b.running)
		}
		if b.demand == 0 && b.running == 0 && b.others == 0 && b.othersRunning == 0 {
			delete(l.buckets, w)
		}
	}
	return d
}

// Package sluglimit enforces the request limits of workspaces across all hosts. Gates
// share a rate limit in proportion to the demand that each of them sees. A gate that
// receives nothing from its peers falls back to an equal share.
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
	// equalFraction is the fraction of a rate limit that is divided equally, so that a
	// gate without recent demand can accept its first requests.
	equalFraction = 0.1
	// demandSmoothing is the weight of the latest second in the moving average of the
	// demand.
	demandSmoothing = 0.5
	// minBurst is the minimum capacity of a token bucket, in requests.
	minBurst = 1
)

// Demand is the demand that a gate reports to the other gates.
type Demand struct {
	// PerSecond is the smoothed number of requests per second.
	PerSecond map[slugname.Workspace]float32
	// Running is the number of running requests.
	Running map[slugname.Workspace]uint32
}

// bucket is the token bucket and the demand of one workspace.
type bucket struct {
	tokens   float64
	filledAt time.Time
	// running is the number of this gate's running requests.
	running int
	// requests counts the requests since the last Tick, refused ones included.
	requests float64
	// demand is the smoothed number of requests per second at this gate.
	demand float64
	// othersDemand and othersRunning are the totals of all other gates.
	othersDemand  float64
	othersRunning int
}

// Limiter enforces limits at one gate. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	buckets map[slugname.Workspace]*bucket
	// gates is the number of live gates, this one included.
	gates int
	// peersAlive is set while peers report their demand, or if there are none.
	peersAlive bool
}

// New returns a Limiter for a single gate.
func New() *Limiter {
	return &Limiter{buckets: map[slugname.Workspace]*bucket{}, gates: 1, peersAlive: true}
}

// SetPeers replaces the demand reported by the other live gates. gates is the number of
// live gates, this one included; alive is false while the peers are silent.
func (l *Limiter) SetPeers(others []Demand, gates int, alive bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gates, l.peersAlive = max(1, gates), alive
	for _, b := range l.buckets {
		b.othersDemand, b.othersRunning = 0, 0
	}
	for _, d := range others {
		for w, perSecond := range d.PerSecond {
			l.bucket(w).othersDemand += float64(perSecond)
		}
		for w, n := range d.Running {
			l.bucket(w).othersRunning += int(n)
		}
	}
}

// bucket returns the bucket of a workspace, creating it if necessary. The caller must
// hold l.mu.
func (l *Limiter) bucket(w slugname.Workspace) *bucket {
	b := l.buckets[w]
	if b == nil {
		b = &bucket{tokens: minBurst, filledAt: time.Now()}
		l.buckets[w] = b
	}
	return b
}

// Acquire counts a request against the limits of its workspace. If the request exceeds
// a limit, it returns false and the time after which to retry.
func (l *Limiter) Acquire(w slugname.Workspace, limits slugmanifest.Limits) (release func(), retryAfter time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(w)
	b.requests++
	if limits.Concurrent > 0 && !l.belowConcurrencyLimit(b, limits.Concurrent) {
		return nil, time.Second, false
	}
	if limits.RequestsPerSecond > 0 {
		if wait := l.takeToken(b, float64(limits.RequestsPerSecond)); wait > 0 {
			return nil, wait, false
		}
	}
	b.running++
	var once sync.Once
	return func() { once.Do(func() { l.release(w) }) }, 0, true
}

// belowConcurrencyLimit reports whether one more request may run.
func (l *Limiter) belowConcurrencyLimit(b *bucket, limit int) bool {
	if !l.peersAlive {
		return b.running < max(1, limit/l.gates)
	}
	return b.running+b.othersRunning < limit
}

func (l *Limiter) release(w slugname.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bucket(w).running--
}

// takeToken takes a token from a bucket that refills at this gate's share of the rate
// limit, or returns how long to wait for one.
func (l *Limiter) takeToken(b *bucket, limit float64) time.Duration {
	rate := l.share(b) * limit
	now := time.Now()
	b.tokens = min(max(minBurst, rate), b.tokens+rate*now.Sub(b.filledAt).Seconds())
	b.filledAt = now
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second))
}

// share returns this gate's share of a rate limit. The shares of all gates add up to 1.
func (l *Limiter) share(b *bucket) float64 {
	equalShare := 1 / float64(l.gates)
	total := b.demand + b.othersDemand
	if !l.peersAlive || total == 0 {
		return equalShare
	}
	return equalFraction*equalShare + (1-equalFraction)*b.demand/total
}

// Tick updates the smoothed demand and must be called once per second. It returns the
// demand to report to the other gates.
func (l *Limiter) Tick() Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := Demand{PerSecond: map[slugname.Workspace]float32{}, Running: map[slugname.Workspace]uint32{}}
	for w, b := range l.buckets {
		b.demand += demandSmoothing * (b.requests - b.demand)
		b.requests = 0
		if b.demand < 0.01 {
			b.demand = 0
		}
		if b.demand > 0 {
			d.PerSecond[w] = float32(b.demand)
		}
		if b.running > 0 {
			d.Running[w] = uint32(b.running)
		}
		if b.demand == 0 && b.running == 0 && b.othersDemand == 0 && b.othersRunning == 0 {
			delete(l.buckets, w)
		}
	}
	return d
}

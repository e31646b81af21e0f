// Package slugbacklog estimates how much announced work waits at each endpoint.
//
// Many hosts send to the same endpoints. Each host knows its own requests at once, but
// learns of its peers' requests only after a delay. Therefore one process per endpoint,
// chosen by rendezvous hashing, receives an announcement of every request before it is
// sent and returns the expected wait. Work is assumed to complete at the announced
// pace, so its completion need not be reported, and an estimation error lasts only
// until the endpoint is idle.
//
// Where the speed of endpoints changes many times a second, senders also report the end of
// their work. Work that is late then remains in the backlog, and work that is done early
// leaves it.
//
// The package performs no I/O.
//
// # Usage
//
//	b := slugbacklog.New()
//	wait := b.Add("engine-1", 80*time.Millisecond, time.Now())
package slugbacklog

import (
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

const (
	// maxBacklog limits the estimated work at an endpoint. Work beyond it is assumed to
	// have been abandoned, because its requests have timed out.
	maxBacklog = 5 * time.Second
	// pruneThreshold is the number of tracked endpoints at which idle ones are removed.
	pruneThreshold = 1024
)

// Backlog tracks when each endpoint will be idle. It is safe for concurrent use.
type Backlog struct {
	mu     sync.Mutex
	idleAt map[slugname.Endpoint]time.Time
	// queues hold the work at the endpoints whose senders report its end.
	queues map[slugname.Endpoint]*queue
}

// New returns an empty Backlog.
func New() *Backlog {
	return &Backlog{idleAt: map[slugname.Endpoint]time.Time{}, queues: map[slugname.Endpoint]*queue{}}
}

// Add adds work at an endpoint and returns how long it waits for the work added before.
// A negative amount removes work that was added but not sent.
func (b *Backlog) Add(e slugname.Endpoint, work time.Duration, now time.Time) (wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.add(e, work, now)
}

// add is Add for a caller that holds b.mu.
func (b *Backlog) add(e slugname.Endpoint, work time.Duration, now time.Time) (wait time.Duration) {
	b.prune(now)
	wait = max(0, b.idleAt[e].Sub(now))
	b.idleAt[e] = now.Add(min(max(0, wait+work), maxBacklog))
	return wait
}

// prune removes idle endpoints once pruneThreshold is reached. The caller must hold
// b.mu.
func (b *Backlog) prune(now time.Time) {
	if len(b.idleAt) < pruneThreshold {
		return
	}
	for e, at := range b.idleAt {
		if at.Before(now) {
			delete(b.idleAt, e)
		}
	}
}

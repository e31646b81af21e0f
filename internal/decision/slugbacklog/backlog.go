// Package slugbacklog keeps how much work waits at the endpoints that a process answers
// for.
//
// It answers the load of many hosts that send to the same endpoints: each knows its own
// work, and what peers told of theirs is older than the work itself. One process, found
// by rendezvous hashing, is told of all work for an endpoint before it is sent, and
// tells how long it will wait. Work is taken to be done at the pace that was announced,
// so its end need not be told, and an error lasts only until the endpoint is idle.
//
// The package does no input or output.
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
	// mostWait bounds what is believed to wait at an endpoint: beyond the time of any
	// request, work has been given up.
	mostWait = 5 * time.Second
	// pruneAbove is the number of endpoints from which idle ones are forgotten.
	pruneAbove = 1024
)

// Backlog keeps when each endpoint will be idle. Its methods may be called from many
// goroutines.
type Backlog struct {
	mu   sync.Mutex
	idle map[slugname.Endpoint]time.Time
}

// New returns a Backlog without work.
func New() *Backlog { return &Backlog{idle: map[slugname.Endpoint]time.Time{}} }

// Add adds work at an endpoint and returns how long it waits for what was added before.
// Negative work takes back what was added and not sent.
func (b *Backlog) Add(e slugname.Endpoint, work time.Duration, now time.Time) (wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prune(now)
	wait = max(0, b.idle[e].Sub(now))
	b.idle[e] = now.Add(min(max(0, wait+work), mostWait))
	return wait
}

// prune forgets idle endpoints when there are many; b.mu is held.
func (b *Backlog) prune(now time.Time) {
	if len(b.idle) < pruneAbove {
		return
	}
	for e, idle := range b.idle {
		if idle.Before(now) {
			delete(b.idle, e)
		}
	}
}

// Package slugturn decides when a process makes a change in the store that any process may
// make: the one that ranks first makes it at once, the others follow in their order if it was
// not made by then.
//
// # Usage
//
//	t := slugturn.New(rank)
//	if wanted(name) && t.Due(name, now) { write(name) }
//	t.Keep(wanted)
package slugturn

import (
	"maps"
	"sync"
	"time"
)

const (
	// delay is the time by which a process waits longer than the one before it in the
	// ranking, and maxRank bounds the number of such delays.
	delay   = 300 * time.Millisecond
	maxRank = 10
	// retryInterval is the time between attempts of one process.
	retryInterval = time.Second
)

// Turns holds the turns of one process. It is safe for concurrent use.
type Turns struct {
	// rank returns the rank of this process among the live ones for a subject.
	rank func(subject string) int

	mu sync.Mutex
	at map[string]time.Time
}

// New returns Turns without any.
func New(rank func(subject string) int) *Turns {
	return &Turns{rank: rank, at: map[string]time.Time{}}
}

// Due reports whether this process makes a change now, and if so defers its next turn.
func (t *Turns) Due(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.at[name]
	if !ok {
		at = now.Add(time.Duration(min(t.rank(name), maxRank)) * delay)
		t.at[name] = at
	}
	if now.Before(at) {
		return false
	}
	t.at[name] = now.Add(retryInterval)
	return true
}

// Keep forgets the turns of all changes that are not wanted any more.
func (t *Turns) Keep(wanted func(name string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.at, func(name string, _ time.Time) bool { return !wanted(name) })
}

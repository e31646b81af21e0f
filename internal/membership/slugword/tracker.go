// Package slugword tracks how fresh a process's configuration is: when the one in force
// was last known to be the newest, which newer ones peers have told of, and whether the
// store answers.
//
// # Usage
//
//	word := slugword.New()
//	word.Heard(inForce, told, at)
//	age := slugclock.Since(word.Last())
package slugword

import (
	"sync"

	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
)

// Tracker tracks for one follower of a configuration. Its methods may be called from many
// goroutines.
type Tracker struct {
	poke chan struct{}

	mu      sync.Mutex
	word    slugclock.Instant
	wanted  slugconfig.Revision
	answers bool
}

// New returns a Tracker that has heard nothing.
func New() *Tracker { return &Tracker{poke: make(chan struct{}, 1)} }

// Heard takes a peer's word that a revision was the newest at an instant.
func (t *Tracker) Heard(inForce, told slugconfig.Revision, at slugclock.Instant) {
	if told <= inForce {
		t.Fresh(at)
		return
	}
	t.mu.Lock()
	t.wanted = max(t.wanted, told)
	t.mu.Unlock()
	select {
	case t.poke <- struct{}{}:
	default:
	}
}

// Poked is readable after a peer has told of a newer revision.
func (t *Tracker) Poked() <-chan struct{} { return t.poke }

// Wanted returns the newest revision that a peer told of.
func (t *Tracker) Wanted() slugconfig.Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.wanted
}

// Fresh notes that the revision in force was the newest at an instant.
func (t *Tracker) Fresh(at slugclock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.word) {
		t.word = at
	}
}

// Last returns the latest such instant.
func (t *Tracker) Last() slugclock.Instant {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.word
}

// Store notes whether the store answers, and reports whether that is new.
func (t *Tracker) Store(answers bool) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed = t.answers != answers
	t.answers = answers
	return changed
}

// StoreAnswers reports whether the last call to the store succeeded.
func (t *Tracker) StoreAnswers() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answers
}

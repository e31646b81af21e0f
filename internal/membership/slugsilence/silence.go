// Package slugsilence remembers which processes did not answer lately, so that what one task of
// a process learns of another process helps its other tasks.
//
// # Usage
//
//	s := slugsilence.New(5 * time.Second)
//	s.Failed(p)
//	sound, silent := s.Split(processes)
package slugsilence

import (
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

// Silence holds the processes that did not answer lately. It is safe for concurrent use.
type Silence struct {
	hold time.Duration

	mu sync.Mutex
	// failedAt is when the last call to a process failed, if none succeeded since.
	failedAt map[slugname.Process]time.Time
}

// New returns a Silence that forgets a failed call after hold.
func New(hold time.Duration) *Silence {
	return &Silence{hold: hold, failedAt: map[slugname.Process]time.Time{}}
}

// Failed records that a process did not answer a call.
func (s *Silence) Failed(p slugname.Process) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, at := range s.failedAt {
		if now.Sub(at) >= s.hold {
			delete(s.failedAt, other)
		}
	}
	s.failedAt[p] = now
}

// Answered records that a process answered a call.
func (s *Silence) Answered(p slugname.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.failedAt, p)
}

// Split separates processes that did not answer lately from the others. Both keep their order.
func (s *Silence) Split(list []slugname.Process) (sound, silent []slugname.Process) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range list {
		if at, failed := s.failedAt[p]; failed && now.Sub(at) < s.hold {
			silent = append(silent, p)
		} else {
			sound = append(sound, p)
		}
	}
	return sound, silent
}

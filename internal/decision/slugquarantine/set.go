package slugquarantine

import (
	"maps"
	"sync"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

// Set holds the trackers of all services. It is safe for concurrent use.
type Set struct {
	mu       sync.Mutex
	trackers map[slugname.Service]*Tracker
}

// NewSet returns an empty Set.
func NewSet() *Set { return &Set{trackers: map[slugname.Service]*Tracker{}} }

// Of returns the tracker of a service and creates it on first use.
func (s *Set) Of(service slugname.Service) *Tracker {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.trackers[service]
	if t == nil {
		t = New()
		s.trackers[service] = t
	}
	return t
}

// All returns the trackers of all services.
func (s *Set) All() map[slugname.Service]*Tracker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.trackers)
}

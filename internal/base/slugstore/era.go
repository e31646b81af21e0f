package slugstore

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Era counts the restores of the store from a copy. A restore loses the latest writes, and
// revisions are given out again, so revisions can only be compared within an era.
type Era uint64

// revisionBits is the number of bits of a Version that hold the revision.
const revisionBits = 48

// Largest era and revision that a Version can hold.
const (
	MaxEra      Era    = 1<<(64-revisionBits) - 1
	MaxRevision uint64 = 1<<revisionBits - 1
)

// NewVersion returns the version of a revision in an era. Versions are ordered by era
// first, then by revision. The arguments must not exceed MaxEra and MaxRevision.
func NewVersion(e Era, revision uint64) Version {
	return Version(uint64(e)<<revisionBits | revision&MaxRevision)
}

// Era returns the era of the version.
func (v Version) Era() Era { return Era(v >> revisionBits) }

// Revision returns the store's revision within the era.
func (v Version) Revision() uint64 { return uint64(v) & MaxRevision }

// eraState is the era of the store as far as this process knows.
type eraState struct {
	era   Era
	known bool
	// since is when this process first saw a response of the era.
	since time.Time
}

// Era returns the newest era that any response has shown, or 0 before the first one.
func (s *Store) Era() Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.era
}

// EraSeenAt returns when this process first saw a response of the newest era, or the zero
// time before the first response.
func (s *Store) EraSeenAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.since
}

// EraKnown returns a channel that is closed when the first response has shown the era.
func (s *Store) EraKnown() <-chan struct{} { return s.eraKnown }

// observeEra records the era of a response. It returns ErrStale if the response is from an
// older era than an earlier one.
func (s *Store) observeEra(e Era) error {
	s.mu.Lock()
	old := s.current
	if !old.known || e > old.era {
		s.current = eraState{era: e, known: true, since: time.Now()}
		if !old.known {
			close(s.eraKnown)
		}
	}
	s.mu.Unlock()
	switch {
	case old.known && e < old.era:
		return errors.Wrapf(ErrStale, "era %d after %d", e, old.era)
	case old.known && e > old.era && s.cfg.EraChanged != nil:
		s.cfg.EraChanged(old.era, e)
	}
	return nil
}

// observeBackend records the newest era that the backend has seen in any response, including
// those that it reported as errors.
func (s *Store) observeBackend() {
	if s.cfg.Backend.Era == nil {
		return
	}
	if e, ok := s.cfg.Backend.Era(); ok {
		// An older era is not a fault here: another call may have shown a newer one.
		_ = s.observeEra(e)
	}
}

// EraTracker finds out for a watcher whether the store was restored between two responses.
// Its zero value is ready for use. It is not safe for concurrent use.
type EraTracker struct {
	era   Era
	known bool
}

// Restored reports whether the store was restored from a copy since the last call, so that
// objects are those of the copy, together with all removals that it has caused. newest is
// the newest era of the store.
func (t *EraTracker) Restored(objects []Object, newest Era) bool {
	if len(objects) == 0 {
		return false
	}
	era := newest
	// An object that a list lacks has no version. A list without any object is taken to be
	// of the newest era.
	for _, o := range objects {
		if o.Version != 0 {
			era = o.Version.Era()
			break
		}
	}
	restored := t.known && era > t.era
	t.era, t.known = max(t.era, era), true
	return restored
}

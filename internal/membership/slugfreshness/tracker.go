// Package slugfreshness tracks the freshness of the configuration in a process: when the
// revision in effect was last confirmed to be the newest, the newest revision that peers
// have reported, and whether the store answers.
//
// # Usage
//
//	freshness := slugfreshness.New()
//	freshness.ObservePeer(inEffect, reported, at)
//	age := slugclock.Since(freshness.LastConfirmed())
package slugfreshness

import (
	"sync"

	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
)

// Tracker tracks the freshness for one follower of a configuration. Its methods are safe
// for concurrent use.
type Tracker struct {
	// newerReported holds at most one value, so that a slow reader never blocks a report.
	newerReported chan struct{}

	mu             sync.Mutex
	confirmedAt    slugclock.Instant
	newestReported slugconfig.Revision
	// newerReportedAt is when a peer first reported a revision newer than the one then in effect.
	newerReportedAt slugclock.Instant
	storeAnswers    bool
}

// New returns a Tracker that has no confirmation and no reports.
func New() *Tracker { return &Tracker{newerReported: make(chan struct{}, 1)} }

// ObservePeer takes a peer's report that a revision was the newest at an instant. A
// report of the revision in effect, or of an older one, confirms the revision in effect.
func (t *Tracker) ObservePeer(inEffect, reported slugconfig.Revision, at slugclock.Instant) {
	if reported <= inEffect {
		t.Confirm(at)
		return
	}
	t.mu.Lock()
	if t.newestReported <= inEffect {
		t.newerReportedAt = slugclock.Now()
	}
	t.newestReported = max(t.newestReported, reported)
	t.mu.Unlock()
	select {
	case t.newerReported <- struct{}{}:
	default:
	}
}

// NewerReported returns a channel that receives a value after a peer has reported a
// revision newer than the one in effect.
func (t *Tracker) NewerReported() <-chan struct{} { return t.newerReported }

// NewestReported returns the newest revision that a peer has reported to be newer than the
// one in effect.
func (t *Tracker) NewestReported() slugconfig.Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newestReported
}

// NewerReportedAt returns when a peer first reported a revision newer than the one in effect, or
// the zero Instant if none did.
func (t *Tracker) NewerReportedAt(inEffect slugconfig.Revision) slugclock.Instant {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.newestReported <= inEffect {
		return slugclock.Instant{}
	}
	return t.newerReportedAt
}

// Confirm records that the revision in effect was the newest at an instant.
func (t *Tracker) Confirm(at slugclock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.confirmedAt) {
		t.confirmedAt = at
	}
}

// LastConfirmed returns the latest instant at which the revision in effect was known to be
// the newest.
func (t *Tracker) LastConfirmed() slugclock.Instant {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmedAt
}

// SetStoreAnswers records whether the store answers, and reports whether that has changed.
func (t *Tracker) SetStoreAnswers(answers bool) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed = t.storeAnswers != answers
	t.storeAnswers = answers
	return changed
}

// StoreAnswers reports whether the last call to the store succeeded.
func (t *Tracker) StoreAnswers() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.storeAnswers
}

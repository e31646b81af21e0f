// Package slugorigin remembers which software version of a service began each stream.
//
// The load it answers: several software versions serve side by side during a release, and
// what two of them write does not fit together. A stream that breaks off is taken up at any
// host within seconds, and has to go on at the version that began it.
//
// The package keeps, for each stream, its version until the stream has certainly ended, and
// for each service the versions that were seen serving. If there was only one throughout the
// time that a stream may last, it began all streams that can still be taken up. The package
// performs no I/O.
//
// # Usage
//
//	m := slugorigin.New()
//	m.Observe(service, versions, now)
//	m.Confirm(currentAt)
//	m.Record(slugorigin.NewKey(service, requestID), version, now.Add(limit), now)
//	v, ok := m.Find(key, now)
package slugorigin

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

// Key identifies the request that began a stream.
type Key uint64

// NewKey returns the key of a request to a service.
func NewKey(s slugname.Service, requestID string) Key {
	return Key(xxhash.Sum64String(string(s) + "\x00" + requestID))
}

// Origin is the software version that began a stream, as exchanged between processes.
type Origin struct {
	_       struct{} `cbor:",toarray"`
	Key     Key
	Version slugname.SoftwareVersion
	// LeftMs is how long the stream may still be taken up, in milliseconds.
	LeftMs uint32
}

// UnknownVersion stands for the software version of an endpoint whose start is not known: it may
// have started again as another version than its entry says. No entry can name it, since it is
// not a word. A stream that began at it goes on at no version.
const UnknownVersion slugname.SoftwareVersion = "unknown start"

// Observation is what a process has seen of the versions of a service.
type Observation struct {
	// Versions served within the time asked for.
	Versions []slugname.SoftwareVersion
	// Complete is set if the process has observed the service for all of that time, and does
	// so now.
	Complete bool
}

// Span is a time in which a process observed all services without interruption.
type Span struct {
	From, To slugclock.Instant
}

const (
	// MaxGap is the longest time between two confirmations that does not interrupt an
	// observation. A host may be without a confirmation for so long as it moves to another
	// watcher. A version that joins and leaves within it may be missed.
	MaxGap = 3 * time.Second
	// maxOrigins bounds the streams that are remembered.
	maxOrigins = 1 << 16
	// maxLeft bounds the time for which peers may report a stream.
	maxLeft = time.Hour
	// pruneInterval is the time between removals of streams that have ended.
	pruneInterval = time.Second
)

// origin is what is remembered of a stream.
type origin struct {
	version slugname.SoftwareVersion
	until   time.Time
}

// Memory holds the origins of streams. It is safe for concurrent use.
type Memory struct {
	mu      sync.Mutex
	origins map[Key]origin
	// unshared are the streams that this process began and has told no other of.
	unshared []Key
	// urgent are those that peers must know at once, since nobody may take them for streams of
	// the only version that entries name.
	urgent []Key
	// seenAt is when each version of a service was last seen.
	seenAt map[slugname.Service]map[slugname.SoftwareVersion]time.Time
	// span ends at the instant up to which the observed list of endpoints was current.
	span Span
	// confirmed is closed at the next confirmation, and then replaced.
	confirmed chan struct{}
	prunedAt  time.Time
}

// New returns an empty Memory.
func New() *Memory {
	return &Memory{origins: map[Key]origin{}, seenAt: map[slugname.Service]map[slugname.SoftwareVersion]time.Time{}, confirmed: make(chan struct{})}
}

// Record records a stream of this process that may be taken up until a time.
func (m *Memory) Record(k Key, v slugname.SoftwareVersion, until, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.prune(now)
	if len(m.origins) >= maxOrigins {
		return
	}
	if v == UnknownVersion || m.origins[k].version == UnknownVersion {
		m.urgent = append(m.urgent, k)
	}
	m.origins[k] = origin{v, until}
	m.unshared = append(m.unshared, k)
}

// Find returns the version that began a stream.
func (m *Memory) Find(k Key, now time.Time) (slugname.SoftwareVersion, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.origins[k]
	return o.version, ok && now.Before(o.until)
}

// Unshared returns the streams of this process that it did not return before.
func (m *Memory) Unshared(now time.Time) []Origin {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.list(m.unshared, now)
	m.unshared = nil
	return out
}

// Urgent returns the streams of this process that began at an unknown version, or whose
// version has been found out since, and that it did not return before.
func (m *Memory) Urgent(now time.Time) []Origin {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.list(m.urgent, now)
	m.urgent = nil
	return out
}

// list returns the streams with the given keys that may still be taken up. The caller must
// hold m.mu.
func (m *Memory) list(keys []Key, now time.Time) (out []Origin) {
	for _, k := range keys {
		if o, ok := m.origins[k]; ok && now.Before(o.until) {
			out = append(out, Origin{Key: k, Version: o.version, LeftMs: uint32(o.until.Sub(now).Milliseconds())})
		}
	}
	return out
}

// Merge adds streams of a peer.
func (m *Memory) Merge(list []Origin, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.prune(now)
	for _, o := range list {
		if len(m.origins) < maxOrigins {
			m.origins[o.Key] = origin{o.Version, now.Add(min(time.Duration(o.LeftMs)*time.Millisecond, maxLeft))}
		}
	}
}

// Observe records the versions of which endpoints of a service may run streams.
func (m *Memory) Observe(s slugname.Service, versions []slugname.SoftwareVersion, now time.Time) {
	if len(versions) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := m.seenAt[s]
	if seen == nil {
		seen = map[slugname.SoftwareVersion]time.Time{}
		m.seenAt[s] = seen
	}
	for _, v := range versions {
		seen[v] = now
	}
	for v, at := range seen {
		if now.Sub(at) > maxLeft {
			delete(seen, v)
		}
	}
}

// Confirm records that the versions of all services that were current at an instant have been
// passed to Observe.
func (m *Memory) Confirm(at slugclock.Instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !at.After(m.span.To) {
		return
	}
	if m.span.To.IsZero() || at.Sub(m.span.To) > MaxGap {
		m.span.From = at
	}
	m.span.To = at
	close(m.confirmed)
	m.confirmed = make(chan struct{})
}

// Span returns the last span of observation, which is zero before the first confirmation.
func (m *Memory) Span() Span {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.span
}

// AwaitConfirmation waits until the list of endpoints is known to have been current at an
// instant, or later, and reports false if ctx ends before.
func (m *Memory) AwaitConfirmation(ctx context.Context, at slugclock.Instant) bool {
	for {
		m.mu.Lock()
		to, confirmed := m.span.To, m.confirmed
		m.mu.Unlock()
		if !at.After(to) {
			return true
		}
		select {
		case <-confirmed:
		case <-ctx.Done():
			return false
		}
	}
}

// Observed returns the versions of a service that were seen within a time before now.
func (m *Memory) Observed(s slugname.Service, within time.Duration, now slugclock.Instant) Observation {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := Observation{Complete: !m.span.To.IsZero() && now.Sub(m.span.To) <= MaxGap && now.Sub(m.span.From) >= within}
	for v, at := range m.seenAt[s] {
		if now.Time().Sub(at) <= within {
			o.Versions = append(o.Versions, v)
		}
	}
	slices.Sort(o.Versions)
	return o
}

// Services returns the services that were observed.
func (m *Memory) Services() []slugname.Service {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.seenAt))
}

// Mixed reports whether streams of any service may have begun at different versions within a
// time before now, as far as this process knows.
func (m *Memory) Mixed(within time.Duration, now slugclock.Instant) bool {
	return slices.ContainsFunc(m.Services(), func(s slugname.Service) bool {
		o := m.Observed(s, within, now)
		return !o.Complete || len(o.Versions) > 1
	})
}

// prune forgets streams that have ended. The caller must hold m.mu.
func (m *Memory) prune(now time.Time) {
	if now.Sub(m.prunedAt) < pruneInterval {
		return
	}
	m.prunedAt = now
	for k, o := range m.origins {
		if !now.Before(o.until) {
			delete(m.origins, k)
		}
	}
	m.unshared = slices.DeleteFunc(m.unshared, func(k Key) bool {
		_, ok := m.origins[k]
		return !ok
	})
}

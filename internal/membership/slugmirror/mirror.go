// Package slugmirror mirrors the objects of the platform's store that a process follows,
// and serves them to its peers, so that only a few processes need to watch the store.
//
// A peer asks for the changes after a version by long polling: the call stays open until
// there is a change or its wait is over. Each answer says when the mirror was last known
// to be current.
//
// # Usage
//
//	m := slugmirror.New()
//	go store.Watch(ctx, slugstore.Watcher{Prefix: "servers/", SharedWatch: slugstore.SharedWatch{OnUpdate: m.Apply}, OnChange: onChange})
//	changes := m.Follow(after, time.Second)
package slugmirror

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
)

// maxChanges is the number of responses of the store that are kept as changes. A peer that
// is further behind gets all objects.
const maxChanges = 64

// change is one incremental response of the store.
type change struct {
	revision slugstore.Version
	values   []slugstore.Value
}

// Mirror mirrors the objects under one prefix. Its methods are safe for concurrent use.
type Mirror struct {
	mu       sync.Mutex
	values   map[string]slugstore.Value
	revision slugstore.Version
	// completeAfter is the version after which every change is kept in changes.
	completeAfter slugstore.Version
	changes       []change
	// current is the latest instant at which the store had no change beyond revision.
	current slugclock.Instant
	// changed is closed at the next change, and then replaced.
	changed chan struct{}
	closed  bool
}

// New returns an empty Mirror.
func New() *Mirror {
	return &Mirror{values: map[string]slugstore.Value{}, changed: make(chan struct{})}
}

// Apply applies a response to the watch of this process. Responses older than the mirror
// are ignored.
func (m *Mirror) Apply(update slugstore.Changes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if update.Revision < m.revision {
		return
	}
	if update.CurrentAt.After(m.current) {
		m.current = update.CurrentAt
	}
	switch {
	case update.Complete:
		m.replaceAll(update)
	case len(update.Values) > 0:
		m.applyChanges(update)
	default:
		m.revision = update.Revision
		return
	}
	m.notifyWaiters()
}

// replaceAll replaces all objects; m.mu must be held. Within an era of the store it keeps what
// differs as a change: a store that forgets its history makes each watcher list all objects,
// and if all its followers then got all objects too, their transfer would fill the links of
// small hosts, so that the followers time out, ask others, and get all objects again.
func (m *Mirror) replaceAll(update slugstore.Changes) {
	if m.revision != 0 && m.revision.Era() == update.Revision.Era() {
		update.Values = m.differences(update)
		if len(update.Values) > 0 {
			m.applyChanges(update)
		}
		m.revision = update.Revision
		return
	}
	clear(m.values)
	for _, v := range update.Values {
		m.values[v.Name] = v
	}
	m.changes, m.completeAfter, m.revision = nil, update.Revision, update.Revision
}

// differences returns what a list of all objects changes in the mirror; m.mu must be held.
func (m *Mirror) differences(list slugstore.Changes) (out []slugstore.Value) {
	listed := make(map[string]bool, len(list.Values))
	for _, v := range list.Values {
		listed[v.Name] = true
		if known, ok := m.values[v.Name]; !ok || known.Version != v.Version || !bytes.Equal(known.Bytes, v.Bytes) {
			out = append(out, v)
		}
	}
	for name := range m.values {
		if !listed[name] {
			out = append(out, slugstore.Value{Name: name, Version: list.Revision})
		}
	}
	return out
}

// applyChanges applies the changes of a response; m.mu must be held.
func (m *Mirror) applyChanges(update slugstore.Changes) {
	for _, v := range update.Values {
		if v.Bytes == nil {
			delete(m.values, v.Name)
		} else {
			m.values[v.Name] = v
		}
	}
	m.revision = update.Revision
	m.changes = append(m.changes, change{update.Revision, update.Values})
	if len(m.changes) > maxChanges {
		m.completeAfter = m.changes[0].revision
		m.changes = slices.Clone(m.changes[1:])
	}
}

// notifyWaiters makes waiting calls check for changes; m.mu must be held.
func (m *Mirror) notifyWaiters() {
	if m.closed {
		return
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// Close ends all waiting calls. Later calls of Follow do not wait.
func (m *Mirror) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed {
		m.closed = true
		close(m.changed)
	}
}

// Follow returns the changes after a version, or all objects if the mirror no longer keeps
// all changes since then; version 0 asks for all objects. It waits until there is
// something to return or the wait is over. Revision 0 in the answer means that the mirror
// is still empty.
func (m *Mirror) Follow(after slugstore.Version, wait time.Duration) slugstore.Changes {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		update, changed, closed := m.updatesAfter(after)
		if closed || update.Complete || len(update.Values) > 0 {
			return update
		}
		select {
		case <-changed:
		case <-timer.C:
			update, _, _ = m.updatesAfter(after)
			return update
		}
	}
}

// updatesAfter returns what is known after a version without waiting, and a channel that is
// closed at the next change.
func (m *Mirror) updatesAfter(after slugstore.Version) (update slugstore.Changes, changed <-chan struct{}, closed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	update.CurrentAt = m.current
	changed, closed = m.changed, m.closed
	switch {
	case m.revision == 0:
	case after >= m.revision:
		// The peer may be ahead of this mirror.
		update.Revision = after
	case after < m.completeAfter || after == 0:
		update.Complete, update.Revision = true, m.revision
		for _, v := range m.values {
			update.Values = append(update.Values, v)
		}
	default:
		update.Revision = m.revision
		update.Values = m.changesAfter(after)
	}
	slices.SortFunc(update.Values, func(a, b slugstore.Value) int { return cmp.Compare(a.Name, b.Name) })
	return update, changed, closed
}

// changesAfter returns the last change of each object that changed after a version; m.mu
// must be held.
func (m *Mirror) changesAfter(after slugstore.Version) []slugstore.Value {
	last := map[string]slugstore.Value{}
	for _, c := range m.changes {
		if c.revision <= after {
			continue
		}
		for _, value := range c.values {
			last[value.Name] = value
		}
	}
	out := make([]slugstore.Value, 0, len(last))
	for _, value := range last {
		out = append(out, value)
	}
	return out
}

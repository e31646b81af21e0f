// Package slugmirror keeps the objects of the platform's store that a process follows,
// and hands them on to peers, so that few processes need to watch the store.
//
// A peer asks for what changed after a version, and the call stays open until there is
// something. An answer says how old the process's own knowledge is.
//
// # Usage
//
//	m := slugmirror.New()
//	go store.Watch(ctx, slugstore.Watcher{Prefix: "servers/", Sharing: slugstore.Sharing{Told: m.Take}, Changed: changed})
//	news := m.Follow(after, time.Second)
package slugmirror

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
)

// keptChanges is the number of answers of the store that are kept as changes. A peer
// that is further behind gets all objects.
const keptChanges = 64

// change is what one answer of the store told.
type change struct {
	revision slugstore.Version
	values   []slugstore.Value
}

// Mirror keeps the objects under one prefix. Its methods may be called from many
// goroutines.
type Mirror struct {
	mu       sync.Mutex
	values   map[string]slugstore.Value
	revision slugstore.Version
	// floor is the version after which all changes are kept.
	floor   slugstore.Version
	changes []change
	current slugclock.Instant
	// changed is closed at the next change.
	changed chan struct{}
	closed  bool
}

// New returns a Mirror that knows nothing.
func New() *Mirror {
	return &Mirror{values: map[string]slugstore.Value{}, changed: make(chan struct{})}
}

// Take takes an answer to this process's own watch.
func (m *Mirror) Take(n slugstore.News) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n.Revision < m.revision {
		return
	}
	if n.Current.After(m.current) {
		m.current = n.Current
	}
	switch {
	case n.Whole:
		m.replace(n)
	case len(n.Values) > 0:
		m.add(n)
	default:
		m.revision = n.Revision
		return
	}
	m.wake()
}

// replace takes all objects; m.mu is held.
func (m *Mirror) replace(n slugstore.News) {
	clear(m.values)
	for _, v := range n.Values {
		m.values[v.Name] = v
	}
	m.changes, m.floor, m.revision = nil, n.Revision, n.Revision
}

// add takes changes; m.mu is held.
func (m *Mirror) add(n slugstore.News) {
	for _, v := range n.Values {
		if v.Bytes == nil {
			delete(m.values, v.Name)
		} else {
			m.values[v.Name] = v
		}
	}
	m.revision = n.Revision
	m.changes = append(m.changes, change{n.Revision, n.Values})
	if len(m.changes) > keptChanges {
		m.floor = m.changes[0].revision
		m.changes = slices.Clone(m.changes[1:])
	}
}

// wake lets the calls that wait look again; m.mu is held.
func (m *Mirror) wake() {
	if m.closed {
		return
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// Close ends the calls that wait.
func (m *Mirror) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed {
		m.closed = true
		close(m.changed)
	}
}

// Follow returns what changed after a version, or all objects if not all changes since
// then are known; version 0 asks for all. It waits as long as there is nothing new.
// News of revision 0 says that this process knows nothing yet.
func (m *Mirror) Follow(after slugstore.Version, wait time.Duration) slugstore.News {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		n, changed, closed := m.news(after)
		if closed || n.Whole || len(n.Values) > 0 {
			return n
		}
		select {
		case <-changed:
		case <-timer.C:
			n, _, _ = m.news(after)
			return n
		}
	}
}

// news returns what there is now, and a channel that is closed at the next change.
func (m *Mirror) news(after slugstore.Version) (n slugstore.News, changed <-chan struct{}, closed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n.Current = m.current
	changed, closed = m.changed, m.closed
	switch {
	case m.revision == 0:
	case after >= m.revision:
		// The asker may know more than this process.
		n.Revision = after
	case after < m.floor || after == 0:
		n.Whole, n.Revision = true, m.revision
		for _, v := range m.values {
			n.Values = append(n.Values, v)
		}
	default:
		n.Revision = m.revision
		n.Values = m.after(after)
	}
	slices.SortFunc(n.Values, func(a, b slugstore.Value) int { return cmp.Compare(a.Name, b.Name) })
	return n, changed, closed
}

// after returns the last change of each object that changed after a version; m.mu is
// held.
func (m *Mirror) after(v slugstore.Version) []slugstore.Value {
	last := map[string]slugstore.Value{}
	for _, c := range m.changes {
		if c.revision <= v {
			continue
		}
		for _, x := range c.values {
			last[x.Name] = x
		}
	}
	out := make([]slugstore.Value, 0, len(last))
	for _, x := range last {
		out = append(out, x)
	}
	return out
}

package slugpeer

import (
	"slices"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
)

// Status is a row with what is known about its owner.
type Status struct {
	Row
	// Alive reports that the heartbeat grew recently, so messages from the owner arrive
	// here, directly or through other processes.
	Alive bool
	// HeardLately is set if the heartbeat grew so recently that the owner most likely is not
	// cut off from this process. A single process may lack it although it is alive.
	HeardLately bool
	// LastConfirmed is when the configuration of the owner was last confirmed to be the
	// newest.
	LastConfirmed slugclock.Instant
}

// Statuses returns all rows, ordered by process. The row of this process is included.
func (t *Table) Statuses() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	timeout, partition := t.aliveTimeout(), t.partitionTimeout()
	out := make([]Status, 0, len(t.rows))
	for id, state := range t.rows {
		if state.row.Process == "" {
			continue
		}
		s := Status{Row: state.row, Alive: t.heardWithin(id, timeout, now), HeardLately: t.heardWithin(id, partition, now), LastConfirmed: state.confirmedAt}
		if id == t.self {
			s.LastConfirmed = t.cfg.LastConfirmed()
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Status) int {
		if a.Process < b.Process {
			return -1
		}
		return 1
	})
	return out
}

// Alive reports whether the heartbeat of a process grew recently.
func (t *Table) Alive(p slugname.Process) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heardWithin(slugmember.IDOf(p), t.aliveTimeout(), time.Now())
}

// heardWithin reports whether a process is this one, or was heard within a time and has not been
// replaced; t.mu must be held.
func (t *Table) heardWithin(id slugmember.ID, limit time.Duration, now time.Time) bool {
	state := t.rows[id]
	return id == t.self || state != nil && state.row.Process != "" && !t.replaced(id) && now.Sub(state.heartbeatAt) < limit
}

// slot is what one process at a time runs in: a host, for each kind of process.
type slot struct {
	host slugname.Host
	kind slugmember.Kind
	// process is set for processes whose host is not known.
	process slugname.Process
}

// slotOf returns the slot of the process with a row.
func slotOf(r Row) slot {
	if r.Host == "" {
		return slot{process: r.Process}
	}
	return slot{host: r.Host, kind: r.Kind}
}

// heard records that the heartbeat of a process may have grown; t.mu must be held. Heartbeats
// decide which process of a slot is the latest, since the wall clocks of hosts may jump.
func (t *Table) heard(id slugmember.ID) {
	state := t.rows[id]
	s := slotOf(state.row)
	latest := t.rows[t.latest[s]]
	if latest == nil || !latest.heartbeatAt.After(state.heartbeatAt) {
		t.latest[s] = id
	}
}

// replaced reports whether another process of the slot was heard later; t.mu must be held.
func (t *Table) replaced(id slugmember.ID) bool {
	return t.latest[slotOf(t.rows[id].row)] != id
}

// forget removes a row; t.mu must be held.
func (t *Table) forget(id slugmember.ID) {
	if s := slotOf(t.rows[id].row); t.latest[s] == id {
		delete(t.latest, s)
	}
	delete(t.rows, id)
}

// splitByLiveness returns the other processes that have not been replaced, separated into live and
// silent ones.
func (t *Table) splitByLiveness() (alive, silent []slugmember.Record) {
	now := time.Now()
	peers := t.cfg.Peers()
	t.mu.Lock()
	defer t.mu.Unlock()
	timeout := t.aliveTimeout()
	for _, p := range peers {
		id := slugmember.IDOf(p.Process)
		state := t.rows[id]
		switch {
		case id == t.self || state != nil && t.replaced(id):
		case t.heardWithin(id, timeout, now):
			alive = append(alive, p)
		default:
			silent = append(silent, p)
		}
	}
	return alive, silent
}

// aliveTimeout returns how long a process counts as alive after its last heartbeat. Heartbeats
// reach most processes through others, in a few rounds. It grows with the number of rows, because a digest then holds only some of them; t.mu must
// be held.
func (t *Table) aliveTimeout() time.Duration {
	return max(t.partitionTimeout(), aliveRounds*t.cfg.Interval()*time.Duration(t.digests()))
}

// partitionTimeout returns the age of heartbeats at which most processes being silent shows
// that this one is cut off; t.mu must be held.
func (t *Table) partitionTimeout() time.Duration {
	return baseAliveTimeout * time.Duration(t.digests())
}

// digests returns the number of digests that hold the rows of all processes that have not been
// replaced; t.mu must be held.
func (t *Table) digests() int { return 1 + len(t.latest)/maxDigestRows }

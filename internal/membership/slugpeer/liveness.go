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
		age := now.Sub(state.heartbeatAt)
		s := Status{Row: state.row, Alive: id == t.self || age < timeout, HeardLately: id == t.self || age < partition, LastConfirmed: state.confirmedAt}
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
	id := slugmember.IDOf(p)
	state := t.rows[id]
	return id == t.self || state != nil && state.row.Process != "" && time.Since(state.heartbeatAt) < t.aliveTimeout()
}

// splitByLiveness returns the other processes, separated into live and silent ones.
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
		case id == t.self:
		case state != nil && state.row.Process != "" && now.Sub(state.heartbeatAt) < timeout:
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

// digests returns the number of digests that hold all rows; t.mu must be held.
func (t *Table) digests() int { return 1 + len(t.rows)/maxDigestRows }

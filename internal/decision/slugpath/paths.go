// Package slugpath decides whether connections to an endpoint are opened directly or through a
// peer, from what direct attempts and attempts of peers have shown.
//
// The load it answers: a process loses its links to some or all endpoints, while its peers still
// reach both. New connections are refused or get no answer. Each endpoint that it fails to reach
// looks dead to it, but what has failed is the path. An endpoint is only blamed if peers do not
// reach it either.
//
// A path counts as lost if a peer reaches the endpoint while direct attempts fail. It counts as
// restored as soon as a direct attempt succeeds. If paths to several endpoints are lost and no
// direct attempt succeeds any more, the process itself is cut off, and other paths are not given
// time before a peer is asked. The package performs no I/O.
//
// # Usage
//
//	p := slugpath.New()
//	plan := p.Plan(address, time.Now())
//	p.Reached(address, time.Now())
package slugpath

import (
	"sync"
	"time"
)

const (
	// patience is how long a direct attempt may take before a peer is asked as well. Handshakes
	// take a few milliseconds, and a second more if a packet is lost.
	patience = 150 * time.Millisecond
	// unreachedHold is how long peers are not asked again for an endpoint that none of them
	// reached.
	unreachedHold = 500 * time.Millisecond
	// retryInterval is the time between direct attempts while a path is lost.
	retryInterval = 250 * time.Millisecond
	// minLost is the number of lost paths from which a process may be cut off from all endpoints.
	minLost = 2
	// forgetAfter is how long an address that is not used is remembered. It may be that of an endpoint
	// that is gone, which must not count as lost for long.
	forgetAfter = time.Minute
	// pruneInterval is the time between removals of addresses that are forgotten.
	pruneInterval = 10 * time.Second
)

// Plan says how to open a connection.
type Plan struct {
	// Direct is set if a direct attempt is to be made.
	Direct bool
	// Peers is set if peers may be asked, unless the direct attempt has succeeded after
	// PeersAfter.
	Peers      bool
	PeersAfter time.Duration
}

// path is what is known of the path to one address.
type path struct {
	// lostAt is when the path was found to be lost, zero if it is not.
	lostAt time.Time
	// reachedAt is when a direct attempt last succeeded.
	reachedAt time.Time
	// failures is the number of direct attempts that have failed since the path was found to be
	// lost, the first of which began at failingSince.
	failures     int
	failingSince time.Time
	// triedAt is when a direct attempt was last planned.
	triedAt time.Time
	// unreachedAt is when no peer reached the address either.
	unreachedAt time.Time
	usedAt      time.Time
}

// Paths holds the paths from this process to endpoints. It is safe for concurrent use.
type Paths struct {
	mu       sync.Mutex
	paths    map[string]*path
	lost     int
	prunedAt time.Time
	// reachedAt is when a direct attempt last succeeded.
	reachedAt time.Time
	// lostAt is when the last path was lost.
	lostAt time.Time
}

// New returns a Paths without any lost path.
func New() *Paths { return &Paths{paths: map[string]*path{}} }

// at returns what is known of the path to an address. The caller must hold p.mu.
func (p *Paths) at(address string, now time.Time) *path {
	if now.Sub(p.prunedAt) >= pruneInterval {
		p.prune(now)
	}
	x := p.paths[address]
	if x == nil {
		x = &path{}
		p.paths[address] = x
	}
	x.usedAt = now
	return x
}

// prune forgets the addresses that have not been used for forgetAfter. The caller must hold p.mu.
func (p *Paths) prune(now time.Time) {
	p.prunedAt = now
	for address, x := range p.paths {
		if now.Sub(x.usedAt) > forgetAfter {
			p.restore(x)
			delete(p.paths, address)
		}
	}
}

// Plan returns how to open a connection to an address now.
func (p *Paths) Plan(address string, now time.Time) Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.at(address, now)
	peers := now.Sub(x.unreachedAt) >= unreachedHold
	switch {
	case !x.lostAt.IsZero():
		retry := now.Sub(x.triedAt) >= retryInterval
		if retry || !peers {
			x.triedAt = now
		}
		return Plan{Direct: retry || !peers, Peers: peers}
	case p.cutOff():
		x.triedAt = now
		return Plan{Direct: true, Peers: peers}
	}
	x.triedAt = now
	return Plan{Direct: true, Peers: peers, PeersAfter: patience}
}

// cutOff reports whether the process seems to reach no endpoint. The caller must hold p.mu.
func (p *Paths) cutOff() bool { return p.lost >= minLost && p.lostAt.After(p.reachedAt) }

// Reached records that a direct attempt has succeeded, and reports whether the path was lost.
func (p *Paths) Reached(address string, now time.Time) (restored bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reachedAt = now
	x := p.at(address, now)
	x.reachedAt, x.unreachedAt = now, time.Time{}
	return p.restore(x)
}

// restore makes a path count as not lost, and reports whether it was. The caller must hold p.mu.
func (p *Paths) restore(x *path) bool {
	if x.lostAt.IsZero() {
		return false
	}
	x.lostAt = time.Time{}
	p.lost--
	return true
}

// Loss is what a direct attempt shows that failed while a peer reached the endpoint.
type Loss struct {
	// New is set if the path was not lost before.
	New bool
	// CutOff is set if this process has just begun to seem cut off from all endpoints.
	CutOff bool
	// SilentSince is set if open connections on which nothing has arrived since then are as dead
	// as the attempts. A single attempt fails if two packets are lost as well.
	SilentSince time.Time
}

// minFailures is the number of direct attempts that must fail before open connections count as
// dead, unless the process seems cut off.
const minFailures = 2

// Lost records that a peer reached an address to which a direct attempt since the given time has
// failed. An attempt that began before one that succeeded says nothing of the path now.
func (p *Paths) Lost(address string, since, now time.Time) (l Loss) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x, before := p.at(address, now), p.cutOff()
	if !x.reachedAt.Before(since) {
		return Loss{}
	}
	if x.lostAt.IsZero() {
		l.New, x.lostAt, x.failures, x.failingSince = true, now, 0, since
		p.lost++
	}
	x.failures++
	p.lostAt = now
	l.CutOff = !before && p.cutOff()
	if x.failures >= minFailures || p.cutOff() {
		l.SilentSince = x.failingSince
	}
	return l
}

// Unreached records that no peer reached an address either.
func (p *Paths) Unreached(address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at(address, now).unreachedAt = now
}

// IsLost reports whether the path to an address is lost.
func (p *Paths) IsLost(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.paths[address]
	return x != nil && !x.lostAt.IsZero()
}

// Status summarizes the paths.
type Status struct {
	// Lost is the number of lost paths.
	Lost int
	// CutOff is set if this process seems to reach no endpoint.
	CutOff bool
	// ReachedAt is when a direct attempt last succeeded, zero if none has.
	ReachedAt time.Time
}

// Status returns a summary of the paths.
func (p *Paths) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Status{Lost: p.lost, CutOff: p.cutOff(), ReachedAt: p.reachedAt}
}

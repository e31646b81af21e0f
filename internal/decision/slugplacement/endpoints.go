package slugplacement

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// SetEndpoints replaces the endpoints that accept new work. The state of an endpoint is kept
// until it restarts, also while it is not among them for up to awayTTL.
func (p *Placer) SetEndpoints(endpoints []Endpoint, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.EqualFunc(endpoints, p.list, func(e Endpoint, s *endpointState) bool { return e == s.Endpoint }) {
		return
	}
	next := make(map[slugname.Endpoint]*endpointState, len(endpoints))
	p.list = p.list[:0]
	for _, e := range endpoints {
		s := p.stateOf(e)
		p.noteListed(s, e, now)
		if s.Role != e.Role {
			s.cache = newCache(e.CacheTokens)
		}
		s.Endpoint = e
		next[e.Name] = s
		p.list = append(p.list, s)
		delete(p.away, e.Name)
	}
	for name, s := range p.byName {
		if next[name] == nil {
			p.away[name] = awayEndpoint{s, now}
		}
	}
	maps.DeleteFunc(p.deferrals, func(name slugname.Endpoint, d *deferral) bool { return next[name] == nil && d.line.Len() == 0 })
	maps.DeleteFunc(p.away, func(_ slugname.Endpoint, a awayEndpoint) bool { return now.Sub(a.since) > awayTTL })
	p.byName = next
}

// stateOf returns what is known of an incarnation of an endpoint. The caller must hold p.mu.
func (p *Placer) stateOf(e Endpoint) *endpointState {
	s := p.byName[e.Name]
	if s == nil {
		s = p.away[e.Name].state
	}
	if s == nil || s.Incarnation != e.Incarnation {
		s = &endpointState{hash: xxhash.Sum64String(string(e.Name)), cache: newCache(e.CacheTokens), slowness: 1}
	}
	return s
}

// RecordCacheReport records a cache report of an endpoint: parts with tokens are cached,
// parts without are not. fresh means that the report replaces everything known of the cache.
func (p *Placer) RecordCacheReport(e slugname.Endpoint, parts []Part, fresh bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byName[e]
	if s == nil {
		return
	}
	if fresh {
		s.cache = newCache(s.CacheTokens)
	}
	s.cache.reported = true
	for _, part := range parts {
		if part.Tokens > 0 {
			s.cache.add(part)
		} else {
			s.cache.remove(part.ID)
		}
	}
}

// SetPeerLoads replaces the load reported by other processes.
func (p *Placer) SetPeerLoads(loads map[slugname.Endpoint]Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, s := range p.byName {
		s.others = loads[name]
	}
}

// OwnLoads returns this process's load at each endpoint, without endpoints that have none.
func (p *Placer) OwnLoads() map[slugname.Endpoint]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[slugname.Endpoint]Load{}
	for name, s := range p.byName {
		if s.own != (Load{}) {
			out[name] = s.own
		}
	}
	return out
}

// Len returns the number of endpoints with a role, or of all endpoints for an empty
// role.
func (p *Placer) Len(r slugplan.Role) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.list {
		if r == "" || s.Role == r {
			n++
		}
	}
	return n
}

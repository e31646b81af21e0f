package slugplacement

import (
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// wantsRequests reports whether an endpoint neither leaves nor asked to be left alone,
// according to its responses to this host. The caller must hold p.mu.
func (p *Placer) wantsRequests(s *endpointState, now time.Time) bool {
	wait, leaving := p.cfg.Notices.Wait(s.Name, s.Incarnation, now)
	return wait == 0 && !leaving
}

// WantsRequests reports whether the chosen endpoint is still listed and wants requests. It is
// called immediately before the request is sent, since the request may have waited.
func (c *Choice) WantsRequests(now time.Time) bool {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	return c.p.byName[c.Name] == c.state && c.p.wantsRequests(c.state, now)
}

// Accepts reports whether an endpoint with a role can get a request now, or there is none
// with the role. If a software version is given, it takes one of that version.
func (p *Placer) Accepts(r slugplan.Role, v slugname.SoftwareVersion, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := false
	for _, s := range p.list {
		if s.Role != r || v != "" && s.Version != v {
			continue
		}
		if p.wantsRequests(s, now) && p.hasPermit(s) {
			return true
		}
		found = true
	}
	return !found && v == ""
}

// UntilWanted returns the time until the first endpoint with a role wants requests again. It
// is 0 if one wants requests now, or if none with the role asked to be left alone.
func (p *Placer) UntilWanted(r slugplan.Role, now time.Time) (shortest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.list {
		if s.Role != r {
			continue
		}
		wait, leaving := p.cfg.Notices.Wait(s.Name, s.Incarnation, now)
		switch {
		case leaving:
		case wait == 0:
			return 0
		case shortest == 0 || wait < shortest:
			shortest = wait
		}
	}
	return shortest
}

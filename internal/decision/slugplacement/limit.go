package slugplacement

import (
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpermit"
)

// Limit is the rate limit that a response of an endpoint states.
type Limit struct {
	// Stated is set if the response states a limit.
	Stated bool
	// PerSecond is the number of requests per second from all hosts together.
	PerSecond float64
}

// hasPermit reports whether the rate limit of an endpoint, if it has one, allows this host a
// request. The caller must hold p.mu.
func (p *Placer) hasPermit(s *endpointState) bool {
	return s.permits == nil || s.permits.Available(p.cfg.Share(), p.cfg.Clock())
}

// TakePermit takes a permit to send a request to the chosen endpoint, and reports whether
// there was one. It is called immediately before the request is sent.
func (c *Choice) TakePermit() bool {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	return c.state.permits == nil || c.state.permits.Take(c.p.cfg.Share(), c.p.cfg.Clock())
}

// RecordLimit records what a response of the endpoint to a request that was sent at the
// given time states about its rate limit, and reports whether that is new. A response that
// states no limit ends the limit, unless it may have been given before the limit was stated.
func (c *Choice) RecordLimit(l Limit, sentAt, now time.Time) (changed bool) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	s := c.state
	switch {
	case !l.Stated:
		if s.permits == nil || !sentAt.After(s.limitedAt) {
			return false
		}
		s.permits = nil
		return true
	case s.permits == nil:
		s.permits, changed = slugpermit.New(l.PerSecond, c.p.cfg.Clock()), true
	default:
		s.permits.SetLimit(l.PerSecond)
	}
	s.limitedAt = now
	return changed
}

// Share returns the place of this host among all hosts that share the limit of the endpoint.
func (c *Choice) Share() slugpermit.Share { return c.p.cfg.Share() }

// Limited returns the endpoints that have a rate limit.
func (p *Placer) Limited() []slugname.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []slugname.Endpoint
	for _, s := range p.list {
		if s.permits != nil {
			out = append(out, s.Name)
		}
	}
	return out
}

package slugplacement

import (
	"math/rand/v2"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugbacklog"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpace"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// PromptEnd is the end of a prompt's processing, as its sender reports it to the owner of the
// endpoint.
type PromptEnd struct {
	slugbacklog.End
	Endpoint   slugname.Endpoint
	DataCentre slugname.DataCentre
	// Factor is how many times longer than usual work took at the endpoint at FactorAt, or 0
	// if that is not known.
	Factor   float64
	FactorAt time.Time
}

// newTicket returns a random ticket.
func newTicket() slugbacklog.Ticket {
	return slugbacklog.Ticket(max(1, rand.Uint32()))
}

// reportEnd reports the end of an announced prompt to the owner of the endpoint. What was not
// sent is withdrawn instead if the owner answered. The caller must hold p.mu.
func (c *Choice) reportEnd(o Outcome, sent bool, now time.Time) {
	if c.stage != slugplan.RolePrefill || c.job.Ticket == 0 || !sent && c.FromOwner || c.p.cfg.PromptEnded == nil {
		return
	}
	e := PromptEnd{End: slugbacklog.End{Ticket: c.job.Ticket, At: now, Served: o == Served}, Endpoint: c.Name, DataCentre: c.DataCentre}
	e.Factor, e.FactorAt = c.state.load.LastFactor()
	if c.p.cfg.PromptEnded(e) {
		c.p.recordEnd(e, now)
	}
}

// RecordEnd records the end of a prompt at an endpoint of which this process is the owner.
func (p *Placer) RecordEnd(e PromptEnd, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setReporting()
	p.recordEnd(e, now)
}

// recordEnd removes the prompt from the backlog of the endpoint and learns how fast that is.
// The caller must hold p.mu.
func (p *Placer) recordEnd(e PromptEnd, now time.Time) {
	m := p.backlog.End(e.Endpoint, e.End, p.cfg.Pace.Fixed())
	s := p.byName[e.Endpoint]
	if s == nil {
		return
	}
	s.load.RecordFactor(e.Factor, e.FactorAt)
	s.load.RecordWork(m.Took, time.Duration(float64(m.Nominal)*s.load.Factor(now)), now)
}

// SetPeerSlowness replaces what the owners of engines measured: how many times longer than at
// a usual engine work takes there with factor 1.
func (p *Placer) SetPeerSlowness(slowness map[slugname.Endpoint]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, s := range p.byName {
		s.peerSlowness = slowness[name]
	}
}

// OwnSlowness returns what this process measured as the owner of engines.
func (p *Placer) OwnSlowness(now time.Time) map[slugname.Endpoint]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[slugname.Endpoint]float64{}
	for _, s := range p.list {
		if slowness, ok := s.load.Slowness(now); ok && s.Role == slugplan.RolePrefill {
			out[s.Name] = slowness
		}
	}
	return out
}

// lastingSlowness returns how many times longer than at a usual engine work takes with factor
// 1, and false if the service's engines state no load or nothing was measured. The caller must
// hold p.mu.
func (p *Placer) lastingSlowness(s *endpointState, now time.Time) (float64, bool) {
	if !p.reporting.Load() {
		return 1, false
	}
	if slowness, ok := s.load.Slowness(now); ok {
		return slowness, true
	}
	return max(s.peerSlowness, minLastingSlowness), s.peerSlowness > 0
}

// minLastingSlowness limits what peers can claim.
const minLastingSlowness = 0.25

// usualWork returns the time that work takes at an engine with factor 1. The caller must hold
// p.mu.
func (p *Placer) usualWork(s *endpointState, nominal time.Duration, median float64, now time.Time) time.Duration {
	slowness, ok := p.lastingSlowness(s, now)
	if !ok {
		slowness = s.relativeSlowness(median, now)
	}
	return time.Duration(float64(nominal) * slowness)
}

// waitAndWork returns the expected time for which a prompt waits at an engine and for which it
// is then processed there. The caller must hold p.mu.
func (p *Placer) waitAndWork(s *endpointState, nominal time.Duration, median float64, now time.Time) (wait, work time.Duration) {
	slowness := s.relativeSlowness(median, now)
	if p.reporting.Load() {
		// The work of the load is that expected at the engine.
		slowness = s.load.Factor(now)
	}
	wait = time.Duration(float64(s.own.Prefill+s.others.Prefill) * slowness)
	if now.Sub(s.forecastAt) < forecastMaxAge {
		wait = max(s.idleAt.Sub(now), time.Duration(float64(s.own.Prefill)*slowness))
	} else if p.reporting.Load() {
		wait = max(wait, p.typical.Expected(now))
	}
	return wait, s.load.Stretch(p.usualWork(s, nominal, median, now), now.Add(wait))
}

// maxPaceWait is the wait, as a multiple of the work, beyond which a prompt says too little
// about the pace of engines.
const maxPaceWait = 3

// observePace passes the duration of a prompt to the model of the engines' pace. If the wait is
// the forecast of an owner that follows the ends of prompts, it is subtracted: as part of the
// sample it would be taken for work at the learned pace, which the model would then confirm
// however wrong it is, as long as most of the time is wait. The caller must hold p.mu.
func (c *Choice) observePace(took time.Duration, now time.Time) {
	p := c.p
	sample := slugpace.Sample{Tokens: c.job.Tokens, Cached: c.Cached, Wait: c.wait, Took: took}
	if p.reporting.Load() && c.FromOwner {
		if c.wait > maxPaceWait*c.nominal {
			return
		}
		fixed := p.cfg.Pace.Fixed()
		work := float64(max(0, took-c.wait-fixed)) / c.state.load.Factor(now)
		sample.Wait, sample.Took = 0, max(time.Microsecond, fixed+time.Duration(work))
	}
	p.cfg.Pace.Observe(sample, now)
}

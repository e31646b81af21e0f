package slugplacement

import (
	"slices"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// End removes the work from the endpoint and learns from the outcome. Only the first
// call has an effect.
func (c *Choice) End(o Outcome, now time.Time) {
	p := c.p
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	defer c.reportEnd(o, c.awaiting, now)
	c.setAwaiting(false, now)
	c.state.addWork(c, -1)
	switch o {
	case Served:
		c.recordServed(now)
	case Failed:
		c.state.recordFailure(now)
	case Silent:
		c.state.recordSilence(c.startedAt, now)
	case Full:
		c.state.avoidUntil = later(c.state.avoidUntil, now.Add(fullAvoidDuration))
	case Outrun:
		c.recordOutrun(now)
	case WrongEndpoint:
		c.state.avoidUntil = later(c.state.avoidUntil, now.Add(avoidDuration))
	}
}

// RecordDown records that nothing listens at the address of an endpoint, so that it is
// avoided until its entry changes.
func (p *Placer) RecordDown(e slugname.Endpoint, incarnation int64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.byName[e]; s != nil && s.Incarnation == incarnation {
		s.avoidUntil = later(s.avoidUntil, now.Add(downAvoidDuration))
	}
}

// ForgetFailures forgets the failures of an endpoint, which were not its own.
func (p *Placer) ForgetFailures(e slugname.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.byName[e]; s != nil {
		s.failures, s.avoidUntil = 0, time.Time{}
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordServed updates the cache and the slowness of the endpoint. The caller must hold
// p.mu.
func (c *Choice) recordServed(now time.Time) {
	switch c.stage {
	case "":
		c.recordPlainWork(now.Sub(c.startedAt), now)
		c.state.heardAt = now
		c.p.plainTimes.Add(now.Sub(c.startedAt), now)
		return
	case slugplan.RoleDecode:
		c.p.streamTimes.Add(now.Sub(c.startedAt), now)
		return
	}
	c.state.cache.addAll(c.job.Parts)
	c.state.lastPrefillAt, c.state.heardAt = now, now
	p, took := c.p, now.Sub(c.startedAt)
	c.state.recordDuration(took, c.wait+time.Duration(float64(c.nominal)*c.state.load.Factor(now))+p.cfg.Pace.Fixed(), now)
	if c.FetchFrom == "" {
		c.observePace(took, now)
	}
}

// measurementMaxAge is how long the measured durations of decode requests and of requests to
// plain endpoints are used.
const measurementMaxAge = 10 * time.Second

// Event records an event of the response. The first one is a measurement of the time that
// an engine takes to start a response.
func (c *Choice) Event(now time.Time) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	c.state.heardAt = now
	c.setAwaiting(false, now)
	c.recordGap(now)
	if !c.eventSeen {
		c.eventSeen = true
		c.p.firstEvents.Add(now.Sub(c.startedAt), now)
	}
}

// Await records that the request waits for the next event.
func (c *Choice) Await(now time.Time) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	c.setAwaiting(true, now)
}

// setAwaiting sets whether the request waits for its prompt or an event. The caller must hold
// p.mu.
func (c *Choice) setAwaiting(awaiting bool, now time.Time) {
	if c.awaiting == awaiting {
		return
	}
	c.awaiting = awaiting
	if !awaiting {
		c.state.awaited--
		return
	}
	if c.state.awaited == 0 {
		c.state.heardAt = now
	}
	c.state.awaited++
}

// FirstEventTime returns the usual time from the start of a decode request to its first
// event, or 0 if it has not been measured.
func (p *Placer) FirstEventTime(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	d, _ := p.firstEvents.Median(now)
	return d
}

// UsualTime returns the median duration of recent requests to plain endpoints or, for a role,
// of the responses of its engines, or 0 if it has not been measured.
func (p *Placer) UsualTime(r slugplan.Role, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	times := p.plainTimes
	if r != "" {
		times = p.streamTimes
	}
	d, _ := times.Median(now)
	return d
}

// recordDuration updates the slowness with the measured and the expected duration of a
// stage. The caller must hold p.mu.
func (s *endpointState) recordDuration(duration, expected time.Duration, now time.Time) {
	ratio := min(max(float64(duration)/float64(expected), 0.5), maxSlowness)
	s.slowness = s.currentSlowness(now)*(1-slownessSmoothing) + ratio*slownessSmoothing
	s.slownessAt = now
}

// medianSlowness returns the median slowness of the endpoints with a role, at least 1.
// The caller must hold p.mu.
func (p *Placer) medianSlowness(r slugplan.Role, now time.Time) float64 {
	var all []float64
	for _, s := range p.list {
		if s.Role == r {
			all = append(all, s.currentSlowness(now))
		}
	}
	if len(all) == 0 {
		return 1
	}
	slices.Sort(all)
	return max(1, all[len(all)/2])
}

// relativeSlowness returns how many times slower than the median an endpoint is, at
// least 1. Slowness that affects all endpoints, for example from load unknown to this
// process, is no reason to prefer one of them.
func (s *endpointState) relativeSlowness(median float64, now time.Time) float64 {
	return max(1, s.currentSlowness(now)/median)
}

// currentSlowness returns the slowness, or 1 if the last measurement is too old. The
// caller must hold p.mu.
func (s *endpointState) currentSlowness(now time.Time) float64 {
	if now.Sub(s.slownessAt) > slownessMaxAge {
		return 1
	}
	return s.slowness
}

// recordFailure counts a failure, and avoids the endpoint for a time after too many.
// The caller must hold p.mu.
func (s *endpointState) recordFailure(now time.Time) {
	s.failures = s.recentFailures(now) + 1
	s.failuresAt = now
	if s.failures >= avoidThreshold {
		s.avoidUntil = later(s.avoidUntil, now.Add(avoidDuration))
	}
}

// recordSilence counts one failure for all attempts at the endpoint that fell silent together,
// and avoids it for a time. The caller must hold p.mu.
func (s *endpointState) recordSilence(startedAt, now time.Time) {
	if s.failures == 0 || startedAt.After(s.failuresAt) {
		s.recordFailure(now)
	}
	s.avoidUntil = later(s.avoidUntil, now.Add(avoidDuration))
}

// recentFailures returns the decayed number of failures.
func (s *endpointState) recentFailures(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	f := s.failures
	for d := now.Sub(s.failuresAt); d >= failureHalfLife && f > 0.01; d -= failureHalfLife {
		f /= 2
	}
	return f
}

// penaltyForFailures returns the time that recent failures add to the endpoint's score.
func (s *endpointState) penaltyForFailures(now time.Time) time.Duration {
	f := s.recentFailures(now)
	return time.Duration(f * f * float64(failurePenalty))
}

package slugplacement

import (
	"slices"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// End takes the work away and learns from how it ended. Later calls do nothing.
func (c *Choice) End(o Outcome, now time.Time) {
	p := c.p
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	c.s.note(c, -1)
	switch o {
	case Served:
		c.served(now)
	case Failed:
		c.s.failed(now)
	case Full:
		c.s.avoidUntil = later(c.s.avoidUntil, now.Add(fullFor))
	case Wrong:
		c.s.avoidUntil = later(c.s.avoidUntil, now.Add(avoidFor))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// served learns what the endpoint keeps now and how fast it is; p.mu is held.
func (c *Choice) served(now time.Time) {
	if c.stage != slugplan.RolePrefill {
		return
	}
	c.s.cache.used(c.job.Parts)
	c.s.doneAt = now
	c.s.measured(now.Sub(c.at), c.wait+c.nominal+fixedTime, now)
}

// fixedTime is the time of a call beside its work, in a calm system.
const fixedTime = 10 * time.Millisecond

// measured learns from the time of a stage against the expected one; p.mu is held.
func (s *state) measured(took, expected time.Duration, now time.Time) {
	ratio := min(max(float64(took)/float64(expected), 0.5), maxSlowness)
	s.slowness = s.slow(now)*(1-slowSmoothing) + ratio*slowSmoothing
	s.slownessAt = now
}

// median returns the median slowness of the endpoints of a role; p.mu is held.
func (p *Placer) median(r slugplan.Role, now time.Time) float64 {
	var all []float64
	for _, s := range p.list {
		if s.Role == r {
			all = append(all, s.slow(now))
		}
	}
	if len(all) == 0 {
		return 1
	}
	slices.Sort(all)
	return max(1, all[len(all)/2])
}

// relative returns how much slower than the median an endpoint is. What slows all of
// them, such as load that this process does not know of, is no reason to prefer one.
func (s *state) relative(median float64, now time.Time) float64 {
	return max(1, s.slow(now)/median)
}

// slow returns the believed slowness; p.mu is held.
func (s *state) slow(now time.Time) float64 {
	if now.Sub(s.slownessAt) > slowMemory {
		return 1
	}
	return s.slowness
}

func (s *state) failed(now time.Time) {
	s.failures = s.decayed(now) + 1
	s.failuresAt = now
	if s.failures >= avoidAfter {
		s.avoidUntil = later(s.avoidUntil, now.Add(avoidFor))
	}
}

// decayed returns the number of recent failures.
func (s *state) decayed(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	f := s.failures
	for d := now.Sub(s.failuresAt); d >= failureHalfLife && f > 0.01; d -= failureHalfLife {
		f /= 2
	}
	return f
}

// penalty returns the time that recent failures add to what is expected.
func (s *state) penalty(now time.Time) time.Duration {
	f := s.decayed(now)
	return time.Duration(f * f * float64(failurePenalty))
}

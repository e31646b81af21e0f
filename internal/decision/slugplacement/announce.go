package slugplacement

import (
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// Announced is what a prompt will find at its endpoint, as the process that answers for
// the endpoint knows it from all processes' prompts.
type Announced struct {
	Wait, Work time.Duration
	// Cached is the number of its tokens that the endpoint keeps.
	Cached int
}

// Announce notes a prompt that some process is about to send to an endpoint which this
// process answers for. It returns false for endpoints that are not known here. copied is
// the number of the prompt's tokens that the endpoint copies from another.
func (p *Placer) Announce(e slugname.Endpoint, j Job, copied int, now time.Time) (Announced, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state[e]
	if s == nil || s.Role != slugplan.RolePrefill {
		return Announced{}, false
	}
	a := Announced{Cached: min(s.cache.cached(j.Parts), j.Tokens)}
	nominal := p.cfg.Cost.Prefill(j.Tokens, max(a.Cached, copied))
	a.Work = time.Duration(float64(nominal) * s.relative(p.median(s.Role, now), now))
	if copied > a.Cached {
		a.Work += copyTime(copied)
	}
	a.Wait = p.backlog.Add(e, a.Work, now)
	s.cache.used(j.Parts)
	return a, true
}

// TakeBack undoes an announcement whose prompt went elsewhere.
func (p *Placer) TakeBack(e slugname.Endpoint, j Job, a Announced, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backlog.Add(e, -a.Work, now)
	s := p.state[e]
	if s == nil {
		return
	}
	tokens := 0
	for _, part := range j.Parts {
		if tokens += part.Tokens; tokens > a.Cached {
			s.cache.drop(part.ID)
		}
	}
}

// Learn takes what the chosen prompt will find at its endpoint. If another endpoint that
// is not excluded is expected to be done sooner, it returns a choice of that one too, so
// that both can be compared; one of them must be ended.
func (c *Choice) Learn(a Announced, exclude []slugname.Endpoint, now time.Time) (*Choice, bool) {
	p := c.p
	p.mu.Lock()
	defer p.mu.Unlock()
	c.s.note(c, -1)
	c.s.idleAt, c.s.toldAt = now.Add(a.Wait+a.Work), now
	c.s.cache.know(c.job.Parts, a.Cached)
	c.wait, c.work, c.Predicted, c.Cached, c.Told = a.Wait, a.Work, a.Wait+a.Work, max(a.Cached, c.Cached), true
	c.Announced = a
	c.predict = c.Predicted + c.s.penalty(now)
	c.s.note(c, 1)
	best := p.bestPrefill(c.job, append(exclude, c.Name), now)
	if best == nil || best.predict > c.predict-leastGain {
		return nil, false
	}
	best.stage, best.at = slugplan.RolePrefill, now
	best.s.note(best, 1)
	return best, true
}

// Before reports whether a choice is expected to be done before another.
func (c *Choice) Before(other *Choice) bool { return c.predict < other.predict }

// leastGain is how much sooner another endpoint must be expected to be done: to ask for
// its wait takes time as well, and the prompt's parts would be kept twice.
const leastGain = 20 * time.Millisecond

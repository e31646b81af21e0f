package slugplacement

import (
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugbacklog"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// Forecast is the expected wait and work of a prompt at an endpoint, as the endpoint's
// owner knows it from the announcements of all processes.
type Forecast struct {
	Wait, Work time.Duration
	// Cached is the number of prompt tokens that the endpoint has cached.
	Cached int
	// ReadyIn is the time until the endpoint has processed these tokens for prompts announced
	// before; 0 means that others can fetch them now.
	ReadyIn time.Duration
	// Declined is set if the prompt would wait longer than the sender accepts. It was not
	// added to the backlog.
	Declined bool
	// Deferred is set if the prompt would be late and has to yield to others. It was not added
	// to the backlog.
	Deferred bool
	// Hint names an engine that may be better.
	Hint Hint
	// Holder names an engine that has more of the shared parts. If it has processed them when
	// the prompt begins, Work is the time of a prompt that fetches them.
	Holder Holder
}

// accepted reports whether the work of the prompt was added to the backlog.
func (f Forecast) accepted() bool { return !f.Declined && !f.Deferred }

// Announce records that a process is about to send a prompt to an endpoint of which this
// process is the owner. fetched is the number of prompt tokens that the endpoint fetches
// from another endpoint's KV cache, and maxWait the longest wait that the sender accepts, or
// 0 for any. Many prompts that are to be refused would otherwise lengthen the backlog until
// they are withdrawn, so that more are refused while the endpoint idles. Announce reports
// false if the endpoint is unknown or does not process prompts.
func (p *Placer) Announce(e slugname.Endpoint, j Job, fetched int, maxWait time.Duration, now time.Time) (Forecast, bool) {
	return p.AnnounceOn(e, j, fetched, Terms{MaxWait: maxWait, Ready: true}, now)
}

// AnnounceOn is like Announce, on the given terms.
//
// It answers more prompts than the engines can process for seconds, as when those of a data
// centre are reclaimed in a burst. If prompts are processed in the order of their arrival, all
// of them wait alike, and nearly all are late although the engines are busy. Therefore those
// that are late in any case leave the engines to those that can still be on time, and are
// processed when the backlog is short, or, once half of their time has passed, in a bounded share
// of the engine's time.
func (p *Placer) AnnounceOn(e slugname.Endpoint, j Job, fetched int, t Terms, now time.Time) (Forecast, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byName[e]
	if s == nil || s.Role != slugplan.RolePrefill {
		return Forecast{}, false
	}
	f := Forecast{Cached: min(s.cache.cached(j.Parts), j.Tokens)}
	f.ReadyIn = max(0, s.cache.ready(j.Parts, f.Cached).Sub(now))
	nominal := p.cfg.Pace.Work(j.Tokens, max(f.Cached, fetched))
	median := p.medianSlowness(s.Role, now)
	work := slugbacklog.Work{Ticket: j.Ticket, Nominal: nominal, Usual: p.usualWork(s, nominal, median, now)}
	if fetched > f.Cached {
		work.Usual += p.fetchTime(s, fetched, p.workUnit(j))
	}
	f.Wait = p.backlog.Wait(e, &s.load, now)
	f.Holder = p.holderFor(s, j, f.Cached, now)
	if h := f.Holder; h.serves(max(f.Cached, fetched), f.Wait) {
		work.Nominal = p.cfg.Pace.Work(j.Tokens, h.Tokens)
		work.Usual = p.usualWork(s, work.Nominal, median, now) + p.fetchTime(s, h.Tokens, p.workUnit(j))
	}
	f.Work = s.load.Stretch(work.Usual, now.Add(f.Wait))
	f.Hint = p.hint(s, j, f, median, now)
	if p.judge(e, t, &f, now); !f.accepted() {
		return f, true
	}
	p.backlog.Announce(e, work, &s.load, now)
	s.cache.addUnprocessed(j.Parts, now.Add(withMargin(f.Wait+f.Work+p.cfg.Pace.Fixed())), now)
	return f, true
}

// WithdrawAnnouncement withdraws the announcement of a prompt that was sent elsewhere.
func (p *Placer) WithdrawAnnouncement(e slugname.Endpoint, j Job, f Forecast, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backlog.Withdraw(e, slugbacklog.Work{Ticket: j.Ticket, Usual: f.Work}, now)
	s := p.byName[e]
	if s == nil {
		return
	}
	tokens := 0
	for _, part := range j.Parts {
		if tokens += part.Tokens; tokens > f.Cached {
			s.cache.remove(part.ID)
		}
	}
}

// ApplyForecast applies the owner's forecast to the choice. If another endpoint that is not
// excluded is expected to finish sooner by minGain, ApplyForecast also returns a choice of
// that endpoint, so that the caller can compare both. The caller must end one of them.
func (c *Choice) ApplyForecast(f Forecast, exclude []slugname.Endpoint, now time.Time) (*Choice, bool) {
	p := c.p
	p.mu.Lock()
	defer p.mu.Unlock()
	c.state.addWork(c, -1)
	if now.Sub(c.state.forecastAt) >= forecastMaxAge {
		p.typical.Add(f.Wait, now)
	}
	c.state.idleAt, c.state.forecastAt = now.Add(f.Wait), now
	if f.accepted() {
		c.state.idleAt = c.state.idleAt.Add(f.Work)
	}
	c.state.cache.correct(c.job.Parts, f.Cached, now.Add(f.ReadyIn))
	if c.FetchFrom == "" {
		c.Cached = f.Cached
	}
	c.applyHolder(f, now)
	work := f.Work
	if c.fetchAt.After(now.Add(f.Wait)) {
		// The fetch would fail, so that the engine processes the whole prompt.
		c.FetchFrom, c.Cached, c.fetchAt = "", f.Cached, time.Time{}
		_, work = p.waitAndWork(c.state, p.cfg.Pace.Work(c.job.Tokens, f.Cached), p.medianSlowness(slugplan.RolePrefill, now), now)
	}
	c.wait, c.work, c.Predicted, c.FromOwner = f.Wait, work, f.Wait+work+p.cfg.Pace.Fixed(), true
	c.nominal = p.cfg.Pace.Work(c.job.Tokens, c.Cached)
	c.Forecast = f
	c.score = f.Wait + weighted(work, p.workWeight(now)) + c.state.penaltyForFailures(now)
	c.state.addWork(c, 1)
	p.applyHint(f.Hint, now)
	job := c.job
	job.Ticket = 0
	best := p.bestPrefill(job, append(exclude, c.Name), now)
	if best == nil || best.score > c.score-time.Duration(minGain*float64(p.workUnit(c.job))) {
		return nil, false
	}
	best.stage, best.startedAt = slugplan.RolePrefill, now
	best.state.addWork(best, 1)
	return best, true
}

// Before reports whether c is expected to finish sooner than other.
func (c *Choice) Before(other *Choice) bool { return c.score < other.score }

// minGain is how much sooner another endpoint must be expected to finish: asking for
// its forecast takes time, and the parts of the prompt would be cached twice. It is a
// fraction of the mean work of a prompt.
const minGain = 0.1

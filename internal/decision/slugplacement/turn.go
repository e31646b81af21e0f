package slugplacement

import (
	"math"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugline"
)

// Terms are the waits that the sender of a prompt accepts at an endpoint.
type Terms struct {
	// MaxWait is the longest wait with which the prompt meets its deadline, or 0 for any. A
	// prompt that would wait longer is declined.
	MaxWait time.Duration
	// OnTimeWait is the longest wait with which the prompt meets its objective. Unless it is
	// Ready, a prompt that would wait longer is deferred: it does not take the place of prompts
	// that can still be on time.
	OnTimeWait time.Duration
	// Deadline is the time until the deadline.
	Deadline time.Duration
	// Priority is the urgency of the prompt; 0 is the most urgent.
	Priority int
	// Aged is set once half of the time until the deadline has passed.
	Aged bool
	// Waited is set for prompts that have waited in line: those that came later are declined
	// before them.
	Waited bool
	// Ready is set for prompts that are not deferred.
	Ready bool
}

const (
	// yieldWait is the wait at an endpoint, as a fraction of the mean work of a prompt, up to
	// which deferred prompts are accepted. Engines process several waiting prompts in one
	// batch, so they must not run out of prompts.
	yieldWait = 1.0
	// idleWait is the wait, as a fraction of the mean work of a prompt, up to which any prompt is
	// accepted, so that engines do not run out of prompts beside urgent ones.
	idleWait = 0.25
	// agedShare is the fraction of an endpoint's time that aged prompts may take from prompts
	// that can be on time. It bounds how much long prompts, which are late in any case, are
	// starved in a lasting overload.
	agedShare = 0.25
	// maxAgedCredit limits the unused time of aged prompts that counts later.
	maxAgedCredit = 500 * time.Millisecond
	// urgencySmoothing is the weight of the latest prompt in what is known of a priority, and
	// urgencyMaxAge how long that counts without another prompt, or without another late one.
	urgencySmoothing = 0.1
	urgencyMaxAge    = 5 * time.Second
	// deferredShare is the fraction of an endpoint's time that deferred prompts are expected
	// to get. Those that would not have their turn before their deadline are declined at once.
	deferredShare = 0.5
)

// deferral is what an owner knows of the deferred prompts of an endpoint.
type deferral struct {
	line slugline.Line
	// credit is the time that aged prompts may take at creditAt.
	credit   time.Duration
	creditAt time.Time
}

// useCredit reports whether aged prompts may take work more time, and if so takes it.
func (d *deferral) useCredit(work time.Duration, now time.Time) bool {
	d.credit = min(maxAgedCredit, d.credit+time.Duration(agedShare*float64(now.Sub(d.creditAt))))
	d.creditAt = now
	if d.credit < 0 {
		return false
	}
	d.credit -= work
	return true
}

// deferral returns the state of the deferred prompts of an endpoint. The caller must hold p.mu.
func (p *Placer) deferral(e slugname.Endpoint, now time.Time) *deferral {
	d := p.deferrals[e]
	if d == nil {
		d = &deferral{creditAt: now}
		p.deferrals[e] = d
	}
	return d
}

// judge decides whether a prompt with the given forecast is declined or deferred. The caller
// must hold p.mu.
func (p *Placer) judge(e slugname.Endpoint, t Terms, f *Forecast, now time.Time) {
	f.Declined = t.MaxWait > 0 && f.Wait > t.MaxWait
	if t.Ready {
		return
	}
	p.recordUrgency(t, now)
	if t.OnTimeWait > 0 && f.Wait > t.OnTimeWait {
		p.recordLate(t.Priority, now)
	}
	if f.Declined || f.Wait <= max(t.OnTimeWait, p.shortWait()) && f.Wait <= p.waitLeftByUrgent(t.Priority, f.Work, now) {
		return
	}
	d := p.deferral(e, now)
	if t.Aged && d.useCredit(f.Work, now) {
		return
	}
	turn := time.Duration(float64(d.line.AheadOf(t.turnBy(now))) * float64(p.meanWork) / deferredShare)
	f.Declined = t.MaxWait > 0 && turn > t.MaxWait && !t.Waited
	f.Deferred = !f.Declined
}

// urgency is what is known of the prompts of one priority.
type urgency struct {
	// onTimeWait is the smoothed wait with which they are on time, at the time at.
	onTimeWait time.Duration
	at         time.Time
	// lateAt is when one was last too late because of the wait.
	lateAt time.Time
}

// recordUrgency records the wait with which a prompt is on time. Prompts that are late in any
// case say nothing. The caller must hold p.mu.
func (p *Placer) recordUrgency(t Terms, now time.Time) {
	if t.OnTimeWait <= 0 {
		return
	}
	u, known := p.urgencies[t.Priority]
	if !known || now.Sub(u.at) > urgencyMaxAge {
		u.onTimeWait = t.OnTimeWait
	}
	u.onTimeWait += time.Duration(urgencySmoothing * float64(t.OnTimeWait-u.onTimeWait))
	u.at = now
	p.urgencies[t.Priority] = u
}

// recordLate records that a prompt of a priority would be late because of the wait at an
// endpoint. The caller must hold p.mu.
func (p *Placer) recordLate(priority int, now time.Time) {
	u := p.urgencies[priority]
	u.lateAt = now
	p.urgencies[priority] = u
}

// waitLeftByUrgent returns the wait up to which prompts of a priority and with some work are
// accepted, so that more urgent ones with a shorter objective can still be on time behind them.
// Otherwise those with a longer objective would keep the backlog at a length with which the urgent
// ones are always late. As long as urgent prompts are on time, there is no such limit: prompts
// would leave the engines that have their parts cached. The caller must hold p.mu.
func (p *Placer) waitLeftByUrgent(priority int, work time.Duration, now time.Time) time.Duration {
	const none = time.Duration(math.MaxInt64)
	limit := none
	for other, u := range p.urgencies {
		if other < priority && now.Sub(u.lateAt) <= urgencyMaxAge {
			limit = min(limit, u.onTimeWait-work)
		}
	}
	if limit == none {
		return none
	}
	return max(limit, time.Duration(idleWait*float64(p.meanWork)))
}

// turnBy returns by when a deferred prompt needs its turn: to be on time, or else, behind all
// that can be, to meet its deadline.
func (t Terms) turnBy(now time.Time) time.Time {
	if t.OnTimeWait > 0 {
		return now.Add(t.OnTimeWait)
	}
	return now.Add(lateTurn + t.Deadline)
}

// lateTurn separates the turns of prompts that are late in any case from those of the others.
const lateTurn = time.Hour

// shortWait returns the wait up to which deferred prompts are accepted. The caller must hold
// p.mu.
func (p *Placer) shortWait() time.Duration { return time.Duration(yieldWait * float64(p.meanWork)) }

// Join adds a deferred prompt to the line at an endpoint. The prompt must leave it.
func (p *Placer) Join(e slugname.Endpoint, t Terms, now time.Time) *slugline.Place {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.deferral(e, now).line.Join(t.turnBy(now))
}

// Leave removes a deferred prompt from the line at an endpoint.
func (p *Placer) Leave(e slugname.Endpoint, place *slugline.Place) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.deferrals[e]; d != nil {
		d.line.Leave(place)
	}
}

// TurnIn returns the time after which a deferred prompt with the given forecast may have its
// turn, or 0 if it has it now: the backlog of the endpoint is short, and no deferred prompt needs
// its turn sooner.
func (p *Placer) TurnIn(e slugname.Endpoint, place *slugline.Place, t Terms, f Forecast, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byName[e]
	if s == nil {
		return 0
	}
	ahead := p.deferral(e, now).line.Ahead(place)
	wait := p.backlog.Wait(e, &s.load, now) + time.Duration(ahead)*p.meanWork
	return max(0, wait-min(p.shortWait(), p.waitLeftByUrgent(t.Priority, f.Work, now)))
}

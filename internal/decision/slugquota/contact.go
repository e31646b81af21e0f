package slugquota

import (
	"math"
	"slices"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

const (
	// maxFailures is the number of calls in a row after which an owner counts as lost.
	maxFailures = 2
	// minAvoid and maxAvoid bound the time for which a process that does not answer is not
	// called. It doubles with each failure.
	minAvoid = 2 * time.Second
	maxAvoid = time.Minute
	// confirmedAge is how long an answer shows that a process can be the owner.
	confirmedAge = 2 * time.Second
	// fallbackDelay is how long a process looks for an owner before it uses its own shares.
	fallbackDelay = 500 * time.Millisecond
	// searchInterval is the time between calls that look for another owner.
	searchInterval = 100 * time.Millisecond
	// maxCredit is the number of requests that a host may send at once after a time without any,
	// so that rare requests of callers don't wait, and aheadCredit the part of it that is not
	// used for tokens ahead of demand.
	maxCredit   = 8
	aheadCredit = 4
	// idleWait is the time between looks at a slot that this process owns, and unusedWait at one
	// without quotas.
	idleWait   = time.Second
	unusedWait = time.Hour
)

// avoidance is a process that did not answer.
type avoidance struct {
	at   slugclock.Instant
	wait time.Duration
}

// contact is the relation of this process to the owner of a slot.
type contact struct {
	// workspaces is the number of workspaces with a quota in the slot.
	workspaces int
	// ranked are the live processes in the order of preference.
	ranked []slugname.Process
	// owner is the process to which requests go, empty if none is known. It is this process if
	// that uses its own shares. lostAt is when there was no owner any more.
	owner    slugname.Process
	fallback bool
	lostAt   slugclock.Instant
	// lentTo is the process that has this process's shares until a loan after lentAt.
	lentTo slugname.Process
	lentAt slugclock.Instant
	// confirmed is a process other than the owner that answered at confirmedAt.
	confirmed   slugname.Process
	confirmedAt slugclock.Instant
	failures    int
	avoided     map[slugname.Process]avoidance
	// calledAt is when the owner was last called, searchedAt when another process was.
	calledAt, searchedAt slugclock.Instant
	// heardAt is when the last call that was answered was sent. Grants expire a loan after it.
	heardAt slugclock.Instant
	spacing time.Duration
	// credit is the number of requests at creditAt that may be sent at once. It grows by one in
	// each spacing.
	credit   float64
	creditAt slugclock.Instant
	// calling is set while a call is in progress.
	calling bool
}

func newContact(now slugclock.Instant) *contact {
	return &contact{avoided: map[slugname.Process]avoidance{}, lostAt: now, spacing: minSpacing, creditAt: now}
}

// untilCredit brings the credit up to now and returns the time until it has reached n.
func (c *contact) untilCredit(n float64, now slugclock.Instant) time.Duration {
	c.credit = min(maxCredit, c.credit+now.Sub(c.creditAt).Seconds()/c.spacing.Seconds())
	c.creditAt = now
	return time.Duration(max(0, n-c.credit) * float64(c.spacing))
}

// begin counts a new workspace of the slot.
func (c *contact) begin(now slugclock.Instant) {
	if c.workspaces == 0 && c.owner == "" {
		c.lostAt = now
	}
	c.workspaces++
}

// untilReleased returns the time until the loan of this process's shares ends.
func (c *contact) untilReleased(loan time.Duration, now slugclock.Instant) time.Duration {
	if c.lentTo == "" || c.owner == c.lentTo {
		return 0
	}
	return max(0, loan-now.Sub(c.lentAt))
}

// Call is a request to be sent to another process.
type Call struct {
	Slot    Slot
	To      slugname.Process
	Request Request
	sentAt  slugclock.Instant
	// accounts and needs are those of the demands in the request.
	accounts []*account
	needs    [][]*Need
}

// preferred returns the process that should own a slot, which is this one if no other answers.
func (q *Quotas) preferred(c *contact, now slugclock.Instant) slugname.Process {
	for _, p := range c.ranked {
		if x, ok := c.avoided[p]; p == q.cfg.Self || !ok || now.Sub(x.at) >= x.wait {
			return p
		}
	}
	return q.cfg.Self
}

// settle changes the owner of a slot as far as that needs no message; q.mu must be held.
func (q *Quotas) settle(s Slot, now slugclock.Instant) {
	c := q.contacts[s]
	if c.workspaces == 0 {
		q.stop(s, now)
		return
	}
	if c.lentTo != "" && now.Sub(c.lentAt) >= q.loan() && c.lentTo != c.owner {
		c.lentTo = ""
	}
	preferred := q.preferred(c, now)
	confirmed := c.confirmed == preferred && now.Sub(c.confirmedAt) < confirmedAge
	self := c.owner == q.cfg.Self
	switch {
	case c.lentTo != "":
	case self && c.fallback && preferred == q.cfg.Self:
	case c.owner == preferred:
	case preferred != q.cfg.Self && confirmed && (self || c.owner == ""):
		q.setOwner(s, preferred, false, now)
	case c.owner == "" && preferred == q.cfg.Self && slices.Contains(c.ranked, preferred):
		q.setOwner(s, preferred, false, now)
	case c.owner == "" && now.Sub(c.lostAt) >= fallbackDelay:
		q.setOwner(s, q.cfg.Self, true, now)
	}
	if c.owner == q.cfg.Self {
		// The shares of this process follow the number of known hosts.
		if x := q.ledgers[s].lenders[q.cfg.Self]; x == nil || x.share != q.share(now) {
			q.ledgers[s].lend(q.cfg.Self, q.share(now), forever, now)
		}
	}
}

// stop ends the exchange for a slot without quotas.
func (q *Quotas) stop(s Slot, now slugclock.Instant) {
	if c := q.contacts[s]; c.owner != "" {
		q.ledgers[s].lend(q.cfg.Self, 0, 0, now)
		c.owner, c.fallback, c.lostAt = "", false, now
	}
}

// setOwner changes the owner of a slot; an empty name means that there is none.
func (q *Quotas) setOwner(s Slot, p slugname.Process, fallback bool, now slugclock.Instant) {
	c := q.contacts[s]
	if c.owner == q.cfg.Self {
		q.ledgers[s].lend(q.cfg.Self, 0, 0, now)
	}
	c.owner, c.fallback, c.failures = p, fallback, 0
	c.calledAt = slugclock.Instant{}
	if p == "" {
		c.lostAt = now
	}
	q.cfg.OwnerChanged(s, p, fallback)
	if p != q.cfg.Self {
		return
	}
	q.ledgers[s].lend(p, q.share(now), forever, now)
	for _, a := range q.accounts {
		if SlotOf(a.workspace) == s {
			q.decideLocally(a, now)
		}
	}
}

// decideLocally decides on the waiting requests of an account by this process's own ledger.
func (q *Quotas) decideLocally(a *account, now slugclock.Instant) {
	for _, n := range a.needs {
		v := q.ledgers[SlotOf(a.workspace)].take(a.workspace, n.cost, now)
		a.count(v)
		n.decide(v)
	}
	a.needs = nil
}

// expire drops the balance of an account if no owner has been heard for a loan. Both clocks
// count, so that the grants of a host that was suspended have expired.
func (q *Quotas) expire(a *account, c *contact, now slugclock.Instant) {
	if a.balance > 0 && since(now, c.heardAt) >= q.loan() {
		a.balance = 0
	}
}

// askDelay returns the time until the owner may be asked again.
func (q *Quotas) askDelay(c *contact, now slugclock.Instant) time.Duration {
	if c.owner == "" {
		return max(0, searchInterval-since(now, c.searchedAt))
	}
	return c.untilCredit(1, now)
}

// since returns the time since an Instant, which may be zero.
func since(now, then slugclock.Instant) time.Duration {
	if then.IsZero() {
		return forever
	}
	return now.Sub(then)
}

// Next returns the next call to make for a slot, or nil and the time after which to look again.
// Take and other methods may make a call due earlier. The result of the call is passed to
// Answered or Failed before Next is called again for the slot.
func (q *Quotas) Next(s Slot, now slugclock.Instant) (*Call, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.contacts[s]
	q.settle(s, now)
	switch {
	case c.workspaces == 0:
		return nil, unusedWait
	case q.hosts == 0 || c.calling:
		return nil, idleWait
	}
	preferred := q.preferred(c, now)
	searchDelay := max(0, searchInterval-since(now, c.searchedAt))
	switch {
	case c.owner == q.cfg.Self || c.owner == "":
		switch preferred {
		case c.owner:
			return nil, idleWait
		case q.cfg.Self:
			return nil, searchInterval
		}
		if searchDelay > 0 {
			return nil, searchDelay
		}
		return q.newCall(s, preferred, now), 0
	case q.callDelay(s, now) <= 0:
		return q.newCall(s, c.owner, now), 0
	case preferred != c.owner && searchDelay > 0:
		return nil, min(searchDelay, q.callDelay(s, now))
	case preferred != c.owner && preferred != q.cfg.Self && (c.confirmed != preferred || now.Sub(c.confirmedAt) >= confirmedAge):
		return q.newCall(s, preferred, now), 0
	case preferred != c.owner:
		return q.newWithdrawal(s, now), 0
	}
	return nil, q.callDelay(s, now)
}

// callDelay returns the time until the owner of a slot is to be called.
func (q *Quotas) callDelay(s Slot, now slugclock.Instant) time.Duration {
	c := q.contacts[s]
	passed := since(now, c.calledAt)
	if c.failures > 0 {
		return max(0, searchInterval-passed)
	}
	delay := max(0, q.interval()-passed)
	for _, a := range q.accounts {
		switch {
		case SlotOf(a.workspace) != s:
		case len(a.needs) > 0, a.givenBack > 0:
			return min(delay, c.untilCredit(1, now))
		case a.wantsMore(now):
			delay = min(delay, c.untilCredit(1+aheadCredit, now))
		}
	}
	return delay
}

// newWithdrawal returns a call that ends the loan to the owner of a slot. It names all
// workspaces, because this process takes its part of the tokens of each to the next owner.
func (q *Quotas) newWithdrawal(s Slot, now slugclock.Instant) *Call {
	c := q.contacts[s]
	call := &Call{Slot: s, To: c.owner, sentAt: now, Request: Request{Slot: uint8(s), Hosts: uint32(q.hosts), Withdraw: true}}
	c.calledAt, c.searchedAt, c.calling = now, now, true
	q.addDemands(call, true, now)
	return call
}

// newCall returns a call to the owner of a slot, or to a process that may become it.
func (q *Quotas) newCall(s Slot, to slugname.Process, now slugclock.Instant) *Call {
	c := q.contacts[s]
	call := &Call{Slot: s, To: to, sentAt: now, Request: Request{Slot: uint8(s), Hosts: uint32(q.hosts)}}
	if to == c.owner {
		if since(now, c.calledAt) < q.interval() {
			c.credit--
		}
		c.calledAt = now
		if c.failures == 0 && q.share(now) > 0 {
			call.Request.LoanMs = uint32(loanMargin * float64(q.loan().Milliseconds()))
			c.lentTo, c.lentAt = to, now
		}
	} else {
		c.searchedAt = now
	}
	if to == c.owner || c.owner == "" {
		q.addDemands(call, false, now)
	}
	c.calling = true
	return call
}

// addDemands adds the demands of the active workspaces to a call, or of all, those with waiting
// requests first.
func (q *Quotas) addDemands(call *Call, all bool, now slugclock.Instant) {
	var list []*account
	for _, a := range q.accounts {
		if SlotOf(a.workspace) == call.Slot && (all || a.active(now)) {
			q.expire(a, q.contacts[call.Slot], now)
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *account) int { return len(b.needs) - len(a.needs) })
	room := maxNeeds
	for _, a := range list[:min(len(list), maxDemands)] {
		needs := slices.Clone(a.needs[:min(len(a.needs), room)])
		room -= len(needs)
		d := Demand{Workspace: a.workspace, PerSecond: float32(a.demandNow(now)), MeanCost: float32(a.meanCost)}
		if surplus := a.balance - a.target; surplus > 0 && len(needs) == 0 {
			d.Returned = uint64(surplus)
			a.balance -= Tokens(d.Returned)
		}
		if a.givenBack > 0 {
			d.NotRun, d.AgeMs = uint64(a.givenBack), uint32(min(now.Sub(a.takenAt).Milliseconds(), math.MaxUint32))
			a.givenBack = 0
		}
		d.Held = uint64(a.balance)
		for _, n := range needs {
			d.Needs = append(d.Needs, uint64(n.cost))
		}
		call.Request.Demands = append(call.Request.Demands, d)
		call.accounts, call.needs = append(call.accounts, a), append(call.needs, needs)
	}
}

// Answered records the answer to a call.
func (q *Quotas) Answered(call *Call, answer Answer, now slugclock.Instant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.contacts[call.Slot]
	c.calling = false
	delete(c.avoided, call.To)
	if call.To == c.owner {
		if c.failures > 0 {
			// The call after a failure lends nothing.
			c.calledAt = slugclock.Instant{}
		}
		c.failures = 0
	} else {
		c.confirmed, c.confirmedAt = call.To, call.sentAt
	}
	if len(answer.Grants) == len(call.accounts) {
		c.heardAt = call.sentAt
		c.spacing = max(minSpacing, time.Duration(min(answer.SpacingMs, uint32(maxAvoid.Milliseconds())))*time.Millisecond)
		for i, g := range answer.Grants {
			call.accounts[i].apply(g, call.needs[i], now)
		}
	}
	if call.Request.Withdraw && call.To == c.lentTo {
		c.lentTo = ""
		q.setOwner(call.Slot, "", false, now)
	}
	q.settle(call.Slot, now)
}

// apply adds a grant to an account and decides on the requests that the owner was asked for.
func (a *account) apply(g Grant, needs []*Need, now slugclock.Instant) {
	a.balance += Tokens(g.Tokens)
	a.target, a.level, a.rate, a.levelAt = Tokens(g.Target), Tokens(g.Level), Tokens(g.Rate), now
	for _, n := range needs {
		if n.verdict != nil {
			continue
		}
		a.removeNeed(n)
		switch {
		case a.spend(n.cost):
			n.decide(Verdict{Admitted: true})
		case g.Unlimited:
			a.admitted++
			n.decide(Verdict{Admitted: true})
		default:
			n.decide(a.refuse(a.wait(n.cost, now)))
		}
	}
}

// Failed records that a call was not answered.
func (q *Quotas) Failed(call *Call, now slugclock.Instant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.contacts[call.Slot]
	c.calling = false
	if call.To == c.owner {
		c.failures++
		if c.failures < maxFailures {
			return
		}
	}
	wait := minAvoid
	if x, ok := c.avoided[call.To]; ok {
		wait = min(maxAvoid, 2*x.wait)
	}
	c.avoided[call.To] = avoidance{now, wait}
	c.searchedAt = slugclock.Instant{}
	if call.To == c.owner {
		q.setOwner(call.Slot, "", false, now)
	}
	q.settle(call.Slot, now)
}

// Serve answers the request of another process.
func (q *Quotas) Serve(from slugname.Process, r Request, now slugclock.Instant) (Answer, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r.Slot >= Slots {
		return Answer{}, false
	}
	return q.ledgers[r.Slot].serve(from, r, q.interval(), now), true
}

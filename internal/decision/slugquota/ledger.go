package slugquota

import (
	"math"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

const (
	// extraBurst is the fraction of the allowed overage by which buckets are larger than the
	// burst. It makes up for tokens that hosts hold while others need them. The rest of the
	// overage covers the time between admission and arrival at an endpoint, and loans that
	// overlap by the time of a message.
	extraBurst = 0.35
	// aheadLevel is the fraction of a bucket that is not granted ahead of demand to hosts whose
	// part of the rate does not cover a request.
	aheadLevel = 0.7
	// returnShare is the fraction of the allowed overage and slack that may be used by tokens of
	// requests that did not run.
	returnShare = 0.25
	// maxAhead is the fraction of a bucket that all hosts may hold by their parts of the rate.
	maxAhead = 0.6
	// largeRequest is the fraction of the burst from which a request does not wait for its
	// whole cost, but leaves a debt. Held tokens keep the bucket from filling completely.
	largeRequest = 0.9
	// debtShare is the fraction of the slack that one request may leave as a debt.
	debtShare = 0.5
	// maxAsks is the number of requests per second that an owner takes beyond the regular ones.
	// With the regular ones, its work stays at a few hundredths of a core.
	maxAsks = 200
	// freeSpacing is the fraction of the longest spacing that holds as long as the owner gets
	// few requests.
	freeSpacing = 0.1
	// askTime is the time constant of the mean rate of requests.
	askTime = 500 * time.Millisecond
	// minSpacing is the shortest time between requests of a host.
	minSpacing = 10 * time.Millisecond
	// minHorizon is the shortest time for which a host gets tokens ahead of demand.
	minHorizon = 200 * time.Millisecond
	// horizonSpacings is the time for which a host gets tokens ahead of demand, in times
	// between its requests.
	horizonSpacings = 3
	// pruneInterval is the time between removals of hosts that no longer ask.
	pruneInterval = 500 * time.Millisecond
)

// lender is a host that lends its shares.
type lender struct {
	share float64
	at    slugclock.Instant
	loan  time.Duration
}

// holder is a host that holds tokens of a workspace or has demand for some.
type holder struct {
	held   Tokens
	demand float64
	at     slugclock.Instant
}

// bucket is the token bucket of a workspace.
type bucket struct {
	limit Limit
	// level may be negative after a large request.
	level Tokens
	// filledTo is the integral of the ledger up to which the bucket was filled.
	filledTo float64
	holders  map[slugname.Process]*holder
	// held and demand are the sums over holders.
	held   Tokens
	demand float64
}

// ledger holds the buckets of one slot as far as this process owns it.
type ledger struct {
	cfg Config
	// lenders are the hosts that lend their shares. lent is the sum of their shares, and
	// integral that sum integrated over time, in seconds.
	lenders  map[slugname.Process]*lender
	lent     float64
	integral float64
	at       slugclock.Instant
	buckets  map[slugname.Workspace]*bucket
	// askers is the number of hosts with demand at the last pruning, and keep how long a host
	// counts after its last request.
	askers map[slugname.Process]slugclock.Instant
	// asks is the mean number of requests per second at asksAt.
	asks     float64
	asksAt   slugclock.Instant
	keep     time.Duration
	prunedAt slugclock.Instant
}

func newLedger(cfg Config, now slugclock.Instant) *ledger {
	return &ledger{
		cfg: cfg, lenders: map[slugname.Process]*lender{}, at: now, buckets: map[slugname.Workspace]*bucket{},
		askers: map[slugname.Process]slugclock.Instant{}, keep: minInterval, prunedAt: now,
	}
}

// forever is the length of the loan of a process to itself, which ends when it says so.
const forever = slugclock.Forever

// lend records a loan, or ends it if loan is 0.
func (l *ledger) lend(p slugname.Process, share float64, loan time.Duration, now slugclock.Instant) {
	l.advance(now)
	if loan <= 0 || share <= 0 {
		delete(l.lenders, p)
	} else {
		l.lenders[p] = &lender{share, now, loan}
	}
	l.sumLenders()
}

func (l *ledger) sumLenders() {
	l.lent = 0
	for _, x := range l.lenders {
		l.lent += x.share
	}
	l.lent = min(1, l.lent)
}

// advance integrates the lent shares up to now, each to the end of its loan. It uses the
// runtime's clock for the time that passed, and both clocks for the ends: a process that was
// suspended adds nothing for that time.
func (l *ledger) advance(now slugclock.Instant) {
	passed := now.Time().Sub(l.at.Time())
	if passed <= 0 {
		return
	}
	sum, ended := 0.0, false
	for p, x := range l.lenders {
		left := max(0, x.loan-l.at.Sub(x.at))
		sum += x.share * min(passed, left).Seconds()
		if now.Sub(x.at) >= x.loan {
			delete(l.lenders, p)
			ended = true
		}
	}
	l.integral += min(sum, passed.Seconds())
	l.at = now
	if ended {
		l.sumLenders()
	}
	if now.Sub(l.prunedAt) >= pruneInterval {
		l.prune(now)
	}
}

// prune removes hosts that no longer ask, and whose grants have ended.
func (l *ledger) prune(now slugclock.Instant) {
	l.prunedAt = now
	for p, at := range l.askers {
		if now.Sub(at) > l.keep {
			delete(l.askers, p)
		}
	}
	for _, b := range l.buckets {
		for p, h := range b.holders {
			if now.Sub(h.at) > l.keep {
				delete(b.holders, p)
			}
		}
		b.sumHolders()
	}
}

func (b *bucket) sumHolders() {
	b.held, b.demand = 0, 0
	for _, h := range b.holders {
		b.held += h.held
		b.demand += h.demand
	}
}

// setLimit sets the quota of a workspace.
func (l *ledger) setLimit(w slugname.Workspace, limit Limit, now slugclock.Instant) {
	l.advance(now)
	b := l.buckets[w]
	if b == nil {
		b = &bucket{filledTo: l.integral, holders: map[slugname.Process]*holder{}}
		l.buckets[w] = b
	}
	l.fill(b)
	b.limit = limit
	l.fill(b)
}

func (l *ledger) remove(w slugname.Workspace) { delete(l.buckets, w) }

// capacity returns the size of a bucket by the shares that are lent.
func (l *ledger) capacity(limit Limit) Tokens {
	overage := Tokens(l.cfg.Overage) * (limit.Rate*Tokens(l.cfg.Window.Seconds()) + limit.Burst)
	return Tokens(l.lent) * (limit.Burst + extraBurst*overage)
}

// fill adds what has accumulated to a bucket. Tokens that hosts hold count against its size.
func (l *ledger) fill(b *bucket) {
	b.level += b.limit.Rate * Tokens(l.integral-b.filledTo)
	b.filledTo = l.integral
	b.level = min(b.level, max(0, l.capacity(b.limit)-b.held))
}

// credit returns the tokens of requests that did not run to a bucket, unless they are too old.
func (l *ledger) credit(b *bucket, n Tokens, age time.Duration) {
	if age <= l.cfg.maxReturnAge(b.limit) {
		b.level += n
	}
	l.fill(b)
}

// maxReturnAge returns the age up to which tokens of requests that did not run are returned.
// While endpoints refuse all requests, the tokens that are still to be returned add to those in
// the bucket, which has filled in the meantime; the bound has room for returnShare of its overage.
func (cfg Config) maxReturnAge(limit Limit) time.Duration {
	overage := Tokens(cfg.Overage) * (limit.Rate*Tokens(cfg.Window.Seconds()) + limit.Burst)
	return timeFor(returnShare*(overage+cfg.Slack), limit.Rate)
}

// fullLevel returns the level of a bucket at which a request is admitted. A large request
// leaves a debt.
func fullLevel(cost Tokens, limit Limit) Tokens { return min(cost, largeRequest*limit.Burst) }

// never reports whether a quota can never allow a request.
func (l *ledger) never(limit Limit, cost Tokens) bool {
	return cost > l.largest(limit, 1)
}

// largest returns the cost of the largest request that a bucket allows, by the shares lent.
func (l *ledger) largest(limit Limit, lent float64) Tokens {
	return Tokens(lent) * (limit.Burst + debtShare*l.cfg.Slack)
}

// spend takes the cost of a request from a bucket if its level allows it.
func (l *ledger) spend(b *bucket, cost Tokens) bool {
	required := min(cost, Tokens(l.lent)*largeRequest*b.limit.Burst)
	if l.lent <= 0 || b.level < required || cost > l.largest(b.limit, l.lent) {
		return false
	}
	b.level -= cost
	return true
}

// take decides on a request at the owner itself.
func (l *ledger) take(w slugname.Workspace, cost Tokens, now slugclock.Instant) Verdict {
	l.advance(now)
	b := l.buckets[w]
	if b == nil {
		return Verdict{Admitted: true}
	}
	l.fill(b)
	if l.spend(b, cost) {
		return Verdict{Admitted: true}
	}
	if l.never(b.limit, cost) {
		return Verdict{RetryAfter: retryAfter(timeFor(cost, b.limit.Rate))}
	}
	rate := b.limit.Rate * Tokens(l.lent)
	if rate <= 0 {
		return Verdict{RetryAfter: retryAfter(startDelay)}
	}
	return Verdict{RetryAfter: retryAfter(timeFor(fullLevel(cost, b.limit)-b.level, rate))}
}

// giveBack returns the tokens of a request that did not run, age after they were taken.
func (l *ledger) giveBack(w slugname.Workspace, n Tokens, age time.Duration, now slugclock.Instant) {
	l.advance(now)
	if b := l.buckets[w]; b != nil {
		l.credit(b, n, age)
	}
}

// available returns the level of a bucket.
func (l *ledger) available(w slugname.Workspace, now slugclock.Instant) Tokens {
	l.advance(now)
	b := l.buckets[w]
	if b == nil {
		return 0
	}
	l.fill(b)
	return b.level
}

// serve answers the request of a host. interval is the time between regular requests.
func (l *ledger) serve(from slugname.Process, r Request, interval time.Duration, now slugclock.Instant) Answer {
	l.keep = time.Duration((loanIntervals + 1) * float64(interval))
	l.advance(now)
	if r.Withdraw {
		return l.withdraw(from, r, now)
	}
	if loan := time.Duration(r.LoanMs) * time.Millisecond; loan > 0 && r.Hosts > 0 {
		l.lend(from, 1/float64(r.Hosts), min(loan, l.keep), now)
	}
	spacing := l.ask(from, r, interval, now)
	a := Answer{SpacingMs: uint32(spacing.Milliseconds())}
	horizon := max(minHorizon, horizonSpacings*spacing)
	for _, d := range r.Demands {
		if b := l.buckets[d.Workspace]; b != nil {
			a.Grants = append(a.Grants, l.grant(b, from, d, horizon, now))
		} else {
			a.Grants = append(a.Grants, Grant{Unlimited: true})
		}
	}
	return a
}

// withdraw ends the loan of a host. The host takes its part of the tokens in the buckets with it
// to the next owner.
func (l *ledger) withdraw(from slugname.Process, r Request, now slugclock.Instant) Answer {
	part := 0.0
	if x := l.lenders[from]; x != nil && l.lent > 0 {
		part = min(1, x.share/l.lent)
	}
	a := Answer{SpacingMs: uint32(minSpacing.Milliseconds())}
	for _, d := range r.Demands {
		b := l.buckets[d.Workspace]
		if b == nil {
			a.Grants = append(a.Grants, Grant{Unlimited: true})
			continue
		}
		l.fill(b)
		b.level += Tokens(d.Returned)
		granted := l.spendAll(b, d.Needs)
		taken := Tokens(math.Floor(max(0, float64(b.level)) * part))
		b.level -= taken
		b.hold(from, 0, 0, now)
		a.Grants = append(a.Grants, Grant{Tokens: uint64(granted + taken)})
	}
	l.lend(from, 0, 0, now)
	return a
}

// spendAll takes the costs of requests from a bucket, of those that it allows, and returns their
// sum.
func (l *ledger) spendAll(b *bucket, needs []uint64) (sum Tokens) {
	for _, cost := range needs {
		if l.spend(b, Tokens(cost)) {
			sum += Tokens(cost)
		}
	}
	return sum
}

// ask counts a request and returns the shortest time from it to the next one of the host.
func (l *ledger) ask(from slugname.Process, r Request, interval time.Duration, now slugclock.Instant) time.Duration {
	l.asks *= math.Exp(-float64(now.Sub(l.asksAt)) / float64(askTime))
	l.asksAt = now
	l.asks += 1 / askTime.Seconds()
	if len(r.Demands) > 0 {
		l.askers[from] = now
	}
	extra := max(0, l.asks-float64(len(l.lenders))/interval.Seconds())
	longest := float64(len(l.askers)) / maxAsks
	return max(minSpacing, time.Duration(longest*min(1, freeSpacing+extra/maxAsks)*float64(time.Second)))
}

// grant answers the demand of a host for one workspace.
func (l *ledger) grant(b *bucket, from slugname.Process, d Demand, horizon time.Duration, now slugclock.Instant) Grant {
	held := Tokens(d.Held)
	h := b.hold(from, held, float64(d.PerSecond), now)
	b.level += Tokens(d.Returned)
	l.credit(b, Tokens(d.NotRun), time.Duration(d.AgeMs)*time.Millisecond)
	granted := l.spendAll(b, d.Needs)
	target, floor := l.target(b, d, horizon)
	ahead := Tokens(math.Floor(float64(max(0, min(target-held, b.level-floor)))))
	b.level -= ahead
	h.held += ahead
	b.held += ahead
	return Grant{
		Tokens: uint64(granted + ahead), Target: uint64(target),
		Level: float32(b.level), Rate: float32(b.limit.Rate * Tokens(l.lent)),
	}
}

// hold records what a host holds and needs.
func (b *bucket) hold(p slugname.Process, held Tokens, demand float64, now slugclock.Instant) *holder {
	h := b.holders[p]
	if h == nil {
		h = &holder{}
		b.holders[p] = h
	}
	b.held += held - h.held
	b.demand += demand - h.demand
	*h = holder{held, demand, now}
	return h
}

// observe records the demand of the owner's own callers.
func (l *ledger) observe(self slugname.Process, w slugname.Workspace, demand float64, now slugclock.Instant) {
	if b := l.buckets[w]; b != nil {
		b.hold(self, 0, demand, now)
	}
}

// target returns the tokens that a host may hold ahead of demand, and the level down to which
// they are granted.
func (l *ledger) target(b *bucket, d Demand, horizon time.Duration) (target, floor Tokens) {
	demand, capacity := float64(d.PerSecond), float64(l.capacity(b.limit))
	rate := float64(b.limit.Rate) * l.lent
	if rate <= 0 || demand <= 0 {
		return 0, 0
	}
	total := max(b.demand, demand)
	part := demand * min(1, rate/total)
	ahead := part * min(horizon.Seconds(), maxAhead*capacity/min(rate, total))
	if ahead >= float64(d.MeanCost) {
		return Tokens(ahead), 0
	}
	floor = Tokens(aheadLevel * capacity)
	if b.level > floor && float64(d.MeanCost) < capacity*(1-aheadLevel) {
		return Tokens(d.MeanCost), floor
	}
	return 0, floor
}

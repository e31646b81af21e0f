// Package slugquota decides which requests of a workspace are within its quota, summed over
// all hosts.
//
// The load it answers: a workspace sends many times its quota to any of the hosts, or moves
// from one host to another, while hosts die, start and are cut off from each other. The sum of
// what all hosts admit must stay within the quota, and nearly all that the quota allows must
// be admitted.
//
// Each host is entitled to an equal share of the rate of each quota, by the number of known
// hosts. It lends its shares for a short time to an owner, which is the same for all hosts that
// reach each other. The owner fills one token bucket for each workspace at the sum of the shares
// that are lent to it, and grants tokens to the hosts on demand, ahead of it where it can. A
// host that reaches no owner takes its shares back once the loan has ended, and is its own
// owner. The shares that are in use therefore never exceed the whole, however the network is
// partitioned and whoever is taken to be the owner. A new owner starts with empty buckets.
//
// Workspaces are divided among a fixed number of slots, each with an owner. The package
// performs no I/O: the caller sends the messages that Next returns.
//
// # Usage
//
//	q := slugquota.New(slugquota.Config{Self: process, Window: 8 * time.Second, Overage: 0.1, Slack: 190000}, now)
//	q.SetLimits(limits, now)
//	q.SetHosts(hosts, now)
//	q.SetRanked(slot, ranked)
//	verdict, need := q.Take(workspace, cost, now, decided)
package slugquota

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

// Slots is the number of groups into which workspaces are divided. Each has an owner, which
// all hosts call. More slots spread the work of the owners, and cost every host more calls.
const Slots = 4

// Slot is the number of a group of workspaces, from 0 to Slots-1.
type Slot int

// SlotOf returns the slot of a workspace.
func SlotOf(w slugname.Workspace) Slot { return Slot(xxhash.Sum64String(string(w)) % Slots) }

// Tokens is an amount in the unit of a quota: tokens of prompts and outputs, or requests.
type Tokens float64

// Limit is the quota of a workspace over all hosts.
type Limit struct {
	// Rate is in tokens per second, Burst in tokens.
	Rate, Burst Tokens
}

// Config configures Quotas.
type Config struct {
	// Self is this process.
	Self slugname.Process
	// Window, Overage and Slack define the bound on what is admitted in any window, summed
	// over all hosts: (rate x Window + burst) x (1 + Overage) + Slack.
	Window  time.Duration
	Overage float64
	Slack   Tokens
	// OwnerChanged is called when the owner of a slot changes for this process, with the owner
	// or an empty name if there is none. fallback is set if this process uses its own shares
	// because it reaches no owner. It must not call Quotas; nil means that nothing is called.
	OwnerChanged func(s Slot, owner slugname.Process, fallback bool)
	// Due is called when a call for a slot may be due earlier than Next said. It must neither
	// block nor call Quotas; nil means that nothing is called.
	Due func(Slot)
}

// Verdict is the decision on a request.
type Verdict struct {
	Admitted bool
	// RetryAfter is the time after which the quota allows a refused request.
	RetryAfter time.Duration
}

// Need is a request that waits for an answer of the owner.
type Need struct {
	workspace slugname.Workspace
	cost      Tokens
	decided   func(Verdict)
	verdict   *Verdict
}

// Quotas decides on the requests at one host, and divides the quotas of the slots that this
// host owns. It is safe for concurrent use.
type Quotas struct {
	cfg Config

	mu       sync.Mutex
	hosts    int
	sharesAt slugclock.Instant
	accounts map[slugname.Workspace]*account
	contacts [Slots]*contact
	ledgers  [Slots]*ledger
}

const (
	// startDelay is how long after a process knows of other hosts its shares are not used. By
	// then it knows the hosts that were started together with it.
	startDelay = time.Second
	// minRetryAfter is the least delay of a refused request, so that it does not come back
	// before the exchange with the owner that it needs.
	minRetryAfter = 20 * time.Millisecond
	// maxRetryAfter bounds the delay of a request that the quota does not allow at all.
	maxRetryAfter = 10 * time.Minute
	// hostInterval is multiplied by the number of hosts to get the time between calls to an
	// owner, so that an owner gets about 125 calls per second from all hosts.
	hostInterval = 8 * time.Millisecond
	// minInterval is the shortest time between calls to an owner without a need.
	minInterval = 500 * time.Millisecond
	// loanIntervals is the length of a loan in intervals. One call in between may be lost.
	loanIntervals = 2.5
	// loanMargin is the fraction of a loan for which the owner uses it. The rest covers the
	// time of the message and the difference of the clocks.
	loanMargin = 0.9
)

// New returns Quotas without limits.
func New(cfg Config, now slugclock.Instant) *Quotas {
	if cfg.OwnerChanged == nil {
		cfg.OwnerChanged = func(Slot, slugname.Process, bool) {}
	}
	if cfg.Due == nil {
		cfg.Due = func(Slot) {}
	}
	q := &Quotas{cfg: cfg, accounts: map[slugname.Workspace]*account{}}
	for i := range q.contacts {
		q.contacts[i] = newContact(now)
		q.ledgers[i] = newLedger(cfg, now)
	}
	return q
}

// SetLimits replaces the quotas. A workspace that is new among them starts with an empty
// bucket.
func (q *Quotas) SetLimits(limits map[slugname.Workspace]Limit, now slugclock.Instant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for w, a := range q.accounts {
		if _, ok := limits[w]; !ok {
			a.decideAll(Verdict{Admitted: true})
			delete(q.accounts, w)
			q.ledgers[SlotOf(w)].remove(w)
			q.contacts[SlotOf(w)].workspaces--
		}
	}
	for w, l := range limits {
		a := q.accounts[w]
		if a == nil {
			a = &account{workspace: w, demandAt: now}
			q.accounts[w] = a
			q.contacts[SlotOf(w)].begin(now)
		}
		a.limit = l
		q.ledgers[SlotOf(w)].setLimit(w, l, now)
	}
	for s := range q.contacts {
		q.cfg.Due(Slot(s))
	}
}

// SetHosts sets the number of known hosts, this one included, or 0 if it is not known yet.
// Hosts that are gone count as long as their records are there.
func (q *Quotas) SetHosts(n int, now slugclock.Instant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.hosts == 0 && n > 0 {
		q.sharesAt = now
	}
	q.hosts = n
}

// SetRanked sets the live processes that may own a slot, in the order in which all hosts
// prefer them.
func (q *Quotas) SetRanked(s Slot, ranked []slugname.Process) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !slices.Equal(q.contacts[s].ranked, ranked) {
		q.contacts[s].ranked = ranked
		q.cfg.Due(s)
	}
}

// share returns the share of this host in each rate, 0 if it is not known yet; q.mu must be
// held.
func (q *Quotas) share(now slugclock.Instant) float64 {
	if q.hosts == 0 || now.Sub(q.sharesAt) < startDelay {
		return 0
	}
	return 1 / float64(q.hosts)
}

// interval returns the time between calls to an owner; q.mu must be held.
func (q *Quotas) interval() time.Duration {
	return max(minInterval, time.Duration(q.hosts)*hostInterval)
}

// loan returns how long a loan of shares lasts; q.mu must be held.
func (q *Quotas) loan() time.Duration {
	return time.Duration(loanIntervals * float64(q.interval()))
}

// Take decides on a request of a workspace. If the tokens at hand do not suffice and the owner
// may have some, it returns a Need, and calls decided once the owner has answered; decided must
// not block and must not call Quotas.
func (q *Quotas) Take(w slugname.Workspace, cost Tokens, now slugclock.Instant, decided func(Verdict)) (Verdict, *Need) {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.accounts[w]
	if a == nil || cost <= 0 {
		return Verdict{Admitted: true}, nil
	}
	a.recordDemand(cost, now)
	s := SlotOf(w)
	c, l := q.contacts[s], q.ledgers[s]
	q.settle(s, now)
	q.expire(a, c, now)
	if a.spend(cost) {
		if a.wantsMore(now) {
			q.cfg.Due(s)
		}
		return Verdict{Admitted: true}, nil
	}
	if c.owner == q.cfg.Self {
		l.observe(q.cfg.Self, w, a.demandNow(now), now)
		v := l.take(w, cost, now)
		a.count(v)
		return v, nil
	}
	delay := q.askDelay(c, now)
	if wait := a.estimatedWait(cost, l.never(a.limit, cost), now); wait > 0 || delay > maxAskDelay || len(a.needs) >= maxNeeds {
		return a.refuse(max(wait, delay)), nil
	}
	n := &Need{workspace: w, cost: cost, decided: decided}
	a.needs = append(a.needs, n)
	q.cfg.Due(s)
	return Verdict{}, n
}

// Cancel ends the wait of a request and returns the decision, which may have been taken just
// before.
func (q *Quotas) Cancel(n *Need, now slugclock.Instant) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	if n.verdict != nil {
		return *n.verdict
	}
	a := q.accounts[n.workspace]
	if a == nil {
		return Verdict{Admitted: true}
	}
	a.removeNeed(n)
	v := a.refuse(max(a.wait(n.cost, now), q.contacts[SlotOf(n.workspace)].untilReleased(q.loan(), now)))
	n.verdict = &v
	return v
}

// Return gives back the tokens of an admitted request that did not run. age is the time since
// they were taken. Tokens that were taken long ago are dropped, as others may have been used in
// their place.
func (q *Quotas) Return(w slugname.Workspace, cost Tokens, age time.Duration, now slugclock.Instant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.accounts[w]
	if a == nil || cost <= 0 {
		return
	}
	a.returned++
	if s := SlotOf(w); q.contacts[s].owner == q.cfg.Self {
		q.ledgers[s].giveBack(w, cost, age, now)
		return
	}
	if age > q.cfg.maxReturnAge(a.limit) {
		return
	}
	if takenAt := now.Add(-age); a.givenBack == 0 || a.takenAt.After(takenAt) {
		a.takenAt = takenAt
	}
	a.givenBack += cost
	q.cfg.Due(SlotOf(w))
}

// Stats are the figures of one workspace at this host.
type Stats struct {
	// Admitted, Refused and Returned are numbers of requests. Returned ones were admitted, but
	// did not run.
	Admitted, Refused, Returned uint64
	// Available are the tokens that this host may use without another grant.
	Available Tokens
}

// Stats returns the figures of all workspaces with a quota.
func (q *Quotas) Stats(now slugclock.Instant) map[slugname.Workspace]Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[slugname.Workspace]Stats, len(q.accounts))
	for w, a := range q.accounts {
		c, l := q.contacts[SlotOf(w)], q.ledgers[SlotOf(w)]
		q.expire(a, c, now)
		st := Stats{a.admitted, a.refused, a.returned, a.balance}
		if c.owner == q.cfg.Self {
			st.Available += max(0, l.available(w, now))
		}
		out[w] = st
	}
	return out
}

// retryAfter rounds a delay for the caller.
func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// timeFor returns the time in which tokens accumulate at a rate.
func timeFor(n, rate Tokens) time.Duration {
	if n <= 0 {
		return 0
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	return time.Duration(math.Min(float64(n/rate)*float64(time.Second), float64(maxRetryAfter)))
}

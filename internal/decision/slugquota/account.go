package slugquota

import (
	"math"
	"slices"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

const (
	// demandTime is the time constant of the mean demand of a workspace at a host.
	demandTime = 2 * time.Second
	// costWeight is the weight of the latest request in the mean cost.
	costWeight = 0.1
	// minDemand is the demand in tokens per second below which a workspace is not active at a
	// host, relative to the mean cost of its requests.
	minDemand = 0.02
	// maxAskDelay is the longest time that a request waits until the owner may be asked.
	maxAskDelay = 60 * time.Millisecond
)

// account is the state of one workspace at a host.
type account struct {
	workspace slugname.Workspace
	limit     Limit
	// balance are the granted tokens at hand.
	balance Tokens
	// givenBack are tokens of requests that did not run, which the owner gets with the next call,
	// and takenAt is when the first of them were taken. They are not used here, because the
	// bucket may be full again.
	givenBack Tokens
	takenAt   slugclock.Instant
	// demand is the mean demand in tokens per second, of admitted and refused requests, at
	// demandAt. meanCost is the mean cost of a request.
	demand   float64
	demandAt slugclock.Instant
	meanCost float64
	// level and rate are those of the owner's bucket at levelAt, which is zero if the owner has
	// not answered yet. target is the balance that the owner lets this host hold.
	level, rate Tokens
	levelAt     slugclock.Instant
	target      Tokens
	// needs are the requests that wait for the owner, in the order of their arrival, maxNeeds at
	// most.
	needs []*Need

	admitted, refused, returned uint64
}

// decay returns the factor by which a demand falls in d.
func decay(d time.Duration) float64 {
	return math.Exp(-float64(d) / float64(demandTime))
}

// demandNow returns the mean demand in tokens per second.
func (a *account) demandNow(now slugclock.Instant) float64 {
	return a.demand * decay(now.Sub(a.demandAt))
}

func (a *account) recordDemand(cost Tokens, now slugclock.Instant) {
	a.demand = a.demandNow(now) + float64(cost)/demandTime.Seconds()
	a.demandAt = now
	if a.meanCost == 0 {
		a.meanCost = float64(cost)
	}
	a.meanCost += costWeight * (float64(cost) - a.meanCost)
}

// active reports whether the owner has to know of this account.
func (a *account) active(now slugclock.Instant) bool {
	return a.balance+a.givenBack > 0 || len(a.needs) > 0 || a.demandNow(now) > minDemand*a.meanCost
}

// spend takes the cost of a request from the balance if that suffices.
func (a *account) spend(cost Tokens) bool {
	if a.balance < cost {
		return false
	}
	a.balance -= cost
	a.admitted++
	return true
}

// count counts a decision that was taken elsewhere.
func (a *account) count(v Verdict) {
	if v.Admitted {
		a.admitted++
	} else {
		a.refused++
	}
}

// refuse returns the refusal of a request.
func (a *account) refuse(wait time.Duration) Verdict {
	a.refused++
	return Verdict{RetryAfter: retryAfter(wait)}
}

// wait returns the time after which the owner's bucket is expected to allow a request.
func (a *account) wait(cost Tokens, now slugclock.Instant) time.Duration {
	rate := a.rate
	if rate <= 0 {
		rate = a.limit.Rate
	}
	level := a.givenBack
	if !a.levelAt.IsZero() {
		level += a.level + rate*Tokens(now.Sub(a.levelAt).Seconds())
	}
	return timeFor(fullLevel(min(cost, a.limit.Burst), a.limit)-a.balance-level, rate)
}

// estimatedWait is like wait, but 0 unless it is certain that the owner does not grant the
// request now.
func (a *account) estimatedWait(cost Tokens, never bool, now slugclock.Instant) time.Duration {
	if never {
		return timeFor(cost, a.limit.Rate)
	}
	if a.levelAt.IsZero() || a.rate <= 0 {
		return 0
	}
	return a.wait(cost, now)
}

// wantsMore reports whether more tokens are to be fetched ahead of demand.
func (a *account) wantsMore(now slugclock.Instant) bool {
	return a.balance < a.target/2 && a.demandNow(now) > minDemand*a.meanCost
}

// decide ends the wait of a request.
func (n *Need) decide(v Verdict) {
	n.verdict = &v
	n.decided(v)
}

// decideAll ends the waits of all requests.
func (a *account) decideAll(v Verdict) {
	for _, n := range a.needs {
		n.decide(v)
	}
	a.needs = nil
}

func (a *account) removeNeed(n *Need) {
	if i := slices.Index(a.needs, n); i >= 0 {
		a.needs = slices.Delete(a.needs, i, i+1)
	}
}

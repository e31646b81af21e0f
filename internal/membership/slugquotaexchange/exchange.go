// Package slugquotaexchange carries the messages by which hosts share the quotas of workspaces.
// slugquota decides.
//
// For each slot of workspaces, a process has at most one call in progress, to the owner of the
// slot. Without quotas nothing is sent.
//
// # Usage
//
//	x := slugquotaexchange.New(slugquotaexchange.Config{Self: process, Record: member.Record, Call: transport.Call, Log: log})
//	x.SetLimits(limits)
//	go x.Run(ctx)
//	verdict := x.Take(ctx, workspace, cost)
package slugquotaexchange

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugquota"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
	"golang.org/x/sync/errgroup"
)

const (
	// answerTimeout is the longest time that a request waits for the owner. An answer takes a
	// round trip, after that of the call before it. With 100 ms, an owner to which messages take
	// 60 ms never answers in time, and less than 5 in 100 of a quota for large requests is used.
	answerTimeout = 200 * time.Millisecond
	// callTimeout bounds a call to the owner. It is longer than answerTimeout, because the first
	// call to a process needs a handshake.
	callTimeout = 250 * time.Millisecond
	// candidates is the number of processes among which the owner of a slot is looked for.
	candidates = 8
	// exceededInterval is the shortest time between log lines about a workspace that exceeds its
	// quota.
	exceededInterval = 10 * time.Second
)

// Config configures an Exchange.
type Config struct {
	// Self is this process.
	Self slugname.Process
	// Window, Overage and Slack are those of slugquota.Config.
	Window  time.Duration
	Overage float64
	Slack   float64
	// Record returns the membership record of a process.
	Record func(slugname.Process) (slugmember.Record, bool)
	// Call sends a message to a process and returns the answer.
	Call func(ctx context.Context, to slugmember.Record, m slugpeer.Message) (slugpeer.Message, error)
	Log  *slugevent.Log
}

// Exchange shares quotas with the other hosts. It is safe for concurrent use.
type Exchange struct {
	cfg    Config
	quotas *slugquota.Quotas
	// due wakes the loops of the slots.
	due [slugquota.Slots]chan struct{}

	mu     sync.Mutex
	limits map[slugname.Workspace]slugquota.Limit
	live   []slugname.Process
	// exceededAt is when a workspace was last logged as exceeding its quota.
	exceededAt map[slugname.Workspace]time.Time
}

// New returns an Exchange without quotas.
func New(cfg Config) *Exchange {
	x := &Exchange{cfg: cfg, exceededAt: map[slugname.Workspace]time.Time{}}
	for s := range x.due {
		x.due[s] = make(chan struct{}, 1)
	}
	x.quotas = slugquota.New(slugquota.Config{
		Self: cfg.Self, Window: cfg.Window, Overage: cfg.Overage, Slack: slugquota.Tokens(cfg.Slack),
		OwnerChanged: x.logOwner, Due: x.wake,
	}, slugclock.Now())
	return x
}

// wake makes the loop of a slot look for a call to make.
func (x *Exchange) wake(s slugquota.Slot) {
	select {
	case x.due[s] <- struct{}{}:
	default:
	}
}

func (x *Exchange) logOwner(s slugquota.Slot, owner slugname.Process, fallback bool) {
	event := slugevent.QuotaOwnerChanged
	if fallback {
		event = slugevent.QuotaOwnerUnreachable
	}
	x.cfg.Log.Emit(event, slugevent.Fields{"slot": s, "owner": owner})
}

// SetLimits replaces the quotas.
func (x *Exchange) SetLimits(limits map[slugname.Workspace]slugquota.Limit) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(limits) == 0 && len(x.limits) == 0 {
		return
	}
	x.limits = limits
	x.quotas.SetLimits(limits, slugclock.Now())
	x.rank()
}

// SetHosts sets the number of known hosts, this one included, or 0 if it is not known yet.
func (x *Exchange) SetHosts(n int) { x.quotas.SetHosts(n, slugclock.Now()) }

// SetLive sets the live processes, this one included, in a fixed order.
func (x *Exchange) SetLive(live []slugname.Process) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if slices.Equal(live, x.live) {
		return
	}
	x.live = live
	x.rank()
}

// rank ranks the candidates of each slot; x.mu must be held.
func (x *Exchange) rank() {
	if len(x.limits) == 0 {
		return
	}
	for s := range slugquota.Slot(slugquota.Slots) {
		x.quotas.SetRanked(s, slugmember.HighestRanked(fmt.Sprintf("quotas-%d", s), x.live, candidates))
	}
}

// Run exchanges messages until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for s := range slugquota.Slot(slugquota.Slots) {
		g.Go(func() error {
			x.runSlot(ctx, s)
			return nil
		})
	}
	return g.Wait()
}

// runSlot makes the calls of one slot, one at a time.
func (x *Exchange) runSlot(ctx context.Context, s slugquota.Slot) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		call, wait := x.quotas.Next(s, slugclock.Now())
		if call != nil {
			x.send(ctx, call)
			continue
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
		case <-x.due[s]:
		case <-timer.C:
		}
	}
}

// send makes a call. An owner that does not answer is noticed by slugquota.
func (x *Exchange) send(ctx context.Context, call *slugquota.Call) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, known := x.cfg.Record(call.To)
	if !known {
		x.quotas.Failed(call, slugclock.Now())
		return
	}
	answer, err := x.cfg.Call(ctx, r, slugpeer.Message{Protocol: slugpeer.Protocol, Quota: &call.Request})
	if err != nil || answer.QuotaAnswer == nil {
		x.quotas.Failed(call, slugclock.Now())
		return
	}
	x.quotas.Answered(call, *answer.QuotaAnswer, slugclock.Now())
}

// Serve answers the request of another process, or returns nil if it is not valid.
func (x *Exchange) Serve(from slugname.Process, r slugquota.Request) *slugquota.Answer {
	answer, ok := x.quotas.Serve(from, r, slugclock.Now())
	if !ok {
		return nil
	}
	return &answer
}

// Take takes the cost of a request from the quota of its workspace. A request beyond the tokens
// at hand waits for the owner, but at most answerTimeout.
func (x *Exchange) Take(ctx context.Context, w slugname.Workspace, cost float64) slugquota.Verdict {
	decided := make(chan slugquota.Verdict, 1)
	v, need := x.quotas.Take(w, slugquota.Tokens(cost), slugclock.Now(), func(v slugquota.Verdict) { decided <- v })
	if need != nil {
		ctx, cancel := context.WithTimeout(ctx, answerTimeout)
		defer cancel()
		select {
		case v = <-decided:
		case <-ctx.Done():
			v = x.quotas.Cancel(need, slugclock.Now())
		}
	}
	if !v.Admitted {
		x.logExceeded(w, v)
	}
	return v
}

// Return gives back the cost of a request that did not run. age is the time since it was taken.
func (x *Exchange) Return(w slugname.Workspace, cost float64, age time.Duration) {
	x.quotas.Return(w, slugquota.Tokens(cost), age, slugclock.Now())
}

// logExceeded logs that a workspace exceeds its quota, unless that was logged recently.
func (x *Exchange) logExceeded(w slugname.Workspace, v slugquota.Verdict) {
	now := time.Now()
	x.mu.Lock()
	recent := now.Sub(x.exceededAt[w]) < exceededInterval
	if !recent {
		x.exceededAt[w] = now
	}
	x.mu.Unlock()
	if !recent {
		x.cfg.Log.Emit(slugevent.QuotaExceeded, slugevent.Fields{"workspace": w, "retryAfterMs": v.RetryAfter.Milliseconds(), "refused": x.Stats()[w].Refused})
	}
}

// Stats returns the figures of all workspaces with a quota at this host.
func (x *Exchange) Stats() map[slugname.Workspace]slugquota.Stats {
	return x.quotas.Stats(slugclock.Now())
}

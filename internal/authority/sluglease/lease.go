// Package sluglease holds a duty under a lease in the platform's store.
//
// The lease is valid until the send time of its last successful renewal plus its TTL minus
// a safety margin, by the wall clock, the monotonic clock or the clock since boot, whichever
// ends it first. A candidate claims the duty only after it has seen the same version of the
// lease for the TTL plus the margin by both the wall clock and the monotonic clock, or after
// the holder released the duty.
//
// If the store is restored from a copy, claims, renewals and releases may be lost. A lease
// whose holder has not claimed or renewed it in the present era of the store therefore
// counts as held until the lease of any holder must have expired, even if the copy shows it
// as released or does not contain it.
//
// # Usage
//
//	l := sluglease.New(sluglease.Config{Duty: "usage/north", Self: process, Store: store, TTL: 9 * time.Second, Rank: rank})
//	err := l.Run(ctx, func(ctx context.Context, g *sluglease.Grant) error {
//		return g.Do(ctx, time.Second, sendOrder)
//	})
package sluglease

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
)

const (
	// marginDivisor divides the TTL to get the safety margin. The margin allows for clocks
	// that run at different rates: a holder stops that much before the TTL is over.
	marginDivisor = 9
	// renewalDivisor divides the TTL to get the renewal interval.
	renewalDivisor = 3
	// pollInterval is the time between reads of a lease that another process holds.
	pollInterval = 1500 * time.Millisecond
	// claimDelayPerRank staggers the claims of candidates by rank.
	claimDelayPerRank = 700 * time.Millisecond
	// MaxCandidates is the number of processes that compete for a duty.
	MaxCandidates = 3
	// idlePollInterval is the time after which a process that is no candidate checks its
	// rank again.
	idlePollInterval = time.Second
)

// ErrExpired reports that the lease has expired or expires too soon for an action.
var ErrExpired = errors.New("lease has expired or expires too soon")

// Config configures a Lease.
type Config struct {
	Duty  Duty
	Self  slugname.Process
	Host  slugname.Host
	Store *slugstore.Store
	TTL   time.Duration
	// Rank returns the rank of this process among the candidates, starting at 0.
	Rank func() int
	// FirstStart reports that the system starts for the first time, so that a lease that does
	// not exist was never held.
	FirstStart bool
	// Eligible reports whether this process may hold duties; nil means that it may.
	Eligible func() bool
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Released is called after the duty was released; it may be nil.
	Released func()
	Log      *slugevent.Log
}

// Lease is the participation of one process in a duty. It is safe for concurrent use.
type Lease struct {
	cfg  Config
	wake chan struct{}

	mu      sync.Mutex
	record  Record
	version slugstore.Version
	// versionSeenAt is when the current version was first seen.
	versionSeenAt time.Time
	// firstEra is the era of the first successful read.
	firstEra slugstore.Era
	// highestFence is the highest fence that this process has seen. A write from an older
	// era that takes effect late may replace a claim that has a higher one.
	highestFence Fence
	// displaced is the last grant of this process if the restored store lacks its claim.
	displaced *Grant
	held      bool
	// abandoned makes Run end the lease without a release.
	abandoned bool
}

// New returns a Lease that is not held.
func New(cfg Config) *Lease {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Eligible == nil {
		cfg.Eligible = func() bool { return true }
	}
	return &Lease{cfg: cfg, wake: make(chan struct{}, 1)}
}

// Duty returns the name of the duty.
func (l *Lease) Duty() Duty { return l.cfg.Duty }

// Status returns the record as last read or written and reports whether this process
// holds the duty.
func (l *Lease) Status() (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record, l.held
}

// Wake ends the current wait between reads or renewals early.
func (l *Lease) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Lease) margin() time.Duration { return l.cfg.TTL / marginDivisor }

func (l *Lease) name() string { return Prefix + string(l.cfg.Duty) }

// elapsed returns the time since a moment by the monotonic clock and by the wall clock,
// shorter first.
func elapsed(since, now time.Time) (shorter, longer time.Duration) {
	monotonic := now.Sub(since)
	wall := now.Round(0).Sub(since.Round(0))
	return min(monotonic, wall), max(monotonic, wall)
}

// Run claims the duty when permitted and calls work while the duty is held. The context
// of work ends when the lease does. Run returns when ctx ends, after it has released the
// duty.
func (l *Lease) Run(ctx context.Context, work func(context.Context, *Grant) error) error {
	for ctx.Err() == nil {
		l.waitForPoll(ctx)
		if ctx.Err() != nil {
			return nil
		}
		grant, err := l.tryClaim(ctx)
		if err != nil || grant == nil {
			continue
		}
		l.hold(ctx, grant, work)
	}
	return nil
}

// waitForPoll waits until the lease is to be read next.
func (l *Lease) waitForPoll(ctx context.Context) {
	d := pollInterval
	l.mu.Lock()
	switch {
	case l.version == 0 && l.versionSeenAt.IsZero():
		d = 0
	case l.record.Released:
		d = claimDelayPerRank
	}
	l.mu.Unlock()
	if l.cfg.Rank() >= MaxCandidates || !l.cfg.Eligible() {
		d = idlePollInterval
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-l.wake:
	}
}

// tryClaim reads the lease and claims it if permitted. It returns nil if the lease was
// not claimed.
func (l *Lease) tryClaim(ctx context.Context) (*Grant, error) {
	rank := l.cfg.Rank()
	if rank >= MaxCandidates || !l.cfg.Eligible() {
		return nil, nil
	}
	r, version, err := l.read(ctx)
	if err != nil {
		return nil, err
	}
	if !l.mayClaim(r, version, rank) {
		return nil, nil
	}
	return l.claim(ctx, r, version)
}

// read reads the lease and records when its version was first seen.
func (l *Lease) read(ctx context.Context) (Record, slugstore.Version, error) {
	o, err := l.cfg.Store.Get(ctx, l.name())
	if err != nil {
		return Record{}, 0, err
	}
	var r Record
	if o.Body != nil {
		if err := o.Decode(&r); err != nil {
			return Record{}, 0, err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.versionSeenAt.IsZero() {
		l.firstEra = l.cfg.Store.Era()
	}
	if o.Version != l.version || l.versionSeenAt.IsZero() {
		l.version, l.versionSeenAt = o.Version, l.cfg.Now()
	}
	l.record, l.highestFence = r, max(l.highestFence, r.Fence)
	return r, o.Version, nil
}

// mayClaim reports whether the lease may be claimed: it was released or never held, or
// the lease of its holder has certainly expired. A host that held the duty shortly
// before waits for the expiry even after a release.
func (l *Lease) mayClaim(r Record, version slugstore.Version, rank int) bool {
	delay := time.Duration(rank) * claimDelayPerRank
	era := l.cfg.Store.Era()
	l.mu.Lock()
	defer l.mu.Unlock()
	seen, _ := elapsed(l.versionSeenAt, l.cfg.Now())
	sinceRestore, _ := elapsed(l.eraSeenAt(), l.cfg.Now())
	expired := max(r.TTL(), l.cfg.TTL) + l.margin() + delay
	switch {
	case version == 0 && (era == 0 || l.cfg.FirstStart && era == l.firstEra):
		return seen >= delay
	case r.Era < era && l.displaced != nil && l.displaced.Remaining() > 0:
		// No other process can have claimed the duty yet.
		return true
	case version == 0 || r.Era < era && r.Released:
		return sinceRestore >= expired
	case r.Released && !r.heldBefore(l.cfg.Host):
		return seen >= delay
	}
	return seen >= expired
}

// eraSeenAt returns the time by the clock of the lease at which this process first saw the
// present era of the store.
func (l *Lease) eraSeenAt() time.Time {
	return l.cfg.Now().Add(-time.Since(l.cfg.Store.EraSeenAt()))
}

// claim writes the record of the next claim. The validity of the lease is counted from
// before the write is sent.
func (l *Lease) claim(ctx context.Context, r Record, version slugstore.Version) (*Grant, error) {
	sent := l.timestamp()
	era := version.Era()
	if version == 0 {
		era = l.cfg.Store.Era()
	}
	next := r.nextClaim(l.cfg.Duty, l.cfg.Self, l.cfg.Host, l.cfg.TTL)
	l.mu.Lock()
	next.Fence, next.Era = max(next.Fence, l.highestFence+1, fenceAfter(era, version)), era
	l.mu.Unlock()
	version, err := l.cfg.Store.Put(ctx, l.name(), version, next)
	if err != nil {
		return nil, err
	}
	if version.Era() != era {
		// The fence may have been used by a claim that the store lost.
		return nil, errors.Newf("store was restored while duty %s was claimed", l.cfg.Duty)
	}
	grant := &Grant{lease: l, Fence: next.Fence, sentAt: sent}
	l.mu.Lock()
	if l.displaced != nil && l.displaced.Remaining() > 0 {
		grant.Previous = l.displaced.Fence
	}
	l.record, l.version, l.versionSeenAt, l.held, l.displaced = next, version, l.cfg.Now(), true, nil
	l.highestFence = next.Fence
	l.mu.Unlock()
	l.cfg.Log.Emit(slugevent.DutyTaken, slugevent.Fields{"duty": l.cfg.Duty, "fence": next.Fence, "era": era, "unconfirmed": len(next.Unconfirmed)})
	return grant, nil
}

// hold runs work and renews the lease until the lease ends or ctx does.
func (l *Lease) hold(ctx context.Context, g *Grant, work func(context.Context, *Grant) error) {
	workCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.runWork(workCtx, g, work)
	}()
	released := l.renewLoop(ctx, g)
	reason := "lease expired"
	if !released && g.Remaining() > 0 {
		reason = l.displace(g)
	}
	cancel()
	<-done
	l.mu.Lock()
	l.held = false
	abandoned := l.abandoned
	l.mu.Unlock()
	if abandoned {
		return
	}
	if released {
		l.release(context.WithoutCancel(ctx), g)
		return
	}
	l.cfg.Log.Emit(slugevent.DutyLost, slugevent.Fields{"duty": l.cfg.Duty, "fence": g.Fence, "reason": reason})
	l.acknowledge(ctx, g)
}

// runWork calls work repeatedly while the lease is held, with a growing pause of at most
// a second.
func (l *Lease) runWork(ctx context.Context, g *Grant, work func(context.Context, *Grant) error) {
	for n := 0; ctx.Err() == nil; n++ {
		if err := work(ctx, g); err != nil && ctx.Err() == nil {
			l.cfg.Log.Error(slugevent.DutyFailed, err, slugevent.Fields{"duty": l.cfg.Duty})
		}
		_ = slugbackoff.Sleep(ctx, min(time.Duration(n+1)*100*time.Millisecond, time.Second))
	}
}

// renewLoop renews the lease. It returns true if the duty is to be released and false if
// the lease was lost.
func (l *Lease) renewLoop(ctx context.Context, g *Grant) bool {
	next := time.Now().Add(l.cfg.TTL / renewalDivisor)
	for {
		if !l.waitForRenewal(ctx, min(time.Until(next), g.Remaining())) {
			return g.Remaining() > 0
		}
		switch {
		case g.Remaining() <= 0:
			return false
		case !l.cfg.Eligible():
			return true
		case time.Now().Before(next):
			continue
		}
		next = time.Now().Add(l.cfg.TTL / renewalDivisor)
		if !l.renew(ctx, g) {
			return false
		}
	}
}

// waitForRenewal waits for d or until Wake is called. It returns false if ctx has ended.
func (l *Lease) waitForRenewal(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
	case <-l.wake:
	}
	return true
}

// displace records that the claim of a valid grant is not in the store, and returns the
// reason.
func (l *Lease) displace(g *Grant) string {
	era := l.cfg.Store.Era()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.version.Era() == era {
		return "claimed by another process"
	}
	l.displaced = g
	l.Wake()
	return "claim is not in the restored store"
}

// renew attempts one renewal and reports whether the duty is still held. If the store was
// restored and still has the claim, the renewal is attempted again in the new era.
func (l *Lease) renew(ctx context.Context, g *Grant) bool {
	ctx, cancel := context.WithTimeout(ctx, min(l.cfg.TTL/renewalDivisor, g.Remaining()))
	defer cancel()
	for {
		l.mu.Lock()
		next, version := l.record, l.version
		l.mu.Unlock()
		next.Renewals++
		next.Era = version.Era()
		sent := l.timestamp()
		written, err := l.cfg.Store.Put(ctx, l.name(), version, next)
		if err == nil && written.Era() == next.Era {
			l.mu.Lock()
			l.record, l.version = next, written
			l.mu.Unlock()
			g.extend(sent)
			return true
		}
		if err != nil && !errors.Is(err, context.Canceled) {
			l.cfg.Log.Error(slugevent.RenewalFailed, err, slugevent.Fields{"duty": l.cfg.Duty, "fence": g.Fence, "remainingMs": g.Remaining().Milliseconds()})
		}
		if err != nil && !errors.Is(err, slugstore.ErrConflict) {
			return true
		}
		if !l.reloadHeld(ctx, g) {
			return false
		}
		l.mu.Lock()
		restored := l.version.Era() > version.Era()
		l.mu.Unlock()
		if !restored || g.Remaining() <= 0 {
			return true
		}
	}
}

// reloadHeld reads the lease after a conflict and reports whether this process still
// holds it. The conflict may come from an own renewal that took effect although its
// response was lost. If the lease cannot be read, it counts as held until it expires.
func (l *Lease) reloadHeld(ctx context.Context, g *Grant) bool {
	o, err := l.cfg.Store.Get(ctx, l.name())
	if err != nil {
		return true
	}
	var stored Record
	if o.Body == nil || o.Decode(&stored) != nil || stored.Holder != l.cfg.Self || stored.Fence != g.Fence {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record, l.version = stored, o.Version
	return true
}

// Abandon makes Run end the lease without a release, as a crash would.
func (l *Lease) Abandon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abandoned = true
}

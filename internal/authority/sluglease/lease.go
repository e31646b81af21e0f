// Package sluglease holds a duty under a lease in the platform's store.
//
// The holder's right ends at the time at which its last successful renewal was
// sent, plus the lease's time, less a margin: by wall time or by monotonic time,
// whichever says so first. A claimant acts only after it has seen the same version
// unchanged for the lease's time plus the margin, by whichever clock says so last,
// or after the holder released the duty.
//
// # Usage
//
//	l := sluglease.New(sluglease.Config{Duty: "usage/north", Self: process, Store: store, TTL: 9 * time.Second, Rank: rank})
//	err := l.Run(ctx, func(ctx context.Context, r *sluglease.Right) error {
//		return r.Do(ctx, time.Second, sendOrder)
//	})
package sluglease

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
)

const (
	// marginPart is the part of a lease's time by which clocks may differ in rate
	// and a holder ends early.
	marginPart = 9
	// renewPart is the part of a lease's time after which it is renewed.
	renewPart = 3
	// lookEvery is the time between looks at a lease that another process holds.
	lookEvery = 1500 * time.Millisecond
	// rankDelay is the time by which each later rank claims later.
	rankDelay = 700 * time.Millisecond
	// Candidates is the number of ranks that look at a duty.
	Candidates = 3
	// idleEvery is the time between looks at the rank of a process that is no
	// candidate.
	idleEvery = time.Second
	// acknowledgeTimeout bounds the write that acknowledges a loss.
	acknowledgeTimeout = 10 * time.Second
)

// ErrNoRight says that the right does not last long enough.
var ErrNoRight = errors.New("right to the duty does not last")

// Config makes a Lease.
type Config struct {
	Duty  Duty
	Self  slugname.Process
	Host  slugname.Host
	Store *slugstore.Store
	TTL   time.Duration
	// Rank returns this process's place among the candidates, from 0.
	Rank func() int
	// Eligible reports whether this process may hold duties; nil means yes.
	Eligible func() bool
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	// Released is called after the duty was released; it may be nil.
	Released func()
	Log      *slugevent.Log
}

// Lease is one process's part in a duty.
type Lease struct {
	cfg  Config
	poke chan struct{}

	mu      sync.Mutex
	record  Record
	version slugstore.Version
	// seenAt is when the present version was first seen.
	seenAt time.Time
	held   bool
	// abandoned tells to end without a release.
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
	return &Lease{cfg: cfg, poke: make(chan struct{}, 1)}
}

// Duty returns the duty's name.
func (l *Lease) Duty() Duty { return l.cfg.Duty }

// Status returns the last seen record and whether this process holds the duty.
func (l *Lease) Status() (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record, l.held
}

// Poke makes a candidate look at the lease at once.
func (l *Lease) Poke() {
	select {
	case l.poke <- struct{}{}:
	default:
	}
}

func (l *Lease) margin() time.Duration { return l.cfg.TTL / marginPart }

func (l *Lease) name() string { return Prefix + string(l.cfg.Duty) }

// elapsed returns the time since a moment by both clocks, the shorter first.
func elapsed(since, now time.Time) (shorter, longer time.Duration) {
	monotonic := now.Sub(since)
	wall := now.Round(0).Sub(since.Round(0))
	return min(monotonic, wall), max(monotonic, wall)
}

// Run claims the duty when it may, and calls work while it is held. work's context
// ends when the right does. Run returns when ctx ends, after it released the duty.
func (l *Lease) Run(ctx context.Context, work func(context.Context, *Right) error) error {
	for ctx.Err() == nil {
		l.wait(ctx)
		if ctx.Err() != nil {
			return nil
		}
		right, err := l.tryClaim(ctx)
		if err != nil || right == nil {
			continue
		}
		l.hold(ctx, right, work)
	}
	return nil
}

// wait waits until the next look at the lease.
func (l *Lease) wait(ctx context.Context) {
	d := lookEvery
	l.mu.Lock()
	switch {
	case l.version == 0 && l.seenAt.IsZero():
		d = 0
	case l.record.Released:
		d = rankDelay
	}
	l.mu.Unlock()
	if l.cfg.Rank() >= Candidates || !l.cfg.Eligible() {
		d = idleEvery
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-l.poke:
	}
}

// tryClaim looks at the lease and claims it if that is allowed.
func (l *Lease) tryClaim(ctx context.Context) (*Right, error) {
	rank := l.cfg.Rank()
	if rank >= Candidates || !l.cfg.Eligible() {
		return nil, nil
	}
	r, version, err := l.look(ctx)
	if err != nil {
		return nil, err
	}
	if !l.mayClaim(r, version, rank) {
		return nil, nil
	}
	return l.claim(ctx, r, version)
}

// look reads the lease and notes when its version was first seen.
func (l *Lease) look(ctx context.Context) (Record, slugstore.Version, error) {
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
	if o.Version != l.version || l.seenAt.IsZero() {
		l.version, l.seenAt = o.Version, l.cfg.Now()
	}
	l.record = r
	return r, o.Version, nil
}

// mayClaim reports whether the holder's right has certainly ended.
func (l *Lease) mayClaim(r Record, version slugstore.Version, rank int) bool {
	delay := time.Duration(rank) * rankDelay
	l.mu.Lock()
	seen, _ := elapsed(l.seenAt, l.cfg.Now())
	l.mu.Unlock()
	if version == 0 || r.Released && !r.returning(l.cfg.Host) {
		return seen >= delay
	}
	return seen >= max(r.TTL(), l.cfg.TTL)+l.margin()+delay
}

// claim writes the next record. The right counts from before the first try.
func (l *Lease) claim(ctx context.Context, r Record, version slugstore.Version) (*Right, error) {
	sent := l.moment()
	next := r.claimed(l.cfg.Duty, l.cfg.Self, l.cfg.Host, l.cfg.TTL)
	version, err := l.cfg.Store.Put(ctx, l.name(), version, next)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.record, l.version, l.seenAt, l.held = next, version, l.cfg.Now(), true
	l.mu.Unlock()
	right := &Right{lease: l, Fence: next.Fence, sent: sent}
	l.cfg.Log.Emit(slugevent.DutyTaken, slugevent.Fields{"duty": l.cfg.Duty, "fence": next.Fence, "unconfirmed": len(next.Unconfirmed)})
	return right, nil
}

// hold calls work and renews the lease until either ends.
func (l *Lease) hold(ctx context.Context, r *Right, work func(context.Context, *Right) error) {
	workCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.work(workCtx, r, work)
	}()
	released := l.renewUntil(ctx, r)
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
		l.release(context.WithoutCancel(ctx), r)
		return
	}
	l.cfg.Log.Emit(slugevent.DutyLost, slugevent.Fields{"duty": l.cfg.Duty, "fence": r.Fence})
	l.acknowledge(ctx, r)
}

// work calls work again while the right lasts.
func (l *Lease) work(ctx context.Context, r *Right, work func(context.Context, *Right) error) {
	for n := 0; ctx.Err() == nil; n++ {
		if err := work(ctx, r); err != nil && ctx.Err() == nil {
			l.cfg.Log.Error(slugevent.DutyFailed, err, slugevent.Fields{"duty": l.cfg.Duty})
		}
		_ = slugbackoff.Sleep(ctx, min(time.Duration(n+1)*100*time.Millisecond, time.Second))
	}
}

// renewUntil renews the lease. It returns true when the duty is to be released,
// and false when the right has ended.
func (l *Lease) renewUntil(ctx context.Context, r *Right) bool {
	next := time.Now().Add(l.cfg.TTL / renewPart)
	for {
		if !l.waitRenewal(ctx, min(time.Until(next), r.Remaining())) {
			return r.Remaining() > 0
		}
		switch {
		case r.Remaining() <= 0:
			return false
		case !l.cfg.Eligible():
			return true
		case time.Now().Before(next):
			continue
		}
		next = time.Now().Add(l.cfg.TTL / renewPart)
		if !l.renew(ctx, r) {
			return false
		}
	}
}

// waitRenewal waits for a time, or until the lease is poked. It returns false when
// ctx has ended.
func (l *Lease) waitRenewal(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
	case <-l.poke:
	}
	return true
}

// renew writes the lease once and reports whether the duty is still held.
func (l *Lease) renew(ctx context.Context, r *Right) bool {
	l.mu.Lock()
	next, version := l.record, l.version
	l.mu.Unlock()
	next.Renewals++
	sent := l.moment()
	ctx, cancel := context.WithTimeout(ctx, min(l.cfg.TTL/renewPart, r.Remaining()))
	defer cancel()
	version, err := l.cfg.Store.Put(ctx, l.name(), version, next)
	if err == nil {
		l.mu.Lock()
		l.record, l.version = next, version
		l.mu.Unlock()
		r.extend(sent)
		return true
	}
	if errors.Is(err, slugstore.ErrConflict) {
		return l.stillOurs(ctx, r)
	}
	return true
}

// stillOurs reads the lease after a conflict. An earlier renewal without an answer
// may have changed the version.
func (l *Lease) stillOurs(ctx context.Context, r *Right) bool {
	o, err := l.cfg.Store.Get(ctx, l.name())
	if err != nil {
		return true
	}
	var x Record
	if o.Body == nil || o.Decode(&x) != nil || x.Holder != l.cfg.Self || x.Fence != r.Fence {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record, l.version = x, o.Version
	return true
}

// Abandon makes Run end without releasing the duty, as a crash would.
func (l *Lease) Abandon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abandoned = true
}

// release gives the duty up, after work has ended.
func (l *Lease) release(ctx context.Context, r *Right) {
	ctx, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
	defer cancel()
	l.mu.Lock()
	next, version := l.record, l.version
	l.mu.Unlock()
	next.Released = true
	if _, err := l.cfg.Store.Put(ctx, l.name(), version, next); err != nil {
		l.cfg.Log.Error(slugevent.DutyLost, err, slugevent.Fields{"duty": l.cfg.Duty, "fence": r.Fence})
		return
	}
	l.cfg.Log.Emit(slugevent.DutyReleased, slugevent.Fields{"duty": l.cfg.Duty, "fence": r.Fence})
	if l.cfg.Released != nil {
		l.cfg.Released()
	}
}

// acknowledge tells the successor that this process knows of its loss and that
// nothing it began is still under way. It tries until that is written, since the
// successor holds orders back until then.
func (l *Lease) acknowledge(ctx context.Context, r *Right) {
	for !l.acknowledged(context.WithoutCancel(ctx), r) {
		if slugbackoff.Sleep(ctx, lookEvery) != nil {
			return
		}
	}
}

// acknowledged tries once.
func (l *Lease) acknowledged(ctx context.Context, r *Right) bool {
	ctx, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
	defer cancel()
	err := l.change(ctx, func(x Record) (Record, bool) {
		if x.Holder == l.cfg.Self && x.Fence == r.Fence {
			x.Released = true
			return x, true
		}
		return x.confirmed(l.cfg.Self), x.has(l.cfg.Self)
	})
	if err != nil {
		l.cfg.Log.Error(slugevent.DutyFailed, err, slugevent.Fields{"duty": l.cfg.Duty, "fence": r.Fence})
	}
	return err == nil
}

// changeTries bounds the conflicts of one change.
const changeTries = 5

// change changes the record whoever holds the lease.
func (l *Lease) change(ctx context.Context, f func(Record) (Record, bool)) error {
	for range changeTries {
		o, err := l.cfg.Store.Get(ctx, l.name())
		if err != nil {
			return err
		}
		var r Record
		if err := o.Decode(&r); err != nil {
			return err
		}
		next, wanted := f(r)
		if !wanted {
			return nil
		}
		_, err = l.cfg.Store.Put(ctx, l.name(), o.Version, next)
		if !errors.Is(err, slugstore.ErrConflict) {
			return err
		}
	}
	return slugfault.New("change lease "+string(l.cfg.Duty), "", "too many conflicts")
}

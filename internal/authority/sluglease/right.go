package sluglease

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
)

// Right is the right to do a duty, as long as it lasts.
type Right struct {
	// Fence is the number of the claim.
	Fence Fence
	lease *Lease

	mu sync.Mutex
	// sent is when the last successful claim or renewal was sent.
	sent moment
}

// moment is a time by the lease's clock, and by the clocks that a suspension does not
// stop.
type moment struct {
	at      time.Time
	instant slugclock.Instant
}

// moment returns the present moment.
func (l *Lease) moment() moment { return moment{l.cfg.Now(), slugclock.Now()} }

func (r *Right) extend(sent moment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = sent
}

// Remaining returns how long the right lasts, 0 or less when it has ended.
func (r *Right) Remaining() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, since := elapsed(r.sent.at, r.lease.cfg.Now())
	since = max(since, slugclock.Since(r.sent.instant))
	return r.lease.cfg.TTL - r.lease.margin() - since
}

// Check returns ErrNoRight once the right has ended.
func (r *Right) Check() error {
	if r.Remaining() <= 0 {
		return errors.Wrapf(ErrNoRight, "duty %s", r.lease.cfg.Duty)
	}
	return nil
}

// doPart is the part of a lease's time that one action may take at the most, so
// that a right renewed in time always suffices.
const doPart = 2

// Do calls f if the right lasts for maxDuration, or for half of the lease's time
// where that is shorter. f's context ends then at the latest. Error: ErrNoRight
// when f was not called.
func (r *Right) Do(ctx context.Context, maxDuration time.Duration, f func(context.Context) error) error {
	maxDuration = min(maxDuration, r.lease.cfg.TTL/doPart)
	if r.Remaining() < maxDuration {
		return errors.Wrapf(ErrNoRight, "duty %s", r.lease.cfg.Duty)
	}
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	return f(ctx)
}

// Unconfirmed returns the past holders that may not know of their loss.
func (r *Right) Unconfirmed() []Predecessor {
	r.lease.mu.Lock()
	defer r.lease.mu.Unlock()
	return append([]Predecessor(nil), r.lease.record.Unconfirmed...)
}

// Refresh reads the lease, to learn of acknowledgements.
func (r *Right) Refresh(ctx context.Context) error {
	if len(r.Unconfirmed()) == 0 {
		return nil
	}
	if !r.lease.stillOurs(ctx, r) {
		return errors.Wrapf(ErrNoRight, "duty %s", r.lease.cfg.Duty)
	}
	return nil
}

// Confirm records that a past holder has certainly ended.
func (r *Right) Confirm(ctx context.Context, p slugname.Process) error {
	l := r.lease
	l.mu.Lock()
	next, version := l.record.confirmed(p), l.version
	l.mu.Unlock()
	version, err := l.cfg.Store.Put(ctx, l.name(), version, next)
	if errors.Is(err, slugstore.ErrConflict) {
		return r.Refresh(ctx)
	}
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.record, l.version = next, version
	l.mu.Unlock()
	l.cfg.Log.Emit(slugevent.PredecessorConfirmed, slugevent.Fields{"duty": l.cfg.Duty, "predecessor": p})
	return nil
}

// ConfirmEnded records which past holders have ended, by their own acknowledgement or
// as ended says. What cannot be read or written now is tried at the next call.
func (r *Right) ConfirmEnded(ctx context.Context, ended func(Predecessor) bool) {
	_ = r.Refresh(ctx)
	for _, p := range r.Unconfirmed() {
		if ended(p) {
			_ = r.Confirm(ctx, p.Process)
		}
	}
}

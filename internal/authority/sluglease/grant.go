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

// Grant is a held lease. It is safe for concurrent use.
type Grant struct {
	// Fence is the fencing token of the claim.
	Fence Fence
	lease *Lease

	mu sync.Mutex
	// sentAt is when the last successful claim or renewal was sent.
	sentAt timestamp
}

// timestamp is a reading of the clock of the lease and of clocks that include the time
// for which the host was suspended.
type timestamp struct {
	at     time.Time
	uptime slugclock.Instant
}

// timestamp returns the current time.
func (l *Lease) timestamp() timestamp { return timestamp{l.cfg.Now(), slugclock.Now()} }

// extend records a successful renewal.
func (r *Grant) extend(sent timestamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentAt = sent
}

// Remaining returns the remaining validity of the lease; it is 0 or less after expiry.
func (r *Grant) Remaining() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, since := elapsed(r.sentAt.at, r.lease.cfg.Now())
	since = max(since, slugclock.Since(r.sentAt.uptime))
	return r.lease.cfg.TTL - r.lease.margin() - since
}

// Check returns ErrExpired once the lease has expired.
func (r *Grant) Check() error {
	if r.Remaining() <= 0 {
		return errors.Wrapf(ErrExpired, "duty %s", r.lease.cfg.Duty)
	}
	return nil
}

// maxActionDivisor divides the TTL to get the time limit of one action, so that a lease
// that is renewed in time always has enough time left.
const maxActionDivisor = 2

// Do calls f if the lease remains valid for maxDuration, or for half of the TTL if that
// is shorter; the context of f ends after that time. Otherwise it returns ErrExpired
// without calling f.
func (r *Grant) Do(ctx context.Context, maxDuration time.Duration, f func(context.Context) error) error {
	maxDuration = min(maxDuration, r.lease.cfg.TTL/maxActionDivisor)
	if r.Remaining() < maxDuration {
		return errors.Wrapf(ErrExpired, "duty %s", r.lease.cfg.Duty)
	}
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	return f(ctx)
}

// Unconfirmed returns the past holders that may not know that they lost the duty.
func (r *Grant) Unconfirmed() []Predecessor {
	r.lease.mu.Lock()
	defer r.lease.mu.Unlock()
	return append([]Predecessor(nil), r.lease.record.Unconfirmed...)
}

// Refresh reads the lease to learn of acknowledgements by past holders, if any are
// unconfirmed. It returns ErrExpired if another process holds the lease.
func (r *Grant) Refresh(ctx context.Context) error {
	if len(r.Unconfirmed()) == 0 {
		return nil
	}
	if !r.lease.reloadHeld(ctx, r) {
		return errors.Wrapf(ErrExpired, "duty %s", r.lease.cfg.Duty)
	}
	return nil
}

// Confirm records that a past holder has ended.
func (r *Grant) Confirm(ctx context.Context, p slugname.Process) error {
	l := r.lease
	l.mu.Lock()
	next, version := l.record.withoutUnconfirmed(p), l.version
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

// ConfirmEnded records the past holders that have ended, by their own acknowledgement or
// according to ended. Failed reads and writes are retried at the next call.
func (r *Grant) ConfirmEnded(ctx context.Context, ended func(Predecessor) bool) {
	_ = r.Refresh(ctx)
	for _, p := range r.Unconfirmed() {
		if ended(p) {
			_ = r.Confirm(ctx, p.Process)
		}
	}
}

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
	// Previous is the fence of this process's grant that was still valid at the claim, or 0.
	// No other process held the duty in between.
	Previous Fence
	lease    *Lease

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
func (g *Grant) extend(sent timestamp) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sentAt = sent
}

// Remaining returns the remaining validity of the lease; it is 0 or less after expiry.
func (g *Grant) Remaining() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, since := elapsed(g.sentAt.at, g.lease.cfg.Now())
	since = max(since, slugclock.Since(g.sentAt.uptime))
	return g.lease.cfg.TTL - g.lease.margin() - since
}

// Check returns ErrExpired once the lease has expired.
func (g *Grant) Check() error {
	if g.Remaining() <= 0 {
		return errors.Wrapf(ErrExpired, "duty %s", g.lease.cfg.Duty)
	}
	return nil
}

// maxActionDivisor divides the TTL to get the time limit of one action, so that a lease
// that is renewed in time always has enough time left.
const maxActionDivisor = 2

// Do calls f if the lease remains valid for maxDuration, or for half of the TTL if that
// is shorter; the context of f ends after that time. Otherwise it returns ErrExpired
// without calling f.
func (g *Grant) Do(ctx context.Context, maxDuration time.Duration, f func(context.Context) error) error {
	maxDuration = min(maxDuration, g.lease.cfg.TTL/maxActionDivisor)
	if g.Remaining() < maxDuration {
		return errors.Wrapf(ErrExpired, "duty %s", g.lease.cfg.Duty)
	}
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	return f(ctx)
}

// Unconfirmed returns the past holders that may not know that they lost the duty.
func (g *Grant) Unconfirmed() []Predecessor {
	g.lease.mu.Lock()
	defer g.lease.mu.Unlock()
	return append([]Predecessor(nil), g.lease.record.Unconfirmed...)
}

// Refresh reads the lease to learn of acknowledgements by past holders, if any are
// unconfirmed. It returns ErrExpired if another process holds the lease.
func (g *Grant) Refresh(ctx context.Context) error {
	if len(g.Unconfirmed()) == 0 {
		return nil
	}
	if !g.lease.reloadHeld(ctx, g) {
		return errors.Wrapf(ErrExpired, "duty %s", g.lease.cfg.Duty)
	}
	return nil
}

// Confirm records that a past holder has ended.
func (g *Grant) Confirm(ctx context.Context, p slugname.Process) error {
	l := g.lease
	l.mu.Lock()
	next, version := l.record.withoutUnconfirmed(p), l.version
	l.mu.Unlock()
	version, err := l.cfg.Store.Put(ctx, l.name(), version, next)
	if errors.Is(err, slugstore.ErrConflict) {
		return g.Refresh(ctx)
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
func (g *Grant) ConfirmEnded(ctx context.Context, ended func(Predecessor) bool) {
	_ = g.Refresh(ctx)
	for _, p := range g.Unconfirmed() {
		if ended(p) {
			_ = g.Confirm(ctx, p.Process)
		}
	}
}

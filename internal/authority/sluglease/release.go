package sluglease

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
)

// acknowledgeTimeout bounds the write that releases the duty or acknowledges its loss.
const acknowledgeTimeout = 10 * time.Second

// release records in the store that this process gave up the duty. The work function must
// have returned before.
func (l *Lease) release(ctx context.Context, g *Grant) {
	ctx, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
	defer cancel()
	l.mu.Lock()
	next, version := l.record, l.version
	l.mu.Unlock()
	next.Released = true
	if _, err := l.cfg.Store.Put(ctx, l.name(), version, next); err != nil {
		l.cfg.Log.Error(slugevent.DutyLost, err, slugevent.Fields{"duty": l.cfg.Duty, "fence": g.Fence})
		return
	}
	l.cfg.Log.Emit(slugevent.DutyReleased, slugevent.Fields{"duty": l.cfg.Duty, "fence": g.Fence})
	if l.cfg.Released != nil {
		l.cfg.Released()
	}
}

// acknowledge tells the successor that this process knows that it lost the duty and that
// none of its actions are still in progress. It retries until the write succeeds or ctx
// ends, since the successor withholds orders until then.
func (l *Lease) acknowledge(ctx context.Context, g *Grant) {
	for !l.tryAcknowledge(context.WithoutCancel(ctx), g) {
		if slugbackoff.Sleep(ctx, pollInterval) != nil {
			return
		}
	}
}

// tryAcknowledge attempts one acknowledgement and reports whether it succeeded.
func (l *Lease) tryAcknowledge(ctx context.Context, g *Grant) bool {
	ctx, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
	defer cancel()
	err := l.update(ctx, func(stored Record) (Record, bool) {
		if stored.Holder == l.cfg.Self && stored.Fence == g.Fence {
			stored.Released = true
			return stored, true
		}
		return stored.withoutUnconfirmed(l.cfg.Self), stored.isUnconfirmed(l.cfg.Self)
	})
	if err != nil {
		l.cfg.Log.Error(slugevent.DutyFailed, err, slugevent.Fields{"duty": l.cfg.Duty, "fence": g.Fence})
	}
	return err == nil
}

// maxUpdateAttempts is the number of attempts at one update under write conflicts.
const maxUpdateAttempts = 5

// update applies mutate to the stored record, no matter who holds the lease, and writes
// the result unless mutate reports that no change is needed or there is no record.
func (l *Lease) update(ctx context.Context, mutate func(Record) (Record, bool)) error {
	for range maxUpdateAttempts {
		o, err := l.cfg.Store.Get(ctx, l.name())
		if err != nil {
			return err
		}
		if o.Body == nil {
			return nil
		}
		var r Record
		if err := o.Decode(&r); err != nil {
			return err
		}
		next, wanted := mutate(r)
		if !wanted {
			return nil
		}
		_, err = l.cfg.Store.Put(ctx, l.name(), o.Version, next)
		if !errors.Is(err, slugstore.ErrConflict) {
			return err
		}
	}
	return slugfault.New("update lease "+string(l.cfg.Duty), "", "too many write conflicts")
}

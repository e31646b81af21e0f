package slughost

import (
	"context"
	"math"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

const (
	// maxHold bounds how long an owner holds the answer to an announcement. A sender that
	// leaves meanwhile keeps its place for that long.
	maxHold = 300 * time.Millisecond
	// maxDeadline is the longest deadline that is believed, so that sums do not overflow.
	maxDeadline = 24 * time.Hour
	// minTurnCheck is the shortest time between checks whether a prompt has its turn.
	minTurnCheck = 20 * time.Millisecond
)

// announceOwn records the announcement of a prompt for an endpoint of which this process is the
// owner. A deferred prompt waits for its turn for up to hold.
func (h *Host) announceOwn(ctx context.Context, s slugname.Service, e slugname.Endpoint, j slugplacement.Job, fetched int, t slugplacement.Terms, hold time.Duration) (slugplacement.Forecast, bool) {
	p := h.placer(s)
	f, ok := p.AnnounceOn(e, j, fetched, t, time.Now())
	if !ok || !f.Deferred || hold <= 0 {
		return f, ok
	}
	t.Waited = true
	joinedAt := time.Now()
	place := p.Join(e, t, joinedAt)
	defer p.Leave(e, place)
	heldUntil := joinedAt.Add(min(hold, maxHold))
	for {
		now := time.Now()
		after := p.TurnIn(e, place, t, f, now)
		if after == 0 {
			// The prompt is accepted even if another one was announced meanwhile.
			t.Ready = true
			return p.AnnounceOn(e, j, fetched, t, now)
		}
		if !now.Before(heldUntil) || slugbackoff.Sleep(ctx, min(max(after, minTurnCheck), heldUntil.Sub(now))) != nil {
			return p.AnnounceOn(e, j, fetched, t, time.Now())
		}
	}
}

// encodeYield converts the terms of a prompt that yields for a peer; nil means that it does not
// yield.
func encodeYield(t slugplacement.Terms, hold time.Duration) *slugpeer.Yield {
	if t.Ready {
		return nil
	}
	return &slugpeer.Yield{OnTimeWaitUs: t.OnTimeWait.Microseconds(), DeadlineUs: t.Deadline.Microseconds(), HoldUs: hold.Microseconds(), Aged: t.Aged, Priority: uint8(min(max(0, t.Priority), math.MaxUint8))}
}

// decodeYield converts the terms of a prompt from a peer.
func decodeYield(y *slugpeer.Yield) (t slugplacement.Terms, hold time.Duration) {
	if y == nil {
		return slugplacement.Terms{Ready: true}, 0
	}
	limit := maxDeadline.Microseconds()
	microseconds := func(n int64) time.Duration { return time.Duration(min(max(-limit, n), limit)) * time.Microsecond }
	return slugplacement.Terms{OnTimeWait: microseconds(y.OnTimeWaitUs), Deadline: microseconds(y.DeadlineUs), Aged: y.Aged, Priority: int(y.Priority)}, min(microseconds(y.HoldUs), maxHold)
}

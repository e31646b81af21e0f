package slugdispatch

import (
	"time"

	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// minRetryTime is the remaining time that a retry needs at least.
const minRetryTime = 60 * time.Millisecond

// reservation is what was taken from the retry budget for a round of prefill and decode, so
// that no prompt is processed for a response that the budget then refuses.
type reservation struct {
	prompt, response bool
	takenAt          time.Time
}

// mayRetry reports whether the request may be sent once more, apart from the budget. A
// request that may have run is not sent again if endpoints crashed repeatedly under requests
// with something in common with it.
func (d *dispatch) mayRetry(now time.Time) bool {
	return d.remaining() > minRetryTime && (len(d.ranAt) == 0 || !d.quarantine.Suspected(d.subject, now))
}

// tryRetry reports whether the request may be sent once more, and if so takes the retry
// from the budget.
func (d *dispatch) tryRetry(now time.Time) bool { return d.mayRetry(now) && d.budget.TryRetry(now) }

// reserveRetries takes from the budget all retries that the next round of prefill and decode
// needs, or none.
func (d *dispatch) reserveRetries(now time.Time) bool {
	r := reservation{prompt: d.prefillAccepted && d.placer.Len(slugplan.RolePrefill) > 0, response: d.decodeSent, takenAt: now}
	if n := r.count(); n > 0 && (!d.mayRetry(now) || !d.budget.TryRetries(n, now)) {
		return false
	}
	d.reserved = r
	return true
}

// useRetry uses a reserved retry, or takes one from the budget.
func (d *dispatch) useRetry(reserved *bool) bool {
	if *reserved {
		*reserved = false
		return true
	}
	return d.tryRetry(time.Now())
}

// returnRetries gives the reserved retries that were not used back to the budget.
func (d *dispatch) returnRetries() {
	d.budget.Return(d.reserved.count(), d.reserved.takenAt)
	d.reserved = reservation{}
}

func (r reservation) count() (n int) {
	for _, taken := range []bool{r.prompt, r.response} {
		if taken {
			n++
		}
	}
	return n
}

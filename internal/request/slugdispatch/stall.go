package slugdispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
)

// stallCheckInterval is the time between checks whether an endpoint has stalled.
const stallCheckInterval = 250 * time.Millisecond

// errStalled is the cancellation cause of an attempt at a stalled endpoint that another one
// replaces.
var errStalled = errors.New("endpoint stalled")

// replacement is what a prompt needs to be sent to another endpoint. The retry that it takes
// has been recorded in the budget.
type replacement struct {
	choice  *slugplacement.Choice
	takenAt time.Time
}

// stallWatch cancels an attempt at a stalled endpoint when its replacement is in hand. Until
// then the attempt goes on, since the endpoint may have paused for a moment only.
type stallWatch struct {
	d       *dispatch
	choice  *slugplacement.Choice
	exclude []slugname.Endpoint
	cancel  context.CancelCauseFunc

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	next    *replacement
	// reason is why the attempt goes on, for the log.
	reason string
}

// watchStall starts a stallWatch for an attempt. The replacement is none of the excluded
// endpoints.
func (d *dispatch) watchStall(c *slugplacement.Choice, exclude []slugname.Endpoint, cancel context.CancelCauseFunc) *stallWatch {
	w := &stallWatch{d: d, choice: c, exclude: append(exclude[:len(exclude):len(exclude)], c.Name), cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(stallCheckInterval, w.check)
	return w
}

func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	now := time.Now()
	if !w.choice.Stalled(now) {
		w.timer.Reset(stallCheckInterval)
		return
	}
	next, err := w.d.replaceStalled(w.exclude, now)
	if err != nil {
		w.keep(err)
		w.timer.Reset(stallCheckInterval)
		return
	}
	w.next = next
	w.cancel(errStalled)
}

// keep logs why an attempt at a stalled endpoint goes on. The caller must hold w.mu.
func (w *stallWatch) keep(cause error) {
	if reason := cause.Error(); reason != w.reason {
		w.reason = reason
		w.d.cfg.Log.Emit(slugevent.StreamKept, slugevent.Fields{"request": w.d.call.ID, "stage": "prefill", "endpoint": w.choice.Name, "reason": reason})
	}
}

// Stop ends the checks and returns the replacement, or nil if the attempt was not canceled.
func (w *stallWatch) Stop() *replacement {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.next
}

// replacePrompt chooses an endpoint that responds for a prompt that may be processed
// elsewhere, and takes the retry from the budget.
func (d *dispatch) replacePrompt(exclude []slugname.Endpoint, now time.Time) (*replacement, error) {
	if refusal := d.refuseQuarantined(); refusal != nil {
		return nil, refusal
	}
	c, ok := d.placer.SparePrefill(d.job(), exclude, minSpareSilence, now)
	if !ok {
		return nil, errNoReplacement
	}
	if _, late := d.missesDeadline(c); late {
		c.End(slugplacement.Abandoned, now)
		return nil, errDeadline
	}
	if !d.tryRetry(now) {
		c.End(slugplacement.Abandoned, now)
		return nil, errRetryBudget
	}
	return &replacement{c, now}, nil
}

// dropReplacement gives back a replacement that is not needed.
func (d *dispatch) dropReplacement(r *replacement) {
	if r != nil {
		r.choice.End(slugplacement.Abandoned, time.Now())
		d.budget.Return(1, r.takenAt)
	}
}

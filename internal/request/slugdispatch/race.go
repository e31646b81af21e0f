package slugdispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slughedge"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// errOutrun is the cancellation cause of an attempt whose response is not needed any more.
var errOutrun = errors.New("another attempt responded first")

// errUnused means that an endpoint responded after the other attempt had won.
var errUnused = errors.New("response is not used, another attempt responded first")

// errExtraAttempt means that a stalled prompt is not replaced since it got an extra attempt.
var errExtraAttempt = errors.New("an extra attempt was sent")

// raceConfig describes the attempts of a race.
type raceConfig struct {
	// stage names the attempts in the log.
	stage string
	class slughedge.Class
	role  slugplan.Role
	// minRemaining is the time until the deadline that an extra attempt needs at least.
	minRemaining time.Duration
	// spare chooses the endpoint of the extra attempt.
	spare func(ctx context.Context, f *dispatch) (*slugplacement.Choice, slughedge.Reason)
	// attempt sends the request to an endpoint. It claims the race before it uses the response.
	attempt func(ctx context.Context, d *dispatch, c *slugplacement.Choice) (sent bool, err error)
}

// race is a contest between an attempt and an extra one, which begins if the response takes
// long. The first success wins, and the other attempt is canceled at once.
type race struct {
	raceConfig
	ctx    context.Context
	choice *slugplacement.Choice
	// delay is the time after which an extra attempt is due, and due again if it was refused.
	delay time.Duration
	// first is the request, and extra its state for the extra attempt, which runs beside it.
	first, extra *dispatch
	startedAt    time.Time

	mu    sync.Mutex
	timer *time.Timer
	// running holds the attempts that may still bring a success.
	running map[*dispatch]bool
	// cancel cancels the attempts, from the preparation of the extra one on.
	cancel map[*dispatch]context.CancelCauseFunc
	winner *dispatch
	// decided is closed when there is a winner, or no attempt is running any more.
	decided chan struct{}
	// replaced is set if the stalled prompt of the first attempt was replaced, and entered if
	// the extra attempt began. Only one of them happens.
	replaced, entered bool
	// counted is set once the start of the request was counted.
	counted bool
	// done is closed at the end of the extra attempt; nil if none was prepared.
	done chan struct{}
	// spareChoice, sent and err are the endpoint and the result of the extra attempt, valid
	// when done is closed.
	spareChoice *slugplacement.Choice
	sent        bool
	err         error
}

// runRace makes an attempt at the chosen endpoint, and an extra one elsewhere if there is no
// response after the delay. Without a delay there is no extra one.
// outrun is the endpoint of an extra attempt whose response is not used; nil if there is none.
func (d *dispatch) runRace(ctx context.Context, c *slugplacement.Choice, delay time.Duration, cfg raceConfig) (sent bool, outrun *slugplacement.Choice, err error) {
	firstCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r := &race{
		raceConfig: cfg, ctx: ctx, choice: c, delay: delay, first: d, startedAt: time.Now(), decided: make(chan struct{}),
		running: map[*dispatch]bool{d: true}, cancel: map[*dispatch]context.CancelCauseFunc{d: cancel},
	}
	d.race = r
	r.extra = d.forkExtra()
	if delay > 0 {
		r.mu.Lock()
		r.timer = time.AfterFunc(delay, r.startExtra)
		r.mu.Unlock()
	}
	sent, err = cfg.attempt(firstCtx, d, c)
	r.end()
	d.joinRace(r)
	switch {
	case r.winner == r.extra:
		return true, nil, r.err
	case err != nil && r.err != nil:
		err = errors.CombineErrors(err, r.err)
	}
	return sent || r.sent, r.spareChoice, err
}

// forkExtra returns the state of the request for an extra attempt. It counts what that alone
// does.
func (d *dispatch) forkExtra() *dispatch {
	f := *d
	f.beside, f.endpoints, f.sends = "extra", nil, 0
	f.excluded, f.ranAt, f.reserved = slices.Clone(d.excluded), slices.Clone(d.ranAt), reservation{}
	return &f
}

// joinRace adds what the extra attempt did to the state of the request.
func (d *dispatch) joinRace(r *race) {
	d.race = nil
	d.extraSent, d.stallReplaced = r.sent, r.replaced
	if r.spareChoice == nil {
		return
	}
	f := r.extra
	d.sends += f.sends
	d.endpoints = append(d.endpoints, f.endpoints...)
	for _, name := range f.ranAt {
		d.recordRun(name)
	}
	d.startCounted = d.startCounted || f.startCounted
	if f.headerWritten {
		d.headerWritten, d.timeToFirst = true, f.timeToFirst
	}
}

// end ends the race after the first attempt, and waits for the extra one.
func (r *race) end() {
	r.mu.Lock()
	if r.timer != nil {
		r.timer.Stop()
	}
	if r.winner == nil && errors.Is(context.Cause(r.ctx), errDeadline) {
		r.first.hedger.Observe(r.class, time.Since(r.startedAt), time.Now())
	}
	r.leave(r.first)
	if cancel := r.cancel[r.extra]; cancel != nil && !r.entered {
		cancel(errOutrun) // It is still being prepared.
	}
	done := r.done
	r.mu.Unlock()
	if done != nil {
		<-done
	}
}

// leave records that an attempt brings no success any more. The caller must hold r.mu.
func (r *race) leave(d *dispatch) {
	delete(r.running, d)
	if len(r.running) == 0 {
		r.decide()
	}
}

// decide closes r.decided. The caller must hold r.mu.
func (r *race) decide() {
	select {
	case <-r.decided:
	default:
		close(r.decided)
	}
}

// claim reports whether the response to an attempt is used, and if so cancels the other
// attempt. A response that is no success waits for the other attempt.
func (r *race) claim(ctx context.Context, d *dispatch, success bool) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !success {
		r.leave(d)
		r.mu.Unlock()
		select {
		case <-r.decided:
		case <-ctx.Done():
		}
		r.mu.Lock()
		if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline) {
			return false
		}
	}
	if r.winner != nil {
		return false
	}
	r.winner = d
	if success {
		d.hedger.Observe(r.class, time.Since(r.startedAt), time.Now())
	}
	for other, cancel := range r.cancel {
		if other != d {
			cancel(errOutrun)
		}
	}
	r.decide()
	return true
}

// lost reports whether the other attempt has won.
func (r *race) lost(d *dispatch) bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner != nil && r.winner != d
}

// countStart reports whether the start of the request is to be counted.
func (r *race) countStart() bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	first := !r.counted
	r.counted = true
	return first
}

// replaceStalled replaces a stalled prompt, unless the request got an extra attempt.
func (d *dispatch) replaceStalled(exclude []slugname.Endpoint, now time.Time) (*replacement, error) {
	r := d.race
	switch {
	case d.extraSent:
		return nil, errExtraAttempt
	case r == nil:
		return d.replacePrompt(exclude, now)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entered {
		return nil, errExtraAttempt
	}
	next, err := d.replacePrompt(exclude, now)
	r.replaced = err == nil
	return next, err
}

// startExtra makes the extra attempt, if it is allowed.
func (r *race) startExtra() {
	r.mu.Lock()
	if len(r.running) == 0 || r.winner != nil {
		r.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	r.done, r.cancel[r.extra] = make(chan struct{}), cancel
	r.mu.Unlock()
	defer close(r.done)
	takenAt := time.Now()
	c, reason := r.takeExtra(ctx, takenAt)
	if reason != "" {
		r.refused(reason)
		return
	}
	if reason := r.enter(); reason != "" {
		r.extra.cancelChoice(c)
		r.giveBack(takenAt, reason)
		r.refused(reason)
		return
	}
	r.spareChoice = c
	f := r.extra
	f.cfg.Log.Emit(slugevent.ExtraSent, r.fields(slugevent.Fields{"afterMs": time.Since(r.startedAt).Milliseconds()}))
	r.sent, r.err = r.attempt(ctx, f, c)
	r.mu.Lock()
	r.leave(f)
	won := r.winner == f
	r.entered = r.sent
	r.mu.Unlock()
	if !r.sent {
		r.giveBack(takenAt, slughedge.ReasonUnsent)
		r.refused(slughedge.ReasonUnsent)
		return
	}
	f.hedger.Ended(won)
	f.cfg.Log.Emit(slugevent.ExtraEnded, r.fields(slugevent.Fields{"won": won, "tookMs": time.Since(r.startedAt).Milliseconds()}))
}

// enter records that the extra attempt begins, or says why it does not.
func (r *race) enter() slughedge.Reason {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.replaced:
		return slughedge.ReasonReplaced
	case len(r.running) == 0 || r.winner != nil:
		return slughedge.ReasonEnded
	}
	r.entered, r.running[r.extra] = true, true
	return ""
}

// takeExtra chooses the endpoint of the extra attempt and takes the attempt from the share and
// the retry budget, or says why there is none.
func (r *race) takeExtra(ctx context.Context, now time.Time) (*slugplacement.Choice, slughedge.Reason) {
	f := r.extra
	if reason := f.refuseExtra(r.minRemaining, now); reason != "" {
		f.hedger.Refuse(reason)
		return nil, reason
	}
	s := slughedge.Situation{RetriesLeft: f.budget.Left(now), RetriesAllowed: f.budget.Allowed(now), Load: f.placer.Busy(r.role, now)}
	if reason := f.hedger.Take(s); reason != "" {
		return nil, reason
	}
	if !f.budget.TryRetry(now) {
		f.hedger.Return(slughedge.ReasonBudget)
		return nil, slughedge.ReasonBudget
	}
	c, reason := r.spare(ctx, f)
	if reason != "" {
		r.giveBack(now, reason)
	}
	return c, reason
}

// giveBack gives back an extra attempt that was taken and is not sent.
func (r *race) giveBack(takenAt time.Time, reason slughedge.Reason) {
	r.extra.budget.Return(1, takenAt)
	r.extra.hedger.Return(reason)
}

// refuseExtra says why the request must not get an extra attempt whatever the load, or returns
// an empty Reason.
func (d *dispatch) refuseExtra(minRemaining time.Duration, now time.Time) slughedge.Reason {
	switch {
	case d.endBy.Load() != nil:
		return slughedge.ReasonShutdown
	case d.remaining() <= max(minRetryTime, minRemaining):
		return slughedge.ReasonLate
	case d.refuseQuarantined() != nil || d.quarantine.Suspected(d.subject, now):
		return slughedge.ReasonSuspected
	case d.reauthorize() != nil:
		return slughedge.ReasonWithdrawn
	}
	return ""
}

// fields adds what identifies the extra attempt to the fields of an event.
func (r *race) fields(f slugevent.Fields) slugevent.Fields {
	f["request"], f["stage"], f["endpoint"] = r.first.call.ID, r.stage, r.choice.Name
	if r.spareChoice != nil {
		f["extra"] = r.spareChoice.Name
	}
	return f
}

// refused logs why an extra attempt is not sent. If the reason may pass, it is due once more
// after another delay: requests that still wait then are the slowest.
func (r *race) refused(reason slughedge.Reason) {
	r.extra.cfg.Log.Emit(slugevent.ExtraRefused, r.fields(slugevent.Fields{"reason": reason}))
	r.mu.Lock()
	defer r.mu.Unlock()
	if reason.MayPass() && len(r.running) > 0 && r.winner == nil {
		r.timer.Reset(r.delay)
	}
}

package slugdispatch

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugorigin"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

const (
	// firstEventTimeout is the minimum time without a first event after which another
	// endpoint prepares to take over.
	firstEventTimeout = 900 * time.Millisecond
	// silenceFactor is the multiple of the route's maximum gap between events, or of the usual
	// time to the first one, after which another endpoint prepares to take over.
	silenceFactor = 3
	// minGapTimeout is the minimum time since the last event after which another endpoint
	// prepares to take over.
	minGapTimeout = 900 * time.Millisecond
	// standbyInterval is the time between preparations beside an attempt that stays silent.
	standbyInterval = 250 * time.Millisecond
	// maxOverlap bounds the time for which two endpoints may work on one stream.
	maxOverlap = 250 * time.Millisecond
	// minSpareSilence is the minimum silence that disqualifies an endpoint from taking over.
	minSpareSilence = 300 * time.Millisecond
)

// errReplaced is the cancellation cause of a silent attempt that another one has replaced.
var errReplaced = errors.New("timed out waiting for an event, another endpoint takes over")

// errEventArrived is the cancellation cause of a preparation beside an attempt that went on.
var errEventArrived = errors.New("the endpoint went on")

// errNoReplacement means that no endpoint can take a stream over.
var errNoReplacement = errors.New("no other endpoint responds and has capacity")

// errPromptUnmeasured means that the usual time to the first event is not known.
var errPromptUnmeasured = errors.New("the endpoint may be processing the prompt")

// continuation is an attempt that can take a stream over.
type continuation struct {
	*decodeAttempt
	ctx context.Context
	// preparedIn is the time that the preparation took.
	preparedIn time.Duration
}

// standby prepares, beside an attempt whose endpoint is silent, the attempt that replaces it.
// The silent endpoint may have paused for a moment only. Its attempt is canceled when the
// other endpoint has begun to respond, or has had the request for maxOverlap. Until that one
// responds, the retries for a return to the silent endpoint are in hand.
type standby struct {
	ctx     context.Context
	attempt *decodeAttempt
	// fork is the state of the request for the preparation, which runs beside the attempt.
	fork *dispatch
	// sendsBefore is the number of attempts up to the silent one.
	sendsBefore int
	// gapTimeout is the time after an event after which the preparation begins.
	gapTimeout time.Duration

	mu sync.Mutex
	// timer starts the preparation; nil if no other attempt may follow.
	timer *time.Timer
	// waiting is set while the request waits for an event.
	waiting bool
	// events is the number of events of the attempt.
	events int
	// version, lastEvent and headerWritten are those of the request.
	version       slugname.SoftwareVersion
	lastEvent     string
	headerWritten bool
	// abandon cancels the preparation in progress; nil if there is none.
	abandon context.CancelCauseFunc
	// done is closed at the end of the preparation in progress.
	done  chan struct{}
	ended bool
	// unneeded is set if no attempt may follow the one that ended.
	unneeded bool
	// fallback is taken from the retry budget for the return to the silent endpoint, until the
	// other one responds.
	fallback reservation
	// replaced is set once the silent attempt was canceled for another one.
	replaced bool
	ready    *continuation
	// reason is why the last preparation failed, for the log.
	reason string
}

// newStandby returns the standby of an attempt that is about to begin.
func (d *dispatch) newStandby(ctx context.Context, a *decodeAttempt) *standby {
	s := &standby{ctx: ctx, attempt: a, gapTimeout: max(minGapTimeout, silenceFactor*d.route.Gap)}
	if !d.route.Idempotent() || len(add(slices.Clone(d.ranAt), a.choice.Name)) >= d.route.MaxAttempts {
		return s
	}
	s.fork, s.sendsBefore = d.fork(a), d.sends+1
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(max(firstEventTimeout, silenceFactor*d.placer.FirstEventTime(time.Now())), s.check)
	s.observe(d)
	return s
}

// observe takes over the state of the request. The caller must hold s.mu.
func (s *standby) observe(d *dispatch) {
	s.version, s.lastEvent, s.headerWritten, s.waiting = d.version, d.lastEvent, d.headerWritten, true
}

// fork returns the state of the request for an attempt beside a. It counts what the fork
// alone does; the caller's response stays with d.
func (d *dispatch) fork(a *decodeAttempt) *dispatch {
	f := *d
	f.w, f.hedger = nil, nil
	f.beside, f.endpoints, f.sends = "standby", nil, 0
	f.excluded = append(slices.Clone(d.excluded), a.choice.Name)
	f.ranAt = add(slices.Clone(d.ranAt), a.choice.Name)
	f.decodeSent, f.startCounted = true, true
	f.reserved = reservation{}
	return &f
}

// join adds what the preparations beside an attempt did to the state of the request.
func (d *dispatch) join(s *standby) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fork == nil || s.abandon != nil {
		return
	}
	if s.replaced && s.ready == nil {
		d.returnRetries()
		d.reserved, s.fallback = s.fallback, reservation{}
	}
	d.sends += s.fork.sends
	d.endpoints = append(d.endpoints, s.fork.endpoints...)
	silent := s.attempt.choice.Name
	for _, name := range s.fork.ranAt {
		if name != silent {
			d.recordRun(name)
		}
	}
	for _, name := range s.fork.excluded {
		if name != silent {
			d.exclude(name)
		}
	}
}

// Heard records that an event arrived, which makes a preparation unnecessary. The time in
// which the caller takes the event does not count as silence. It returns false if the attempt
// was replaced before: the event is then that of the endpoint that takes over, whose software
// version may be another one.
func (s *standby) Heard() bool {
	if s.timer == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replaced {
		return false
	}
	s.events++
	s.waiting = false
	s.timer.Stop()
	if s.abandon != nil {
		s.abandon(errEventArrived)
	}
	return true
}

// Wait records that the request waits for the next event.
func (s *standby) Wait(d *dispatch) {
	if s.timer == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe(d)
	if s.abandon == nil {
		s.timer.Reset(s.gapTimeout)
	}
}

// check runs a preparation.
func (s *standby) check() {
	s.mu.Lock()
	if !s.waiting || s.ended || s.abandon != nil || s.ready != nil {
		s.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	s.abandon, s.done = cancel, make(chan struct{})
	s.fork.version, s.fork.lastEvent, s.fork.headerWritten = s.version, s.lastEvent, s.headerWritten
	events := s.events
	s.mu.Unlock()
	if s.fork.version == slugorigin.UnknownVersion {
		s.fork.recordStart(s.attempt.choice, &s.attempt.start)
	}

	startedAt := time.Now()
	next, err := s.prepare(ctx, events)
	s.fork.returnRetries()
	s.mu.Lock()
	defer s.mu.Unlock()
	defer close(s.done)
	s.abandon = nil
	if err == nil && ctx.Err() != nil {
		err = context.Cause(ctx)
		s.fork.abandonDecode(next, err)
	}
	if err == nil || !s.replaced || s.unneeded {
		s.returnFallback()
	}
	if err != nil {
		s.keep(err)
		return
	}
	next.preparedIn = time.Since(startedAt)
	s.ready = next
	s.cancelSilent()
}

// cancelSilent cancels the silent attempt. The caller must hold s.mu.
func (s *standby) cancelSilent() {
	s.replaced = true
	s.attempt.cancel(errReplaced)
}

// keep records that a preparation failed, and schedules the next one. The caller must hold
// s.mu.
func (s *standby) keep(cause error) {
	if reason := cause.Error(); reason != s.reason {
		s.reason = reason
		s.fork.cfg.Log.Emit(slugevent.StreamKept, slugevent.Fields{"request": s.fork.call.ID, "after": s.lastEvent, "endpoint": s.attempt.choice.Name, "reason": reason})
	}
	switch {
	case s.ended || !s.waiting:
	case errors.Is(cause, errEventArrived):
		s.timer.Reset(s.gapTimeout)
	default:
		s.timer.Reset(standbyInterval)
	}
}

// prepare has the prompt processed, if needed, and sends the request to the endpoint that is
// to take over. All that can be refused is reserved before that.
func (s *standby) prepare(ctx context.Context, events int) (*continuation, error) {
	f := s.fork
	if !f.resumable() || len(f.ranAt) >= f.route.MaxAttempts || s.sendsBefore+f.sends >= maxSends {
		return nil, errNoReplacement
	}
	if s.mayProcessPrompt(events) {
		return nil, errPromptUnmeasured
	}
	if err := f.stopQuarantined(); err != nil {
		return nil, err
	}
	c, ok := s.spare(time.Now())
	if !ok {
		return nil, errNoReplacement
	}
	if err := s.reserve(c, time.Now()); err != nil {
		c.End(slugplacement.Abandoned, time.Now())
		return nil, err
	}
	prefilled, err := f.prefillFor(ctx)
	if err == nil && !f.cacheHeld(prefilled) {
		f.releaseCache(prefilled)
		err = errCacheEnded
	}
	if err == nil && !f.placer.Lists(c.Name, c.Incarnation) {
		// The endpoint began to leave while the prompt was processed.
		f.releaseCache(prefilled)
		err = errNoReplacement
	}
	if err != nil {
		c.End(slugplacement.Abandoned, time.Now())
		return nil, err
	}
	return s.begin(ctx, c, prefilled, events)
}

// mayProcessPrompt reports whether the silent endpoint may be processing the prompt, for which
// no usual time is known. Another endpoint would have to begin anew.
func (s *standby) mayProcessPrompt(events int) bool {
	f, silent := s.fork, s.attempt
	return events == 0 && silent.prefilled == nil && f.placer.FirstEventTime(time.Now()) == 0 && s.silentRegistered()
}

// spare chooses the endpoint that is to take over. An endpoint without capacity may do so
// only if the silent one is not registered any more. One that is leaving, or is to change its
// role, still completes its responses.
func (s *standby) spare(now time.Time) (*slugplacement.Choice, bool) {
	f := s.fork
	near := f.call.Prompt.DataCentre
	for {
		c, ok := f.placer.Spare(f.job(), near, f.excluded, max(minSpareSilence, f.route.Gap), now)
		if !ok && !s.silentRegistered() {
			c, ok = f.placer.Decode(f.job(), near, f.excluded, now)
		}
		if !ok || f.mayGoOnAt(c) {
			return c, ok
		}
		c.End(slugplacement.Abandoned, now)
		f.exclude(c.Name)
	}
}

// reserve takes from the retry budget what a request to the chosen endpoint needs, and what
// the return to the silent one would need.
func (s *standby) reserve(c *slugplacement.Choice, now time.Time) error {
	if err := checkReady(c); err != nil {
		return err
	}
	f := s.fork
	if !f.reserveRetries(now) {
		return errRetryBudget
	}
	if !s.silentRegistered() {
		return nil // It has ended.
	}
	fallback := reservation{prompt: f.placer.Len(slugplan.RolePrefill) > 0, response: true, takenAt: now}
	if !f.budget.TryRetries(fallback.count(), now) {
		return errRetryBudget
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fallback = fallback
	return nil
}

// returnFallback gives back what was taken for the return to the silent endpoint. The caller
// must hold s.mu.
func (s *standby) returnFallback() {
	s.fork.budget.Return(s.fallback.count(), s.fallback.takenAt)
	s.fallback = reservation{}
}

// prefillFor has the prompt processed for a decode request at an endpoint that was chosen.
func (d *dispatch) prefillFor(ctx context.Context) (*prefillResult, error) {
	prefilled, err := d.prefill(ctx)
	if err == nil && ctx.Err() != nil {
		d.releaseCache(prefilled)
		return nil, context.Cause(ctx)
	}
	return prefilled, err
}

// begin sends the request to the endpoint that is to take over, and waits for the header of
// its response.
func (s *standby) begin(ctx context.Context, c *slugplacement.Choice, prefilled *prefillResult, events int) (*continuation, error) {
	f := s.fork
	attemptCtx, a := f.newDecodeAttempt(s.ctx, c, prefilled)
	stop := context.AfterFunc(ctx, func() { a.cancel(context.Cause(ctx)) })
	// Until the request has a connection, nothing works on it but the silent endpoint.
	a.onConnected = func() {
		overlap := time.AfterFunc(maxOverlap, func() { s.replace(attemptCtx, events) })
		context.AfterFunc(attemptCtx, func() { overlap.Stop() })
	}
	err := f.openDecode(attemptCtx, a)
	f.reserved.response = !a.exchange.Sent
	if err == nil {
		err = f.checkResponse(a.exchange)
	}
	if err == nil && a.exchange.Response.StatusCode != http.StatusOK {
		err = errors.Newf("endpoint responded with status %d", a.exchange.Response.StatusCode)
	}
	if !stop() {
		// The function may still be about to run. Without the cancellation the endpoint would
		// count as failed.
		err = context.Cause(ctx)
		a.cancel(err)
	}
	if err == nil {
		return &continuation{decodeAttempt: a, ctx: attemptCtx}, nil
	}
	if sent, _ := f.endDecode(attemptCtx, a, err); !sent {
		f.releaseCache(prefilled)
	}
	return nil, err
}

// replace cancels the silent attempt if no event has arrived meanwhile, and the attempt with
// the given context, which is to replace it, has not ended.
func (s *standby) replace(ctx context.Context, events int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.events == events && ctx.Err() == nil {
		s.cancelSilent()
	}
}

// silentRegistered reports whether the silent endpoint is still registered.
func (s *standby) silentRegistered() bool {
	c := s.attempt.choice
	return s.fork.cfg.Registered(s.fork.service.Name, c.Name, c.Incarnation)
}

// abandonDecode ends an attempt that is not needed.
func (d *dispatch) abandonDecode(c *continuation, cause error) {
	c.cancel(cause)
	_, _ = d.endDecode(c.ctx, c.decodeAttempt, cause)
}

// End ends the standby of an attempt that ended with err. It returns the attempt that takes
// over, for which it waits if one is in preparation, or nil if there is none.
func (s *standby) End(err error) *continuation {
	if s.timer == nil {
		return nil
	}
	s.mu.Lock()
	s.ended = true
	s.timer.Stop()
	needed := err != nil && !errors.Is(err, errNoRetry) && s.ctx.Err() == nil
	s.unneeded = !needed
	if s.abandon != nil && !needed {
		s.abandon(errEventArrived)
		s.mu.Unlock()
		return nil
	}
	done := s.done
	s.mu.Unlock()
	if done != nil {
		<-done
	}
	if s.ready != nil && !needed {
		s.fork.abandonDecode(s.ready, errEventArrived)
		return nil
	}
	return s.ready
}

package slugdispatch

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
)

const (
	// stallCheckInterval is the time between checks whether an endpoint has stalled.
	stallCheckInterval = 250 * time.Millisecond
	// firstEventEstimate is the expected time from the end of the prefill to the first
	// event.
	firstEventEstimate = 90 * time.Millisecond
	// firstEventTimeout bounds the wait for the first event after the prefill, before a
	// request that may run again is retried at another endpoint.
	firstEventTimeout = 900 * time.Millisecond
	// gapTimeoutFactor times the route's maximum gap between events is how long a stream
	// may be silent before it continues at another endpoint.
	gapTimeoutFactor = 3
	// minGapTimeout is the lower bound of that time.
	minGapTimeout = 900 * time.Millisecond
	// maxHandleBytes bounds the response to a prefill request.
	maxHandleBytes = 64 << 10
	// releaseTimeout bounds a request to delete a KV cache.
	releaseTimeout = time.Second
	// maxSends bounds the sends of one request, whatever the retry budget allows.
	maxSends = 8
)

// prefillResult locates the KV cache of a processed prompt.
type prefillResult struct {
	choice *slugplacement.Choice
	handle Handle
}

// stream serves a request of a model with disaggregated prefill: one endpoint processes
// the prompt (prefill), another one generates the response (decode).
func (x *dispatch) stream(ctx context.Context) error {
	var last error
	for x.sends < maxSends {
		if refusal := x.reauthorize(); refusal != nil && !x.headerWritten && x.possibleRuns == 0 {
			return refusal
		}
		s, err := x.prefill(ctx)
		if err == nil {
			err = x.decode(ctx, s)
		}
		if err == nil {
			return nil
		}
		last = err
		if ctx.Err() != nil || errors.Is(err, errNoRetry) {
			break
		}
	}
	return x.callerError(ctx, last)
}

// errNoRetry marks errors after which the request is not retried.
var errNoRetry = errors.New("request must not be retried")

// noRetry marks an error with errNoRetry.
func noRetry(err error) error { return errors.Mark(err, errNoRetry) }

// prefill has the prompt processed. It tries endpoints until one succeeds, as far as the
// retry budget allows. If the service has no prefill endpoints, the result is nil, and
// the decode endpoint processes the prompt as well.
func (x *dispatch) prefill(ctx context.Context) (*prefillResult, error) {
	if x.placer.Len(slugplan.RolePrefill) == 0 {
		return nil, nil
	}
	exclude := slices.Clone(x.excluded)
	var last error
	for range maxSends {
		c, ok := x.placer.Prefill(x.job(), exclude, time.Now())
		if !ok {
			return nil, noRetry(errors.CombineErrors(last, errNoEndpoint))
		}
		if x.prefillAccepted && !x.takeRetry(time.Now()) {
			c.End(slugplacement.Abandoned, time.Now())
			return nil, noRetry(errors.CombineErrors(last, errRetryBudget))
		}
		c = x.announce(ctx, c, exclude)
		if wait, late := x.missesDeadline(c); late {
			x.cancelChoice(c)
			return nil, noRetry(slugrefusal.NotRun(slugrefusal.CodeOverloaded, "processing the prompt is expected to take %s, which exceeds the deadline", wait.Round(time.Millisecond)).After(x.retryAfter()))
		}
		s, sent, err := x.attemptPrefill(ctx, c)
		if err == nil {
			x.prefillAccepted = true
			return s, nil
		}
		last = err
		exclude = append(exclude, c.Name)
		if ctx.Err() != nil {
			return nil, noRetry(err)
		}
		if sent && !x.prefillAccepted && !x.takeRetry(time.Now()) {
			return nil, noRetry(errors.CombineErrors(err, errRetryBudget))
		}
	}
	return nil, noRetry(last)
}

// maxAnnouncements bounds the endpoints to which one prompt is announced.
const maxAnnouncements = 3

// announce announces a prompt for the chosen endpoint. If that endpoint turns out to be
// busier, or to have less of the prompt cached, than another one is believed to, it
// announces the prompt for that one too, and so on. It returns the best choice and
// withdraws the other announcements.
func (x *dispatch) announce(ctx context.Context, c *slugplacement.Choice, exclude []slugname.Endpoint) *slugplacement.Choice {
	if x.cfg.Announce == nil {
		return c
	}
	var asked []*slugplacement.Choice
	exclude = slices.Clone(exclude)
	for range maxAnnouncements {
		a, ok := x.cfg.Announce(ctx, x.service.Name, c)
		if !ok {
			break
		}
		asked = append(asked, c)
		exclude = append(exclude, c.Name)
		next, better := c.Learn(a, exclude, time.Now())
		if !better {
			return x.withdrawOthers(asked, c)
		}
		c = next
	}
	if len(asked) == 0 {
		return c
	}
	c.End(slugplacement.Abandoned, time.Now())
	best := asked[0]
	for _, a := range asked {
		if a.Before(best) {
			best = a
		}
	}
	return x.withdrawOthers(asked, best)
}

// cancelChoice ends a choice to which nothing was sent, and withdraws its announcement.
func (x *dispatch) cancelChoice(c *slugplacement.Choice) {
	c.End(slugplacement.Abandoned, time.Now())
	if c.Told {
		x.cfg.TakeBack(x.service.Name, c, c.Announced)
	}
}

// withdrawOthers cancels all choices that were announced except c, and returns c.
func (x *dispatch) withdrawOthers(asked []*slugplacement.Choice, c *slugplacement.Choice) *slugplacement.Choice {
	for _, a := range asked {
		if a != c {
			x.cancelChoice(a)
		}
	}
	return c
}

// job returns the placement job of the request.
func (x *dispatch) job() slugplacement.Job {
	j := x.call.Prompt
	j.Priority = x.route.PriorityFor(x.workspace)
	return j
}

// attemptPrefill has the prompt processed at one endpoint. sent reports whether the
// request may have reached the endpoint.
func (x *dispatch) attemptPrefill(ctx context.Context, c *slugplacement.Choice) (s *prefillResult, sent bool, err error) {
	x.endpoints = append(x.endpoints, c.Name)
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer x.watchStall(c, cancel)()
	done := x.cfg.Suspects.Begin(c.Name, x.fingerprint, false)
	e, err := x.cfg.Open(callCtx, x.cfg.Codec.Prefill(x.call, x.target(c)))
	if e.Sent {
		x.sends++
	}
	var h Handle
	if err == nil {
		h, err = x.readHandle(e)
	}
	done(err == nil)
	c.End(x.placementOutcome(ctx, err), time.Now())
	if err != nil {
		e.Drop()
		x.reportBroken(ctx, c, e.Sent, err)
		x.logAttemptFailure(c, "prefill", err)
		return nil, e.Sent, err
	}
	x.cfg.Log.Emit(slugevent.EndpointChosen, slugevent.Fields{
		"request": x.call.ID, "endpoint": c.Name, "stage": "prefill", "tokens": x.call.Prompt.Tokens, "cached": c.Cached, "fetchFrom": c.FetchFrom, "told": c.Told,
		"predictedMs": c.Predicted.Milliseconds(), "tookMs": time.Since(c.Began()).Milliseconds(), "processed": h.Tokens,
	})
	return &prefillResult{c, h}, true, nil
}

// missesDeadline returns the predicted duration of the prefill, and whether the first
// event is predicted to come after the deadline.
func (x *dispatch) missesDeadline(c *slugplacement.Choice) (time.Duration, bool) {
	return c.Predicted, c.Predicted+firstEventEstimate > x.remaining()
}

// errStalled is the cancellation cause of an attempt at a stalled endpoint.
var errStalled = errors.New("endpoint stalled")

// watchStall cancels an attempt if its endpoint stalls. The returned function stops the
// checks.
func (x *dispatch) watchStall(c *slugplacement.Choice, cancel context.CancelCauseFunc) func() {
	var mu sync.Mutex
	var timer *time.Timer
	check := func() {
		mu.Lock()
		defer mu.Unlock()
		if c.Stalled(time.Now()) {
			cancel(errStalled)
			return
		}
		timer.Reset(stallCheckInterval)
	}
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(stallCheckInterval, check)
	return func() {
		mu.Lock()
		defer mu.Unlock()
		timer.Stop()
	}
}

// readHandle reads the response to a prefill request.
func (x *dispatch) readHandle(e *slugsend.Exchange) (Handle, error) {
	head := x.cfg.Codec.Head(e.Answer)
	switch {
	case head.ID != "" && head.ID != x.call.ID:
		return Handle{}, errWrongRequest
	case head.Wrong:
		return Handle{}, errors.Mark(errWrongEndpoint, errNotRun)
	case head.NotRun:
		return Handle{}, errors.Wrapf(errNotRun, "status %d", head.Status)
	case head.Status != http.StatusOK:
		return Handle{}, errors.Newf("prefill: status %d", head.Status)
	}
	b, err := io.ReadAll(io.LimitReader(e.Answer.Body, maxHandleBytes))
	_ = e.Answer.Body.Close()
	if err != nil {
		return Handle{}, errors.Wrap(err, "read handle")
	}
	return x.cfg.Codec.Handle(b)
}

// decode has the response generated from the KV cache of a prefill, which may be nil, and
// relays it.
func (x *dispatch) decode(ctx context.Context, s *prefillResult) error {
	if refusal := x.reauthorize(); refusal != nil && !x.headerWritten && x.possibleRuns == 0 {
		x.releaseCache(s)
		return noRetry(refusal)
	}
	near := x.call.Prompt.DataCentre
	if s != nil {
		near = s.choice.DataCentre
	}
	c, ok := x.placer.Decode(x.job(), near, x.excluded, time.Now())
	if !ok {
		x.releaseCache(s)
		return noRetry(errNoEndpoint)
	}
	if x.decodeSent && !x.takeRetry(time.Now()) {
		c.End(slugplacement.Abandoned, time.Now())
		x.releaseCache(s)
		return noRetry(errRetryBudget)
	}
	return x.attemptDecode(ctx, c, s)
}

func (x *dispatch) attemptDecode(ctx context.Context, c *slugplacement.Choice, s *prefillResult) error {
	x.endpoints = append(x.endpoints, c.Name)
	t := x.target(c)
	if s != nil {
		t.Source = x.cfg.Codec.Source(s.choice.Address, s.handle.ID)
	}
	requestCtx := ctx
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := x.watchEvents(cancel)
	defer watchdog.Stop()
	done := x.cfg.Suspects.Begin(c.Name, x.fingerprint, false)
	e, err := x.cfg.Open(ctx, x.cfg.Codec.Run(x.call, t))
	if e.Sent {
		x.sends++
		x.decodeSent = true
	}
	if err == nil {
		err = x.relayStream(e, watchdog)
	}
	done(err == nil)
	c.End(x.placementOutcome(requestCtx, err), time.Now())
	if err == nil {
		return nil
	}
	e.Drop()
	if x.reportBroken(ctx, c, e.Sent, err) {
		x.countStart() // The request most likely began to run before the failure.
	}
	x.logAttemptFailure(c, "decode", err)
	return x.afterDecodeFailure(ctx, c, s, e.Sent, err)
}

// afterDecodeFailure records a failed attempt and returns its error, marked with
// errNoRetry if there must not be another attempt.
func (x *dispatch) afterDecodeFailure(ctx context.Context, c *slugplacement.Choice, s *prefillResult, sent bool, err error) error {
	if !sent || errors.Is(err, errNotRun) {
		x.releaseCache(s)
		x.exclude(c.Name)
		return err
	}
	x.possibleRuns++
	x.exclude(c.Name)
	if !x.route.Idempotent() || x.possibleRuns >= x.route.Attempts {
		return noRetry(err)
	}
	x.cfg.Log.Emit(slugevent.StreamContinued, slugevent.Fields{"request": x.call.ID, "after": x.lastEvent, "endpoint": c.Name, "reason": context.Cause(ctx)})
	return err
}

// releaseCache deletes, in the background, a KV cache that will not be used.
func (x *dispatch) releaseCache(s *prefillResult) {
	if s == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		// There is no retry: endpoints expire unused caches on their own.
		e, err := x.cfg.Open(ctx, x.cfg.Codec.Release(s.choice.Address, s.handle.ID))
		if err != nil {
			x.logAttemptFailure(s.choice, "release", err)
			return
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(e.Answer.Body, maxHandleBytes))
		_ = e.Answer.Body.Close()
	}()
}

// watchEvents returns a watchdog that cancels an attempt if its events are late. If no
// other attempt may follow, the watchdog never fires.
func (x *dispatch) watchEvents(cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{gapTimeout: max(minGapTimeout, gapTimeoutFactor*x.route.Gap)}
	if !x.route.Idempotent() || x.possibleRuns+1 >= x.route.Attempts {
		return w
	}
	w.timer = time.AfterFunc(firstEventTimeout, func() { cancel(errEventTimeout) })
	return w
}

// errEventTimeout is the cancellation cause of an attempt whose events are late.
var errEventTimeout = errors.New("timed out waiting for an event")

// watchdog cancels an attempt whose events are late. Without a timer it never fires.
type watchdog struct {
	timer      *time.Timer
	gapTimeout time.Duration
}

// Event restarts the timer after an event.
func (w *watchdog) Event() {
	if w.timer != nil {
		w.timer.Reset(w.gapTimeout)
	}
}

// Stop stops the timer.
func (w *watchdog) Stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

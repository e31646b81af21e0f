package slugdispatch

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugquarantine"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
)

// decode has the response generated from the KV cache of a prefill, which may be nil, and
// relays it.
func (d *dispatch) decode(ctx context.Context, prefilled *prefillResult) error {
	if refusal := d.reauthorize(); refusal != nil && !d.headerWritten && len(d.ranAt) == 0 {
		d.releaseCache(prefilled)
		return noRetry(refusal)
	}
	if err := d.stopQuarantined(); err != nil {
		d.releaseCache(prefilled)
		return err
	}
	if d.firstEventLeft() <= 0 && len(d.ranAt) == 0 {
		d.releaseCache(prefilled)
		return noRetry(slugrefusal.NotRun(slugrefusal.CodeDeadline, "the prompt was processed after the time in which the first event is expected"))
	}
	near := d.call.Prompt.DataCentre
	if prefilled != nil {
		near = prefilled.choice.DataCentre
	}
	if !d.cacheHeld(prefilled) {
		d.releaseCache(prefilled)
		return errCacheEnded
	}
	if d.decodeSent && !d.useRetry(&d.reserved.response) {
		d.releaseCache(prefilled)
		return noRetry(errRetryBudget)
	}
	exclude := slices.Clone(d.excluded)
	var last error
	for range maxSends {
		c, ok := d.chooseDecode(near, exclude)
		if !ok {
			break
		}
		sent, err := d.attemptDecode(ctx, c, prefilled)
		if err == nil || sent {
			return err
		}
		// Nothing was sent, so that another engine can use the KV cache.
		last = err
		exclude = append(exclude, c.Name)
		if ctx.Err() != nil {
			break
		}
	}
	d.releaseCache(prefilled)
	return noRetry(errors.CombineErrors(last, errNoEndpoint))
}

// chooseDecode chooses the endpoint that generates the response. If there is no other, or no
// other may run the request, an endpoint whose silent attempt was canceled gets it once more:
// it may have paused only, and is no further endpoint at which the request runs.
func (d *dispatch) chooseDecode(near slugname.DataCentre, exclude []slugname.Endpoint) (*slugplacement.Choice, bool) {
	if len(d.ranAt) < d.route.MaxAttempts {
		if c, ok := d.placer.Decode(d.job(), near, exclude, time.Now()); ok {
			return c, true
		}
	}
	c, ok := d.placer.DecodeAt(d.job(), near, d.replaced, time.Now())
	if ok {
		d.replaced = slices.DeleteFunc(d.replaced, func(n slugname.Endpoint) bool { return n == c.Name })
	}
	return c, ok
}

// decodeAttempt is an attempt to have the response generated at one endpoint.
type decodeAttempt struct {
	choice    *slugplacement.Choice
	prefilled *prefillResult
	cancel    context.CancelCauseFunc
	run       *slugquarantine.Run
	silence   *silenceWatch
	exchange  *slugsend.Exchange
	// after is the ID of the event after which the endpoint resumes the stream.
	after string
	// onConnected is called as soon as the request has a connection; it may be nil.
	onConnected func()
	start       startEvidence
}

// attemptDecode has the response generated at one endpoint and relays it; if the endpoint
// falls silent, another one may take over. sent reports whether the request may have reached
// an endpoint; if not, the KV cache is kept.
func (d *dispatch) attemptDecode(ctx context.Context, c *slugplacement.Choice, prefilled *prefillResult) (sent bool, err error) {
	err = checkReady(c)
	if err == nil && !d.mayGoOnAt(c) {
		err = errStartUnknown
	}
	if err != nil {
		c.End(slugplacement.Abandoned, time.Now())
		return false, err
	}
	attemptCtx, a := d.newDecodeAttempt(ctx, c, prefilled)
	s := d.newStandby(ctx, a)
	err = d.openDecode(attemptCtx, a)
	for {
		if err == nil {
			err = d.relayStream(a, s)
		}
		if err != nil && !errors.Is(err, errNoRetry) && ctx.Err() == nil {
			d.settleVersion(a)
		}
		next := s.End(err)
		d.join(s)
		sent, failure := d.endDecode(attemptCtx, a, err)
		if next == nil {
			d.logContinued(a, failure)
			return sent, failure
		}
		if !sent {
			d.releaseCache(a.prefilled)
		}
		d.logHandover(a, next, err)
		attemptCtx, a, err = next.ctx, next.decodeAttempt, nil
		s = d.newStandby(ctx, a)
	}
}

// newDecodeAttempt returns an attempt at the chosen endpoint, and its context.
func (d *dispatch) newDecodeAttempt(ctx context.Context, c *slugplacement.Choice, prefilled *prefillResult) (context.Context, *decodeAttempt) {
	ctx, cancel := context.WithCancelCause(ctx)
	d.endpoints = append(d.endpoints, c.Name)
	return ctx, &decodeAttempt{choice: c, prefilled: prefilled, cancel: cancel, after: d.lastEvent}
}

// openDecode sends the request of an attempt and reads the header of the response.
func (d *dispatch) openDecode(ctx context.Context, a *decodeAttempt) (err error) {
	t := d.target(a.choice)
	if a.prefilled != nil {
		t.CacheSource = d.cfg.Codec.CacheSource(a.prefilled.choice.Address, a.prefilled.handle.ID)
	}
	a.choice.Sent(time.Now())
	a.run = d.begin(a.choice)
	a.silence = d.watchSilence(a.choice, a.run)
	request := d.cfg.Codec.EncodeRun(d.call, t)
	request.Connected = d.observeStart(a.choice, &a.start, a.onConnected)
	request.Purpose, request.Cause = "decode", d.attemptCause(d.decodeSent)
	a.exchange, err = d.open(ctx, a.choice, a.run, request)
	if a.exchange.Sent {
		d.sends++
		d.decodeSent = true
	}
	return err
}

// endDecode records the result of an attempt. sent reports whether the request may have
// reached the endpoint.
func (d *dispatch) endDecode(ctx context.Context, a *decodeAttempt, err error) (sent bool, _ error) {
	defer a.cancel(nil)
	defer a.silence.Stop()
	c, e := a.choice, a.exchange
	c.End(d.placementOutcome(ctx, e, err), time.Now())
	if err == nil {
		// A prefill alone does not show that an engine survives the request.
		recordServed(a.run, e)
		return true, nil
	}
	e.Abort()
	interrupted := d.reportInterruption(ctx, c, a.run, e.Sent, err)
	if interrupted {
		d.countStart() // The request most likely began to run before the failure.
	}
	d.logAttemptFailure(c, "decode", interrupted, err)
	return e.Sent, d.afterDecodeFailure(a, err)
}

// afterDecodeFailure records a failed attempt and returns its error, marked with
// errNoRetry if there must not be another attempt.
func (d *dispatch) afterDecodeFailure(a *decodeAttempt, err error) error {
	if !a.exchange.Sent {
		return err
	}
	d.exclude(a.choice.Name)
	if errors.Is(err, errReplaced) {
		d.replaced = append(d.replaced, a.choice.Name)
	}
	if errors.Is(err, errNotRun) {
		d.releaseCache(a.prefilled)
		return err
	}
	d.recordRun(a.choice.Name)
	if !d.route.Idempotent() || !d.resumable() || len(d.ranAt) >= d.route.MaxAttempts && len(d.replaced) == 0 {
		return noRetry(err)
	}
	return err
}

// resumable reports whether the next response can go on where the last one ended: nothing
// was relayed yet, or the last event has a number.
func (d *dispatch) resumable() bool {
	_, numbered := eventNumber(d.lastEvent)
	return !d.headerWritten || numbered
}

// logContinued logs that another round of prefill and decode follows a failed attempt.
func (d *dispatch) logContinued(a *decodeAttempt, cause error) {
	if cause == nil || !a.exchange.Sent || errors.Is(cause, errNoRetry) || errors.Is(cause, errNotRun) {
		return
	}
	d.cfg.Log.Emit(slugevent.StreamContinued, slugevent.Fields{"request": d.call.ID, "after": d.lastEvent, "endpoint": a.choice.Name, "reason": cause})
}

// logHandover logs that an attempt was replaced by another one.
func (d *dispatch) logHandover(from *decodeAttempt, to *continuation, cause error) {
	d.cfg.Log.Emit(slugevent.StreamContinued, slugevent.Fields{
		"request": d.call.ID, "after": to.after, "endpoint": from.choice.Name, "to": to.choice.Name, "reason": cause, "preparedMs": to.preparedIn.Milliseconds(),
	})
}

// releaseCache deletes, in the background, a KV cache that will not be used.
func (d *dispatch) releaseCache(prefilled *prefillResult) {
	if prefilled == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		// There is no retry: endpoints expire unused caches on their own.
		e, err := d.cfg.Open(ctx, d.cfg.Codec.EncodeRelease(prefilled.choice.Address, prefilled.handle.ID))
		if err != nil {
			d.logAttemptFailure(prefilled.choice, "release", false, err)
			return
		}
		d.cfg.Noticed(d.service.Name, prefilled.choice.Endpoint, d.cfg.Codec.DecodeHead(e.Response))
		// A connection whose response has not ended is closed.
		_, _ = io.Copy(io.Discard, maxHandle.Reader(e.Response.Body))
		_ = e.Response.Body.Close()
	}()
}

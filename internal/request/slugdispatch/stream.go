package slugdispatch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbody"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
)

const (
	// maxHandle bounds the response to a prefill request.
	maxHandle slugbody.Limit = 64 << 10
	// releaseTimeout bounds a request to delete a KV cache.
	releaseTimeout = time.Second
	// maxSends is the number of attempts sent to endpoints after which a request starts no
	// other round of prefill and decode, even if the retry budget allows one. It also
	// bounds the prefill attempts of one round.
	maxSends = 8
)

// prefillResult locates the KV cache of a processed prompt.
type prefillResult struct {
	choice *slugplacement.Choice
	handle Handle
}

// stream serves a request of a model with disaggregated prefill: one endpoint processes
// the prompt (prefill), another one generates the response (decode).
func (d *dispatch) stream(ctx context.Context) error {
	if refusal := d.fixVersion(ctx); refusal != nil {
		return refusal
	}
	defer d.returnRetries()
	var last error
	for d.sends < maxSends {
		if refusal := d.reauthorize(); refusal != nil && !d.headerWritten && len(d.ranAt) == 0 {
			return refusal
		}
		if err := d.stopQuarantined(); err != nil {
			return d.callerError(ctx, err)
		}
		if d.version != "" && len(d.ranAt) == 0 && !d.placer.Accepts(slugplan.RoleDecode, d.version, time.Now()) {
			return d.refuseTakeUp("no endpoint of software version %s, which began the stream, takes requests", d.version)
		}
		if !d.placer.Accepts(slugplan.RoleDecode, d.version, time.Now()) {
			// The prompt would be processed in vain.
			return d.callerError(ctx, noRetry(errors.CombineErrors(last, errNoEndpoint)))
		}
		d.returnRetries()
		if !d.reserveRetries(time.Now()) {
			return d.callerError(ctx, noRetry(errors.Wrap(last, errRetryBudget.Error())))
		}
		prefilled, err := d.prefill(ctx)
		if err == nil {
			err = d.decode(ctx, prefilled)
		}
		if err == nil {
			return nil
		}
		last = err
		if ctx.Err() != nil || errors.Is(err, errNoRetry) {
			break
		}
	}
	return d.callerError(ctx, last)
}

// errNoRetry marks errors after which the request is not retried.
var errNoRetry = errors.New("request must not be retried")

// noRetry marks an error with errNoRetry.
func noRetry(err error) error { return errors.Mark(err, errNoRetry) }

// prefill has the prompt processed. It tries endpoints until one succeeds, as far as the
// retry budget allows. If the service has no prefill endpoints, the result is nil, and
// the decode endpoint processes the prompt as well.
func (d *dispatch) prefill(ctx context.Context) (*prefillResult, error) {
	if d.placer.Len(slugplan.RolePrefill) == 0 {
		return nil, nil
	}
	exclude := slices.Clone(d.excluded)
	var last error
	var next *replacement
	defer func() { d.dropReplacement(next) }()
	// retried is set if the retry for the next attempt has been taken.
	retried := false
	for range maxSends {
		if err := d.stopQuarantined(); err != nil {
			return nil, err
		}
		c, ok := d.nextPrefill(next, exclude)
		next = nil
		if !ok {
			return nil, noRetry(errors.CombineErrors(last, errNoEndpoint))
		}
		if d.prefillAccepted && !retried && !d.useRetry(&d.reserved.prompt) {
			c.End(slugplacement.Abandoned, time.Now())
			return nil, noRetry(errors.CombineErrors(last, errRetryBudget))
		}
		c = d.awaitTurn(ctx, d.announce(ctx, c, exclude), exclude)
		if refusal := d.refuseOverload(c); refusal != nil && !retried {
			d.cancelChoice(c)
			return nil, noRetry(refusal)
		}
		prefilled, sent, err := d.racePrefill(ctx, c, &exclude, &next)
		if err == nil {
			d.prefillAccepted = true
			return prefilled, nil
		}
		last = err
		exclude = append(exclude, c.Name)
		if ctx.Err() != nil {
			return nil, noRetry(err)
		}
		retried = next != nil || retried && !sent
		if sent && !d.prefillAccepted && !retried && !d.tryRetry(time.Now()) {
			return nil, noRetry(errors.CombineErrors(err, errRetryBudget))
		}
	}
	return nil, noRetry(last)
}

// nextPrefill returns the endpoint that replaces a stalled one, or else chooses one.
func (d *dispatch) nextPrefill(r *replacement, exclude []slugname.Endpoint) (*slugplacement.Choice, bool) {
	if r != nil {
		return r.choice, true
	}
	if d.cfg.Announce != nil {
		if c, ok := d.placer.PrefillAtHome(d.job(), exclude, time.Now()); ok {
			return c, true
		}
	}
	return d.placer.Prefill(d.job(), exclude, time.Now())
}

// withoutAnswer returns the choice for a prompt to whose announcement for c no owner answered. If
// c was chosen only to ask that owner, it is replaced by what this process knows to be best.
func (d *dispatch) withoutAnswer(c *slugplacement.Choice, exclude []slugname.Endpoint) *slugplacement.Choice {
	if !c.AtHome {
		return c
	}
	job := d.job()
	job.Counted = true
	next, ok := d.placer.Prefill(job, exclude, time.Now())
	if !ok {
		return c
	}
	c.End(slugplacement.Abandoned, time.Now())
	return next
}

// maxAnnouncements bounds the endpoints for which one prompt is announced.
const maxAnnouncements = 3

// announce announces a prompt for the chosen endpoint. If that endpoint turns out to be
// busier, or to have less of the prompt cached, than another one is believed to, it
// announces the prompt for that one too, and so on. It returns the best choice and
// withdraws the other announcements.
func (d *dispatch) announce(ctx context.Context, c *slugplacement.Choice, exclude []slugname.Endpoint) *slugplacement.Choice {
	if d.cfg.Announce == nil {
		return c
	}
	var announced []*slugplacement.Choice
	exclude = slices.Clone(exclude)
	for range maxAnnouncements {
		forecast, ok := d.cfg.Announce(ctx, d.service.Name, c, d.terms(c), 0)
		if !ok {
			break
		}
		announced = append(announced, c)
		exclude = append(exclude, c.Name)
		next, better := c.ApplyForecast(forecast, exclude, time.Now())
		if !better {
			return d.withdrawOthers(announced, c)
		}
		c = next
	}
	if len(announced) == 0 {
		return d.withoutAnswer(c, exclude)
	}
	c.End(slugplacement.Abandoned, time.Now())
	best := announced[0]
	for _, a := range announced {
		if deferred := a.Forecast.Deferred; deferred == best.Forecast.Deferred && a.Before(best) || !deferred && best.Forecast.Deferred {
			best = a
		}
	}
	return d.withdrawOthers(announced, best)
}

// cancelChoice ends a choice to which nothing was sent, and withdraws its announcement.
func (d *dispatch) cancelChoice(c *slugplacement.Choice) {
	c.End(slugplacement.Abandoned, time.Now())
	if w, ok := c.Withdrawal(); ok {
		d.cfg.WithdrawAnnouncement(d.service.Name, c, w)
	}
}

// withdrawOthers cancels all choices that were announced except c, and returns c. Their owners
// are told of c unless the prompt is to be refused: others would fetch its parts from there.
func (d *dispatch) withdrawOthers(announced []*slugplacement.Choice, c *slugplacement.Choice) *slugplacement.Choice {
	_, late := d.missesDeadline(c)
	for _, a := range announced {
		if a != c {
			if !late {
				a.SendInstead(c)
			}
			d.cancelChoice(a)
		}
	}
	return c
}

// job returns the placement job of the request.
func (d *dispatch) job() slugplacement.Job {
	j := d.call.Prompt
	j.Priority, j.Version = d.route.PriorityFor(d.workspace), d.version
	return j
}

// attemptPrefill has the prompt processed at one endpoint. sent reports whether the
// request may have reached the endpoint. If the endpoint stalls, next is set to what replaces
// it, which is none of the excluded endpoints.
func (d *dispatch) attemptPrefill(ctx context.Context, c *slugplacement.Choice, exclude []slugname.Endpoint, next **replacement) (prefilled *prefillResult, sent bool, err error) {
	if err := checkReady(c); err != nil {
		d.cancelChoice(c)
		return nil, false, err
	}
	d.endpoints = append(d.endpoints, c.Name)
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := d.watchStall(c, exclude, cancel)
	defer func() { *next = stall.Stop() }()
	run := d.begin(c)
	defer d.watchSilence(c, run).Stop()
	sentAt := time.Now()
	c.Sent(sentAt)
	request := d.cfg.Codec.EncodePrefill(d.call, d.target(c))
	request.Purpose, request.Cause = "prefill", d.attemptCause(d.sends > 0)
	e, err := d.open(callCtx, c, run, request)
	if e.Sent {
		d.sends++
	}
	var h Handle
	if err == nil {
		h, err = d.readHandle(e)
	}
	c.End(d.placementOutcome(callCtx, e, err), time.Now())
	d.cfg.StartStated(c.Address, h.StartedAt, sentAt)
	if err != nil {
		e.Abort()
		d.logAttemptFailure(c, "prefill", d.reportInterruption(callCtx, c, run, e.Sent, err), err)
		return nil, e.Sent, err
	}
	d.cfg.Log.Emit(slugevent.EndpointChosen, slugevent.Fields{
		"request": d.call.ID, "endpoint": c.Name, "stage": "prefill", "tokens": d.call.Prompt.Tokens, "cached": c.Cached, "fetchFrom": c.FetchFrom, "told": c.FromOwner,
		"predictedMs": c.Predicted.Milliseconds(), "tookMs": time.Since(c.StartedAt()).Milliseconds(), "processed": h.Tokens,
	})
	return &prefillResult{c, h}, true, nil
}

// refuseOverload refuses a prompt that cannot be served before its deadline.
func (d *dispatch) refuseOverload(c *slugplacement.Choice) *slugrefusal.Refusal {
	expected, late := d.missesDeadline(c)
	if !late {
		return nil
	}
	if expected <= d.firstEventLeft() {
		return slugrefusal.NotRun(slugrefusal.CodeOverloaded, "too many late prompts wait for their turn before this one").WithRetryAfter(d.retryAfter())
	}
	return slugrefusal.NotRun(slugrefusal.CodeOverloaded, "the first event is expected after %s, which exceeds the deadline", expected.Round(time.Millisecond)).WithRetryAfter(d.retryAfter())
}

// missesDeadline returns the predicted time to the first event, and whether that comes
// after the deadline. A prediction that does not rest on measurements misses nothing.
func (d *dispatch) missesDeadline(c *slugplacement.Choice) (time.Duration, bool) {
	expected := c.Predicted + d.placer.FirstEventTime(time.Now())
	return expected, c.Forecast.Declined || c.Measured && expected > d.firstEventLeft()
}

// readHandle reads the response to a prefill request.
func (d *dispatch) readHandle(e *slugsend.Exchange) (Handle, error) {
	head := d.cfg.Codec.DecodeHead(e.Response)
	switch {
	case head.ID != d.call.ID:
		return Handle{}, errors.Wrapf(errWrongRequest, "status %d", head.Status)
	case head.WrongEndpoint:
		return Handle{}, errors.Mark(errWrongEndpoint, errNotRun)
	case head.NotRun:
		return Handle{}, errors.Wrapf(errNotRun, "status %d", head.Status)
	case head.Status != http.StatusOK:
		return Handle{}, errors.Newf("prefill request failed with status %d", head.Status)
	}
	hold := e.Hold()
	defer hold.Release()
	b, err := hold.ReadAll(maxHandle.Reader(e.Response.Body))
	_ = e.Response.Body.Close()
	if err != nil {
		return Handle{}, errors.Wrap(err, "read handle")
	}
	return d.cfg.Codec.DecodeHandle(b)
}

package slugdispatch

import (
	"context"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugquarantine"
	"github.com/sassafraslug/sassafraslug/internal/version/slugrouting"
)

// Reasons for which an attempt or a request fails.
var (
	errNoEndpoint   = errors.New("no endpoint is available")
	errNotRun       = errors.New("endpoint did not run the request")
	errWrongRequest = errors.New("response belongs to another request")
	errUnsigned     = errors.New("response is not signed by the endpoint")
	errRetryBudget  = errors.New("retry budget is exhausted")
	errLimited      = errors.New("rate limit of the endpoint is reached")
	// errCaller marks errors of writing to the caller, which say nothing about the endpoint.
	errCaller   = errors.New("caller does not take the response")
	errUnwanted = errors.New("endpoint is leaving or asked to be left alone")
)

// callerWriter marks the errors of writing to the caller.
type callerWriter struct{ http.ResponseWriter }

// Write implements io.Writer.
func (w callerWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	return n, callerFailure(err, "write response")
}

// callerFailure marks an error of writing to the caller. The request must not be sent again.
func callerFailure(err error, step string) error {
	return errors.Mark(noRetry(errors.Wrap(err, step)), errCaller)
}

// plain serves a request that is relayed as a single response, not as a stream of events.
func (d *dispatch) plain(ctx context.Context) error {
	if refusal := d.fixVersion(ctx); refusal != nil {
		return refusal
	}
	var last error
	for len(d.ranAt) < d.route.MaxAttempts {
		if refusal := d.reauthorize(); refusal != nil && len(d.ranAt) == 0 {
			return refusal
		}
		if err := d.stopQuarantined(); err != nil {
			return d.callerError(ctx, err)
		}
		c, ok := d.placer.Plain(d.version, d.excluded, time.Now())
		if !ok {
			return d.callerError(ctx, errors.CombineErrors(last, errNoEndpoint))
		}
		sent, err := d.racePlain(ctx, c)
		if err == nil {
			return nil
		}
		last = err
		d.exclude(c.Name)
		switch {
		case d.headerWritten, ctx.Err() != nil:
			return d.callerError(ctx, err)
		case len(d.ranAt) > 0 && !d.route.Idempotent():
			return d.callerError(ctx, err)
		case sent && len(d.ranAt) < d.route.MaxAttempts && !d.tryRetry(time.Now()):
			return d.callerError(ctx, errors.CombineErrors(err, errRetryBudget))
		}
	}
	return d.callerError(ctx, last)
}

// attemptPlain sends the request to one endpoint and relays the response. sent reports
// whether the request may have reached the endpoint.
func (d *dispatch) attemptPlain(ctx context.Context, c *slugplacement.Choice) (sent bool, err error) {
	err = checkReady(c)
	if err == nil && !d.mayGoOnAt(c) {
		err = errStartUnknown
	}
	if err != nil {
		c.End(slugplacement.Abandoned, time.Now())
		return false, err
	}
	d.endpoints = append(d.endpoints, c.Name)
	run := d.begin(c)
	defer d.watchSilence(c, run).Stop()
	if d.race != nil {
		c.Sent(time.Now())
	}
	request, start := d.cfg.Codec.EncodeRun(d.call, d.target(c)), &startEvidence{}
	if d.route.Kind == slugrouting.Stream {
		request.Connected = d.observeStart(c, start, nil)
	}
	request.Purpose, request.Cause = "run", d.attemptCause(d.sends > 0)
	e, err := d.open(ctx, c, run, request)
	sent = e.Sent
	if sent {
		d.sends++
	}
	if err == nil {
		err = d.relayPlain(ctx, e, c, start)
	}
	c.End(d.placementOutcome(ctx, e, err), time.Now())
	if err == nil {
		recordServed(run, e)
	} else {
		e.Abort()
		if sent && !errors.Is(err, errNotRun) {
			d.recordRun(c.Name)
		}
		interrupted := d.reportInterruption(ctx, c, run, sent, err)
		if interrupted {
			d.countStart() // The request most likely began to run before the failure.
		}
		d.logAttemptFailure(c, "run", interrupted, err)
	}
	return sent, err
}

// recordServed records that the endpoint has survived the request. An error shows that only
// of the endpoint: it may have failed before it began to run the request.
func recordServed(run *slugquarantine.Run, e *slugsend.Exchange) {
	if e.Response.StatusCode < http.StatusInternalServerError {
		run.Served(time.Now())
	}
}

// checkReady checks, immediately before a request is sent, that the chosen endpoint still
// wants requests, and takes a permit if it has a rate limit.
func checkReady(c *slugplacement.Choice) error {
	if !c.WantsRequests(time.Now()) {
		return errUnwanted
	}
	if !c.TakePermit() {
		return errLimited
	}
	return nil
}

// open sends a request to the chosen endpoint and reads the header of the response. It
// records the rate limit that the response states, and what it says about the endpoint.
func (d *dispatch) open(ctx context.Context, c *slugplacement.Choice, run *slugquarantine.Run, request slugsend.Request) (*slugsend.Exchange, error) {
	request.CheckTime, request.SetRemaining = d.checkTime, d.setRemaining
	sentAt := time.Now()
	e, err := d.cfg.Open(ctx, request)
	switch {
	case errors.Is(err, slugsend.ErrCallerLeft):
		d.stop(err)
	case errors.Is(err, slugsend.ErrTimeOver):
		d.stop(errDeadline)
	}
	if err != nil || e.Response == nil {
		return e, err
	}
	head := d.cfg.Codec.DecodeHead(e.Response)
	if head.ID != d.call.ID {
		// The response may be an old one, whose notices no longer hold.
		return e, nil
	}
	run.Heard(time.Now())
	d.cfg.Noticed(d.service.Name, c.Endpoint, head)
	d.recordLoad(c, head)
	fields := slugevent.Fields{"request": d.call.ID, "endpoint": c.Name, "service": d.service.Name, "perSecond": head.Limit.PerSecond}
	switch {
	case head.LimitUnreadable:
		d.cfg.Log.Emit(slugevent.LimitUnreadable, fields)
	case !c.RecordLimit(head.Limit, sentAt, time.Now()):
	case head.Limit.Stated:
		share := c.Share()
		fields["rank"], fields["hosts"] = share.Rank, share.Hosts
		d.cfg.Log.Emit(slugevent.EndpointLimited, fields)
	default:
		d.cfg.Log.Emit(slugevent.EndpointUnlimited, fields)
	}
	return e, nil
}

// attemptCause says why an attempt is made, for the log. repeated is set if it is not the first of
// its kind.
func (d *dispatch) attemptCause(repeated bool) string {
	switch {
	case d.beside != "":
		return d.beside
	case repeated:
		return "retry"
	case d.call.ResumeAfter != "":
		return "takeUp"
	}
	return "first"
}

// begin returns the run of the request at the chosen endpoint.
func (d *dispatch) begin(c *slugplacement.Choice) *slugquarantine.Run {
	return d.quarantine.Begin(slugquarantine.Start{Endpoint: c.Name, Incarnation: c.Incarnation}, d.subject, time.Now())
}

// reportInterruption reports an endpoint that broke off an attempt, left it without an answer
// or refused the connection, and returns whether it broke off the attempt. An attempt that
// was canceled on this side was not broken off: the request may still have been waiting in
// the endpoint's queue.
func (d *dispatch) reportInterruption(ctx context.Context, c *slugplacement.Choice, run *slugquarantine.Run, sent bool, err error) bool {
	switch {
	case errors.Is(err, errNotRun) || errors.Is(err, errCaller) || errors.Is(err, errUnused):
		return false
	case errors.Is(context.Cause(ctx), errOutrun):
		run.AnsweredElsewhere()
		return false
	case !sent:
		if ctx.Err() == nil && errors.Is(err, syscall.ECONNREFUSED) {
			d.cfg.EndpointFailed(d.service.Name, c.Endpoint, true)
		}
		return false
	case ctx.Err() != nil:
		d.reportSilence(c, run)
		return false
	}
	run.Interrupted(time.Now())
	d.cfg.EndpointFailed(d.service.Name, c.Endpoint, false)
	return true
}

// placementOutcome classifies the result of an attempt for the placer. An endpoint that another
// one replaces, or that does not take the connection in time, is silent.
func (d *dispatch) placementOutcome(ctx context.Context, e *slugsend.Exchange, err error) slugplacement.Outcome {
	cause := context.Cause(ctx)
	switch {
	case err == nil:
		return slugplacement.Served
	case errors.Is(err, errWrongEndpoint):
		return slugplacement.WrongEndpoint
	case errors.Is(err, errNotRun):
		return slugplacement.Full
	case errors.Is(cause, errReplaced), errors.Is(cause, errStalled):
		return slugplacement.Silent
	case errors.Is(cause, errOutrun):
		return slugplacement.Outrun
	case errors.Is(err, errCaller), errors.Is(err, slugsend.ErrTimeOver), cause != nil && !errors.Is(cause, errDeadline):
		return slugplacement.Abandoned
	case !e.Sent:
		return slugplacement.Silent
	}
	return slugplacement.Failed
}

// errWrongEndpoint marks a response of an endpoint other than the expected one.
var errWrongEndpoint = errors.New("a different endpoint responded at the address")

// checkResponse checks that a response is the requested one, and that the endpoint ran
// the request. A response without the ID of the request may have been sent before it, or
// for another one, so that it does not even show that the request was not run.
func (d *dispatch) checkResponse(e *slugsend.Exchange) error {
	h := d.cfg.Codec.DecodeHead(e.Response)
	switch {
	case h.ID != d.call.ID:
		return errors.Wrapf(errWrongRequest, "status %d", h.Status)
	case h.WrongEndpoint:
		return errors.Mark(errWrongEndpoint, errNotRun)
	case h.NotRun:
		return errors.Wrapf(errNotRun, "status %d", h.Status)
	case !h.Signed:
		return errors.Wrapf(errUnsigned, "status %d", h.Status)
	}
	return nil
}

// relayPlain relays the response of an attempt, unless that of another one is used. A server
// error is used only if the other attempt fails.
func (d *dispatch) relayPlain(ctx context.Context, e *slugsend.Exchange, c *slugplacement.Choice, start *startEvidence) error {
	if err := d.checkResponse(e); err != nil {
		return err
	}
	if err := d.checkStart(c, start); err != nil {
		return err
	}
	success := e.Response.StatusCode < http.StatusInternalServerError
	if success && !d.race.claim(ctx, d, true) {
		return errUnused
	}
	d.countStart()
	b, err := bufferResponse(e)
	if err != nil {
		return err
	}
	// The rest of a long response does not wait: reading a failure is bounded in time.
	if !success && !d.race.claim(ctx, d, !b.whole) {
		b.hold.Release()
		return errUnused
	}
	d.recordStart(c, start)
	return d.relayResponse(b)
}

// exclude keeps an endpoint from being tried again for this request.
func (d *dispatch) exclude(n slugname.Endpoint) { d.excluded = add(d.excluded, n) }

// recordRun records that the request may have run at an endpoint. Another run there is not
// one at a further endpoint.
func (d *dispatch) recordRun(n slugname.Endpoint) { d.ranAt = add(d.ranAt, n) }

// add adds a name to a list unless it is there.
func add(list []slugname.Endpoint, n slugname.Endpoint) []slugname.Endpoint {
	if slices.Contains(list, n) {
		return list
	}
	return append(list, n)
}

package slugdispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
)

// Reasons for which an attempt or a request fails.
var (
	errNoEndpoint   = errors.New("no endpoint is available")
	errNotRun       = errors.New("endpoint did not run the request")
	errWrongRequest = errors.New("response belongs to another request")
	errUnsigned     = errors.New("response is not signed by the endpoint")
	errRetryBudget  = errors.New("retry budget is exhausted")
)

// maxBufferedResponseBytes bounds the part of a response that is read before anything is
// written to the caller. If reading fails within it, the request can still be retried.
const maxBufferedResponseBytes = 256 << 10

// plain serves a request that is relayed as a single response, not as a stream of events.
func (x *dispatch) plain(ctx context.Context) error {
	var last error
	for x.possibleRuns < x.route.Attempts {
		if refusal := x.reauthorize(); refusal != nil && x.possibleRuns == 0 {
			return refusal
		}
		c, ok := x.placer.Plain(x.excluded, time.Now())
		if !ok {
			return x.callerError(ctx, errors.CombineErrors(last, errNoEndpoint))
		}
		sent, err := x.attemptPlain(ctx, c)
		if err == nil {
			return nil
		}
		last = err
		x.exclude(c.Name)
		switch {
		case x.headerWritten, ctx.Err() != nil:
			return x.callerError(ctx, err)
		case x.possibleRuns > 0 && !x.route.Idempotent():
			return x.callerError(ctx, err)
		case sent && x.possibleRuns < x.route.Attempts && !x.takeRetry(time.Now()):
			return x.callerError(ctx, errors.CombineErrors(err, errRetryBudget))
		}
	}
	return x.callerError(ctx, last)
}

// attemptPlain sends the request to one endpoint and relays the response. sent reports
// whether the request may have reached the endpoint.
func (x *dispatch) attemptPlain(ctx context.Context, c *slugplacement.Choice) (sent bool, err error) {
	x.endpoints = append(x.endpoints, c.Name)
	done := x.cfg.Suspects.Begin(c.Name, x.fingerprint, false)
	e, err := x.cfg.Open(ctx, x.cfg.Codec.Run(x.call, x.target(c)))
	sent = e.Sent
	if sent {
		x.sends++
	}
	if err == nil {
		err = x.relayPlain(e)
	}
	done(err == nil)
	c.End(x.placementOutcome(ctx, err), time.Now())
	if err != nil {
		e.Drop()
		if sent && !errors.Is(err, errNotRun) {
			x.possibleRuns++
		}
		if x.reportBroken(ctx, c, sent, err) {
			x.countStart() // The request most likely began to run before the failure.
		}
		x.logAttemptFailure(c, "run", err)
	}
	return sent, err
}

// reportBroken tells the suspect tracker if the endpoint broke off an attempt, and returns
// whether it did. An attempt that was canceled on this side does not count: the request
// may still have been waiting in the endpoint's queue.
func (x *dispatch) reportBroken(ctx context.Context, c *slugplacement.Choice, sent bool, err error) bool {
	if !sent || ctx.Err() != nil || errors.Is(err, errNotRun) {
		return false
	}
	x.cfg.Suspects.Broke(c.Name, x.fingerprint, time.Now())
	return true
}

// placementOutcome classifies the result of an attempt for the placer.
func (x *dispatch) placementOutcome(ctx context.Context, err error) slugplacement.Outcome {
	switch {
	case err == nil:
		return slugplacement.Served
	case errors.Is(err, errWrongEndpoint):
		return slugplacement.Wrong
	case errors.Is(err, errNotRun):
		return slugplacement.Full
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline):
		return slugplacement.Abandoned
	}
	return slugplacement.Failed
}

// errWrongEndpoint marks a response of an endpoint other than the expected one.
var errWrongEndpoint = errors.New("a different endpoint responded at the address")

// checkResponse checks that a response is the requested one, and that the endpoint ran
// the request.
func (x *dispatch) checkResponse(e *slugsend.Exchange) error {
	h := x.cfg.Codec.Head(e.Answer)
	switch {
	case h.ID != "" && h.ID != x.call.ID:
		return errWrongRequest
	case h.Wrong:
		return errors.Mark(errWrongEndpoint, errNotRun)
	case h.NotRun:
		return errors.Wrapf(errNotRun, "status %d", h.Status)
	case h.ID == "" || !h.Signed:
		return errors.Wrapf(errUnsigned, "status %d", h.Status)
	}
	return nil
}

// relayPlain relays a response, buffered up to maxBufferedResponseBytes.
func (x *dispatch) relayPlain(e *slugsend.Exchange) error {
	if err := x.checkResponse(e); err != nil {
		return err
	}
	x.countStart()
	buffered, err := io.ReadAll(io.LimitReader(e.Answer.Body, maxBufferedResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if len(buffered) == maxBufferedResponseBytes {
		return x.relayUnbuffered(e, buffered)
	}
	_ = e.Answer.Body.Close()
	x.writeHeader(e.Answer, len(buffered))
	x.timeToFirst = time.Since(x.call.Received)
	_, err = x.w.Write(buffered)
	return errors.Wrap(err, "write response")
}

// relayUnbuffered relays a response that is too large to be buffered.
func (x *dispatch) relayUnbuffered(e *slugsend.Exchange, buffered []byte) error {
	x.writeHeader(e.Answer, -1)
	x.timeToFirst = time.Since(x.call.Received)
	_, err := io.Copy(x.w, io.MultiReader(bytes.NewReader(buffered), e.Answer.Body))
	return errors.Wrap(err, "relay response")
}

// writeHeader writes the status and headers of a response; a length of -1 means unknown.
func (x *dispatch) writeHeader(resp *http.Response, length int) {
	x.headerWritten = true
	x.cfg.Codec.Forward(x.w.Header(), resp.Header)
	if length >= 0 {
		x.w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	x.w.WriteHeader(resp.StatusCode)
}

// exclude keeps an endpoint from being tried again for this request.
func (x *dispatch) exclude(n slugname.Endpoint) { x.excluded = append(x.excluded, n) }

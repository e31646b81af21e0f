package slugplaincall

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugclaim"
	"github.com/sassafraslug/sassafraslug/internal/base/slugmemory"
	"github.com/sassafraslug/sassafraslug/internal/base/slugresponse"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpick"
	"github.com/sassafraslug/sassafraslug/internal/request/slugadmit"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
)

const (
	// maxAttempts bounds the number of attempts of one call.
	maxAttempts = 4
	// maxBufferedBytes bounds the part of a response that is read before the status is
	// written to the caller. If reading fails within it, the call can still be retried.
	maxBufferedBytes = 1 << 20
)

// errDoubtfulRefusal means that an endpoint refused a request, but perhaps another one.
var errDoubtfulRefusal = errors.New("refusal may belong to another request")

// send tries endpoints until one responds. A call that is not idempotent is retried only
// if it certainly did not run. The response is stored in answer, or relayed to the caller
// if answer is nil.
func (x *exchange) send(ctx context.Context, answer *slugclaim.Answer) *slugrefusal.Refusal {
	work := x.work()
	var last *slugrefusal.Refusal
	for n := 0; n < maxAttempts; n++ {
		assignment, refusal := x.cfg.Admitter.Wait(ctx, x.call, work)
		if refusal != nil {
			if last != nil && refusal.Code == slugrefusal.CodeNoEndpoint {
				refusal = last
			}
			return x.markRan(refusal)
		}
		outcome, retry, refusal := x.attempt(ctx, assignment, answer)
		assignment.Done(outcome)
		x.call.Started = x.mayHaveRun
		if !retry || ctx.Err() != nil {
			return refusal
		}
		last = refusal
		work.Avoid = append(work.Avoid, assignment.Endpoint)
	}
	return x.markRan(last)
}

// markRan sets the Ran field of a refusal to unknown if an earlier attempt may have run.
func (x *exchange) markRan(r *slugrefusal.Refusal) *slugrefusal.Refusal {
	if x.mayHaveRun {
		r.Ran = slugrefusal.RanUnknown
	}
	return r
}

// attempt sends the call to one endpoint. The boolean result reports whether another
// endpoint may be tried.
func (x *exchange) attempt(ctx context.Context, assignment slugadmit.Assignment, answer *slugclaim.Answer) (slugpick.Outcome, bool, *slugrefusal.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, slugadmit.Later(x.call.Deadline, time.Now().Add(time.Second)))
	defer cancel()
	e, err := x.cfg.Sender.Open(ctx, slugsend.Request{
		Method: x.r.Method, URL: x.url(assignment.Address), Header: x.header.Clone(), Body: x.call.Body, Repeatable: x.route.Idempotent,
		CheckTime: x.call.CheckTime, Purpose: "run", Cause: slugadmit.AttemptCause(x.mayHaveRun),
	})
	if err != nil {
		return x.sendFailed(e.Sent, err)
	}
	resp := e.Response
	defer func() { _ = resp.Body.Close() }()
	switch e.Refusal(string(x.call.ID)) {
	case slugsend.DoubtfulRefusal:
		e.Abort()
		return x.sendFailed(true, errDoubtfulRefusal)
	case slugsend.CertainRefusal:
		text := e.ErrorText()
		// A refusal that is written once more must not meet another request.
		e.Abort()
		refusal := slugrefusal.NotRun(slugrefusal.CodeEndpointRefused, "endpoint did not run the call: %s", text)
		return slugpick.OutcomeNotRun, true, x.markRan(refusal.WithRetryAfter(time.Second))
	}
	hold := e.Hold()
	defer hold.Release()
	if answer != nil {
		return x.storeAnswer(resp, hold, answer)
	}
	return x.relay(resp, hold)
}

// sendFailed handles an attempt without a complete response.
func (x *exchange) sendFailed(sent bool, err error) (slugpick.Outcome, bool, *slugrefusal.Refusal) {
	x.mayHaveRun = x.mayHaveRun || sent
	if errors.Is(err, slugsend.ErrCallerLeft) || errors.Is(err, slugsend.ErrTimeOver) {
		return slugpick.OutcomeCanceled, false, x.markRan(slugrefusal.NotRun(slugrefusal.CodeDeadline, "%s", err))
	}
	outcome := slugpick.OutcomeFailed
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		outcome = slugpick.OutcomeCanceled
	}
	refusal := x.markRan(slugrefusal.NotRun(slugrefusal.CodeEndpointFailed, "%s", err))
	return outcome, !sent || x.route.Idempotent, refusal
}

// readBeginning reads up to maxBufferedBytes of a response, or less if the memory for that is
// exhausted. whole reports that there is no more.
func readBeginning(resp *http.Response, hold *slugmemory.Hold) (beginning []byte, whole bool, err error) {
	b, err := hold.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	if errors.Is(err, slugmemory.ErrExhausted) {
		return b, false, nil
	}
	return b, len(b) < maxBufferedBytes, err
}

// storeAnswer reads a response that is to be stored with its claim. A response that is too
// large for that is relayed at once.
func (x *exchange) storeAnswer(resp *http.Response, hold *slugmemory.Hold, a *slugclaim.Answer) (slugpick.Outcome, bool, *slugrefusal.Refusal) {
	b, whole, err := readBeginning(resp, hold)
	if err != nil {
		return x.sendFailed(true, err)
	}
	if !whole {
		*a = slugclaim.Answer{Status: resp.StatusCode, Dropped: true}
		return x.relayBuffered(resp, b)
	}
	*a = slugclaim.Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: b}
	return slugpick.OutcomeComplete, false, nil
}

// relay relays a response to the caller, once it is complete or exceeds the buffer.
// Event streams are not buffered.
func (x *exchange) relay(resp *http.Response, hold *slugmemory.Hold) (slugpick.Outcome, bool, *slugrefusal.Refusal) {
	if isEventStream(resp) {
		return x.relayBuffered(resp, nil)
	}
	buffered, _, err := readBeginning(resp, hold)
	if err != nil {
		return x.sendFailed(true, err)
	}
	return x.relayBuffered(resp, buffered)
}

// isEventStream reports whether the response is a stream of server-sent events.
func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// relayBuffered writes the status and the buffered part of a response to the caller, then
// copies the rest.
func (x *exchange) relayBuffered(resp *http.Response, buffered []byte) (slugpick.Outcome, bool, *slugrefusal.Refusal) {
	x.statusWritten = true
	h := x.w.Header()
	for n, values := range slugadmit.ForwardHeader(resp.Header, "") {
		h[n] = values
	}
	h.Del(slugsend.LeavingHeader)
	h.Set("X-Request-Id", string(x.call.ID))
	x.w.WriteHeader(resp.StatusCode)
	if _, err := x.w.Write(buffered); err != nil {
		return slugpick.OutcomeCanceled, false, slugrefusal.MayHaveRun(slugrefusal.CodeStreamInterrupted, "the caller disconnected")
	}
	if err := copyFlushing(x.w, resp.Body); err != nil {
		x.mayHaveRun = true
		if errors.Is(err, errCallerDisconnected) {
			return slugpick.OutcomeCanceled, false, slugrefusal.MayHaveRun(slugrefusal.CodeStreamInterrupted, "the caller disconnected")
		}
		return slugpick.OutcomeFailed, false, slugrefusal.MayHaveRun(slugrefusal.CodeEndpointFailed, "%s", err)
	}
	return slugpick.OutcomeComplete, false, nil
}

// copyBufferBytes is the size of the buffer for copying a response to the caller.
const copyBufferBytes = 32 << 10

// errCallerDisconnected marks errors of writing to the caller, which say nothing about the
// endpoint.
var errCallerDisconnected = errors.New("caller disconnected")

// copyFlushing copies a response to the caller and flushes each part.
func copyFlushing(w http.ResponseWriter, r io.Reader) error {
	b := make([]byte, copyBufferBytes)
	ctrl := http.NewResponseController(w)
	for {
		n, err := r.Read(b)
		if n > 0 {
			if _, err := w.Write(b[:n]); err != nil {
				return errors.Mark(err, errCallerDisconnected)
			}
			if err := ctrl.Flush(); err != nil {
				return errors.Mark(err, errCallerDisconnected)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// claimRefusal returns the refusal of a call whose idempotency key could not be claimed.
// Nothing was sent.
func claimRefusal(err error) *slugrefusal.Refusal {
	if errors.Is(err, slugclaim.ErrMismatch) {
		return slugrefusal.NotRun(slugrefusal.CodeClaimMismatch, "the %s was already used for a different call", IdempotencyHeader)
	}
	return slugrefusal.NotRun(slugrefusal.CodeClaimUnavailable, "the idempotency key could not be claimed: %s", err).WithRetryAfter(time.Second)
}

// replay responds to a repeated call with the outcome of the first call that had the same
// idempotency key. Earlier builds stored statuses of no response.
func (x *exchange) replay(c slugclaim.Claim) *slugrefusal.Refusal {
	switch {
	case c.State == slugclaim.StateDone && c.Answer != nil && !c.Answer.Dropped && slugresponse.IsFinal(c.Answer.Status):
		x.w.Header().Set("Sassafraslug-Repeated", "true")
		x.writeAnswer(*c.Answer)
		return nil
	case c.State == slugclaim.StateDone:
		return slugrefusal.MayHaveRun(slugrefusal.CodeOutcomeUnknown, "the call ran, but its response was not stored")
	case c.State == slugclaim.StateRunning:
		return slugrefusal.MayHaveRun(slugrefusal.CodeOutcomeUnknown, "the first call with this idempotency key is still in progress").WithRetryAfter(time.Second)
	default:
		return slugrefusal.MayHaveRun(slugrefusal.CodeOutcomeUnknown, "the call was sent, but its outcome is unknown")
	}
}

// writeAnswer writes a stored response to the caller.
func (x *exchange) writeAnswer(a slugclaim.Answer) {
	x.statusWritten = true
	if a.ContentType != "" {
		x.w.Header().Set("Content-Type", a.ContentType)
	}
	x.w.WriteHeader(a.Status)
	_, _ = x.w.Write(a.Body)
}

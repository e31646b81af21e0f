package slugplaincall

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugclaim"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpick"
	"github.com/sassafraslug/sassafraslug/internal/request/slugadmit"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
)

const (
	// maxAttempts bounds the endpoints that one call is sent to.
	maxAttempts = 4
	// maxHeldBytes bounds the part of an answer that is read before the caller is
	// sent its status. An answer of this size can be had again after a failure.
	maxHeldBytes = 1 << 20
	// maxErrorBytes bounds an endpoint's error text.
	maxErrorBytes = 1 << 10
)

// send sends the call until an endpoint has answered it. A call that must not be
// repeated is sent again only when it certainly did not run. The answer goes into
// keep, or to the caller when keep is nil.
func (x *exchange) send(ctx context.Context, keep *slugclaim.Answer) *slugrefusal.Refusal {
	work := x.work()
	var last *slugrefusal.Refusal
	for n := 0; n < maxAttempts; n++ {
		pass, refusal := x.cfg.Admitter.Wait(ctx, x.call, work)
		if refusal != nil {
			if last != nil && refusal.Code == slugrefusal.CodeNoEndpoint {
				refusal = last
			}
			return x.truthful(refusal)
		}
		outcome, again, refusal := x.attempt(ctx, pass, keep)
		pass.Done(outcome)
		x.call.Started = x.sent
		if !again || ctx.Err() != nil {
			return refusal
		}
		last = refusal
		work.Avoid = append(work.Avoid, pass.Endpoint)
	}
	return x.truthful(last)
}

// truthful corrects what a refusal says of earlier attempts.
func (x *exchange) truthful(r *slugrefusal.Refusal) *slugrefusal.Refusal {
	if x.sent {
		r.Ran = slugrefusal.RanUnknown
	}
	return r
}

// attempt sends the call to one endpoint.
func (x *exchange) attempt(ctx context.Context, pass slugadmit.Assignment, keep *slugclaim.Answer) (slugpick.Outcome, bool, *slugrefusal.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, slugadmit.Later(x.call.Deadline, time.Now().Add(time.Second)))
	defer cancel()
	resp, sent, err := x.cfg.Sender.Send(ctx, slugsend.Request{
		Method: x.r.Method, URL: x.url(pass.Address), Header: x.header.Clone(), Body: x.call.Body, Repeatable: x.route.Idempotent,
	})
	if err != nil {
		return x.failed(sent, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(slugsend.NotRunHeader) != "" {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		refusal := slugrefusal.NotRun(slugrefusal.CodeEndpointRefused, "endpoint did not run the call: %s", strings.TrimSpace(string(text)))
		return slugpick.OutcomeNotRun, true, x.truthful(refusal.After(time.Second))
	}
	if keep != nil {
		return x.keep(resp, keep)
	}
	return x.relay(resp)
}

// failed handles a call without an answer.
func (x *exchange) failed(sent bool, err error) (slugpick.Outcome, bool, *slugrefusal.Refusal) {
	x.sent = x.sent || sent
	outcome := slugpick.OutcomeFailed
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		outcome = slugpick.OutcomeCanceled
	}
	refusal := x.truthful(slugrefusal.NotRun(slugrefusal.CodeEndpointFailed, "%s", err))
	return outcome, !sent || x.route.Idempotent, refusal
}

// keep reads an answer that is to be kept with its claim.
func (x *exchange) keep(resp *http.Response, a *slugclaim.Answer) (slugpick.Outcome, bool, *slugrefusal.Refusal) {
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return x.failed(true, err)
	}
	*a = slugclaim.Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: b}
	return slugpick.OutcomeWhole, false, nil
}

// relay sends an answer to the caller, once it is whole or too large to hold.
func (x *exchange) relay(resp *http.Response) (slugpick.Outcome, bool, *slugrefusal.Refusal) {
	if streams(resp) {
		return x.stream(resp, nil)
	}
	held, err := io.ReadAll(io.LimitReader(resp.Body, maxHeldBytes))
	if err != nil {
		return x.failed(true, err)
	}
	return x.stream(resp, held)
}

// streams reports whether the answer comes in parts that the caller waits for.
func streams(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// stream sends the status, the part read so far and the rest.
func (x *exchange) stream(resp *http.Response, held []byte) (slugpick.Outcome, bool, *slugrefusal.Refusal) {
	x.begun = true
	h := x.w.Header()
	for n, values := range slugadmit.ForwardHeader(resp.Header, "") {
		h[n] = values
	}
	h.Set("X-Request-Id", string(x.call.ID))
	x.w.WriteHeader(resp.StatusCode)
	if _, err := x.w.Write(held); err != nil {
		return slugpick.OutcomeCanceled, false, slugrefusal.Unknown(slugrefusal.CodeStreamInterrupted, "the caller went away")
	}
	if err := copyFlushing(x.w, resp.Body); err != nil {
		x.sent = true
		return slugpick.OutcomeFailed, false, slugrefusal.Unknown(slugrefusal.CodeEndpointFailed, "%s", err)
	}
	return slugpick.OutcomeWhole, false, nil
}

// copyBytes is the size of the buffer between endpoint and caller.
const copyBytes = 32 << 10

func copyFlushing(w http.ResponseWriter, r io.Reader) error {
	b := make([]byte, copyBytes)
	ctrl := http.NewResponseController(w)
	for {
		n, err := r.Read(b)
		if n > 0 {
			if _, err := w.Write(b[:n]); err != nil {
				return err
			}
			if err := ctrl.Flush(); err != nil {
				return err
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

// claimRefusal tells why a key could not be claimed. Nothing was sent.
func claimRefusal(err error) *slugrefusal.Refusal {
	if errors.Is(err, slugclaim.ErrMismatch) {
		return slugrefusal.NotRun(slugrefusal.CodeClaimMismatch, "the %s was used for another call", IdempotencyHeader)
	}
	return slugrefusal.NotRun(slugrefusal.CodeClaimUnavailable, "the call could not be claimed: %s", err).After(time.Second)
}

// repeat answers a later use of a key with the outcome of its first use.
func (x *exchange) repeat(c slugclaim.Claim) *slugrefusal.Refusal {
	switch {
	case c.State == slugclaim.StateDone && c.Answer != nil && !c.Answer.Dropped:
		x.w.Header().Set("Sassafraslug-Repeated", "true")
		x.write(*c.Answer)
		return nil
	case c.State == slugclaim.StateDone:
		return slugrefusal.Unknown(slugrefusal.CodeOutcomeUnknown, "the call ran; its answer was too large to be kept")
	case c.State == slugclaim.StateRunning:
		return slugrefusal.Unknown(slugrefusal.CodeOutcomeUnknown, "the first use of the key is still running").After(time.Second)
	default:
		return slugrefusal.Unknown(slugrefusal.CodeOutcomeUnknown, "the call was sent and its outcome is not known")
	}
}

// write sends a kept answer to the caller.
func (x *exchange) write(a slugclaim.Answer) {
	x.begun = true
	if a.ContentType != "" {
		x.w.Header().Set("Content-Type", a.ContentType)
	}
	x.w.WriteHeader(a.Status)
	_, _ = x.w.Write(a.Body)
}

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

// Errors of attempts.
var (
	errNoEndpoint = errors.New("no endpoint takes the request")
	errNotRun     = errors.New("endpoint did not run the request")
	errCrossed    = errors.New("answer belongs to another request")
	errUnsigned   = errors.New("answer is not signed by its endpoint")
	errBudget     = errors.New("budget for sending again is used up")
)

// maxHeldAnswer is the greatest answer that is read whole before the first byte goes to
// the caller, so that a broken one can be had again.
const maxHeldAnswer = 256 << 10

// plain serves a request of a plain service.
func (x *run) plain(ctx context.Context) error {
	var last error
	for x.ran < x.route.Attempts {
		if refusal := x.entitled(); refusal != nil && x.ran == 0 {
			return refusal
		}
		c, ok := x.placer.Plain(x.tried, time.Now())
		if !ok {
			return x.failure(ctx, errors.CombineErrors(last, errNoEndpoint))
		}
		arrived, err := x.plainAt(ctx, c)
		if err == nil {
			return nil
		}
		last = err
		x.exclude(c.Name)
		switch {
		case x.begun, ctx.Err() != nil:
			return x.failure(ctx, err)
		case x.ran > 0 && !x.route.Idempotent():
			return x.failure(ctx, err)
		case arrived && x.ran < x.route.Attempts && !x.again(time.Now()):
			return x.failure(ctx, errors.CombineErrors(err, errBudget))
		}
	}
	return x.failure(ctx, last)
}

// plainAt sends the request to one endpoint and relays its answer. arrived tells
// whether the request may have reached the endpoint.
func (x *run) plainAt(ctx context.Context, c *slugplacement.Choice) (arrived bool, err error) {
	x.where = append(x.where, c.Name)
	done := x.cfg.Suspects.Begin(c.Name, x.print, false)
	e, err := x.cfg.Open(ctx, x.cfg.Codec.Run(x.call, x.target(c)))
	arrived = e.Sent
	if arrived {
		x.arrivals++
	}
	if err == nil {
		err = x.plainAnswer(e)
	}
	done(err == nil)
	c.End(x.judge(ctx, err), time.Now())
	if err != nil {
		e.Drop()
		if arrived && !errors.Is(err, errNotRun) {
			x.ran++
		}
		if x.broken(ctx, c, arrived, err) {
			x.count() // Most of these began to run.
		}
		x.failedAt(c, "run", err)
	}
	return arrived, err
}

// broken notes an attempt that its endpoint broke off, and reports whether it did. One
// that was given up while the endpoint was silent may still have waited there.
func (x *run) broken(ctx context.Context, c *slugplacement.Choice, sent bool, err error) bool {
	if !sent || ctx.Err() != nil || errors.Is(err, errNotRun) {
		return false
	}
	x.cfg.Suspects.Broke(c.Name, x.print, time.Now())
	return true
}

// judge returns what an error says of the endpoint.
func (x *run) judge(ctx context.Context, err error) slugplacement.Outcome {
	switch {
	case err == nil:
		return slugplacement.Served
	case errors.Is(err, errWrong):
		return slugplacement.Wrong
	case errors.Is(err, errNotRun):
		return slugplacement.Full
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline):
		return slugplacement.Abandoned
	}
	return slugplacement.Failed
}

// errWrong marks the answer of another endpoint than the expected one.
var errWrong = errors.New("another endpoint answers at the address")

// accept checks the head of an answer.
func (x *run) accept(e *slugsend.Exchange) error {
	h := x.cfg.Codec.Head(e.Answer)
	switch {
	case h.ID != "" && h.ID != x.call.ID:
		return errCrossed
	case h.Wrong:
		return errors.Mark(errWrong, errNotRun)
	case h.NotRun:
		return errors.Wrapf(errNotRun, "status %d", h.Status)
	case h.ID == "" || !h.Signed:
		return errors.Wrapf(errUnsigned, "status %d", h.Status)
	}
	return nil
}

// plainAnswer relays the answer of a plain service.
func (x *run) plainAnswer(e *slugsend.Exchange) error {
	if err := x.accept(e); err != nil {
		return err
	}
	x.count()
	held, err := io.ReadAll(io.LimitReader(e.Answer.Body, maxHeldAnswer))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if len(held) == maxHeldAnswer {
		return x.longAnswer(e, held)
	}
	_ = e.Answer.Body.Close()
	x.head(e.Answer, len(held))
	x.first = time.Since(x.call.Received)
	_, err = x.w.Write(held)
	return errors.Wrap(err, "write answer")
}

// longAnswer relays an answer that is too long to be held.
func (x *run) longAnswer(e *slugsend.Exchange, held []byte) error {
	x.head(e.Answer, -1)
	x.first = time.Since(x.call.Received)
	_, err := io.Copy(x.w, io.MultiReader(bytes.NewReader(held), e.Answer.Body))
	return errors.Wrap(err, "relay answer")
}

// head writes the head of an answer; a length of -1 is not known.
func (x *run) head(answer *http.Response, length int) {
	x.begun = true
	x.cfg.Codec.Forward(x.w.Header(), answer.Header)
	if length >= 0 {
		x.w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	x.w.WriteHeader(answer.StatusCode)
}

// exclude keeps an endpoint from being asked again.
func (x *run) exclude(n slugname.Endpoint) { x.tried = append(x.tried, n) }

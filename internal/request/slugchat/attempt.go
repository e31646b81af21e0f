package slugchat

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugstream"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpick"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugquarantine"
	"github.com/sassafraslug/sassafraslug/internal/request/slugadmit"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

const (
	// maxReconnects bounds the consecutive reconnects to one endpoint without an event.
	maxReconnects = 3
	// reconnectTimeout bounds the time until an endpoint confirms that it still has the
	// request.
	reconnectTimeout = 3 * time.Second
	// cancelTimeout bounds the call that cancels a request at an endpoint.
	cancelTimeout = 2 * time.Second
)

// errCallerDisconnected means that the caller disconnected or does not read.
var errCallerDisconnected = errors.New("caller disconnected")

// runAttempt sends the request to one endpoint and relays the response. retry reports
// whether another endpoint should be tried.
func (x *exchange) runAttempt(ctx context.Context, assignment slugadmit.Assignment) (retry bool, refusal *slugrefusal.Refusal) {
	finished := x.cfg.Suspects.Begin(assignment.Endpoint, x.fingerprint, x.work.Suspect)
	a := &attempt{exchange: x, assignment: assignment, began: time.Now()}
	outcome, retry, refusal := a.run(ctx)
	finished(outcome == slugpick.OutcomeComplete)
	if outcome == slugpick.OutcomeComplete {
		a.trackedRun().Served(time.Now())
	}
	a.assignment.Done(outcome)
	if retry {
		x.work.Avoid = append(x.work.Avoid, assignment.Endpoint)
	}
	x.call.Started = x.mayHaveRun
	return retry, refusal
}

// attempt is the state of the request at one endpoint, over all connections to it.
type attempt struct {
	*exchange
	assignment slugadmit.Assignment
	// began is when the attempt was assigned to the endpoint.
	began time.Time
	// lastSequence is the sequence number of the last event from this endpoint.
	lastSequence int
	reconnects   int
	// failedAt is the time at which the last connection failed.
	failedAt time.Time
	// watch cancels the current connection when it goes silent.
	watch *watchdog
}

func (a *attempt) run(ctx context.Context) (slugpick.Outcome, bool, *slugrefusal.Refusal) {
	tokensBefore := a.writer.Tokens()
	streamCtx, cancel := context.WithCancel(ctx)
	a.watch = newWatchdog(a.cfg.ProgressTimeout, cancel)
	e, err := a.send(streamCtx)
	if err != nil {
		a.watch.stop()
		if errors.Is(err, slugsend.ErrCallerLeft) || errors.Is(err, slugsend.ErrTimeOver) {
			return slugpick.OutcomeCanceled, false, a.markRan(slugrefusal.NotRun(slugrefusal.CodeDeadline, "%s", err), nil)
		}
		if !e.Sent {
			return slugpick.OutcomeFailed, true, slugrefusal.NotRun(slugrefusal.CodeEndpointFailed, "%s", err)
		}
	}
	resp := e.Response
	if resp != nil && resp.StatusCode != http.StatusOK {
		defer a.watch.stop()
		// An error that is written once more must not meet another request.
		defer e.Abort()
		return a.errorResponse(e)
	}
	a.mayHaveRun = true
	if tokensBefore > 0 {
		a.cfg.Log.Emit(slugevent.StreamContinued, a.fields(nil))
	}
	return a.relayUntilDone(ctx, resp, err)
}

func (a *attempt) fields(err error) slugevent.Fields {
	f := slugevent.Fields{"request": a.call.ID, "endpoint": a.assignment.Endpoint, "peer": a.assignment.Address, "tokens": a.writer.Tokens()}
	if err != nil {
		f["cause"] = err.Error()
	}
	return f
}

// relayUntilDone relays the response. If a connection fails, it reconnects and continues
// as long as the endpoint still has the request.
func (a *attempt) relayUntilDone(ctx context.Context, resp *http.Response, err error) (slugpick.Outcome, bool, *slugrefusal.Refusal) {
	for {
		if resp != nil {
			err = a.relay(resp)
			a.watch.stop()
		}
		switch {
		case err == nil:
			return slugpick.OutcomeComplete, false, nil
		case ctx.Err() != nil || errors.Is(err, errCallerDisconnected):
			a.cancel()
			return slugpick.OutcomeCanceled, false, slugrefusal.MayHaveRun(slugrefusal.CodeStreamInterrupted, "the caller disconnected")
		}
		a.failedAt = time.Now()
		var gone bool
		if resp, gone = a.reconnect(ctx, err); gone {
			return a.requestLost(ctx, err)
		}
	}
}

// send sends the request to the endpoint, with a continuation if part of the response
// was already relayed.
func (a *attempt) send(ctx context.Context) (*slugsend.Exchange, error) {
	body, err := a.body()
	if err != nil {
		return &slugsend.Exchange{}, err
	}
	return a.cfg.Sender.Open(ctx, slugsend.Request{
		Method: http.MethodPost, URL: "http://" + a.assignment.Address + a.path, Header: a.header(), Body: body, Repeatable: true, CheckTime: a.call.CheckTime,
		Purpose: "run", Cause: slugadmit.AttemptCause(a.mayHaveRun),
	})
}

// priorities maps classes to priorities of the engine; lower numbers run first.
var priorities = map[slugmanifest.Class]string{
	slugmanifest.ClassInteractive: "0", slugmanifest.ClassStandard: "1", slugmanifest.ClassBatch: "2",
}

func (a *attempt) header() http.Header {
	return http.Header{
		"Content-Type": {"application/json"},
		"X-Request-Id": {string(a.call.ID)},
		"Priority":     {priorities[a.call.Class]},
		"Cache-Salt":   {string(a.call.Workspace)},
	}
}

// continuation holds the text generated so far, from which the engine continues.
type continuation struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// body returns the request body for the engine. It always asks for a stream.
func (a *attempt) body() ([]byte, error) {
	tokens := a.writer.Tokens()
	if a.request.Stream && tokens == 0 {
		return a.call.Body, nil
	}
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(a.call.Body, &fields); err != nil {
		return nil, slugfault.Wrap(err, "decode body", "")
	}
	fields["stream"] = json.RawMessage("true")
	if tokens > 0 {
		text, err := a.writer.Text()
		if err != nil {
			return nil, err
		}
		c, err := json.Marshal(continuation{text, tokens})
		if err != nil {
			return nil, slugfault.Wrap(err, "encode continuation", "")
		}
		fields["continuation"] = c
	}
	b, err := json.Marshal(fields)
	return b, slugfault.Wrap(err, "encode body", "")
}

// errorResponse handles a response with a status other than 200.
func (a *attempt) errorResponse(e *slugsend.Exchange) (slugpick.Outcome, bool, *slugrefusal.Refusal) {
	resp := e.Response
	text := e.ErrorText()
	_ = resp.Body.Close()
	switch e.Refusal(string(a.call.ID)) {
	case slugsend.DoubtfulRefusal:
		a.mayHaveRun = true
		return slugpick.OutcomeFailed, true, slugrefusal.MayHaveRun(slugrefusal.CodeEndpointFailed, "refusal of the endpoint may belong to another request")
	case slugsend.NoRefusal:
		a.mayHaveRun = true
		return slugpick.OutcomeFailed, false, slugrefusal.MayHaveRun(slugrefusal.CodeEndpointFailed, "endpoint responded with status %d: %s", resp.StatusCode, text)
	}
	if resp.StatusCode < http.StatusInternalServerError {
		return slugpick.OutcomeNotRun, false, a.markRan(slugrefusal.NotRun(slugrefusal.CodeRequestMalformed, "endpoint rejected the request: %s", text), nil)
	}
	return slugpick.OutcomeNotRun, true, slugrefusal.NotRun(slugrefusal.CodeEndpointRefused, "endpoint did not run the request: %s", text).WithRetryAfter(time.Second)
}

// relay writes the events of one connection to the caller. It returns nil after the
// final event.
func (a *attempt) relay(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	hold := a.cfg.Sender.Hold()
	defer hold.Release()
	s := slugstream.New(resp.Body, string(a.call.ID), a.lastSequence, hold)
	defer func() { a.lastSequence = s.Last() }()
	for {
		e, err := s.Next()
		if err != nil {
			if errors.Is(err, slugstream.ErrWrongRequest) || errors.Is(err, slugstream.ErrGap) {
				a.cfg.Log.Emit(slugevent.EventRejected, a.fields(err))
			}
			return err
		}
		a.reconnects = 0
		a.watch.progress()
		if e.Done {
			return errors.Mark(a.writer.Finish(), errCallerDisconnected)
		}
		if a.meter.event(a.exchange, time.Now()) {
			a.assignment.FirstToken()
		}
		if err := a.writer.Event(e.Data, !s.Buffered()); err != nil {
			return errors.Mark(err, errCallerDisconnected)
		}
	}
}

// reconnect opens a new connection to the endpoint and resumes the stream after the last
// event. gone reports that the endpoint no longer has the request, does not respond in
// time, or has reached maxReconnects.
func (a *attempt) reconnect(ctx context.Context, cause error) (resp *http.Response, gone bool) {
	if a.watch.fired() {
		a.cfg.Log.Emit(slugevent.ConnectionSilent, a.fields(cause))
	}
	if a.reconnects++; a.reconnects > maxReconnects {
		a.cancel()
		return nil, true
	}
	resumeCtx, cancel := context.WithCancel(ctx)
	timeout := time.AfterFunc(reconnectTimeout, cancel)
	url := "http://" + a.assignment.Address + "/engine/streams/" + string(a.call.ID) + "?after=" + strconv.Itoa(a.lastSequence)
	resp, _, err := a.cfg.Sender.Send(resumeCtx, slugsend.Request{Method: http.MethodGet, URL: url})
	if !timeout.Stop() || err != nil {
		cancel()
		return nil, true
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		cancel()
		return nil, true
	}
	a.watch = newWatchdog(a.cfg.ProgressTimeout, cancel)
	a.cfg.Log.Emit(slugevent.StreamResumed, a.fields(cause))
	return resp, false
}

// requestLost handles the loss of the request at the endpoint. Unless the attempt ran out
// of reconnects, the endpoint counts as crashed and the request becomes a suspect.
func (a *attempt) requestLost(ctx context.Context, cause error) (slugpick.Outcome, bool, *slugrefusal.Refusal) {
	if ctx.Err() != nil {
		a.cancel()
		return slugpick.OutcomeCanceled, false, slugrefusal.MayHaveRun(slugrefusal.CodeStreamInterrupted, "the caller disconnected")
	}
	if a.reconnects <= maxReconnects {
		a.cfg.Log.Emit(slugevent.EndpointCrashed, a.fields(cause))
		a.cfg.Suspects.Crashed(a.assignment.Endpoint, a.failedAt)
		a.reportCrash()
		a.suspected = true
	}
	a.cfg.Log.Emit(slugevent.StreamLost, a.fields(cause))
	return slugpick.OutcomeFailed, true, slugrefusal.MayHaveRun(slugrefusal.CodeEndpointFailed, "the endpoint no longer has the request: %s", cause)
}

// trackedRun returns the run of the request at the endpoint. The endpoints of this interface
// state no incarnation, so a start is identified by the second of its crash.
func (a *attempt) trackedRun() *slugquarantine.Run {
	return a.tracker().Begin(a.start(), a.subject, a.began)
}

// start identifies the start of the endpoint that failed last.
func (a *attempt) start() slugquarantine.Start {
	return slugquarantine.Start{Endpoint: a.assignment.Endpoint, Incarnation: a.failedAt.Unix()}
}

// reportCrash records that the endpoint has crashed under the request.
func (a *attempt) reportCrash() {
	a.trackedRun().Interrupted(a.failedAt)
	a.tracker().Crashed(a.start(), a.failedAt)
}

// cancel cancels the request at the endpoint, in the background.
func (a *attempt) cancel() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		url := "http://" + a.assignment.Address + "/engine/streams/" + string(a.call.ID)
		resp, _, err := a.cfg.Sender.Send(ctx, slugsend.Request{Method: http.MethodDelete, URL: url})
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
}

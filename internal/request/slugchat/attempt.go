package slugchat

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugstream"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpick"
	"github.com/sassafraslug/sassafraslug/internal/request/slugadmit"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

const (
	// maxResumes bounds the new connections to one endpoint without progress.
	maxResumes = 3
	// probeTimeout bounds the answer of an endpoint that is asked whether it still
	// has a request.
	probeTimeout = 3 * time.Second
	// cancelTimeout bounds the message that cancels a request.
	cancelTimeout = 2 * time.Second
	// maxErrorBytes bounds an endpoint's error text.
	maxErrorBytes = 1 << 10
)

// errCaller says that the caller went away or does not read.
var errCaller = errors.New("caller went away")

// attempt sends the request to one endpoint and relays its answer. again tells
// that another endpoint should be tried.
func (x *exchange) attempt(ctx context.Context, pass slugadmit.Assignment) (again bool, refusal *slugrefusal.Refusal) {
	finished := x.cfg.Suspects.Begin(pass.Endpoint, x.fingerprint, x.work.Suspect)
	a := &attempt{exchange: x, pass: pass}
	outcome, again, refusal := a.run(ctx)
	finished(outcome == slugpick.OutcomeWhole)
	a.pass.Done(outcome)
	if again {
		x.work.Avoid = append(x.work.Avoid, pass.Endpoint)
	}
	x.call.Started = x.sent
	return again, refusal
}

// attempt is the request at one endpoint.
type attempt struct {
	*exchange
	pass slugadmit.Assignment
	// last is the sequence number of the last event from this endpoint.
	last    int
	resumes int
	// failed is when the last connection failed.
	failed time.Time
	// watch cancels the present connection when it goes silent.
	watch *watchdog
}

func (a *attempt) run(ctx context.Context) (slugpick.Outcome, bool, *slugrefusal.Refusal) {
	before := a.writer.Tokens()
	streamCtx, cancel := context.WithCancel(ctx)
	a.watch = newWatchdog(a.cfg.Progress, cancel)
	resp, sent, err := a.send(streamCtx)
	if err != nil {
		a.watch.stop()
		if !sent {
			return slugpick.OutcomeFailed, true, slugrefusal.NotRun(slugrefusal.CodeEndpointFailed, "%s", err)
		}
		resp = nil
	}
	if resp != nil && resp.StatusCode != http.StatusOK {
		defer a.watch.stop()
		return a.refused(resp)
	}
	a.sent = true
	if before > 0 {
		a.cfg.Log.Emit(slugevent.StreamContinued, a.fields(nil))
	}
	return a.follow(ctx, resp, err)
}

func (a *attempt) fields(err error) slugevent.Fields {
	f := slugevent.Fields{"request": a.call.ID, "endpoint": a.pass.Endpoint, "peer": a.pass.Address, "tokens": a.writer.Tokens()}
	if err != nil {
		f["cause"] = err.Error()
	}
	return f
}

// follow relays the answer and, when a connection fails, goes on over a new one
// as long as the endpoint has the request.
func (a *attempt) follow(ctx context.Context, resp *http.Response, err error) (slugpick.Outcome, bool, *slugrefusal.Refusal) {
	for {
		if resp != nil {
			err = a.relay(resp)
			a.watch.stop()
		}
		switch {
		case err == nil:
			return slugpick.OutcomeWhole, false, nil
		case ctx.Err() != nil || errors.Is(err, errCaller):
			a.cancel()
			return slugpick.OutcomeCanceled, false, slugrefusal.Unknown(slugrefusal.CodeStreamInterrupted, "the caller went away")
		}
		a.failed = time.Now()
		var gone bool
		if resp, gone = a.resume(ctx, err); gone {
			return a.lost(ctx, err)
		}
	}
}

// send sends the request, or its continuation, to the endpoint.
func (a *attempt) send(ctx context.Context) (*http.Response, bool, error) {
	body, err := a.body()
	if err != nil {
		return nil, false, err
	}
	return a.cfg.Sender.Send(ctx, slugsend.Request{
		Method: http.MethodPost, URL: "http://" + a.pass.Address + a.path, Header: a.header(), Body: body, Repeatable: true,
	})
}

// priorities of the classes at the engine; a lower number goes first.
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

// continuation asks an engine to go on with an answer.
type continuation struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// body returns the request's body for the engine, which always streams.
func (a *attempt) body() ([]byte, error) {
	tokens := a.writer.Tokens()
	if a.document.Stream && tokens == 0 {
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

// refused handles an answer other than 200.
func (a *attempt) refused(resp *http.Response) (slugpick.Outcome, bool, *slugrefusal.Refusal) {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	_ = resp.Body.Close()
	if resp.Header.Get(slugsend.NotRunHeader) == "" {
		a.sent = true
		return slugpick.OutcomeFailed, false, slugrefusal.Unknown(slugrefusal.CodeEndpointFailed, "endpoint answered %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	}
	if resp.StatusCode < http.StatusInternalServerError {
		return slugpick.OutcomeNotRun, false, a.truthful(slugrefusal.NotRun(slugrefusal.CodeRequestMalformed, "endpoint refused the request: %s", bytes.TrimSpace(text)), nil)
	}
	return slugpick.OutcomeNotRun, true, slugrefusal.NotRun(slugrefusal.CodeEndpointRefused, "endpoint did not run the request: %s", bytes.TrimSpace(text)).After(time.Second)
}

// relay writes the events of one connection to the caller. It returns nil at the
// terminal event.
func (a *attempt) relay(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	s := slugstream.New(resp.Body, string(a.call.ID), a.last)
	defer func() { a.last = s.Last() }()
	for {
		e, err := s.Next()
		if err != nil {
			if errors.Is(err, slugstream.ErrCrossed) || errors.Is(err, slugstream.ErrGap) {
				a.cfg.Log.Emit(slugevent.EventCrossed, a.fields(err))
			}
			return err
		}
		a.resumes = 0
		a.watch.progress()
		if e.Done {
			return errors.Mark(a.writer.Finish(), errCaller)
		}
		if a.meter.event(a.exchange, time.Now()) {
			a.pass.FirstToken()
		}
		if err := a.writer.Event(e.Data, !s.Buffered()); err != nil {
			return errors.Mark(err, errCaller)
		}
	}
}

// resume asks the endpoint over a new connection whether it still has the request
// and goes on after the last event. gone tells that it has not.
func (a *attempt) resume(ctx context.Context, cause error) (resp *http.Response, gone bool) {
	if a.watch.fired() {
		a.cfg.Log.Emit(slugevent.ConnectionSilent, a.fields(cause))
	}
	if a.resumes++; a.resumes > maxResumes {
		a.cancel()
		return nil, true
	}
	resumeCtx, cancel := context.WithCancel(ctx)
	answered := time.AfterFunc(probeTimeout, cancel)
	url := "http://" + a.pass.Address + "/engine/streams/" + string(a.call.ID) + "?after=" + strconv.Itoa(a.last)
	resp, _, err := a.cfg.Sender.Send(resumeCtx, slugsend.Request{Method: http.MethodGet, URL: url})
	if !answered.Stop() || err != nil {
		cancel()
		return nil, true
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		cancel()
		return nil, true
	}
	a.watch = newWatchdog(a.cfg.Progress, cancel)
	a.cfg.Log.Emit(slugevent.StreamResumed, a.fields(cause))
	return resp, false
}

// lost handles an endpoint that no longer has the request.
func (a *attempt) lost(ctx context.Context, cause error) (slugpick.Outcome, bool, *slugrefusal.Refusal) {
	if ctx.Err() != nil {
		a.cancel()
		return slugpick.OutcomeCanceled, false, slugrefusal.Unknown(slugrefusal.CodeStreamInterrupted, "the caller went away")
	}
	if a.resumes <= maxResumes {
		a.cfg.Log.Emit(slugevent.EndpointCrashed, a.fields(cause))
		a.cfg.Suspects.Crashed(a.pass.Endpoint, a.failed)
		a.suspect = true
	}
	a.cfg.Log.Emit(slugevent.StreamLost, a.fields(cause))
	return slugpick.OutcomeFailed, true, slugrefusal.Unknown(slugrefusal.CodeEndpointFailed, "the endpoint lost the request: %s", cause)
}

// cancel ends the request at the endpoint without waiting.
func (a *attempt) cancel() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		url := "http://" + a.pass.Address + "/engine/streams/" + string(a.call.ID)
		resp, _, err := a.cfg.Sender.Send(ctx, slugsend.Request{Method: http.MethodDelete, URL: url})
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
}

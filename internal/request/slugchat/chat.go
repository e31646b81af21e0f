// Package slugchat serves chat and text completions. It sends a request to an engine
// and relays the events of the response. If a connection goes silent it reconnects, and
// if an engine crashes it continues the response at another engine.
//
// # Usage
//
//	h := slugchat.New(slugchat.Config{Admitter: admitter, Sender: sender, ...})
//	mux.Handle("POST /v1/chat/completions", h)
package slugchat

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/authority/slugledger"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugburn"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpick"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugquarantine"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugsuspect"
	"github.com/sassafraslug/sassafraslug/internal/request/slugadmit"
	"github.com/sassafraslug/sassafraslug/internal/request/slugprefix"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrelay"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
)

// Config configures a Handler.
type Config struct {
	Snapshot func() *slugconfig.Snapshot
	Admitter *slugadmit.Admitter
	Sender   *slugsend.Sender
	Ledger   *slugledger.Ledger
	Burn     *slugburn.Burn
	// Suspects tracks whole requests that may crash endpoints, Quarantines the messages that
	// such requests have in common.
	Suspects    *slugsuspect.Tracker
	Quarantines *slugquarantine.Set
	Log         *slugevent.Log
	// Refused is called for each refusal, to add addresses and to count it; it may be
	// nil.
	Refused func(*slugrefusal.Refusal)
	// GatesBefore returns the number of other live gates that run a suspect before this one,
	// so that this gate learns from the outcome there; nil means none.
	GatesBefore func(slugsuspect.Fingerprint) int
	// ProgressTimeout is how long a connection to an endpoint may go without an event before
	// the stream is resumed over a new one.
	ProgressTimeout time.Duration
	// WriteTimeout bounds each flush to the caller.
	WriteTimeout time.Duration
}

// Handler is the HTTP handler for completions.
type Handler struct {
	cfg Config
}

// New returns a Handler.
func New(cfg Config) *Handler {
	if cfg.GatesBefore == nil {
		cfg.GatesBefore = func(slugsuspect.Fingerprint) int { return 0 }
	}
	return &Handler{cfg: cfg}
}

// requestBody is the part of the request body that is decoded.
type requestBody struct {
	Model               slugname.Model  `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	N                   *int            `json:"n"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
}

// defaultOutputTokens is the assumed output length if the request sets no maximum.
const defaultOutputTokens = 256

// exchange is the state of one completion request.
type exchange struct {
	*Handler
	call        *slugadmit.Call
	request     requestBody
	isChat      bool
	path        string
	fingerprint slugsuspect.Fingerprint
	subject     slugquarantine.Subject
	writer      *slugrelay.Writer
	work        slugpick.Work
	meter       meter
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool
	// suspected is set if the request, or an identical one, ran at an endpoint that
	// crashed.
	suspected bool
}

// ServeHTTP serves one completion.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{Handler: h, isChat: strings.HasSuffix(r.URL.Path, "/chat/completions"), path: r.URL.Path}
	refusal := x.admit(w, r)
	defer x.call.Release()
	x.writer = slugrelay.New(w, slugrelay.Config{
		Stream: x.request.Stream, Chat: x.isChat, RequestID: string(x.call.ID),
		Model: string(x.request.Model), WriteTimeout: h.cfg.WriteTimeout,
	})
	w.Header().Set("X-Request-Id", string(x.call.ID))
	if refusal == nil {
		refusal = x.run(r.Context())
	}
	x.finish(r.Context(), refusal)
}

// admit performs the admission steps before the request is queued.
func (x *exchange) admit(w http.ResponseWriter, r *http.Request) *slugrefusal.Refusal {
	a := x.cfg.Admitter
	var refusal *slugrefusal.Refusal
	if x.call, refusal = a.Begin(r); refusal != nil {
		return refusal
	}
	if refusal = a.Authenticate(r, x.call); refusal != nil {
		return refusal
	}
	if refusal = a.ReadBody(w, r, x.call); refusal != nil {
		return refusal
	}
	if refusal = x.parse(); refusal != nil {
		return refusal
	}
	if refusal = a.Authorize(x.call); refusal != nil {
		return refusal
	}
	x.prepare()
	return x.checkSuspicion()
}

// parse decodes and validates the body, and looks up the service of the model.
func (x *exchange) parse() *slugrefusal.Refusal {
	d := &x.request
	if err := json.Unmarshal(x.call.Body, d); err != nil {
		return slugrefusal.NotRun(slugrefusal.CodeRequestMalformed, "the body is not the JSON of a completion: %s", err)
	}
	if d.N != nil && *d.N != 1 {
		return slugrefusal.NotRun(slugrefusal.CodeRequestMalformed, "n: %d: only 1 is served", *d.N)
	}
	for _, m := range []*int{d.MaxTokens, d.MaxCompletionTokens} {
		if m != nil && *m < 1 {
			return slugrefusal.NotRun(slugrefusal.CodeRequestMalformed, "max_tokens: %d: 1 or more", *m)
		}
	}
	if x.isChat && len(d.Messages) == 0 {
		return slugrefusal.NotRun(slugrefusal.CodeRequestMalformed, "messages: a list of messages is needed")
	}
	if !x.isChat && len(d.Prompt) == 0 {
		return slugrefusal.NotRun(slugrefusal.CodeRequestMalformed, "prompt: a text is needed")
	}
	x.call.Service = x.cfg.Snapshot().ServiceOfModel(d.Model)
	if x.call.Service == nil {
		return slugrefusal.NotRun(slugrefusal.CodeModelUnknown, "model %q is not served", d.Model)
	}
	return nil
}

// prepare computes the parameters for picking an endpoint and the fingerprint.
func (x *exchange) prepare() {
	d := &x.request
	prompt := append(append([]byte{}, d.Messages...), d.Prompt...)
	output := defaultOutputTokens
	if d.MaxTokens != nil {
		output = *d.MaxTokens
	} else if d.MaxCompletionTokens != nil {
		output = *d.MaxCompletionTokens
	}
	x.work = slugpick.Work{
		Workspace: x.call.Workspace, Class: x.call.Class, Repeatable: true,
		PromptTokens: slugpick.Tokens(len(prompt)/slugprefix.BytesPerToken + 1),
		OutputTokens: slugpick.Tokens(output),
		Blocks:       slugprefix.Hashes(string(x.call.Workspace), prompt),
		BlockTokens:  slugprefix.BlockTokens,
	}
	x.fingerprint = slugsuspect.NewFingerprint(x.call.Workspace, x.path, x.call.Body)
	x.work.Affinity = x.fingerprint.Hash
	x.subject = slugquarantine.NewSubject(x.call.Workspace, x.path, x.call.Body, slugprefix.Messages(d.Messages))
}

// tracker returns the tracker of crashing requests of the service.
func (x *exchange) tracker() *slugquarantine.Tracker {
	return x.cfg.Quarantines.Of(x.call.Service.Name)
}

// checkMessages refuses a request with a message that is quarantined.
func (x *exchange) checkMessages() *slugrefusal.Refusal {
	v, ok := x.tracker().Find(x.subject, time.Now())
	if !ok {
		return nil
	}
	refusal := slugrefusal.NotRun(slugrefusal.CodeQuarantined, "a message of the request is quarantined because requests with it crashed endpoints (%016x)", v.Trait.Hash).WithRetryAfter(v.For)
	if x.mayHaveRun {
		refusal.Ran = slugrefusal.RanUnknown
	}
	return refusal
}

// checkSuspicion refuses a quarantined request and marks a suspected one.
func (x *exchange) checkSuspicion() *slugrefusal.Refusal {
	if refusal := x.checkMessages(); refusal != nil {
		return refusal
	}
	switch x.cfg.Suspects.State(x.fingerprint, time.Now()) {
	case slugsuspect.Quarantined:
		until := x.cfg.Suspects.SuspectUntil(x.fingerprint)
		x.cfg.Log.Emit(slugevent.RequestQuarantined, slugevent.Fields{
			"workspace": x.call.Workspace, "request": x.call.ID, "until": until.UTC().Format(time.RFC3339),
		})
		refusal := slugrefusal.NotRun(slugrefusal.CodeQuarantined, "the request is quarantined because identical requests crashed endpoints").WithRetryAfter(time.Until(until))
		if x.mayHaveRun {
			refusal.Ran = slugrefusal.RanUnknown
		}
		return refusal
	case slugsuspect.Suspected:
		x.suspected = true
	}
	x.work.Suspect = x.suspected
	return nil
}

// maxAttempts bounds the number of attempts of one request.
const maxAttempts = 6

// run tries endpoints until the response is complete.
func (x *exchange) run(ctx context.Context) *slugrefusal.Refusal {
	stop := x.keepAlive(ctx)
	defer stop()
	var last *slugrefusal.Refusal
	for n := 0; n < maxAttempts && ctx.Err() == nil; n++ {
		retry, refusal := x.tryEndpoint(ctx, last)
		if !retry {
			return refusal
		}
		last = refusal
	}
	if last == nil {
		last = slugrefusal.NotRun(slugrefusal.CodeEndpointFailed, "no endpoint completed the request")
	}
	return x.markRan(last, nil)
}

// tryEndpoint waits for an endpoint and makes one attempt there. A suspect first waits
// until no identical request runs, so that it learns from the outcome of that one.
func (x *exchange) tryEndpoint(ctx context.Context, last *slugrefusal.Refusal) (retry bool, refusal *slugrefusal.Refusal) {
	if x.suspected {
		release, err := x.cfg.Suspects.AcquireExclusive(ctx, x.fingerprint)
		if err != nil {
			return false, x.markRan(slugrefusal.NotRun(slugrefusal.CodeDeadline, "the caller disconnected"), last)
		}
		defer release()
		if x.awaitTurn(ctx) != nil {
			return false, x.markRan(slugrefusal.NotRun(slugrefusal.CodeDeadline, "the caller disconnected"), last)
		}
	}
	if refusal := x.checkSuspicion(); refusal != nil {
		return false, refusal
	}
	assignment, refusal := x.cfg.Admitter.Wait(ctx, x.call, x.work)
	if refusal != nil {
		return false, x.markRan(refusal, last)
	}
	return x.runAttempt(ctx, assignment)
}

// turnDuration is the time that a gate waits for each gate that runs a suspect before it.
const turnDuration = 700 * time.Millisecond

// awaitTurn waits for the turns of the gates before this one. It returns early once the
// request is no longer merely suspected: it was cleared or quarantined meanwhile.
func (x *exchange) awaitTurn(ctx context.Context) error {
	until := time.Now().Add(time.Duration(x.cfg.GatesBefore(x.fingerprint)) * turnDuration)
	for time.Now().Before(until) && x.cfg.Suspects.State(x.fingerprint, time.Now()) == slugsuspect.Suspected {
		if err := slugbackoff.Sleep(ctx, turnDuration/10); err != nil {
			return err
		}
	}
	return nil
}

// markRan sets the Ran field of a refusal to unknown if an earlier attempt may have run.
// If there is no other endpoint, it returns the earlier refusal, which tells more.
func (x *exchange) markRan(r, earlier *slugrefusal.Refusal) *slugrefusal.Refusal {
	if earlier != nil && r.Code == slugrefusal.CodeNoEndpoint {
		r = earlier
	}
	if x.mayHaveRun {
		r.Ran = slugrefusal.RanUnknown
	}
	return r
}

// keepAliveInterval is the time between keep-alive comments to a caller that streams.
const keepAliveInterval = 5 * time.Second

// keepAlive sends keep-alive comments while no events arrive, until the returned function
// is called.
func (x *exchange) keepAlive(ctx context.Context) func() {
	done := make(chan struct{})
	go func() {
		t := time.NewTicker(keepAliveInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				if x.meter.idle(time.Now()) >= keepAliveInterval {
					x.writer.KeepAlive()
				}
			case <-done:
				return
			case <-ctx.Done():
				return
			}
		}
	}()
	return func() { close(done) }
}

// finish records the usage and the objectives of the request, and sends the refusal, if
// any, to the caller.
func (x *exchange) finish(ctx context.Context, refusal *slugrefusal.Refusal) {
	x.recordUsage(refusal == nil)
	x.recordObjectives(ctx, refusal)
	f := x.call.LogFields(ctx)
	if refusal == nil {
		x.cfg.Log.Emit(slugevent.RequestServed, f)
		return
	}
	if x.cfg.Refused != nil {
		x.cfg.Refused(refusal)
	}
	f["code"], f["ran"] = refusal.Code, refusal.Ran
	x.cfg.Log.Emit(slugevent.RequestRefused, f)
	x.writer.Refuse(refusal)
}

// Package slugchat serves completions: it sends a request to an engine, relays
// the events of the answer, and sees the answer through to its end when a
// connection goes silent or an engine crashes.
//
// # Usage
//
//	c := slugchat.New(slugchat.Config{Admitter: admitter, Sender: sender, ...})
//	mux.Handle("POST /v1/chat/completions", c)
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
	"github.com/sassafraslug/sassafraslug/internal/decision/slugsuspect"
	"github.com/sassafraslug/sassafraslug/internal/request/slugadmit"
	"github.com/sassafraslug/sassafraslug/internal/request/slugprefix"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrelay"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
)

// Config makes a Chat.
type Config struct {
	Snapshot func() *slugconfig.Snapshot
	Admitter *slugadmit.Admitter
	Sender   *slugsend.Sender
	Ledger   *slugledger.Ledger
	Burn     *slugburn.Burn
	Suspects *slugsuspect.Tracker
	Log      *slugevent.Log
	// Refused is called with each refusal, to add addresses and to count it; it
	// may be nil.
	Refused func(*slugrefusal.Refusal)
	// Turn returns how many other live gates go before this one in trying a suspect,
	// so that they learn from its outcome; nil means none.
	Turn func(slugsuspect.Fingerprint) int
	// Progress is how long an answer may go without an event before its
	// connection is distrusted.
	Progress time.Duration
	// WriteTimeout bounds a write to the caller.
	WriteTimeout time.Duration
}

// Chat serves completions.
type Chat struct {
	cfg Config
}

// New returns a Chat.
func New(cfg Config) *Chat {
	if cfg.Turn == nil {
		cfg.Turn = func(slugsuspect.Fingerprint) int { return 0 }
	}
	return &Chat{cfg: cfg}
}

// document is the part of a request's body that matters here.
type document struct {
	Model               slugname.Model  `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	N                   *int            `json:"n"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
}

// defaultOutputTokens is the assumed length of an answer without a bound.
const defaultOutputTokens = 256

// exchange is one completion from its first to its last byte.
type exchange struct {
	*Chat
	call        *slugadmit.Call
	document    document
	chat        bool
	path        string
	fingerprint slugsuspect.Fingerprint
	writer      *slugrelay.Writer
	work        slugpick.Work
	meter       meter
	// sent tells that some endpoint may have got the request.
	sent bool
	// suspect tells that an endpoint crashed with the request.
	suspect bool
}

// ServeHTTP serves one completion.
func (c *Chat) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{Chat: c, chat: strings.HasSuffix(r.URL.Path, "/chat/completions"), path: r.URL.Path}
	refusal := x.admit(w, r)
	defer x.call.Release()
	x.writer = slugrelay.New(w, slugrelay.Config{
		Stream: x.document.Stream, Chat: x.chat, RequestID: string(x.call.ID),
		Model: string(x.document.Model), WriteTimeout: c.cfg.WriteTimeout,
	})
	w.Header().Set("X-Request-Id", string(x.call.ID))
	if refusal == nil {
		refusal = x.run(r.Context())
	}
	x.end(r.Context(), refusal)
}

// admit does the steps before the queue.
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

// parse reads the body.
func (x *exchange) parse() *slugrefusal.Refusal {
	d := &x.document
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
	if x.chat && len(d.Messages) == 0 {
		return slugrefusal.NotRun(slugrefusal.CodeRequestMalformed, "messages: a list of messages is needed")
	}
	if !x.chat && len(d.Prompt) == 0 {
		return slugrefusal.NotRun(slugrefusal.CodeRequestMalformed, "prompt: a text is needed")
	}
	x.call.Service = x.cfg.Snapshot().ServiceOfModel(d.Model)
	if x.call.Service == nil {
		return slugrefusal.NotRun(slugrefusal.CodeModelUnknown, "model %q is not served", d.Model)
	}
	return nil
}

// prepare works out what the choice of an endpoint depends on.
func (x *exchange) prepare() {
	d := &x.document
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
}

// checkSuspicion refuses quarantined requests.
func (x *exchange) checkSuspicion() *slugrefusal.Refusal {
	switch x.cfg.Suspects.State(x.fingerprint, time.Now()) {
	case slugsuspect.Quarantined:
		until := x.cfg.Suspects.Until(x.fingerprint)
		x.cfg.Log.Emit(slugevent.RequestQuarantined, slugevent.Fields{
			"workspace": x.call.Workspace, "request": x.call.ID, "until": until.UTC().Format(time.RFC3339),
		})
		refusal := slugrefusal.NotRun(slugrefusal.CodeQuarantined, "equal requests crashed several endpoints").After(time.Until(until))
		if x.sent {
			refusal.Ran = slugrefusal.RanUnknown
		}
		return refusal
	case slugsuspect.Suspected:
		x.suspect = true
	}
	x.work.Suspect = x.suspect
	return nil
}

// maxAttempts bounds the endpoints that one request is sent to.
const maxAttempts = 6

// run sends the request until its answer is whole.
func (x *exchange) run(ctx context.Context) *slugrefusal.Refusal {
	stop := x.keepAlive(ctx)
	defer stop()
	var last *slugrefusal.Refusal
	for n := 0; n < maxAttempts && ctx.Err() == nil; n++ {
		again, refusal := x.try(ctx, last)
		if !again {
			return refusal
		}
		last = refusal
	}
	if last == nil {
		last = slugrefusal.NotRun(slugrefusal.CodeEndpointFailed, "no endpoint finished the request")
	}
	return x.truthful(last, nil)
}

// try sends the request to one more endpoint. A suspect waits until no equal one
// runs, and learns from its outcome.
func (x *exchange) try(ctx context.Context, last *slugrefusal.Refusal) (again bool, refusal *slugrefusal.Refusal) {
	if x.suspect {
		release, err := x.cfg.Suspects.Alone(ctx, x.fingerprint)
		if err != nil {
			return false, x.truthful(slugrefusal.NotRun(slugrefusal.CodeDeadline, "the caller went away"), last)
		}
		defer release()
		if x.awaitTurn(ctx) != nil {
			return false, x.truthful(slugrefusal.NotRun(slugrefusal.CodeDeadline, "the caller went away"), last)
		}
	}
	if refusal := x.checkSuspicion(); refusal != nil {
		return false, refusal
	}
	pass, refusal := x.cfg.Admitter.Wait(ctx, x.call, x.work)
	if refusal != nil {
		return false, x.truthful(refusal, last)
	}
	return x.attempt(ctx, pass)
}

// turnTime is how long a gate leaves the trial of a suspect to each gate before it.
const turnTime = 700 * time.Millisecond

// awaitTurn waits while other gates go first, or until one of them told that the
// request crashed another endpoint.
func (x *exchange) awaitTurn(ctx context.Context) error {
	until := time.Now().Add(time.Duration(x.cfg.Turn(x.fingerprint)) * turnTime)
	for time.Now().Before(until) && x.cfg.Suspects.State(x.fingerprint, time.Now()) == slugsuspect.Suspected {
		if err := slugbackoff.Sleep(ctx, turnTime/10); err != nil {
			return err
		}
	}
	return nil
}

// truthful corrects what a refusal says of earlier attempts. An earlier refusal
// tells more than a failure to find another endpoint.
func (x *exchange) truthful(r, earlier *slugrefusal.Refusal) *slugrefusal.Refusal {
	if earlier != nil && r.Code == slugrefusal.CodeNoEndpoint {
		r = earlier
	}
	if x.sent {
		r.Ran = slugrefusal.RanUnknown
	}
	return r
}

// keepAliveEvery is the time between comments to a caller that streams.
const keepAliveEvery = 5 * time.Second

// keepAlive sends comments until the returned function is called.
func (x *exchange) keepAlive(ctx context.Context) func() {
	done := make(chan struct{})
	go func() {
		t := time.NewTicker(keepAliveEvery)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				if x.meter.idle(time.Now()) >= keepAliveEvery {
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

// end tells the caller how a request that was not answered ended, and counts.
func (x *exchange) end(ctx context.Context, refusal *slugrefusal.Refusal) {
	x.bill(refusal == nil)
	x.rate(ctx, refusal)
	if refusal == nil {
		return
	}
	if x.cfg.Refused != nil {
		x.cfg.Refused(refusal)
	}
	x.cfg.Log.Emit(slugevent.RequestRefused, slugevent.Fields{
		"request": x.call.ID, "code": refusal.Code, "ran": refusal.Ran, "workspace": x.call.Workspace,
	})
	x.writer.Refuse(refusal)
}

// Package slugplaincall forwards calls to plain HTTP services. Method, path, body and
// status pass through unchanged. A call runs at most once unless its route is
// idempotent.
//
// # Usage
//
//	h := slugplaincall.New(slugplaincall.Config{Admitter: admitter, Sender: sender, ...})
//	mux.Handle("/services/{service}/{path...}", h)
package slugplaincall

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/authority/slugclaim"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugledger"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugpresence"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugburn"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpick"
	"github.com/sassafraslug/sassafraslug/internal/request/slugadmit"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

// Config configures a Handler.
type Config struct {
	Snapshot func() *slugconfig.Snapshot
	Admitter *slugadmit.Admitter
	Sender   *slugsend.Sender
	Claims   *slugclaim.Claims
	Ledger   *slugledger.Ledger
	Burn     *slugburn.Burn
	Log      *slugevent.Log
	// Refused is called for each refusal; it may be nil.
	Refused func(*slugrefusal.Refusal)
}

// Handler is the HTTP handler for calls to plain services.
type Handler struct {
	cfg Config
}

// New returns a Handler.
func New(cfg Config) *Handler { return &Handler{cfg: cfg} }

// IdempotencyHeader carries the idempotency key. Calls of a workspace with the same key
// run at most once.
const IdempotencyHeader = "Idempotency-Key"

// maxIdempotencyKey is the maximum length of an idempotency key in bytes.
const maxIdempotencyKey = 255

// settleTimeout bounds the time to record the outcome of a claimed call. It does not
// depend on the request's context, because the caller may have disconnected by then.
const settleTimeout = 10 * time.Second

// exchange is the state of one call.
type exchange struct {
	*Handler
	w      http.ResponseWriter
	r      *http.Request
	call   *slugadmit.Call
	path   string
	route  slugmanifest.Route
	header http.Header
	// mayHaveRun is set once an endpoint may have run the call.
	mayHaveRun bool
	// statusWritten is set once the status has been written to the caller.
	statusWritten bool
}

// ServeHTTP serves one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{Handler: h, w: w, r: r}
	refusal := x.admit()
	defer x.call.Release()
	w.Header().Set("X-Request-Id", string(x.call.ID))
	if refusal == nil {
		refusal = x.serve()
	}
	x.finish(refusal)
}

func (x *exchange) admit() *slugrefusal.Refusal {
	a := x.cfg.Admitter
	var refusal *slugrefusal.Refusal
	if x.call, refusal = a.Begin(x.r); refusal != nil {
		return refusal
	}
	if refusal = x.findRoute(); refusal != nil {
		return refusal
	}
	if refusal = x.authenticate(); refusal != nil {
		return refusal
	}
	if refusal = a.ReadBody(x.w, x.r, x.call); refusal != nil {
		return refusal
	}
	if refusal = a.Authorize(x.call); refusal != nil {
		return refusal
	}
	x.header = slugadmit.ForwardHeader(x.r.Header, x.call.Key)
	x.header.Set("X-Request-Id", string(x.call.ID))
	return nil
}

// findRoute looks up the service and the route of the call.
func (x *exchange) findRoute() *slugrefusal.Refusal {
	if x.r.Header.Get("Upgrade") != "" {
		return slugrefusal.NotRun(slugrefusal.CodeUpgrade, "upgrade to %q is not served", x.r.Header.Get("Upgrade"))
	}
	s := x.cfg.Snapshot()
	if s == nil {
		return slugrefusal.NotRun(slugrefusal.CodeNotReady, "no configuration is in force yet").WithRetryAfter(time.Second)
	}
	name := slugname.Service(x.r.PathValue("service"))
	x.call.Service = s.Service(name)
	if x.call.Service == nil || x.call.Service.Kind != slugmanifest.KindPlain {
		x.call.Service = nil
		return slugrefusal.NotRun(slugrefusal.CodeServiceUnknown, "no plain service %q", name)
	}
	x.path = "/" + x.r.PathValue("path")
	if clean := path.Clean(x.path); clean != x.path && clean+"/" != x.path {
		return slugrefusal.NotRun(slugrefusal.CodeRequestMalformed, "path %q is not clean", x.path)
	}
	var ok bool
	if x.route, ok = s.Route(name, x.r.Method, x.path); !ok {
		return slugrefusal.NotRun(slugrefusal.CodeRouteUnknown, "service %q has no route for %s %s", name, x.r.Method, x.path)
	}
	x.call.Open = x.route.Open
	return nil
}

// authenticate requires an API key except on open routes. There a key is not checked,
// but it is still removed from what is forwarded.
func (x *exchange) authenticate() *slugrefusal.Refusal {
	if x.route.Open {
		x.call.Key, _ = slugadmit.FindKey(x.r)
		return nil
	}
	return x.cfg.Admitter.Authenticate(x.r, x.call)
}

// serve sends the call. If the call has an idempotency key and its route is not
// idempotent, it first claims the key, so that the call runs at most once across all
// gates.
func (x *exchange) serve() *slugrefusal.Refusal {
	key := x.r.Header.Get(IdempotencyHeader)
	if x.route.Idempotent || key == "" {
		return x.send(x.r.Context(), nil)
	}
	if len(key) > maxIdempotencyKey {
		return slugrefusal.NotRun(slugrefusal.CodeRequestMalformed, "header %s: at most %d bytes", IdempotencyHeader, maxIdempotencyKey)
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.call.Deadline)
	defer cancel()
	claim, err := x.cfg.Claims.Claim(ctx, x.call.Workspace, key, x.fingerprint(), x.call.Deadline)
	if err != nil {
		return claimRefusal(err)
	}
	if !claim.First {
		return x.replay(claim)
	}
	return x.sendClaimed(claim)
}

// fingerprint returns a hash of the call. It serves to detect that an idempotency key is
// reused for a different call.
func (x *exchange) fingerprint() string {
	digest := sha256.New()
	_, _ = digest.Write([]byte(string(x.call.Service.Name) + "\n" + x.r.Method + "\n" + x.path + "\n" + x.query() + "\n"))
	_, _ = digest.Write(x.call.Body)
	return hex.EncodeToString(digest.Sum(nil)[:16])
}

func (x *exchange) query() string { return slugadmit.ForwardQuery(x.r.URL.RawQuery, x.call.Key) }

// sendClaimed sends a claimed call and records its outcome in the claim. The call
// continues if the caller disconnects, so that a later call with the same key finds the
// outcome.
func (x *exchange) sendClaimed(claim slugclaim.Claim) *slugrefusal.Refusal {
	ctx, cancel := context.WithDeadline(slugpresence.Without(x.r.Context()), x.call.Deadline)
	defer cancel()
	var answer slugclaim.Answer
	refusal := x.send(ctx, &answer)
	settleCtx, settled := context.WithTimeout(context.WithoutCancel(x.r.Context()), settleTimeout)
	defer settled()
	var err error
	switch {
	case refusal == nil:
		err = x.cfg.Claims.Finish(settleCtx, claim, answer)
	case refusal.Ran == slugrefusal.RanNo:
		err = x.cfg.Claims.Abandon(settleCtx, claim)
	default:
		err = x.cfg.Claims.Unknown(settleCtx, claim)
	}
	if err != nil {
		x.cfg.Log.Error(slugevent.ClaimOutcomeUnstored, err, slugevent.Fields{"request": x.call.ID})
	}
	if refusal == nil && !x.statusWritten {
		x.writeAnswer(answer)
	}
	return refusal
}

// finish records the usage and the objective of the call, and sends the refusal, if any,
// to the caller.
func (x *exchange) finish(refusal *slugrefusal.Refusal) {
	if x.call.Service != nil && refusal == nil && x.call.Workspace != "" {
		x.cfg.Ledger.Add(slugledger.Key{Workspace: x.call.Workspace, Service: x.call.Service.Name}, slugledger.Totals{Requests: 1})
	}
	x.recordObjective(refusal)
	f := x.call.LogFields(x.r.Context())
	if refusal == nil {
		x.cfg.Log.Emit(slugevent.RequestServed, f)
		return
	}
	if x.cfg.Refused != nil {
		x.cfg.Refused(refusal)
	}
	f["code"], f["ran"] = refusal.Code, refusal.Ran
	x.cfg.Log.Emit(slugevent.RequestRefused, f)
	if x.statusWritten {
		// The status is already written, so abort the connection to tell the caller that
		// the response is incomplete.
		panic(http.ErrAbortHandler)
	}
	refusal.Write(x.w)
}

func (x *exchange) recordObjective(refusal *slugrefusal.Refusal) {
	if x.call.Service == nil || x.call.Workspace == "" || refusal != nil && refusal.Status() < 500 {
		return
	}
	now := time.Now()
	limit := time.Duration(x.call.Service.Objectives.CompletionMs) * time.Millisecond
	c := slugburn.Count{Total: 1}
	if refusal == nil && (limit == 0 || now.Sub(x.call.Received) <= limit) {
		c.Good = 1
	}
	k := slugburn.Key{Service: x.call.Service.Name, Workspace: x.call.Workspace, Class: x.call.Class}
	x.cfg.Burn.Add(k, slugburn.Completion, c, now)
}

// work returns the parameters for picking an endpoint.
func (x *exchange) work() slugpick.Work {
	return slugpick.Work{Workspace: x.call.Workspace, Class: x.call.Class, OutputTokens: 1, Repeatable: x.route.Idempotent}
}

// url returns the URL of the call at an endpoint.
func (x *exchange) url(address string) string {
	escaped := strings.TrimPrefix(x.r.URL.EscapedPath(), "/services/"+x.r.PathValue("service"))
	if escaped == "" {
		escaped = "/"
	}
	if q := x.query(); q != "" {
		escaped += "?" + q
	}
	return "http://" + address + escaped
}

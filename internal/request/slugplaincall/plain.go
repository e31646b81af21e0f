// Package slugplaincall carries calls to plain services: method, path, body and
// status whole, and at most once where the route is not idempotent.
//
// # Usage
//
//	c := slugplaincall.New(slugplaincall.Config{Admitter: admitter, Sender: sender, ...})
//	mux.Handle("/services/{service}/{path...}", c)
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
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugburn"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpick"
	"github.com/sassafraslug/sassafraslug/internal/request/slugadmit"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

// Config makes a PlainCall.
type Config struct {
	Snapshot func() *slugconfig.Snapshot
	Admitter *slugadmit.Admitter
	Sender   *slugsend.Sender
	Claims   *slugclaim.Claims
	Ledger   *slugledger.Ledger
	Burn     *slugburn.Burn
	Log      *slugevent.Log
	// Refused is called with each refusal; it may be nil.
	Refused func(*slugrefusal.Refusal)
}

// PlainCall serves calls to plain services.
type PlainCall struct {
	cfg Config
}

// New returns a PlainCall.
func New(cfg Config) *PlainCall { return &PlainCall{cfg: cfg} }

// IdempotencyHeader carries the key that makes a repeated call run once.
const IdempotencyHeader = "Idempotency-Key"

// maxIdempotencyKey bounds the length of a key.
const maxIdempotencyKey = 255

// settleTimeout bounds the write of an outcome after the caller went away.
const settleTimeout = 10 * time.Second

// exchange is one call from its first to its last byte.
type exchange struct {
	*PlainCall
	w      http.ResponseWriter
	r      *http.Request
	call   *slugadmit.Call
	path   string
	route  slugmanifest.Route
	header http.Header
	// sent tells that some endpoint may have run the call.
	sent bool
	// begun tells that the caller has been sent the status.
	begun bool
}

// ServeHTTP serves one call.
func (c *PlainCall) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{PlainCall: c, w: w, r: r}
	refusal := x.admit()
	defer x.call.Release()
	w.Header().Set("X-Request-Id", string(x.call.ID))
	if refusal == nil {
		refusal = x.serve()
	}
	x.end(refusal)
}

func (x *exchange) admit() *slugrefusal.Refusal {
	a := x.cfg.Admitter
	var refusal *slugrefusal.Refusal
	if x.call, refusal = a.Begin(x.r); refusal != nil {
		return refusal
	}
	if refusal = x.find(); refusal != nil {
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

// find finds the service and the route.
func (x *exchange) find() *slugrefusal.Refusal {
	if x.r.Header.Get("Upgrade") != "" {
		return slugrefusal.NotRun(slugrefusal.CodeUpgrade, "upgrade to %q is not served", x.r.Header.Get("Upgrade"))
	}
	s := x.cfg.Snapshot()
	if s == nil {
		return slugrefusal.NotRun(slugrefusal.CodeNotReady, "no configuration is in force yet").After(time.Second)
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

// authenticate needs a key except on open routes. There a present key is not
// looked at, but it is taken out all the same.
func (x *exchange) authenticate() *slugrefusal.Refusal {
	if x.route.Open {
		x.call.Key, _ = slugadmit.FindKey(x.r)
		return nil
	}
	return x.cfg.Admitter.Authenticate(x.r, x.call)
}

// serve sends the call, at most once over all gates where it has a key.
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
	if !claim.Mine {
		return x.repeat(claim)
	}
	return x.sendClaimed(claim)
}

// fingerprint tells uses of a key for different calls apart.
func (x *exchange) fingerprint() string {
	d := sha256.New()
	_, _ = d.Write([]byte(string(x.call.Service.Name) + "\n" + x.r.Method + "\n" + x.path + "\n" + x.query() + "\n"))
	_, _ = d.Write(x.call.Body)
	return hex.EncodeToString(d.Sum(nil)[:16])
}

func (x *exchange) query() string { return slugadmit.ForwardQuery(x.r.URL.RawQuery, x.call.Key) }

// sendClaimed sends a claimed call and settles its claim. The call goes on when
// the caller goes away, so that a later use finds its outcome.
func (x *exchange) sendClaimed(claim slugclaim.Claim) *slugrefusal.Refusal {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(x.r.Context()), x.call.Deadline)
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
		x.cfg.Log.Error(slugevent.ClaimUnsettled, err, slugevent.Fields{"request": x.call.ID})
	}
	if refusal == nil {
		x.write(answer)
	}
	return refusal
}

// end tells the caller how a call that was not answered ended, and counts.
func (x *exchange) end(refusal *slugrefusal.Refusal) {
	if x.call.Service != nil && refusal == nil && x.call.Workspace != "" {
		x.cfg.Ledger.Add(slugledger.Key{Workspace: x.call.Workspace, Service: x.call.Service.Name}, slugledger.Totals{Requests: 1})
	}
	x.rate(refusal)
	if refusal == nil {
		return
	}
	if x.cfg.Refused != nil {
		x.cfg.Refused(refusal)
	}
	x.cfg.Log.Emit(slugevent.RequestRefused, slugevent.Fields{
		"request": x.call.ID, "code": refusal.Code, "ran": refusal.Ran, "workspace": x.call.Workspace,
	})
	if x.begun {
		// The status is out; an aborted connection tells that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
	refusal.Write(x.w)
}

func (x *exchange) rate(refusal *slugrefusal.Refusal) {
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

// work returns what the choice of an endpoint depends on.
func (x *exchange) work() slugpick.Work {
	return slugpick.Work{Workspace: x.call.Workspace, Class: x.call.Class, OutputTokens: 1, Repeatable: x.route.Idempotent}
}

// url returns the call's address at an endpoint.
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

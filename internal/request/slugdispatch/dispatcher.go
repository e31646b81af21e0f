// Package slugdispatch carries one request from its caller to an endpoint and the
// answer back.
//
// A request is matched with its route, authenticated, placed, sent, and relayed. It is
// sent again only when it may be: when it certainly did not run, or when its route
// allows that it runs again. What the caller is told of a failed request follows from
// the same state: it did not run only if no byte of it left for an endpoint that
// could run it, or if that endpoint said so.
//
// # Usage
//
//	d := slugdispatch.New(slugdispatch.Config{Table: follower.Table, Placer: placer, Codec: codec, Open: sender.Open})
//	err := d.Serve(ctx, call, w)
package slugdispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugbudget"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugsuspect"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"github.com/sassafraslug/sassafraslug/internal/version/slugrouting"
)

// ErrCut says that an answer was begun and cannot be finished. The caller's
// connection must be closed so that the answer does not look complete.
var ErrCut = errors.New("answer is cut")

// ErrCallerLeft says that the caller did not wait for the answer.
var ErrCallerLeft = errors.New("caller left")

// Outcome tells what became of a request.
type Outcome struct {
	Route     string
	Workspace slugname.Workspace
	Service   slugname.Service
	// First is the time to the first event of a stream, or to the whole answer.
	First time.Duration
	// Whole is the time to the end.
	Whole time.Duration
	// Objective is the route's, which First is held against.
	Objective time.Duration
	Err       error
}

// Config makes a Dispatcher.
type Config struct {
	// Table returns the configuration in force, nil before the first.
	Table func() *slugrouting.Table
	// Fresh reports whether the configuration is young enough for requests with keys.
	Fresh func() bool
	// Age returns how old the word is that the configuration is the newest.
	Age func() time.Duration
	// Placer returns the placer of a service.
	Placer func(slugname.Service) *slugplacement.Placer
	// Budget returns the budget of a service.
	Budget func(slugname.Service) *slugbudget.Budget
	// Suspects knows requests that crash endpoints.
	Suspects *slugsuspect.Tracker
	// Codec translates for endpoints.
	Codec Codec
	// Announce announces a prompt to the process that answers for its endpoint, and
	// returns what it will find there; false means that nobody knows. TakeBack undoes
	// that. Both may be nil.
	Announce func(context.Context, slugname.Service, *slugplacement.Choice) (slugplacement.Announced, bool)
	TakeBack func(slugname.Service, *slugplacement.Choice, slugplacement.Announced)
	// Open sends a request.
	Open func(context.Context, slugsend.Request) (*slugsend.Exchange, error)
	// Started is called when a request began to run.
	Started func(slugname.Workspace)
	// Ended is called at the end of each request that has a route.
	Ended func(Outcome)
	Log   *slugevent.Log
}

// Dispatcher serves requests.
type Dispatcher struct {
	cfg Config
	// running is the number of requests that are being served.
	running atomic.Int64
}

// New returns a Dispatcher.
func New(cfg Config) *Dispatcher {
	if cfg.Ended == nil {
		cfg.Ended = func(Outcome) {}
	}
	return &Dispatcher{cfg: cfg}
}

// Running returns the number of requests that are being served.
func (d *Dispatcher) Running() int64 { return d.running.Load() }

// run is the life of one request.
type run struct {
	*Dispatcher
	call      *Call
	w         http.ResponseWriter
	table     *slugrouting.Table
	route     *slugrouting.Route
	service   *slugrouting.Service
	workspace *slugrouting.Workspace
	keyHash   slugconfig.KeyHash
	placer    *slugplacement.Placer
	budget    *slugbudget.Budget
	print     slugsuspect.Fingerprint
	deadline  time.Time

	// tried are endpoints that are not to be asked again.
	tried []slugname.Endpoint
	// ran is the number of endpoints at which the request may have run.
	ran int
	// arrivals is the number of sends that count against the budget.
	arrivals int
	// prefilled tells that a prefill call was accepted.
	prefilled bool
	// runs tells that a run was sent.
	runSent bool
	// begun tells that the head of an answer was written.
	begun bool
	// started tells that the request was counted.
	started bool
	// lastEvent is the last event that the caller was sent.
	lastEvent string
	first     time.Duration
	// where are the endpoints that took part, for the log.
	where []slugname.Endpoint
}

// Serve serves one request. The error is a *slugrefusal.Refusal when nothing has been
// written, ErrCut when an answer was begun, or ErrCallerLeft.
func (d *Dispatcher) Serve(ctx context.Context, c *Call, w http.ResponseWriter) error {
	d.running.Add(1)
	defer d.running.Add(-1)
	x := &run{Dispatcher: d, call: c, w: w, lastEvent: c.ResumeAfter}
	if refusal := x.admit(); refusal != nil {
		x.refused(refusal)
		return refusal
	}
	x.budget.Request(time.Now())
	ctx, cancel := context.WithDeadlineCause(ctx, x.deadline, errDeadline)
	defer cancel()
	err := x.forward(ctx)
	x.report(err)
	return err
}

// errDeadline ends a request whose time is over.
var errDeadline = errors.New("time of the request is over")

// admit checks the request against the configuration.
func (x *run) admit() *slugrefusal.Refusal {
	x.table = x.cfg.Table()
	if x.table == nil {
		return slugrefusal.NotRun(slugrefusal.CodeNotReady, "no configuration yet").After(retrySoon)
	}
	if refusal := x.match(); refusal != nil {
		return refusal
	}
	if !x.route.Open {
		if refusal := x.authenticate(); refusal != nil {
			return refusal
		}
	}
	return x.prepare()
}

// match finds the route. A process that may lack a newer configuration does not say
// that there is none.
func (x *run) match() *slugrefusal.Refusal {
	x.route = x.table.Match(x.call.Host, x.call.Path)
	switch {
	case x.route != nil:
		return nil
	case !x.cfg.Fresh():
		return slugrefusal.NotRun(slugrefusal.CodeCutOff, "the configuration may be out of date").After(retrySoon)
	}
	return slugrefusal.NotRun(slugrefusal.CodeRouteUnknown, "no route for %s", x.call.Path)
}

func (x *run) authenticate() *slugrefusal.Refusal {
	if !x.cfg.Fresh() {
		return slugrefusal.NotRun(slugrefusal.CodeCutOff, "the configuration may be out of date").After(retrySoon)
	}
	if x.call.Key == "" {
		return slugrefusal.NotRun(slugrefusal.CodeKeyMissing, "a key is needed")
	}
	w, ok := x.table.Authenticate(x.call.Key)
	if !ok {
		return slugrefusal.NotRun(slugrefusal.CodeKeyUnknown, "the key is not known")
	}
	x.workspace, x.keyHash = w, slugconfig.HashKey(x.call.Key)
	return nil
}

// prepare finds the service and how much time there is.
func (x *run) prepare() *slugrefusal.Refusal {
	name := x.route.Pick(rand.Float64())
	x.service = x.table.Service(name)
	if x.service == nil {
		return slugrefusal.NotRun(slugrefusal.CodeServiceUnknown, "service %s is not configured", name)
	}
	x.placer, x.budget = x.cfg.Placer(name), x.cfg.Budget(name)
	patience := x.call.Patience
	if patience <= 0 || x.route.Timeout > 0 && x.route.Timeout < patience {
		patience = x.route.Timeout
	}
	if patience <= 0 {
		patience = defaultPatience
	}
	x.deadline = x.call.Received.Add(patience - answerMargin)
	x.print = slugsuspect.NewFingerprint(x.workspaceName(), x.call.Path, x.call.Body)
	if x.cfg.Suspects.State(x.print, time.Now()) == slugsuspect.Quarantined {
		return slugrefusal.NotRun(slugrefusal.CodeQuarantinedUnrun, "the request crashed endpoints")
	}
	return nil
}

const (
	// defaultPatience bounds requests for which nobody gave a time.
	defaultPatience = 30 * time.Second
	// answerMargin is kept for the way back to the caller.
	answerMargin = 20 * time.Millisecond
	// retrySoon is when a request may come back that was refused for a reason that
	// soon passes.
	retrySoon = 400 * time.Millisecond
)

// workspaceName returns the caller's workspace, empty on open routes.
func (x *run) workspaceName() slugname.Workspace {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

// entitled reports whether the request may still be sent on: the key must be in the
// configuration in force now, and that must be young enough.
func (x *run) entitled() *slugrefusal.Refusal {
	if x.route.Open {
		return nil
	}
	if !x.cfg.Fresh() {
		return slugrefusal.NotRun(slugrefusal.CodeCutOff, "the configuration may be out of date").After(retrySoon)
	}
	if t := x.cfg.Table(); t != nil && t.Version != x.table.Version && !t.Holds(x.workspace.Name, x.keyHash) {
		return slugrefusal.NotRun(slugrefusal.CodeKeyUnknown, "the key was withdrawn")
	}
	return nil
}

// forward sends the request to its service.
func (x *run) forward(ctx context.Context) error {
	if x.service.Engine != nil && x.route.Kind == slugrouting.Stream {
		return x.stream(ctx)
	}
	return x.plain(ctx)
}

// left returns the time that is left.
func (x *run) left() time.Duration { return time.Until(x.deadline) }

// target describes a send to an endpoint.
func (x *run) target(c *slugplacement.Choice) Target {
	return Target{
		Address: c.Address, Endpoint: c.Name, Workspace: x.workspaceName(), Left: x.left(),
		Priority: x.route.PriorityFor(x.workspace), FetchFrom: c.FetchFrom, ResumeAfter: x.lastEvent,
		Idempotent: x.route.Idempotent(),
	}
}

// failure returns what the caller is told of a request that was not answered.
func (x *run) failure(ctx context.Context, cause error) error {
	var refusal *slugrefusal.Refusal
	switch {
	case x.begun:
		return errors.CombineErrors(ErrCut, cause)
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline):
		return ErrCallerLeft
	case x.ran == 0 && errors.As(cause, &refusal):
		return refusal
	case x.ran > 0:
		code := slugrefusal.CodeEndpointFailed
		if x.left() <= 0 {
			code = slugrefusal.CodeTimeout
		}
		return slugrefusal.Unknown(code, "%v", cause)
	case x.left() <= 0:
		return slugrefusal.NotRun(slugrefusal.CodeDeadline, "%v", cause)
	}
	return slugrefusal.NotRun(slugrefusal.CodeOverloaded, "%v", cause).After(x.retryAfter())
}

// retryAfter spreads the return of refused callers.
func (x *run) retryAfter() time.Duration {
	spread := time.Duration(rand.Int64N(int64(retrySoon)))
	return min(retrySoon/2+spread, max(x.left()/3, 0))
}

// again reports whether the request may be sent once more.
func (x *run) again(now time.Time) bool {
	return x.left() > leastLeft && x.budget.Take(now)
}

// leastLeft is the time below which a request is not sent again.
const leastLeft = 60 * time.Millisecond

// failedAt logs an attempt that failed at an endpoint.
func (x *run) failedAt(c *slugplacement.Choice, stage string, cause error) {
	x.cfg.Log.Error(slugevent.AttemptFailed, cause, slugevent.Fields{
		"request": x.call.ID, "endpoint": c.Name, "stage": stage, "route": x.route.Name, "leftMs": x.left().Milliseconds(),
	})
}

// count notes once that the request began to run.
func (x *run) count() {
	if x.started {
		return
	}
	x.started = true
	x.cfg.Started(x.workspaceName())
}

// refused logs a request that was not sent anywhere.
func (x *run) refused(r *slugrefusal.Refusal) {
	f := slugevent.Fields{"request": x.call.ID, "code": r.Code, "reason": r.Message, "ran": r.Ran, "retryAfterMs": r.RetryAfter.Milliseconds()}
	if x.table != nil {
		f["configuration"], f["wordAgeMs"] = x.table.Version, x.cfg.Age().Milliseconds()
	}
	x.cfg.Log.Emit(slugevent.RequestRefused, f)
}

// report logs and counts the end of a request.
func (x *run) report(err error) {
	took := time.Since(x.call.Received)
	x.cfg.Ended(Outcome{x.route.Name, x.workspaceName(), x.service.Name, x.first, took, x.route.Objective, err})
	f := slugevent.Fields{
		"request": x.call.ID, "route": x.route.Name, "service": x.service.Name, "workspace": x.workspaceName(),
		"endpoints": x.where, "firstMs": x.first.Milliseconds(), "tookMs": took.Milliseconds(), "sends": x.arrivals,
		"configuration": x.table.Version, "wordAgeMs": x.cfg.Age().Milliseconds(),
	}
	var refusal *slugrefusal.Refusal
	switch {
	case err == nil:
		x.cfg.Log.Emit(slugevent.RequestServed, f)
	case errors.As(err, &refusal) && refusal.Ran == slugrefusal.RanNo:
		f["code"], f["reason"], f["ran"], f["retryAfterMs"] = refusal.Code, refusal.Message, refusal.Ran, refusal.RetryAfter.Milliseconds()
		x.cfg.Log.Emit(slugevent.RequestRefused, f)
	default:
		x.cfg.Log.Error(slugevent.RequestFailed, err, f)
	}
}

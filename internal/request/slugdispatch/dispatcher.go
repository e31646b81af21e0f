// Package slugdispatch forwards a request from its caller to an endpoint and relays the
// response.
//
// Each request is matched with a route, authenticated, placed on an endpoint and sent.
// It is retried only if it certainly did not run or if its route is idempotent. The
// refusal that the caller gets for a failed request follows from the same state: it
// says that the request did not run only if no byte of it was sent to an endpoint that
// could have run it, or if that endpoint said so.
//
// # Usage
//
//	d := slugdispatch.New(slugdispatch.Config{Table: follower.Table, Placer: placer, Codec: codec, Open: sender.Open})
//	err := d.Serve(ctx, call, w)
package slugdispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugpresence"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugbudget"
	"github.com/sassafraslug/sassafraslug/internal/decision/slughedge"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugquarantine"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"github.com/sassafraslug/sassafraslug/internal/version/slugrouting"
)

// ErrTruncated means that part of a response was written and the rest is not available.
// The caller's connection must be closed so that the response does not look complete.
var ErrTruncated = errors.New("answer is cut")

// truncated is ErrTruncated with its cause, which it does not wrap: a refusal among the causes
// is no response to the caller any more.
type truncated struct {
	error
	cause error
}

// Unwrap returns ErrTruncated.
func (e truncated) Unwrap() error { return e.error }

// Error implements error.
func (e truncated) Error() string { return fmt.Sprintf("%s: %s", e.error, e.cause) }

// ErrCallerDisconnected means that the caller disconnected before anything was written.
var ErrCallerDisconnected = errors.New("caller disconnected")

// Outcome is the result of a request that was admitted.
type Outcome struct {
	Route     string
	Workspace slugname.Workspace
	Service   slugname.Service
	// TimeToFirst is the time to the first event of a stream or to the start of a plain
	// response, 0 if neither was reached.
	TimeToFirst time.Duration
	// Duration is the time to the end of the request.
	Duration time.Duration
	// Objective is the latency objective of the route, with which TimeToFirst is compared.
	Objective time.Duration
	Err       error
}

// Config configures a Dispatcher.
type Config struct {
	// Table returns the configuration in effect, nil until the first one is loaded.
	Table func() *slugrouting.Table
	// Fresh reports whether the configuration was confirmed recently enough to serve
	// requests with keys.
	Fresh func() bool
	// ConfigurationAge returns the time since the configuration was last confirmed to be the
	// newest.
	ConfigurationAge func() time.Duration
	// Placer returns the placer of a service.
	Placer func(slugname.Service) *slugplacement.Placer
	// Budget returns the retry budget of a service.
	Budget func(slugname.Service) *slugbudget.Budget
	// Hedger decides on the extra attempts of a service. It may be nil, and may return nil:
	// then there are none.
	Hedger func(slugname.Service) *slughedge.Hedger
	// Quarantine returns the tracker of crashing requests of a service.
	Quarantine func(slugname.Service) *slugquarantine.Tracker
	// EndpointFailed is called when an endpoint broke off an attempt or does not answer, or,
	// with refused set, when it refused the connection.
	EndpointFailed func(s slugname.Service, e slugplacement.Endpoint, refused bool)
	// Noticed is called with what a response says about the endpoint that gave it; it may be
	// nil. The endpoint is the one to which the request was sent.
	Noticed func(s slugname.Service, e slugplacement.Endpoint, h ResponseHead)
	// Registered reports whether an endpoint is registered in an incarnation, even if it takes
	// no new requests; nil means that all are.
	Registered func(s slugname.Service, e slugname.Endpoint, incarnation int64) bool
	// Codec encodes requests to endpoints and decodes their responses.
	Codec Codec
	// Announce announces a prompt to the owner of the chosen endpoint, and returns the
	// owner's forecast of the wait and the cache that the prompt will find there; false
	// means that there is none. The owner declines or defers a prompt by the terms, and holds
	// the answer to a deferred one for up to hold until it has its turn. WithdrawAnnouncement
	// withdraws an announcement. Both may be nil.
	Announce             func(ctx context.Context, s slugname.Service, c *slugplacement.Choice, t slugplacement.Terms, hold time.Duration) (slugplacement.Forecast, bool)
	WithdrawAnnouncement func(slugname.Service, *slugplacement.Choice, slugplacement.Forecast)
	// Open sends a request to an endpoint and reads the header of the response.
	Open func(context.Context, slugsend.Request) (*slugsend.Exchange, error)
	// Origin finds the software version that began the stream of an earlier request, and
	// StreamBegan records which one began that of a request. Both may be nil: then streams go
	// on at any version.
	Origin      func(context.Context, slugname.Service, RequestID) Origin
	StreamBegan func(slugname.Service, RequestID, slugname.SoftwareVersion)
	// StartKnown reports whether an endpoint is known to be in the start that its registry entry
	// describes, and with it in that software version, or was after since. AwaitStart waits for
	// a while until it is known, and CheckStart finds it out in the background. Each may be nil:
	// then entries are taken to be up to date.
	StartKnown func(address string, incarnation int64, since time.Time) bool
	AwaitStart func(address string, incarnation int64) bool
	CheckStart func(address string, incarnation int64)
	// StartStated is called with the start that an endpoint stated in its answer to a prefill
	// request, 0 if none, and when that was sent; it may be nil.
	StartStated func(address string, incarnation int64, sentAt time.Time)
	// TakeQuota takes the cost of a request from the quota of its workspace, and returns false
	// and the time after which the quota allows it if that is exceeded. ReturnQuota gives back
	// the cost of a request that did not run, age after it was taken. They are called only for
	// workspaces with a quota.
	TakeQuota   func(ctx context.Context, w slugname.Workspace, cost float64) (ok bool, retryAfter time.Duration)
	ReturnQuota func(w slugname.Workspace, cost float64, age time.Duration)
	// Started is called once for each request that began to run.
	Started func(slugname.Workspace)
	// Ended is called at the end of each request that was admitted.
	Ended func(Outcome)
	Log   *slugevent.Log
}

// Dispatcher forwards requests to endpoints.
type Dispatcher struct {
	cfg Config
	// running is the number of requests in progress.
	running atomic.Int64
	// endBy is the latest deadline of new requests; nil means that there is none.
	endBy atomic.Pointer[time.Time]
}

// New returns a Dispatcher.
func New(cfg Config) *Dispatcher {
	if cfg.Ended == nil {
		cfg.Ended = func(Outcome) {}
	}
	if cfg.Hedger == nil {
		cfg.Hedger = func(slugname.Service) *slughedge.Hedger { return nil }
	}
	if cfg.Noticed == nil {
		cfg.Noticed = func(slugname.Service, slugplacement.Endpoint, ResponseHead) {}
	}
	if cfg.StartKnown == nil || cfg.AwaitStart == nil || cfg.CheckStart == nil {
		cfg.StartKnown = func(string, int64, time.Time) bool { return true }
		cfg.AwaitStart, cfg.CheckStart = func(string, int64) bool { return true }, func(string, int64) {}
	}
	if cfg.StartStated == nil {
		cfg.StartStated = func(string, int64, time.Time) {}
	}
	if cfg.Registered == nil {
		cfg.Registered = func(slugname.Service, slugname.Endpoint, int64) bool { return true }
	}
	return &Dispatcher{cfg: cfg}
}

// Running returns the number of requests in progress.
func (d *Dispatcher) Running() int64 { return d.running.Load() }

// EndBy makes the deadlines of all further requests end at t at the latest, so that their
// callers get a response before the process closes their connections.
func (d *Dispatcher) EndBy(t time.Time) { d.endBy.Store(&t) }

// dispatch is the state of one request, over all of its attempts.
type dispatch struct {
	*Dispatcher
	call     *Call
	w        http.ResponseWriter
	presence *slugpresence.Presence
	// stop ends all attempts.
	stop context.CancelCauseFunc
	// beside says why attempts are made beside another one; empty if they are not.
	beside     string
	table      *slugrouting.Table
	route      *slugrouting.Route
	service    *slugrouting.Service
	workspace  *slugrouting.Workspace
	keyHash    slugconfig.KeyHash
	placer     *slugplacement.Placer
	budget     *slugbudget.Budget
	hedger     *slughedge.Hedger
	quarantine *slugquarantine.Tracker
	subject    slugquarantine.Subject
	deadline   time.Time
	// beganAt is when the request was passed to Serve.
	beganAt slugclock.Instant
	// firstBy is when the caller leaves if no event has reached it; zero means at the deadline.
	firstBy time.Time

	// race is the contest of the attempt in progress with an extra one; nil if there is none.
	race *race
	// extraSent is set once an extra attempt was sent, and stallReplaced once a stalled prompt
	// was replaced. Neither follows the other.
	extraSent, stallReplaced bool
	// excluded holds the endpoints that must not be tried again.
	excluded []slugname.Endpoint
	// replaced holds those of them whose attempts were canceled because they were silent, and
	// that may get the request once more.
	replaced []slugname.Endpoint
	// ranAt holds the endpoints at which the request may have run.
	ranAt []slugname.Endpoint
	// sends is the number of attempts that may have reached an endpoint.
	sends int
	// reserved are the retries taken from the budget for the next attempts.
	reserved reservation
	// prefillAccepted is set once an endpoint has processed the prompt.
	prefillAccepted bool
	// decodeSent is set once a decode request has been sent.
	decodeSent bool
	// headerWritten is set once the response header has been written to the caller.
	headerWritten bool
	// startCounted is set once the request has been passed to Config.Started.
	startCounted bool
	// version is the software version that began the stream; empty as long as any may.
	version slugname.SoftwareVersion
	// lastEvent is the ID of the last event that the caller has.
	lastEvent   string
	timeToFirst time.Duration
	// quotaTakenAt is when the cost of the request was taken from the quota of its workspace.
	quotaTakenAt time.Time
	// endpoints lists the endpoints of all attempts, for the log.
	endpoints []slugname.Endpoint
}

// Serve serves one request. It returns a *slugrefusal.Refusal if nothing was written to
// the caller, ErrTruncated if only part of a response was written, and
// ErrCallerDisconnected if the caller disconnected before anything was written.
func (d *Dispatcher) Serve(ctx context.Context, c *Call, w http.ResponseWriter) error {
	d.running.Add(1)
	defer d.running.Add(-1)
	req := &dispatch{Dispatcher: d, call: c, w: w, presence: slugpresence.Of(ctx), beganAt: slugclock.Now(), lastEvent: c.ResumeAfter}
	if req.presence.Left(ctx) {
		d.cfg.Log.Emit(slugevent.CallerLeft, slugevent.Fields{"request": c.ID, "timing": req.presence.Timing()})
		return ErrCallerDisconnected
	}
	if refusal := req.admit(); refusal != nil {
		req.logRefusal(refusal)
		return refusal
	}
	if refusal := req.takeQuota(ctx); refusal != nil {
		req.logRefusal(refusal)
		return refusal
	}
	req.budget.RecordRequest(time.Now())
	if req.hedger != nil {
		req.hedger.RecordRequest()
	}
	ctx, req.stop = context.WithCancelCause(ctx)
	defer req.stop(nil)
	ctx, cancel := context.WithDeadlineCause(ctx, req.deadline, errDeadline)
	defer cancel()
	err := req.forward(ctx)
	req.returnQuota(err)
	req.reportOutcome(err)
	return err
}

// errDeadline is the cancellation cause of a request that reached its deadline.
var errDeadline = errors.New("request deadline exceeded")

// admit checks the request against the configuration and prepares its dispatch.
func (d *dispatch) admit() *slugrefusal.Refusal {
	d.table = d.cfg.Table()
	if d.table == nil {
		return slugrefusal.NotRun(slugrefusal.CodeNotReady, "no configuration is loaded yet").WithRetryAfter(transientRetryAfter)
	}
	if refusal := d.matchRoute(); refusal != nil {
		return refusal
	}
	if !d.route.Open {
		if refusal := d.authenticate(); refusal != nil {
			return refusal
		}
	}
	return d.prepare()
}

// matchRoute finds the route. While the configuration may be out of date, it does not
// claim that a route is unknown, since a newer configuration may have it.
func (d *dispatch) matchRoute() *slugrefusal.Refusal {
	d.route = d.table.Match(d.call.Host, d.call.Path)
	switch {
	case d.route != nil:
		return nil
	case !d.cfg.Fresh():
		return slugrefusal.NotRun(slugrefusal.CodeCutOff, "the configuration may be out of date").WithRetryAfter(transientRetryAfter)
	}
	return slugrefusal.NotRun(slugrefusal.CodeRouteUnknown, "no route for %s", d.call.Path)
}

func (d *dispatch) authenticate() *slugrefusal.Refusal {
	if !d.cfg.Fresh() {
		return slugrefusal.NotRun(slugrefusal.CodeCutOff, "the configuration may be out of date").WithRetryAfter(transientRetryAfter)
	}
	if d.call.Key == "" {
		return slugrefusal.NotRun(slugrefusal.CodeKeyMissing, "an API key is required")
	}
	w, ok := d.table.Authenticate(d.call.Key)
	if !ok {
		return slugrefusal.NotRun(slugrefusal.CodeKeyUnknown, "the API key is unknown")
	}
	d.workspace, d.keyHash = w, slugconfig.HashKey(d.call.Key)
	return nil
}

// prepare selects the service, sets the deadline, and refuses quarantined requests.
func (d *dispatch) prepare() *slugrefusal.Refusal {
	name := d.route.Pick(rand.Float64())
	d.service = d.table.Service(name)
	if d.service == nil {
		return slugrefusal.NotRun(slugrefusal.CodeServiceUnknown, "service %s is not configured", name)
	}
	d.placer, d.budget, d.hedger = d.cfg.Placer(name), d.cfg.Budget(name), d.cfg.Hedger(name)
	timeout := d.call.Timeout
	if timeout <= 0 || d.route.Timeout > 0 && d.route.Timeout < timeout {
		timeout = d.route.Timeout
	}
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	d.deadline = d.call.Received.Add(timeout - responseMargin)
	if t := d.endBy.Load(); t != nil && t.Before(d.deadline) {
		d.deadline = *t
		if refusal := d.refuseUnfinishable(); refusal != nil {
			return refusal
		}
	}
	if d.remaining() <= 0 {
		return slugrefusal.NotRun(slugrefusal.CodeDeadline, "the deadline passed before the request was read")
	}
	if d.route.Patience > 0 {
		d.firstBy = d.call.Received.Add(d.route.Patience - responseMargin)
	}
	d.quarantine = d.cfg.Quarantine(name)
	d.subject = slugquarantine.NewSubject(d.workspaceName(), d.call.Path, d.call.Body, d.call.Prompt.PartIDs())
	return d.refuseQuarantined()
}

// usualTimeMargin is the factor by which requests may take longer than usual.
const usualTimeMargin = 1.25

// refuseUnfinishable refuses a request whose deadline is the end of this process, and that
// usually takes longer.
func (d *dispatch) refuseUnfinishable() *slugrefusal.Refusal {
	role := slugplan.Role("")
	if d.isGenerated() {
		role = slugplan.RoleDecode
	}
	usual := d.placer.UsualTime(role, time.Now())
	if time.Duration(usualTimeMargin*float64(usual)) <= d.remaining() {
		return nil
	}
	return slugrefusal.NotRun(slugrefusal.CodeNotReady, "this host stops, and requests of the service usually take %s", usual.Round(time.Millisecond)).WithRetryAfter(time.Duration(rand.Int64N(int64(transientRetryAfter))))
}

// isGenerated reports whether an engine generates the response as a stream.
func (d *dispatch) isGenerated() bool {
	return d.service.Engine != nil && d.route.Kind == slugrouting.Stream
}

// refuseQuarantined refuses a request that crashes endpoints, as others did that had
// something in common with it.
func (d *dispatch) refuseQuarantined() *slugrefusal.Refusal {
	v, ok := d.quarantine.Find(d.subject, time.Now())
	if !ok {
		return nil
	}
	if v.Trait.Scope == slugquarantine.ScopePart {
		return slugrefusal.NotRun(slugrefusal.CodeQuarantinedUnrun, "part %s of the prompt is quarantined because requests with it crashed endpoints (%016x)", d.partID(v.Trait), v.Trait.Hash)
	}
	return slugrefusal.NotRun(slugrefusal.CodeQuarantinedUnrun, "the request is quarantined because it crashed endpoints (%016x)", v.Trait.Hash)
}

// partID returns the ID of the part of the prompt that a trait stands for.
func (d *dispatch) partID(t slugquarantine.Trait) string {
	for _, id := range d.call.Prompt.PartIDs() {
		if slugquarantine.PartTrait(id) == t {
			return id
		}
	}
	return ""
}

// stopQuarantined ends a request that was quarantined while it was in progress. Such a
// request is not sent again, even if it may have run.
func (d *dispatch) stopQuarantined() error {
	if refusal := d.refuseQuarantined(); refusal != nil {
		return noRetry(refusal)
	}
	return nil
}

const (
	// DefaultTimeout bounds requests for which neither the caller nor the route sets a
	// timeout.
	DefaultTimeout = 30 * time.Second
	// responseMargin is the part of the timeout that is reserved for sending the
	// response to the caller.
	responseMargin = 20 * time.Millisecond
	// transientRetryAfter is the retry delay for refusals with a transient cause.
	transientRetryAfter = 400 * time.Millisecond
)

// workspaceName returns the caller's workspace, empty on open routes.
func (d *dispatch) workspaceName() slugname.Workspace {
	if d.workspace == nil {
		return ""
	}
	return d.workspace.Name
}

// reauthorize refuses a request whose key is no longer in the configuration in effect,
// or whose configuration is no longer fresh, since keys may be revoked while a request
// is in progress. Its callers ignore the refusal once the request may have run.
func (d *dispatch) reauthorize() *slugrefusal.Refusal {
	if d.route.Open {
		return nil
	}
	if !d.cfg.Fresh() {
		return slugrefusal.NotRun(slugrefusal.CodeCutOff, "the configuration may be out of date").WithRetryAfter(transientRetryAfter)
	}
	if t := d.cfg.Table(); t != nil && t.Version != d.table.Version && !t.HasKey(d.workspace.Name, d.keyHash) {
		return slugrefusal.NotRun(slugrefusal.CodeKeyUnknown, "the API key was withdrawn")
	}
	return nil
}

// forward serves the request by the method that its route and service call for.
func (d *dispatch) forward(ctx context.Context) error {
	if d.isGenerated() {
		return d.stream(ctx)
	}
	return d.plain(ctx)
}

// remaining returns the time until the deadline.
func (d *dispatch) remaining() time.Duration { return time.Until(d.deadline) }

// remainingWithSuspensions returns the time until the deadline, to which a time in which the host was
// suspended counts.
func (d *dispatch) remainingWithSuspensions() time.Duration {
	return d.beganAt.Until(d.deadline)
}

// checkTime fails if the deadline has passed.
func (d *dispatch) checkTime() error {
	if d.remainingWithSuspensions() <= 0 {
		return slugsend.ErrTimeOver
	}
	return nil
}

// setRemaining sets the time until the deadline in the header of a request.
func (d *dispatch) setRemaining(h http.Header) {
	d.cfg.Codec.SetRemaining(h, d.remainingWithSuspensions())
}

// target returns the parameters of an attempt at the chosen endpoint.
func (d *dispatch) target(choice *slugplacement.Choice) Target {
	return Target{
		Address: choice.Address, Endpoint: choice.Name, Workspace: d.workspaceName(), Remaining: d.remaining(),
		Priority: d.route.PriorityFor(d.workspace), FetchFrom: choice.FetchFrom, ResumeAfter: d.lastEvent,
		Idempotent: d.route.Idempotent(),
	}
}

// callerError converts the cause of a failed request into the error that Serve returns.
func (d *dispatch) callerError(ctx context.Context, cause error) error {
	var refusal *slugrefusal.Refusal
	switch {
	case d.headerWritten:
		return truncated{ErrTruncated, cause}
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline):
		return ErrCallerDisconnected
	case len(d.ranAt) == 0 && errors.As(cause, &refusal):
		return refusal
	case len(d.ranAt) > 0:
		code := slugrefusal.CodeEndpointFailed
		if d.remaining() <= 0 {
			code = slugrefusal.CodeTimeout
		}
		return slugrefusal.MayHaveRun(code, "%v", cause)
	case d.remaining() <= 0, errors.Is(context.Cause(ctx), errDeadline):
		return slugrefusal.NotRun(slugrefusal.CodeDeadline, "%v", cause)
	}
	return slugrefusal.NotRun(slugrefusal.CodeOverloaded, "%v", cause).WithRetryAfter(d.retryAfter())
}

// retryAfter returns a random retry delay, so that refused callers do not all return at
// once. If the endpoints asked to be left alone, it is not before the first of them wants
// requests again, even if the caller does not wait so long.
func (d *dispatch) retryAfter() time.Duration {
	spread := time.Duration(rand.Int64N(int64(transientRetryAfter)))
	if wait := d.untilWanted(); wait > 0 {
		return wait + spread
	}
	return min(transientRetryAfter/2+spread, max(d.remaining()/3, 0))
}

// untilWanted returns the time until endpoints of each role that the request needs want
// requests again.
func (d *dispatch) untilWanted() (longest time.Duration) {
	for _, r := range []slugplan.Role{"", slugplan.RolePrefill, slugplan.RoleDecode} {
		longest = max(longest, d.placer.UntilWanted(r, time.Now()))
	}
	return longest
}

// logAttemptFailure logs a failed attempt. interrupted reports that the endpoint broke off
// the attempt; the parts of the prompt tell which of them the lost requests had in common.
func (d *dispatch) logAttemptFailure(c *slugplacement.Choice, stage string, interrupted bool, cause error) {
	if d.race.lost(d) {
		return // The end of the extra attempt is logged.
	}
	f := slugevent.Fields{
		"request": d.call.ID, "endpoint": c.Name, "stage": stage, "route": d.route.Name, "leftMs": d.remaining().Milliseconds(),
		"interrupted": interrupted,
	}
	if interrupted {
		f["parts"] = d.call.Prompt.PartIDs()
	}
	d.cfg.Log.Error(slugevent.AttemptFailed, cause, f)
}

// countStart reports to Config.Started, once per request, that the request began to run.
func (d *dispatch) countStart() {
	if d.startCounted {
		return
	}
	d.startCounted = true
	if d.race.countStart() {
		d.cfg.Started(d.workspaceName())
	}
}

// logRefusal logs a request that was refused before it was sent anywhere.
func (d *dispatch) logRefusal(r *slugrefusal.Refusal) {
	f := slugevent.Fields{
		"request": d.call.ID, "code": r.Code, "reason": r.Message, "ran": r.Ran, "retryAfterMs": r.RetryAfter.Milliseconds(), "timing": d.presence.Timing(),
	}
	if d.table != nil {
		f["configuration"], f["wordAgeMs"] = d.table.Version, d.cfg.ConfigurationAge().Milliseconds()
	}
	d.cfg.Log.Emit(slugevent.RequestRefused, f)
}

// reportOutcome logs the end of a request and reports it to Config.Ended.
func (d *dispatch) reportOutcome(err error) {
	took := time.Since(d.call.Received)
	d.cfg.Ended(Outcome{d.route.Name, d.workspaceName(), d.service.Name, d.timeToFirst, took, d.route.Objective, err})
	f := slugevent.Fields{
		"request": d.call.ID, "route": d.route.Name, "service": d.service.Name, "workspace": d.workspaceName(),
		"endpoints": d.endpoints, "firstMs": d.timeToFirst.Milliseconds(), "tookMs": took.Milliseconds(), "sends": d.sends,
		"configuration": d.table.Version, "wordAgeMs": d.cfg.ConfigurationAge().Milliseconds(), "timing": d.presence.Timing(),
	}
	var refusal *slugrefusal.Refusal
	switch {
	case err == nil:
		d.cfg.Log.Emit(slugevent.RequestServed, f)
	case errors.As(err, &refusal) && refusal.Ran == slugrefusal.RanNo:
		f["code"], f["reason"], f["ran"], f["retryAfterMs"] = refusal.Code, refusal.Message, refusal.Ran, refusal.RetryAfter.Milliseconds()
		d.cfg.Log.Emit(slugevent.RequestRefused, f)
	default:
		d.cfg.Log.Error(slugevent.RequestFailed, err, f)
	}
}

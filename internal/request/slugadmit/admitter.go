// Package slugadmit implements admission of requests: authentication, authorization,
// rate and concurrency limits, reading the body, and queueing for an endpoint.
//
// # Usage
//
//	c, refusal := admitter.Begin(r)
//	refusal = admitter.ReadBody(w, r, c)
//	assignment, refusal := admitter.Wait(ctx, c, work)
package slugadmit

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugpresence"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
	"github.com/sassafraslug/sassafraslug/internal/decision/sluglimit"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpick"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugqueue"
	"github.com/sassafraslug/sassafraslug/internal/fleet/slugfleet"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
	"golang.org/x/sync/semaphore"
)

// Config configures an Admitter.
type Config struct {
	// Snapshot returns the configuration in effect, nil until the first one is loaded.
	Snapshot func() *slugconfig.Snapshot
	// CutOff returns a refusal while this host cannot confirm that its configuration
	// is still in effect, else nil.
	CutOff func() *slugrefusal.Refusal
	Fleet  *slugfleet.Fleet
	Limits *sluglimit.Limiter
	// MaxBodyBytes is the maximum size of one request body.
	MaxBodyBytes int64
	// MemoryBytes bounds the memory for the bodies of all requests in progress.
	MemoryBytes int64
	// BodyTimeout bounds the time to read one body.
	BodyTimeout time.Duration
}

// Admitter admits the requests of one gate.
type Admitter struct {
	cfg    Config
	memory *semaphore.Weighted
}

// New returns an Admitter.
func New(cfg Config) *Admitter {
	return &Admitter{cfg: cfg, memory: semaphore.NewWeighted(cfg.MemoryBytes)}
}

// RequestID identifies a request at endpoints and in logs.
type RequestID string

// requestIDBytes is the length of a request ID before hex encoding.
const requestIDBytes = 12

// NewRequestID returns a random request ID.
func NewRequestID() RequestID {
	b := make([]byte, requestIDBytes)
	_, _ = rand.Read(b)
	return RequestID(hex.EncodeToString(b))
}

// Call is the state of one request.
type Call struct {
	ID RequestID
	// Received is when the head of the request had arrived, and readAt when it was read.
	Received time.Time
	readAt   slugclock.Instant
	Key      Key
	Hash     slugconfig.KeyHash
	// Workspace is empty on open routes, which do not authenticate.
	Workspace slugname.Workspace
	Service   *slugmanifest.Service
	Class     slugmanifest.Class
	// Deadline is the time by which the response should be complete.
	Deadline time.Time
	Body     []byte
	// Open is set if the route needs no API key.
	Open bool
	// Started is set once an endpoint may have received the request. From then on the
	// revocation of its key no longer ends its wait in the queue, and the wait may go
	// beyond its deadline.
	Started bool
	// releases holds the functions that release the memory and the limits that the call
	// holds.
	releases []func()
}

// CheckTime fails if the call must not be handed to an endpoint any more, since its deadline has
// passed. A started call goes on beyond it.
func (c *Call) CheckTime() error {
	if !c.Started && c.readAt.Until(c.Deadline) <= 0 {
		return slugsend.ErrTimeOver
	}
	return nil
}

// LogFields returns the fields of the log line about the end of a request.
func (c *Call) LogFields(ctx context.Context) slugevent.Fields {
	f := slugevent.Fields{
		"request": c.ID, "workspace": c.Workspace, "tookMs": time.Since(c.Received).Milliseconds(), "timing": slugpresence.Of(ctx).Timing(),
	}
	if c.Service != nil {
		f["service"] = c.Service.Name
	}
	return f
}

// AttemptCause says why an attempt is made, for the log.
func AttemptCause(repeated bool) string {
	if repeated {
		return "retry"
	}
	return "first"
}

// Release releases the memory and the limits that the call holds.
func (c *Call) Release() {
	for _, f := range c.releases {
		f()
	}
	c.releases = nil
}

// defaultDeadlines holds, by class, the time that a request without a deadline header
// gets.
var defaultDeadlines = map[slugmanifest.Class]time.Duration{
	slugmanifest.ClassInteractive: 30 * time.Second,
	slugmanifest.ClassStandard:    2 * time.Minute,
	slugmanifest.ClassBatch:       time.Hour,
}

// Request headers that callers may set.
const (
	// DeadlineHeader is the timeout of the request in milliseconds.
	DeadlineHeader = "Sassafraslug-Deadline-Ms"
	// ClassHeader is the priority class of the request.
	ClassHeader = "Sassafraslug-Class"
)

// maxDeadline is the longest timeout that a caller may ask for.
const maxDeadline = 24 * time.Hour

// Begin creates the call of a request and reads its class and deadline. It returns a
// call even if it refuses the request.
func (a *Admitter) Begin(r *http.Request) (*Call, *slugrefusal.Refusal) {
	c := &Call{ID: NewRequestID(), Received: slugpresence.Of(r.Context()).MarkRead(), readAt: slugclock.Now(), Class: slugmanifest.ClassStandard}
	if x := r.Header.Get(ClassHeader); x != "" {
		c.Class = slugmanifest.Class(x)
	}
	if !c.Class.Valid() {
		return c, slugrefusal.NotRun(slugrefusal.CodeRequestMalformed, "header %s: %q: interactive, standard or batch", ClassHeader, c.Class)
	}
	c.Deadline = c.Received.Add(defaultDeadlines[c.Class])
	if x := r.Header.Get(DeadlineHeader); x != "" {
		ms, err := strconv.ParseInt(x, 10, 64)
		if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
			return c, slugrefusal.NotRun(slugrefusal.CodeRequestMalformed, "header %s: %q: 1 to %d", DeadlineHeader, x, maxDeadline.Milliseconds())
		}
		c.Deadline = c.Received.Add(time.Duration(ms) * time.Millisecond)
	}
	return c, nil
}

// Authenticate looks up the workspace of the API key. It must be called for every
// request, since a key may be revoked while a connection is open.
func (a *Admitter) Authenticate(r *http.Request, c *Call) *slugrefusal.Refusal {
	s := a.cfg.Snapshot()
	if s == nil {
		return slugrefusal.NotRun(slugrefusal.CodeNotReady, "no configuration is in force yet").WithRetryAfter(time.Second)
	}
	if refusal := a.cfg.CutOff(); refusal != nil {
		return refusal
	}
	k, ok := FindKey(r)
	if !ok {
		return slugrefusal.NotRun(slugrefusal.CodeKeyMissing, "a key is needed: Authorization: Bearer KEY")
	}
	c.Key, c.Hash = k, slugconfig.HashKey(string(k))
	c.Workspace, ok = s.Authenticate(c.Hash)
	if !ok {
		return slugrefusal.NotRun(slugrefusal.CodeKeyUnknown, "the key is not known or was withdrawn")
	}
	return nil
}

// Authorize checks that the workspace may use the service and the class, and acquires
// the limits of the workspace.
func (a *Admitter) Authorize(c *Call) *slugrefusal.Refusal {
	s := a.cfg.Snapshot()
	if c.Open && c.Workspace == "" {
		return nil
	}
	if !s.Allowed(c.Workspace, c.Service.Name) {
		return slugrefusal.NotRun(slugrefusal.CodeForbidden, "workspace %q may not use service %q", c.Workspace, c.Service.Name)
	}
	if !s.AllowsClass(c.Workspace, c.Class) {
		return slugrefusal.NotRun(slugrefusal.CodeForbidden, "workspace %q may not use class %q", c.Workspace, c.Class)
	}
	w := s.Workspace(c.Workspace)
	release, after, ok := a.cfg.Limits.Acquire(c.Workspace, w.Limits)
	if !ok {
		return slugrefusal.NotRun(slugrefusal.CodeLimit, "workspace %q has reached its request limit", c.Workspace).WithRetryAfter(after)
	}
	c.releases = append(c.releases, release)
	return nil
}

// Valid reports whether the call is still authorized. Started calls always are.
func (a *Admitter) Valid(c *Call) bool {
	if c.Started || c.Open && c.Workspace == "" {
		return true
	}
	s := a.cfg.Snapshot()
	w, ok := s.Authenticate(c.Hash)
	return ok && w == c.Workspace && s.Allowed(w, c.Service.Name) && a.cfg.CutOff() == nil
}

// initialBodyBytes is the memory reserved at first for a body of unknown length.
const initialBodyBytes = 64 << 10

// ReadBody reads the whole body within the size, memory and time limits, and refuses a
// request whose path or body contains the API key.
func (a *Admitter) ReadBody(w http.ResponseWriter, r *http.Request, c *Call) *slugrefusal.Refusal {
	limit := a.cfg.MaxBodyBytes
	if r.ContentLength > limit {
		return bodyTooLarge(limit)
	}
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = min(initialBodyBytes, limit)
	}
	if !a.memory.TryAcquire(reserved) {
		return overloaded()
	}
	c.releases = append(c.releases, func() { a.memory.Release(reserved) })
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(a.cfg.BodyTimeout))
	defer func() { _ = http.NewResponseController(w).SetReadDeadline(time.Time{}) }()
	body, refusal := a.readAll(http.MaxBytesReader(w, r.Body, limit), reserved, c)
	if refusal != nil {
		return refusal
	}
	c.Body = body
	if c.Key.Leaks(r.URL.Path, body) {
		return slugrefusal.NotRun(slugrefusal.CodeRequestMalformed, "the path or the body contains the API key, which must not be forwarded")
	}
	return nil
}

// readAll reads a body and reserves more memory as it grows.
func (a *Admitter) readAll(r io.Reader, reserved int64, c *Call) ([]byte, *slugrefusal.Refusal) {
	body := make([]byte, 0, reserved+1)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, bodyRefusal(err)
		}
		if len(body) < cap(body) {
			continue
		}
		additional := int64(cap(body))
		if !a.memory.TryAcquire(additional) {
			return nil, overloaded()
		}
		c.releases = append(c.releases, func() { a.memory.Release(additional) })
		body = append(make([]byte, 0, 2*cap(body)), body...)
	}
}

func bodyRefusal(err error) *slugrefusal.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return bodyTooLarge(tooLarge.Limit)
	}
	return slugrefusal.NotRun(slugrefusal.CodeBodyTooSlow, "the body could not be read: %s", err)
}

func bodyTooLarge(limit int64) *slugrefusal.Refusal {
	return slugrefusal.NotRun(slugrefusal.CodeBodyTooLarge, "the body is over %d bytes", limit)
}

func overloaded() *slugrefusal.Refusal {
	return slugrefusal.NotRun(slugrefusal.CodeOverloaded, "the memory for request bodies is exhausted").WithRetryAfter(time.Second)
}

// Assignment is a slot at an endpoint to which the call may be sent.
type Assignment struct {
	slugpick.Ticket
	service *slugfleet.Service
}

// Done releases the slot and reports the outcome of the attempt to the picker.
func (a *Assignment) Done(o slugpick.Outcome) {
	a.service.Picker.Done(&a.Ticket, o, time.Now())
	a.service.Queue.Wake()
}

// FirstToken reports to the picker that the first token has arrived, which ends the
// prefill.
func (a *Assignment) FirstToken() { a.service.Picker.RecordFirstToken(&a.Ticket, time.Now()) }

// promptTokensPerSecond is the number of prompt tokens that an engine processes in a
// second, for cost estimates.
const promptTokensPerSecond = 20000

// outputTokenCost is the cost of one output token, in prompt tokens.
const outputTokenCost = 16

// costOf estimates the cost of a request in seconds of an engine.
func costOf(w slugpick.Work) slugqueue.Cost {
	return slugqueue.Cost(float64(w.PromptTokens)+outputTokenCost*float64(w.OutputTokens)+1) / promptTokensPerSecond
}

// startedQueueTimeout is the minimum time that a started call may wait for another
// endpoint, even beyond its deadline.
const startedQueueTimeout = 30 * time.Second

// Wait waits in the queue of the service until an endpoint has capacity. Started calls
// skip the queue if an endpoint is available at once.
func (a *Admitter) Wait(ctx context.Context, c *Call, work slugpick.Work) (Assignment, *slugrefusal.Refusal) {
	assignment := Assignment{service: a.cfg.Fleet.Service(c.Service.Name)}
	picker := assignment.service.Picker
	if !picker.HasEndpoint() {
		return assignment, slugrefusal.NotRun(slugrefusal.CodeNoEndpoint, "service %q has no available endpoint", c.Service.Name).WithRetryAfter(time.Second)
	}
	work.Avoid = avoidFailed(work.Avoid, len(picker.Endpoints()))
	t := &slugqueue.Ticket{
		Workspace: c.Workspace, Weight: a.weight(c), Cost: costOf(work), Deadline: latestStart(c.Deadline, picker.MinDuration(work)),
		Authorized: func() bool { return a.Valid(c) }, Started: c.Started,
	}
	if c.Started {
		work.IgnoreCapacity = !work.Suspect
		t.Deadline = Later(c.Deadline, time.Now().Add(startedQueueTimeout))
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t.TryStart = func() (ok bool) {
		if assignment.Ticket, ok = picker.Pick(work, time.Now()); !ok && mustNotWait(picker, work, t) {
			cancel(errUnwanted)
		}
		return ok
	}
	if c.Started && t.TryStart() {
		return assignment, nil
	}
	err := assignment.service.Queue.Wait(ctx, t)
	if err != nil && errors.Is(context.Cause(ctx), errUnwanted) {
		// The next request in the queue is refused as well.
		assignment.service.Queue.Wake()
		return assignment, unwantedRefusal(picker.UntilWanted(work, time.Now()), c)
	}
	return assignment, waitRefusal(err, c)
}

// latestStart returns the latest time at which work of the given duration can start and
// meet the deadline. Since the duration is an estimate, a request may always spend at
// least half of its remaining time in the queue.
func latestStart(deadline time.Time, duration time.Duration) time.Time {
	return deadline.Add(-min(duration, time.Until(deadline)/2))
}

func (a *Admitter) weight(c *Call) int {
	if w := a.cfg.Snapshot().Workspace(c.Workspace); w != nil {
		return w.Weight
	}
	return 1
}

// avoidFailed returns the failed endpoints, which the picker must avoid, or nil if there
// are no others.
func avoidFailed(failed []slugname.Endpoint, total int) []slugname.Endpoint {
	if len(failed) >= total {
		return nil
	}
	return failed
}

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func waitRefusal(err error, c *Call) *slugrefusal.Refusal {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, slugqueue.ErrFull):
		return slugrefusal.NotRun(slugrefusal.CodeOverloaded, "the queue of service %q is full", c.Service.Name).WithRetryAfter(time.Second)
	case errors.Is(err, slugqueue.ErrUnauthorized):
		return slugrefusal.NotRun(slugrefusal.CodeKeyUnknown, "the key was withdrawn while the request was queued")
	case errors.Is(err, slugqueue.ErrDeadline):
		return slugrefusal.NotRun(slugrefusal.CodeDeadline, "the deadline cannot be met").WithRetryAfter(time.Second)
	default:
		return slugrefusal.NotRun(slugrefusal.CodeDeadline, "the caller disconnected")
	}
}

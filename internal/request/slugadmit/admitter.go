// Package slugadmit holds the steps that every request takes before it is sent:
// authentication, rights, limits, the body, and the wait for an endpoint.
//
// # Usage
//
//	c, refusal := admitter.Begin(r)
//	refusal = admitter.ReadBody(w, r, c)
//	pass, refusal := admitter.Wait(ctx, c, work)
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
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/sluglimit"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpick"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugqueue"
	"github.com/sassafraslug/sassafraslug/internal/fleet/slugfleet"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
	"golang.org/x/sync/semaphore"
)

// Config makes an Admitter.
type Config struct {
	// Snapshot returns the configuration in force, nil before the first.
	Snapshot func() *slugconfig.Snapshot
	// CutOff returns a refusal while this host cannot know that its configuration
	// is in force, else nil.
	CutOff func() *slugrefusal.Refusal
	Fleet  *slugfleet.Fleet
	Limits *sluglimit.Limiter
	// MaxBodyBytes bounds one body.
	MaxBodyBytes int64
	// MemoryBytes bounds the bodies of all requests together.
	MemoryBytes int64
	// BodyTimeout bounds the time to read a body.
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

// RequestID identifies a request at the endpoint and in logs.
type RequestID string

// requestIDBytes is the length of an id before encoding.
const requestIDBytes = 12

// NewRequestID returns a fresh id.
func NewRequestID() RequestID {
	b := make([]byte, requestIDBytes)
	_, _ = rand.Read(b)
	return RequestID(hex.EncodeToString(b))
}

// Call is a request on its way.
type Call struct {
	ID       RequestID
	Received time.Time
	Key      Key
	Hash     slugconfig.KeyHash
	// Workspace is empty on open routes without a key.
	Workspace slugname.Workspace
	Service   *slugmanifest.Service
	Class     slugmanifest.Class
	// Deadline is when the answer should be complete.
	Deadline time.Time
	Body     []byte
	// Open routes need no key.
	Open bool
	// Started calls have been sent to an endpoint. They are seen through to their
	// end, though their key is withdrawn or their deadline passes.
	Started  bool
	releases []func()
}

// Release gives back what the call holds.
func (c *Call) Release() {
	for _, f := range c.releases {
		f()
	}
	c.releases = nil
}

// Deadlines of requests that name none, by class.
var defaultDeadlines = map[slugmanifest.Class]time.Duration{
	slugmanifest.ClassInteractive: 30 * time.Second,
	slugmanifest.ClassStandard:    2 * time.Minute,
	slugmanifest.ClassBatch:       time.Hour,
}

// Headers of callers.
const (
	// DeadlineHeader is the time in which the answer is wanted, in milliseconds.
	DeadlineHeader = "Sassafraslug-Deadline-Ms"
	// ClassHeader is the urgency of the request.
	ClassHeader = "Sassafraslug-Class"
)

// maxDeadline bounds the time that a caller may ask for.
const maxDeadline = 24 * time.Hour

// Begin reads the class and the deadline of a request.
func (a *Admitter) Begin(r *http.Request) (*Call, *slugrefusal.Refusal) {
	c := &Call{ID: NewRequestID(), Received: time.Now(), Class: slugmanifest.ClassStandard}
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

// Authenticate finds the workspace of the presented key. It must be called for
// every request, since keys are withdrawn while connections last.
func (a *Admitter) Authenticate(r *http.Request, c *Call) *slugrefusal.Refusal {
	s := a.cfg.Snapshot()
	if s == nil {
		return slugrefusal.NotRun(slugrefusal.CodeNotReady, "no configuration is in force yet").After(time.Second)
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

// Authorize checks the right to the service and the class, and takes the
// request's part of the limits.
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
		return slugrefusal.NotRun(slugrefusal.CodeLimit, "workspace %q is at its limit", c.Workspace).After(after)
	}
	c.releases = append(c.releases, release)
	return nil
}

// Valid reports whether the call still has its right.
func (a *Admitter) Valid(c *Call) bool {
	if c.Started || c.Open && c.Workspace == "" {
		return true
	}
	s := a.cfg.Snapshot()
	w, ok := s.Authenticate(c.Hash)
	return ok && w == c.Workspace && s.Allowed(w, c.Service.Name) && a.cfg.CutOff() == nil
}

// unknownLength is the memory taken first for a body of unknown length.
const unknownLength = 64 << 10

// ReadBody reads the whole body within the limits.
func (a *Admitter) ReadBody(w http.ResponseWriter, r *http.Request, c *Call) *slugrefusal.Refusal {
	limit := a.cfg.MaxBodyBytes
	if r.ContentLength > limit {
		return tooLarge(limit)
	}
	held := r.ContentLength
	if held < 0 {
		held = min(unknownLength, limit)
	}
	if !a.memory.TryAcquire(held) {
		return overloaded()
	}
	c.releases = append(c.releases, func() { a.memory.Release(held) })
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(a.cfg.BodyTimeout))
	defer func() { _ = http.NewResponseController(w).SetReadDeadline(time.Time{}) }()
	body, refusal := a.readAll(http.MaxBytesReader(w, r.Body, limit), held, c)
	if refusal != nil {
		return refusal
	}
	c.Body = body
	if c.Key.Leaks(r.URL.Path, body) {
		return slugrefusal.NotRun(slugrefusal.CodeRequestMalformed, "the path or the body contains the key, which no endpoint may see")
	}
	return nil
}

// readAll reads a body and takes more memory as it grows.
func (a *Admitter) readAll(r io.Reader, held int64, c *Call) ([]byte, *slugrefusal.Refusal) {
	body := make([]byte, 0, held+1)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, bodyError(err)
		}
		if len(body) < cap(body) {
			continue
		}
		more := int64(cap(body))
		if !a.memory.TryAcquire(more) {
			return nil, overloaded()
		}
		c.releases = append(c.releases, func() { a.memory.Release(more) })
		body = append(make([]byte, 0, 2*cap(body)), body...)
	}
}

func bodyError(err error) *slugrefusal.Refusal {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return tooLarge(large.Limit)
	}
	return slugrefusal.NotRun(slugrefusal.CodeBodyTooSlow, "the body did not arrive: %s", err)
}

func tooLarge(limit int64) *slugrefusal.Refusal {
	return slugrefusal.NotRun(slugrefusal.CodeBodyTooLarge, "the body is over %d bytes", limit)
}

func overloaded() *slugrefusal.Refusal {
	return slugrefusal.NotRun(slugrefusal.CodeOverloaded, "too many requests are held in memory").After(time.Second)
}

// Pass is an endpoint that the call may be sent to.
type Pass struct {
	slugpick.Ticket
	service *slugfleet.Service
}

// Done gives the endpoint back.
func (p *Pass) Done(o slugpick.Outcome) {
	p.service.Picker.Done(&p.Ticket, o, time.Now())
	p.service.Queue.Wake()
}

// FirstToken tells that the prefill is done.
func (p *Pass) FirstToken() { p.service.Picker.FirstToken(&p.Ticket, time.Now()) }

// costTokens is the number of prompt tokens that cost one second of an engine.
const costTokens = 20000

// outputCost is the cost of an output token in prompt tokens.
const outputCost = 16

// costOf estimates the work of a request.
func costOf(w slugpick.Work) slugqueue.Cost {
	return slugqueue.Cost(float64(w.PromptTokens)+outputCost*float64(w.OutputTokens)+1) / costTokens
}

// continueWithin is how long a started call may wait for another endpoint.
const continueWithin = 30 * time.Second

// Wait waits in the service's queue for an endpoint with room. A started call
// goes first.
func (a *Admitter) Wait(ctx context.Context, c *Call, work slugpick.Work) (Pass, *slugrefusal.Refusal) {
	pass := Pass{service: a.cfg.Fleet.Service(c.Service.Name)}
	picker := pass.service.Picker
	if !picker.Expects() {
		return pass, slugrefusal.NotRun(slugrefusal.CodeNoEndpoint, "service %q has no endpoint that takes work", c.Service.Name).After(time.Second)
	}
	work.Avoid = avoid(work.Avoid, len(picker.Endpoints()))
	t := &slugqueue.Ticket{
		Workspace: c.Workspace, Weight: a.weight(c), Cost: costOf(work), Deadline: startBy(c.Deadline, picker.Shortest(work)),
		Valid: func() bool { return a.Valid(c) }, Started: c.Started,
	}
	if c.Started {
		work.Force = !work.Suspect
		t.Deadline = Later(c.Deadline, time.Now().Add(continueWithin))
	}
	t.Try = func() (ok bool) {
		pass.Ticket, ok = picker.Pick(work, time.Now())
		return ok
	}
	if c.Started && t.Try() {
		return pass, nil
	}
	return pass, waitRefusal(pass.service.Queue.Wait(ctx, t), c)
}

// startBy returns the latest start of work that takes a time. As the length of an
// answer is an estimate, at least half of the time left may be spent in the queue.
func startBy(deadline time.Time, takes time.Duration) time.Time {
	return deadline.Add(-min(takes, time.Until(deadline)/2))
}

func (a *Admitter) weight(c *Call) int {
	if w := a.cfg.Snapshot().Workspace(c.Workspace); w != nil {
		return w.Weight
	}
	return 1
}

// avoid returns the endpoints to avoid, none when no other is left.
func avoid(failed []slugname.Endpoint, all int) []slugname.Endpoint {
	if len(failed) >= all {
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
		return slugrefusal.NotRun(slugrefusal.CodeOverloaded, "the queue of service %q is full", c.Service.Name).After(time.Second)
	case errors.Is(err, slugqueue.ErrWithdrawn):
		return slugrefusal.NotRun(slugrefusal.CodeKeyUnknown, "the key was withdrawn while the request waited")
	case errors.Is(err, slugqueue.ErrDeadline):
		return slugrefusal.NotRun(slugrefusal.CodeDeadline, "the deadline cannot be met").After(time.Second)
	default:
		return slugrefusal.NotRun(slugrefusal.CodeDeadline, "the caller went away")
	}
}

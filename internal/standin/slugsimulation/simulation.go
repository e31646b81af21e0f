// Package slugsimulation is a discrete-event simulator for routing policies. It runs a
// generated load against simulated engines in virtual time and measures the effect of
// decisions on endpoint selection, queueing and engine roles. It uses no connections or
// processes.
//
// # Usage
//
//	requests := slugsimulation.Load(loadConfig)
//	cfg := slugsimulation.Config{Engines: engines, Requests: requests, Policy: policy, Duration: time.Minute}
//	outcome := slugsimulation.New(cfg).Run()
package slugsimulation

import (
	"container/heap"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpick"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

// Request is a request of the load, with its progress.
type Request struct {
	ID        int
	Workspace slugname.Workspace
	Class     slugmanifest.Class
	// Prompt and Output are the lengths of the prompt and the response.
	Prompt slugpick.Tokens
	Output slugpick.Tokens
	// Prefix identifies the shared prefix of the prompt, of length PrefixTokens; 0 means
	// none.
	Prefix       uint64
	PrefixTokens slugpick.Tokens
	// At is the time of arrival after the start of the simulation.
	At time.Duration
	// TimeLimit is the time limit from arrival to the complete response.
	TimeLimit time.Duration

	arrivedAt    time.Time
	prefillLeft  int
	generated    int
	firstTokenAt time.Time
	lastTokenAt  time.Time
	// lateGaps is the number of gaps between tokens that exceeded the objective.
	lateGaps int
	refused  bool
	// losses is the number of times that an engine lost the request.
	losses      int
	ticket      slugpick.Ticket
	engine      *Engine
	completedAt time.Time
}

// Objectives are the latency objectives of a simulation.
type Objectives struct {
	FirstToken time.Duration
	TokenGap   time.Duration
	// GapShare is the required share of gaps between tokens that are within the objective.
	GapShare float64
}

// recordToken records that a token was generated.
func (r *Request) recordToken(now time.Time) {
	r.generated++
	if r.generated == 1 {
		r.firstTokenAt = now
	} else if now.Sub(r.lastTokenAt) > r.gap() {
		r.lateGaps++
	}
	r.lastTokenAt = now
}

// gap returns the objective for the time between tokens, which is the same for all
// requests.
func (r *Request) gap() time.Duration { return TokenGapObjective }

// TokenGapObjective is the maximum time between two tokens of a response.
const TokenGapObjective = 78 * time.Millisecond

// Met reports whether the request completed within its objectives: the time to the first
// token, the share of gaps between tokens, and the time limit of the request.
func (r *Request) Met(o Objectives) bool {
	if r.completedAt.IsZero() || r.refused {
		return false
	}
	late := float64(r.lateGaps) > (1-o.GapShare)*float64(max(1, int(r.Output)-1))
	return !late && r.firstTokenAt.Sub(r.arrivedAt) <= o.FirstToken && r.completedAt.Sub(r.arrivedAt) <= r.TimeLimit
}

// Policy routes requests. Done and Tick may be nil.
type Policy struct {
	Name string
	// Arrive is called for a new request, and again for each retry of a request that an
	// engine lost.
	Arrive func(s *Simulation, r *Request)
	// Done is called when a request has completed or was lost by an engine.
	Done func(s *Simulation, r *Request)
	// Tick is called every second, after load reports were taken.
	Tick func(s *Simulation)
}

// Event changes the simulation at a time after its start.
type Event struct {
	At    time.Duration
	Apply func(s *Simulation)
}

// Config configures a Simulation.
type Config struct {
	Engines    []*Engine
	Requests   []*Request
	Events     []Event
	Policy     Policy
	Objectives Objectives
	// ReportLag is the time until a load report is visible to the policy.
	ReportLag time.Duration
	Duration  time.Duration
	// Flooding is the workspace that exceeds its share of the load, if any.
	Flooding slugname.Workspace
}

// Simulation is the state of a simulation run.
type Simulation struct {
	cfg    Config
	Now    time.Time
	start  time.Time
	timers timerHeap
	seq    int
	// RoleChanges is the number of role changes of all engines.
	RoleChanges int
	// Spent is the cost of all endpoints in cents. It isn't implemented: nothing sets it.
	Spent float64
}

// New returns a simulation that has not started.
func New(cfg Config) *Simulation {
	start := time.Unix(1_700_000_000, 0)
	for _, e := range cfg.Engines {
		e.cache = map[uint64]int{}
	}
	return &Simulation{cfg: cfg, Now: start, start: start}
}

// Engines returns the engines that were not removed, including those that are down.
func (s *Simulation) Engines() []*Engine {
	out := make([]*Engine, 0, len(s.cfg.Engines))
	for _, e := range s.cfg.Engines {
		if !e.gone {
			out = append(out, e)
		}
	}
	return out
}

// Elapsed returns the virtual time since the start of the simulation.
func (s *Simulation) Elapsed() time.Duration { return s.Now.Sub(s.start) }

// timer is a function scheduled for a time. seq orders timers with equal times.
type timer struct {
	at  time.Time
	seq int
	run func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

// Schedule runs a function at a virtual time. Functions scheduled for the same time run
// in the order in which they were scheduled.
func (s *Simulation) Schedule(t time.Time, do func()) {
	s.seq++
	heap.Push(&s.timers, timer{t, s.seq, do})
}

// drainDuration is the time for which a simulation continues after the end of the load,
// so that pending requests can complete.
const drainDuration = 2 * time.Minute

// Run runs the simulation to its end and returns its outcome.
func (s *Simulation) Run() Outcome {
	for _, r := range s.cfg.Requests {
		s.Schedule(s.start.Add(r.At), func() {
			r.arrivedAt = s.Now
			s.cfg.Policy.Arrive(s, r)
		})
	}
	for _, e := range s.cfg.Events {
		s.Schedule(s.start.Add(e.At), func() { e.Apply(s) })
	}
	end := s.start.Add(s.cfg.Duration + drainDuration)
	s.everySecond(end)
	for s.timers.Len() > 0 {
		t := heap.Pop(&s.timers).(timer)
		if t.at.After(end) {
			break
		}
		s.Now = t.at
		t.run()
	}
	return s.outcome()
}

// everySecond takes load reports, calls the policy's Tick and schedules itself for the
// next second until the end.
func (s *Simulation) everySecond(end time.Time) {
	for _, e := range s.Engines() {
		e.reports = append(e.reports, report{s.Now, e.currentLoad(s.Now)})
	}
	if s.cfg.Policy.Tick != nil {
		s.cfg.Policy.Tick(s)
	}
	if next := s.Now.Add(time.Second); next.Before(end) {
		s.Schedule(next, func() { s.everySecond(end) })
	}
}

// VisibleReport returns the newest load report of an engine that is at least ReportLag
// old.
func (s *Simulation) VisibleReport(e *Engine) (slugpick.Report, bool) {
	for i := len(e.reports) - 1; i >= 0; i-- {
		if !e.reports[i].at.After(s.Now.Add(-s.cfg.ReportLag)) {
			return e.reports[i].Report, true
		}
	}
	return slugpick.Report{}, false
}

// Send sends a request to an engine. An engine that is down or removed loses it.
func (s *Simulation) Send(r *Request, e *Engine) {
	r.engine = e
	if e.down || e.gone {
		s.lose([]*Request{r})
		return
	}
	e.enqueue(r)
	if e.stepEnd.IsZero() && e.startStep(s.Now) {
		s.Schedule(e.stepEnd, func() { s.step(e, e.stepEnd) })
	}
}

// step finishes the step of an engine that ends at a time and starts the next. It does
// nothing if that step was abandoned by a crash.
func (s *Simulation) step(e *Engine, at time.Time) {
	if e.stepEnd.IsZero() || !e.stepEnd.Equal(at) {
		return
	}
	for _, r := range e.finishStep(s.Now) {
		r.completedAt = s.Now
		s.done(r)
	}
	if e.startStep(s.Now) {
		next := e.stepEnd
		s.Schedule(next, func() { s.step(e, next) })
	}
}

// done tells the policy that a request has completed or was lost.
func (s *Simulation) done(r *Request) {
	if s.cfg.Policy.Done != nil {
		s.cfg.Policy.Done(s, r)
	}
}

// lose reports requests as lost to the policy and retries them after retryDelay. A retry
// repeats the prefill but keeps the tokens generated so far.
func (s *Simulation) lose(lost []*Request) {
	for _, r := range lost {
		r.losses++
		r.prefillLeft = 0
		s.done(r)
		s.Schedule(s.Now.Add(retryDelay), func() { s.cfg.Policy.Arrive(s, r) })
	}
}

// retryDelay is the delay until a loss is detected and the request is retried.
const retryDelay = 20 * time.Millisecond

// Refuse marks a request as rejected.
func (s *Simulation) Refuse(r *Request) { r.refused = true }

// Crash makes an engine lose its requests and its cache and stay down for downtime.
func (s *Simulation) Crash(e *Engine, downtime time.Duration) {
	lost := e.crash()
	e.down = true
	s.lose(lost)
	s.Schedule(s.Now.Add(downtime), func() { e.down = false })
}

// Remove removes an engine permanently; its requests are lost.
func (s *Simulation) Remove(e *Engine) {
	lost := e.crash()
	e.gone = true
	s.lose(lost)
}

// SetRole changes the role of an engine and clears its cache. The new role applies to
// new requests at once; running and queued requests continue.
func (s *Simulation) SetRole(e *Engine, r slugplan.Role) {
	if e.Role == r {
		return
	}
	e.Role = r
	e.cache, e.cacheOrder = map[uint64]int{}, nil
	e.roleChanges++
	s.RoleChanges++
}

// Package slugscene plays a load against fake engines in virtual time, to measure
// decisions: which endpoint gets a request, who waits, which role an engine has.
// It is a loop over events, without connections or processes.
//
// # Usage
//
//	outcome := slugscene.New(slugscene.Config{Engines: 20, Load: load, Policy: policy}).Play()
package slugscene

import (
	"container/heap"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpick"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

// Request is one request of the load.
type Request struct {
	ID           int
	Workspace    slugname.Workspace
	Class        slugmanifest.Class
	Prompt       slugpick.Tokens
	Output       slugpick.Tokens
	Prefix       uint64
	PrefixTokens slugpick.Tokens
	At           time.Duration
	// Within is the time in which the answer is wanted.
	Within time.Duration

	arrived  time.Time
	prefill  int
	made     int
	first    time.Time
	last     time.Time
	lateGaps int
	refused  bool
	lost     int
	ticket   slugpick.Ticket
	engine   *Engine
	doneAt   time.Time
}

// Objectives are the service levels of a scene.
type Objectives struct {
	FirstToken time.Duration
	Gap        time.Duration
	// Share is the part of gaps that must be in time.
	Share float64
}

// token records one token.
func (r *Request) token(now time.Time) {
	r.made++
	if r.made == 1 {
		r.first = now
	} else if now.Sub(r.last) > r.gap() {
		r.lateGaps++
	}
	r.last = now
}

// gap is the objective between tokens of all scenes.
func (r *Request) gap() time.Duration { return GapObjective }

// GapObjective is the longest time between tokens.
const GapObjective = 78 * time.Millisecond

// Met reports whether a request met its objectives.
func (r *Request) Met(o Objectives) bool {
	if r.doneAt.IsZero() || r.refused {
		return false
	}
	late := float64(r.lateGaps) > (1-o.Share)*float64(max(1, int(r.Output)-1))
	return !late && r.first.Sub(r.arrived) <= o.FirstToken && r.doneAt.Sub(r.arrived) <= r.Within
}

// Policy decides. Its functions may be nil.
type Policy struct {
	Name string
	// Arrive takes a new request, or one that an engine lost.
	Arrive func(s *Scene, r *Request)
	// Done is told of each request that ended.
	Done func(s *Scene, r *Request)
	// Tick is called each second, after the reports.
	Tick func(s *Scene)
}

// Event changes the scene at a time.
type Event struct {
	At time.Duration
	Do func(s *Scene)
}

// Config makes a Scene.
type Config struct {
	Engines    []*Engine
	Requests   []*Request
	Events     []Event
	Policy     Policy
	Objectives Objectives
	// ReportLag delays load reports.
	ReportLag time.Duration
	Duration  time.Duration
	// Flooding is the workspace that floods, if any.
	Flooding slugname.Workspace
}

// Scene is a play under way.
type Scene struct {
	cfg    Config
	Now    time.Time
	start  time.Time
	timers timerHeap
	seq    int
	// RoleChanges counts the changes of roles.
	RoleChanges int
	// Spent is the price of all endpoints over the time, in cents.
	Spent float64
}

// New returns a Scene at its beginning.
func New(cfg Config) *Scene {
	start := time.Unix(1_700_000_000, 0)
	for _, e := range cfg.Engines {
		e.cache = map[uint64]int{}
	}
	return &Scene{cfg: cfg, Now: start, start: start}
}

// Engines returns the engines that have not gone.
func (s *Scene) Engines() []*Engine {
	out := make([]*Engine, 0, len(s.cfg.Engines))
	for _, e := range s.cfg.Engines {
		if !e.gone {
			out = append(out, e)
		}
	}
	return out
}

// Elapsed returns the time since the beginning.
func (s *Scene) Elapsed() time.Duration { return s.Now.Sub(s.start) }

// timer is something that happens at a time.
type timer struct {
	at  time.Time
	seq int
	do  func()
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

// Push appends a timer.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop removes the last timer.
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

// At makes something happen at a time.
func (s *Scene) At(t time.Time, do func()) {
	s.seq++
	heap.Push(&s.timers, timer{t, s.seq, do})
}

// drainTime is how long a scene goes on after its load.
const drainTime = 2 * time.Minute

// Play plays the scene and returns its outcome.
func (s *Scene) Play() Outcome {
	for _, r := range s.cfg.Requests {
		s.At(s.start.Add(r.At), func() {
			r.arrived = s.Now
			s.cfg.Policy.Arrive(s, r)
		})
	}
	for _, e := range s.cfg.Events {
		s.At(s.start.Add(e.At), func() { e.Do(s) })
	}
	end := s.start.Add(s.cfg.Duration + drainTime)
	s.second(end)
	for s.timers.Len() > 0 {
		t := heap.Pop(&s.timers).(timer)
		if t.at.After(end) {
			break
		}
		s.Now = t.at
		t.do()
	}
	return s.outcome()
}

// second takes reports once a second.
func (s *Scene) second(end time.Time) {
	for _, e := range s.Engines() {
		e.reports = append(e.reports, report{s.Now, e.load(s.Now)})
	}
	if s.cfg.Policy.Tick != nil {
		s.cfg.Policy.Tick(s)
	}
	if next := s.Now.Add(time.Second); next.Before(end) {
		s.At(next, func() { s.second(end) })
	}
}

// Reported returns the newest report of an engine that is old enough to be seen.
func (s *Scene) Reported(e *Engine) (slugpick.Report, bool) {
	for i := len(e.reports) - 1; i >= 0; i-- {
		if !e.reports[i].at.After(s.Now.Add(-s.cfg.ReportLag)) {
			return e.reports[i].Report, true
		}
	}
	return slugpick.Report{}, false
}

// Send gives a request to an engine. One that is down or gone loses it.
func (s *Scene) Send(r *Request, e *Engine) {
	r.engine = e
	if e.down || e.gone {
		s.lose([]*Request{r})
		return
	}
	e.push(r)
	if e.step.IsZero() && e.start(s.Now) {
		s.At(e.step, func() { s.step(e, e.step) })
	}
}

func (s *Scene) step(e *Engine, at time.Time) {
	if e.step.IsZero() || !e.step.Equal(at) {
		return
	}
	for _, r := range e.finish(s.Now) {
		r.doneAt = s.Now
		s.done(r)
	}
	if e.start(s.Now) {
		next := e.step
		s.At(next, func() { s.step(e, next) })
	}
}

func (s *Scene) done(r *Request) {
	if s.cfg.Policy.Done != nil {
		s.cfg.Policy.Done(s, r)
	}
}

// lose gives requests back to the policy, which sends them elsewhere.
func (s *Scene) lose(lost []*Request) {
	for _, r := range lost {
		r.lost++
		r.prefill = 0
		s.done(r)
		s.At(s.Now.Add(retryTime), func() { s.cfg.Policy.Arrive(s, r) })
	}
}

// retryTime is the time to notice a loss and to send a request again.
const retryTime = 20 * time.Millisecond

// Refuse refuses a request as not run.
func (s *Scene) Refuse(r *Request) { r.refused = true }

// Crash makes an engine lose everything, and work again after a time.
func (s *Scene) Crash(e *Engine, back time.Duration) {
	lost := e.crash()
	e.down = true
	s.lose(lost)
	s.At(s.Now.Add(back), func() { e.down = false })
}

// Remove makes an engine vanish for good.
func (s *Scene) Remove(e *Engine) {
	lost := e.crash()
	e.gone = true
	s.lose(lost)
}

// SetRole changes the role of an engine. It drains first: the role counts for new
// requests at once, and the cache is lost.
func (s *Scene) SetRole(e *Engine, r slugplan.Role) {
	if e.Role == r {
		return
	}
	e.Role = r
	e.cache, e.order = map[uint64]int{}, nil
	e.changes++
	s.RoleChanges++
}

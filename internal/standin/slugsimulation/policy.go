package slugsimulation

import (
	"maps"
	"slices"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpick"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugqueue"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

func sortedWorkspaces(m map[slugname.Workspace]int) []slugname.Workspace {
	return slices.Sorted(maps.Keys(m))
}

// healthy returns the engines that are not down or removed. The simple policies thus know
// of a failure at once, whereas in production the platform's endpoint list and failed
// sends reveal it within a second.
func healthy(s *Simulation) []*Engine {
	return slices.DeleteFunc(s.Engines(), func(e *Engine) bool { return e.down })
}

// RoundRobin returns a policy that sends requests to the engines in turn.
func RoundRobin() Policy {
	next := 0
	return Policy{Name: "round robin", Arrive: func(s *Simulation, r *Request) {
		engines := healthy(s)
		if len(engines) == 0 {
			s.Refuse(r)
			return
		}
		next++
		s.Send(r, engines[next%len(engines)])
	}}
}

// LeastLoaded returns a policy that sends each request to the engine with the fewest
// running and queued requests in its latest visible load report. Ties are broken in turn.
func LeastLoaded() Policy {
	next := 0
	return Policy{Name: "least loaded by report", Arrive: func(s *Simulation, r *Request) {
		engines := healthy(s)
		next++
		var best *Engine
		least := 0
		for i := range engines {
			e := engines[(next+i)%len(engines)]
			load, _ := s.VisibleReport(e)
			if x := load.Running + load.Queued; best == nil || x < least {
				best, least = e, x
			}
		}
		if best == nil {
			s.Refuse(r)
			return
		}
		s.Send(r, best)
	}}
}

// Options configure the production policy.
type Options struct {
	Name string
	// LimitPrefillDelay makes the picker limit how much prefill delays the tokens of running
	// streams, to meet TokenGapObjective.
	LimitPrefillDelay bool
	// PrefillEngines is the number of engines that are dedicated to prefill; the others
	// decode. 0 means that all engines do both.
	PrefillEngines int
	// AdaptRoles sets the roles every roleInterval to match the mix of work since the last
	// change.
	AdaptRoles bool
	// Weights are the workspaces' weights.
	Weights map[slugname.Workspace]int
}

// systemPolicy is the production policy, which uses slugqueue and slugpick.
type systemPolicy struct {
	options Options
	picker  *slugpick.Picker
	queue   *slugqueue.Queue
	byName  map[slugname.Endpoint]*Engine
	// prefillWork and decodeWork are the work that arrived since roles were last set, in
	// seconds of engine time.
	prefillWork, decodeWork float64
}

// System returns the production policy, which queues requests with slugqueue and selects
// engines with slugpick.
func System(o Options) Policy {
	policy := &systemPolicy{options: o, byName: map[slugname.Endpoint]*Engine{}, queue: slugqueue.New(slugqueue.Config{})}
	cfg := slugpick.Config{Local: "dc"}
	if o.LimitPrefillDelay {
		cfg.MaxTokenGap = func() time.Duration { return TokenGapObjective }
	}
	policy.picker = slugpick.New(cfg)
	return Policy{Name: o.Name, Arrive: policy.arrive, Done: policy.done, Tick: policy.tick}
}

func (p *systemPolicy) arrive(s *Simulation, r *Request) {
	if len(p.byName) == 0 {
		p.tick(s)
	}
	// The multiplier spreads the affinities of consecutive requests (Knuth's
	// multiplicative hash).
	work := slugpick.Work{
		Workspace: r.Workspace, Class: r.Class, PromptTokens: r.Prompt, OutputTokens: r.Output, Repeatable: true,
		Affinity: uint64(r.ID)*2654435761 + 1, IgnoreCapacity: r.losses > 0,
	}
	if r.Prefix != 0 {
		work.Blocks, work.BlockTokens = []uint64{r.Prefix}, r.PrefixTokens
	}
	speed := s.Engines()[0].Speed
	p.prefillWork += float64(r.Prompt) / speed.PrefillPerSecond
	p.decodeWork += Work(0, float64(r.Output), speed)
	t := &slugqueue.Ticket{
		Workspace: r.Workspace, Weight: p.options.Weights[r.Workspace], Cost: slugqueue.Cost(Work(float64(r.Prompt), float64(r.Output), speed)),
		Deadline: r.arrivedAt.Add(r.TimeLimit - minLatency(r, speed)),
		TryStart: func() bool {
			ticket, ok := p.picker.Pick(work, s.Now)
			r.ticket = ticket
			return ok
		},
		OnEnd: func(err error) {
			if err != nil {
				s.Refuse(r)
				return
			}
			ticket := r.ticket
			s.Schedule(s.Now, func() { s.Send(r, p.byName[ticket.Endpoint]) })
		},
	}
	if err := p.queue.Enqueue(t, s.Now); err != nil {
		s.Refuse(r)
	}
}

// minLatency returns the time that a request takes on an idle engine without cached
// prefixes.
func minLatency(r *Request, s slugplan.Speed) time.Duration {
	prefill := time.Duration(float64(r.Prompt) / s.PrefillPerSecond * float64(time.Second))
	return prefill + time.Duration(r.Output)*(s.StepBase+s.StepPerStream)
}

func (p *systemPolicy) done(s *Simulation, r *Request) {
	outcome := slugpick.OutcomeComplete
	if r.completedAt.IsZero() {
		outcome = slugpick.OutcomeFailed
	}
	p.picker.Done(&r.ticket, outcome, s.Now)
	p.queue.Dispatch(s.Now)
}

// tick sets the roles, updates the picker's endpoints and load reports, and dispatches
// queued requests.
func (p *systemPolicy) tick(s *Simulation) {
	p.setRoles(s)
	var endpoints []slugpick.Endpoint
	for _, e := range s.Engines() {
		name := slugname.Endpoint(e.Name)
		p.byName[name] = e
		endpoints = append(endpoints, slugpick.Endpoint{DataCentre: "dc", Endpoint: slugplan.Endpoint{
			Name: name, Kind: slugmanifest.KindEngine, Cheap: e.Cheap, Role: e.Role, State: slugplan.StateServing,
			Streams: e.Streams, Pieces: e.Pieces, TokensPerPiece: tokensPerPiece, Speed: e.Speed,
		}})
	}
	p.picker.SetEndpoints(endpoints)
	for _, e := range s.Engines() {
		if load, ok := s.VisibleReport(e); ok {
			p.picker.RecordReport(slugname.Endpoint(e.Name), load)
		}
	}
	p.queue.Dispatch(s.Now)
}

// roleInterval is the interval between role changes with Options.AdaptRoles.
const roleInterval = 10 * time.Second

// setRoles makes the first engines prefill engines and the others decode engines, if the
// options ask for roles.
func (p *systemPolicy) setRoles(s *Simulation) {
	engines := s.Engines()
	prefillEngines := p.options.PrefillEngines
	if p.options.AdaptRoles {
		if s.Elapsed()%roleInterval != 0 || p.prefillWork+p.decodeWork == 0 {
			return
		}
		prefillShare := p.prefillWork / (p.prefillWork + p.decodeWork)
		prefillEngines = min(len(engines)-1, max(1, int(prefillShare*float64(len(engines))+0.5)))
		p.prefillWork, p.decodeWork = 0, 0
	}
	if prefillEngines == 0 {
		return
	}
	for i, e := range engines {
		role := slugplan.RoleDecode
		if i < prefillEngines {
			role = slugplan.RolePrefill
		}
		if e.Role == "" {
			e.Role = role
			continue
		}
		s.SetRole(e, role)
	}
}

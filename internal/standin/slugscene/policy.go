package slugscene

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

// up returns the engines that are known to work. The platform's list and failed
// sends tell of the others within a second.
func up(s *Scene) []*Engine {
	return slices.DeleteFunc(s.Engines(), func(e *Engine) bool { return e.down })
}

// RoundRobin sends each request to the next engine.
func RoundRobin() Policy {
	n := 0
	return Policy{Name: "round robin", Arrive: func(s *Scene, r *Request) {
		engines := up(s)
		if len(engines) == 0 {
			s.Refuse(r)
			return
		}
		n++
		s.Send(r, engines[n%len(engines)])
	}}
}

// LeastLoaded sends each request to the engine with the fewest requests by its
// report.
func LeastLoaded() Policy {
	n := 0
	return Policy{Name: "least loaded by report", Arrive: func(s *Scene, r *Request) {
		engines := up(s)
		n++
		var best *Engine
		least := 0
		for i := range engines {
			e := engines[(n+i)%len(engines)]
			l, _ := s.Reported(e)
			if x := l.Running + l.Queued; best == nil || x < least {
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

// Options change the system's own policy.
type Options struct {
	Name string
	// Gap makes the picker avoid harm between prompts and outputs.
	Gap bool
	// Split is the number of engines that take prompts only; 0 means none.
	Split int
	// Greedy sets the roles each few seconds after the mix of the last ones.
	Greedy bool
	// Weights are the workspaces' weights.
	Weights map[slugname.Workspace]int
}

// own is the system's policy: its queue and its picker.
type own struct {
	o      Options
	picker *slugpick.Picker
	queue  *slugqueue.Queue
	byName map[slugname.Endpoint]*Engine
	// prompt and output are the work of the last seconds.
	prompt, output float64
}

// Own returns the policy of the system.
func Own(o Options) Policy {
	x := &own{o: o, byName: map[slugname.Endpoint]*Engine{}, queue: slugqueue.New(slugqueue.Config{})}
	cfg := slugpick.Config{Local: "dc"}
	if o.Gap {
		cfg.Gap = func() time.Duration { return GapObjective }
	}
	x.picker = slugpick.New(cfg)
	return Policy{Name: o.Name, Arrive: x.arrive, Done: x.done, Tick: x.tick}
}

func (x *own) arrive(s *Scene, r *Request) {
	if len(x.byName) == 0 {
		x.tick(s)
	}
	work := slugpick.Work{
		Workspace: r.Workspace, Class: r.Class, PromptTokens: r.Prompt, OutputTokens: r.Output, Repeatable: true,
		Affinity: uint64(r.ID)*2654435761 + 1, Force: r.lost > 0,
	}
	if r.Prefix != 0 {
		work.Blocks, work.BlockTokens = []uint64{r.Prefix}, r.PrefixTokens
	}
	speed := s.Engines()[0].Speed
	x.prompt += float64(r.Prompt) / speed.PrefillPerSecond
	x.output += Work(0, float64(r.Output), speed)
	t := &slugqueue.Ticket{
		Workspace: r.Workspace, Weight: x.o.Weights[r.Workspace], Cost: slugqueue.Cost(Work(float64(r.Prompt), float64(r.Output), speed)),
		Deadline: r.arrived.Add(r.Within - shortest(r, speed)),
		Try: func() bool {
			ticket, ok := x.picker.Pick(work, s.Now)
			r.ticket = ticket
			return ok
		},
		Ended: func(err error) {
			if err != nil {
				s.Refuse(r)
				return
			}
			ticket := r.ticket
			s.At(s.Now, func() { s.Send(r, x.byName[ticket.Endpoint]) })
		},
	}
	if err := x.queue.Enter(t, s.Now); err != nil {
		s.Refuse(r)
	}
}

// shortest returns the time that a request takes at an idle engine.
func shortest(r *Request, s slugplan.Speed) time.Duration {
	prefill := time.Duration(float64(r.Prompt) / s.PrefillPerSecond * float64(time.Second))
	return prefill + time.Duration(r.Output)*(s.StepBase+s.StepPerStream)
}

func (x *own) done(s *Scene, r *Request) {
	outcome := slugpick.OutcomeWhole
	if r.doneAt.IsZero() {
		outcome = slugpick.OutcomeFailed
	}
	x.picker.Done(&r.ticket, outcome, s.Now)
	x.queue.Dispatch(s.Now)
}

// tick lists the engines, takes reports and sets roles.
func (x *own) tick(s *Scene) {
	x.setRoles(s)
	var endpoints []slugpick.Endpoint
	for _, e := range s.Engines() {
		name := slugname.Endpoint(e.Name)
		x.byName[name] = e
		endpoints = append(endpoints, slugpick.Endpoint{DataCentre: "dc", Endpoint: slugplan.Endpoint{
			Name: name, Kind: slugmanifest.KindEngine, Cheap: e.Cheap, Role: e.Role, State: slugplan.StateServing,
			Streams: e.Streams, Pieces: e.Pieces, TokensPerPiece: tokensPerPiece, Speed: e.Speed,
		}})
	}
	x.picker.SetEndpoints(endpoints)
	for _, e := range s.Engines() {
		if l, ok := s.Reported(e); ok {
			x.picker.Report(slugname.Endpoint(e.Name), l)
		}
	}
	x.queue.Dispatch(s.Now)
}

// greedyEvery is the time between changes of a policy that follows the mix.
const greedyEvery = 10 * time.Second

func (x *own) setRoles(s *Scene) {
	engines := s.Engines()
	want := x.o.Split
	if x.o.Greedy {
		if s.Elapsed()%greedyEvery != 0 || x.prompt+x.output == 0 {
			return
		}
		part := x.prompt / (x.prompt + x.output)
		want = min(len(engines)-1, max(1, int(part*float64(len(engines))+0.5)))
		x.prompt, x.output = 0, 0
	}
	if want == 0 {
		return
	}
	for i, e := range engines {
		role := slugplan.RoleDecode
		if i < want {
			role = slugplan.RolePrefill
		}
		if e.Role == "" {
			e.Role = role
			continue
		}
		s.SetRole(e, role)
	}
}

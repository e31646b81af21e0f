package slugsimulation

import (
	"container/heap"
	"sort"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

// Outcome is the result of a simulation.
type Outcome struct {
	Policy   string `json:"policy"`
	Requests int    `json:"requests"`
	// Met is the number of requests that met their objectives.
	Met     int `json:"met"`
	Refused int `json:"refused"`
	// Lost is the number of times that an engine lost a request, retries included.
	Lost int `json:"lost"`
	// Tokens is the number of output tokens of the requests that met their objectives.
	Tokens      int `json:"tokens"`
	RoleChanges int `json:"roleChanges"`
	// MostChanges is the highest number of role changes of a single engine.
	MostChanges int `json:"mostChanges"`
	// WorstShare is the lowest share of requests that met their objectives, among all
	// workspaces; WorstWorkspace is the workspace that had it.
	WorstShare     float64            `json:"worst"`
	WorstWorkspace slugname.Workspace `json:"worstWorkspace"`
	// WorstOtherShare is the lowest share among the workspaces other than Config.Flooding.
	WorstOtherShare float64 `json:"worstOther"`
	// Shares is the share of requests that met their objectives, by workspace.
	Shares map[slugname.Workspace]float64 `json:"shares"`
}

// Goodput returns the share of requests that met their objectives.
func (o Outcome) Goodput() float64 {
	if o.Requests == 0 {
		return 1
	}
	return float64(o.Met) / float64(o.Requests)
}

func (s *Simulation) outcome() Outcome {
	o := Outcome{Policy: s.cfg.Policy.Name, RoleChanges: s.RoleChanges, WorstShare: 1, WorstOtherShare: 1, Shares: map[slugname.Workspace]float64{}}
	met, total := map[slugname.Workspace]int{}, map[slugname.Workspace]int{}
	for _, r := range s.cfg.Requests {
		o.Requests++
		total[r.Workspace]++
		o.Lost += r.losses
		if r.refused {
			o.Refused++
		}
		if r.Met(s.cfg.Objectives) {
			o.Met++
			met[r.Workspace]++
			o.Tokens += int(r.Output)
		}
	}
	for w, n := range total {
		share := float64(met[w]) / float64(n)
		o.Shares[w] = share
		if share < o.WorstShare {
			o.WorstShare, o.WorstWorkspace = share, w
		}
		if w != s.cfg.Flooding {
			o.WorstOtherShare = min(o.WorstOtherShare, share)
		}
	}
	for _, e := range s.cfg.Engines {
		o.MostChanges = max(o.MostChanges, e.roleChanges)
	}
	return o
}

// bestCost returns a lower bound for the engine time of a request, in seconds: its prefix
// is cached and the batch is full.
func bestCost(r *Request, e *Engine) float64 {
	prefill := float64(r.Prompt-min(r.PrefixTokens, r.Prompt)) / e.Speed.PrefillPerSecond
	step := e.Speed.StepPerStream + e.Speed.StepBase/time.Duration(e.Streams)
	return prefill + float64(r.Output)*step.Seconds()
}

// costs is a max-heap of request costs.
type costs []float64

func (c costs) Len() int           { return len(c) }
func (c costs) Less(i, j int) bool { return c[i] > c[j] }
func (c costs) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *costs) Push(x any) { *c = append(*c, x.(float64)) }

// Pop implements heap.Interface.
func (c *costs) Pop() any {
	old := *c
	x := old[len(old)-1]
	*c = old[:len(old)-1]
	return x
}

// Bound returns an upper bound for the number of requests that any policy can complete
// within their time limits, even with knowledge of the future. It relaxes the problem:
// all engines work as one, every prefix is cached, every batch is full, requests don't
// interfere with each other, and they may start before they arrive. In order of deadline
// it drops the most costly request whenever the work doesn't fit; this is the
// Moore-Hodgson algorithm, which is optimal for the relaxed problem.
func Bound(requests []*Request, engines []*Engine) int {
	byDeadline := append([]*Request(nil), requests...)
	sort.Slice(byDeadline, func(i, j int) bool {
		return byDeadline[i].At+byDeadline[i].TimeLimit < byDeadline[j].At+byDeadline[j].TimeLimit
	})
	var kept costs
	sum := 0.0
	for _, r := range byDeadline {
		cost := bestCost(r, engines[0]) / float64(len(engines))
		heap.Push(&kept, cost)
		sum += cost
		for sum > (r.At + r.TimeLimit).Seconds() {
			sum -= heap.Pop(&kept).(float64)
		}
	}
	return len(kept)
}

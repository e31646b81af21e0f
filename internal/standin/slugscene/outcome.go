package slugscene

import (
	"container/heap"
	"sort"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

// Outcome is what a play measured.
type Outcome struct {
	Policy   string `json:"policy"`
	Requests int    `json:"requests"`
	// Met are the requests that met their objectives.
	Met     int `json:"met"`
	Refused int `json:"refused"`
	Lost    int `json:"lost"`
	// Tokens are the output tokens of the requests that met their objectives.
	Tokens      int `json:"tokens"`
	RoleChanges int `json:"roleChanges"`
	// MostChanges is the greatest number of role changes of one engine.
	MostChanges int `json:"mostChanges"`
	// Worst is the least share of objectives met among the workspaces.
	Worst          float64            `json:"worst"`
	WorstWorkspace slugname.Workspace `json:"worstWorkspace"`
	// WorstOther is the least share among the workspaces that do not flood.
	WorstOther float64 `json:"worstOther"`
	// Shares is the share of objectives met by workspace.
	Shares map[slugname.Workspace]float64 `json:"shares"`
}

// Goodput returns the share of requests that met their objectives.
func (o Outcome) Goodput() float64 {
	if o.Requests == 0 {
		return 1
	}
	return float64(o.Met) / float64(o.Requests)
}

func (s *Scene) outcome() Outcome {
	o := Outcome{Policy: s.cfg.Policy.Name, RoleChanges: s.RoleChanges, Worst: 1, WorstOther: 1, Shares: map[slugname.Workspace]float64{}}
	met, all := map[slugname.Workspace]int{}, map[slugname.Workspace]int{}
	for _, r := range s.cfg.Requests {
		o.Requests++
		all[r.Workspace]++
		o.Lost += r.lost
		if r.refused {
			o.Refused++
		}
		if r.Met(s.cfg.Objectives) {
			o.Met++
			met[r.Workspace]++
			o.Tokens += int(r.Output)
		}
	}
	for w, n := range all {
		share := float64(met[w]) / float64(n)
		o.Shares[w] = share
		if share < o.Worst {
			o.Worst, o.WorstWorkspace = share, w
		}
		if w != s.cfg.Flooding {
			o.WorstOther = min(o.WorstOther, share)
		}
	}
	for _, e := range s.cfg.Engines {
		o.MostChanges = max(o.MostChanges, e.changes)
	}
	return o
}

// bestCost returns the least engine time that a request can take: its prefix is
// cached and its batch is full.
func bestCost(r *Request, e *Engine) float64 {
	prefill := float64(r.Prompt-min(r.PrefixTokens, r.Prompt)) / e.Speed.PrefillPerSecond
	step := e.Speed.StepPerStream + e.Speed.StepBase/time.Duration(e.Streams)
	return prefill + float64(r.Output)*step.Seconds()
}

// costs is a heap of request costs, the greatest first.
type costs []float64

func (c costs) Len() int           { return len(c) }
func (c costs) Less(i, j int) bool { return c[i] > c[j] }
func (c costs) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }

// Push appends a cost.
func (c *costs) Push(x any) { *c = append(*c, x.(float64)) }

// Pop removes the last cost.
func (c *costs) Pop() any {
	old := *c
	x := old[len(old)-1]
	*c = old[:len(old)-1]
	return x
}

// Bound returns a number of requests that no policy can exceed, with the future
// known: all engines together work as one, every prefix is cached, every batch is
// full, nothing disturbs anything, and requests may be begun before they arrive.
// Among requests in order of deadline it drops the most costly whenever the work
// does not fit (Moore and Hodgson's rule, which is optimal for that problem).
func Bound(requests []*Request, engines []*Engine) int {
	byDeadline := append([]*Request(nil), requests...)
	sort.Slice(byDeadline, func(i, j int) bool {
		return byDeadline[i].At+byDeadline[i].Within < byDeadline[j].At+byDeadline[j].Within
	})
	var kept costs
	sum := 0.0
	for _, r := range byDeadline {
		c := bestCost(r, engines[0]) / float64(len(engines))
		heap.Push(&kept, c)
		sum += c
		for sum > (r.At + r.Within).Seconds() {
			sum -= heap.Pop(&kept).(float64)
		}
	}
	return len(kept)
}

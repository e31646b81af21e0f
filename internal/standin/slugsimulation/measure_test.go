package slugsimulation

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// deployment describes one of the two deployments that use the system, in its current
// size.
type deployment struct {
	name    string
	engines int
	// chunk is the number of prompt tokens that an engine processes per step.
	chunk   int
	kinds   []RequestKind
	phases  []Phase
	weights map[slugname.Workspace]int
	// flood is the workspace that exceeds its share in scenarios with a flood.
	flood      slugname.Workspace
	objectives Objectives
}

var deployments = []deployment{
	{
		name: "cooperative", engines: 20, chunk: 512,
		kinds: []RequestKind{
			{Class: "standard", Prompt: [2]int{3000, 9000}, Output: [2]int{300, 600}, Shared: 2000, TimeLimit: 60 * time.Second},
			{Class: "interactive", Prompt: [2]int{200, 800}, Output: [2]int{20, 80}, TimeLimit: 5 * time.Second},
		},
		phases:     []Phase{{time.Minute, []float64{0.8, 0.2}}, {time.Minute, []float64{0.2, 0.8}}},
		weights:    map[slugname.Workspace]int{"dojo-1": 6, "dojo-2": 5, "dojo-3": 3, "dojo-4": 2, "dojo-5": 1, "dojo-6": 1, "parents": 1, "board": 1},
		flood:      "dojo-5",
		objectives: Objectives{FirstToken: 3 * time.Second, TokenGap: TokenGapObjective, GapShare: 0.95},
	},
	{
		name: "office", engines: 10, chunk: 4096,
		kinds: []RequestKind{
			{Class: "standard", Prompt: [2]int{8000, 24000}, Output: [2]int{10, 40}, Shared: 1000, TimeLimit: 60 * time.Second},
			{Class: "interactive", Prompt: [2]int{100, 400}, Output: [2]int{60, 200}, TimeLimit: 8 * time.Second},
			{Class: "batch", Prompt: [2]int{2000, 6000}, Output: [2]int{400, 900}, TimeLimit: 10 * time.Minute},
		},
		phases:     []Phase{{time.Minute, []float64{0.7, 0.2, 0.1}}, {time.Minute, []float64{0.1, 0.6, 0.3}}},
		weights:    map[slugname.Workspace]int{"desk": 6, "appraisers": 5, "schools": 2, "parishes": 2, "fitters": 1, "depot": 1, "audit": 1, "web": 1},
		flood:      "web",
		objectives: Objectives{FirstToken: 3 * time.Second, TokenGap: TokenGapObjective, GapShare: 0.95},
	},
}

func (d deployment) newEngines() []*Engine {
	var out []*Engine
	for i := range d.engines {
		out = append(out, &Engine{
			Name: fmt.Sprintf("e-%02d", i), Streams: 32, Pieces: 16000, Cheap: i%5 == 4,
			Speed: slugplan.Speed{PrefillPerSecond: 20000, StepBase: 12 * time.Millisecond, StepPerStream: 400 * time.Microsecond, Chunk: d.chunk},
		})
	}
	return out
}

// loadDuration returns the duration of the load, which is shorter with -short.
func loadDuration() time.Duration {
	if testing.Short() {
		return time.Minute
	}
	return 4 * time.Minute
}

// scenario describes the load and the failures during a simulation.
type scenario struct {
	name      string
	reportLag time.Duration
	flood     bool
	// utilization is the offered work as a share of the capacity.
	utilization float64
	events      func([]*Engine) []Event
}

var scenarios = []scenario{
	{name: "shift", utilization: 0.6},
	{name: "shift, high load", utilization: 0.85},
	{name: "flood", utilization: 0.6, flood: true},
	{name: "reports lag 2 s", utilization: 0.6, reportLag: 2 * time.Second},
	{name: "crashes", utilization: 0.6, events: crashes},
	{name: "cheap endpoints vanish", utilization: 0.6, events: removeCheap},
	{name: "flood and vanish", utilization: 0.6, flood: true, events: removeCheap},
}

// crashes returns the crashes of 5 engines, one every 45 s, which are down for 10 s each.
func crashes(engines []*Engine) []Event {
	var out []Event
	for i := range 5 {
		e := engines[i%len(engines)]
		out = append(out, Event{time.Duration(i+1) * 45 * time.Second, func(s *Simulation) { s.Crash(e, 10*time.Second) }})
	}
	return out
}

// removeCheap returns the removal of all cheap engines at 100 s.
func removeCheap(engines []*Engine) []Event {
	return []Event{{100 * time.Second, func(s *Simulation) {
		for _, e := range engines {
			if e.Cheap {
				s.Remove(e)
			}
		}
	}}}
}

// simulate runs a scenario with a policy. It returns the outcome and an upper bound for
// the number of requests that can meet their time limits.
func (d deployment) simulate(sc scenario, p Policy, seed uint64) (Outcome, int) {
	engines := d.newEngines()
	load := LoadConfig{
		Seed: seed, Weights: d.weights, Kinds: d.kinds, Phases: d.phases, Utilization: sc.utilization, Engines: engines, Duration: loadDuration(),
	}
	if sc.flood {
		load.FloodWorkspace, load.FloodFactor, load.FloodStart, load.FloodDuration = d.flood, 40, time.Minute, 2*time.Minute
	}
	requests := Load(load)
	bound := Bound(requests, engines)
	cfg := Config{Flooding: load.FloodWorkspace, Engines: engines, Requests: requests, Policy: p, Objectives: d.objectives, ReportLag: sc.reportLag, Duration: loadDuration()}
	if sc.events != nil {
		cfg.Events = sc.events(engines)
	}
	return New(cfg).Run(), bound
}

// row is the result of one policy in one scenario.
type row struct {
	Deployment string  `json:"deployment"`
	Scenario   string  `json:"scenario"`
	Bound      float64 `json:"bound"`
	Outcome
}

func (d deployment) policies() []func() Policy {
	systemPolicy := func(o Options) func() Policy {
		o.Weights = d.weights
		return func() Policy { return System(o) }
	}
	return []func() Policy{
		RoundRobin, LeastLoaded,
		systemPolicy(Options{Name: "all mixed"}),
		systemPolicy(Options{Name: "greedy roles", AdaptRoles: true}),
		systemPolicy(Options{Name: "system", LimitPrefillDelay: true}),
	}
}

// bestSplit tries 4 or 5 static splits into prefill and decode engines and returns the
// outcome in which the most requests met their objectives.
func (d deployment) bestSplit(sc scenario, seed uint64) Outcome {
	var best Outcome
	for n := 1; n < d.engines; n += max(1, d.engines/4) {
		o, _ := d.simulate(sc, System(Options{Name: "best static split", PrefillEngines: n, Weights: d.weights}), seed)
		if best.Requests == 0 || o.Met > best.Met {
			best = o
		}
	}
	return best
}

// TestMeasureDecisions compares the production policy with simpler ones in all scenarios
// and logs a table. With -update it writes the results to
// docs/measurements/decisions.json. It guards only against a load generator that yields
// too few requests, 500 or fewer, to compare policies; it asserts nothing about the
// quality of the decisions.
func TestMeasureDecisions(t *testing.T) {
	const seed = 1
	var rows []row
	for _, d := range deployments {
		for _, sc := range scenarios {
			var bound int
			for _, p := range d.policies() {
				var o Outcome
				o, bound = d.simulate(sc, p(), seed)
				rows = append(rows, row{d.name, sc.name, float64(bound) / float64(o.Requests), o})
			}
			o := d.bestSplit(sc, seed)
			rows = append(rows, row{d.name, sc.name, float64(bound) / float64(o.Requests), o})
		}
	}
	t.Log("\n" + formatTable(rows))
	writeMeasurement(t, "decisions.json", rows)
	for _, r := range rows {
		assert.Assert(t, r.Requests > 500)
	}
}

func formatTable(rows []row) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-12s %-24s %-24s %8s %8s %8s %8s %8s %7s %-18s %s\n", "DEPLOYMENT", "SCENARIO", "POLICY", "REQUESTS", "GOODPUT", "BOUND", "REFUSED", "LOST", "CHANGES", "WORST", "OTHERS")
	for _, r := range rows {
		fmt.Fprintf(&b, "%-12s %-24s %-24s %8d %8.4f %8.4f %8d %8d %7d %.4f %-11s %.4f\n", r.Deployment, r.Scenario, r.Policy, r.Requests, r.Goodput(), r.Bound, r.Refused, r.Lost, r.RoleChanges, r.WorstShare, r.WorstWorkspace, r.WorstOtherShare)
	}
	return b.String()
}

// writeMeasurement stores a result in docs/measurements if the test runs with -update.
func writeMeasurement(t *testing.T, name string, v any) {
	t.Helper()
	if !golden.FlagUpdate() {
		return
	}
	b, err := json.MarshalIndent(v, "", " ")
	assert.NilError(t, err)
	dir := filepath.Join("..", "..", "..", "docs", "measurements")
	assert.NilError(t, os.MkdirAll(dir, 0o755))
	assert.NilError(t, os.WriteFile(filepath.Join(dir, name), append(b, '\n'), 0o644))
}

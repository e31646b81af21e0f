package slugsimulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpick"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

// RequestKind describes one kind of request in a load. Prompt and Output hold the
// minimum and the maximum number of tokens.
type RequestKind struct {
	Class  slugmanifest.Class
	Prompt [2]int
	Output [2]int
	// Shared is the number of prompt tokens in a prefix shared between requests of a
	// workspace; they are added to Prompt.
	Shared    int
	TimeLimit time.Duration
}

// Phase is a period with a fixed mix of kinds. The phases of a load repeat.
type Phase struct {
	Length time.Duration
	// WorkShares are the shares of the work, indexed by kind.
	WorkShares []float64
}

// LoadConfig configures the load that Load generates.
type LoadConfig struct {
	Seed uint64
	// Weights are the workspaces' shares of the load and of the capacity.
	Weights map[slugname.Workspace]int
	Kinds   []RequestKind
	Phases  []Phase
	// Utilization is the offered work as a share of the capacity of all engines.
	Utilization float64
	Engines     []*Engine
	Duration    time.Duration
	// FloodWorkspace is a workspace whose request rate is multiplied by FloodFactor for
	// FloodDuration, beginning at FloodStart. Empty means none.
	FloodWorkspace            slugname.Workspace
	FloodFactor               float64
	FloodStart, FloodDuration time.Duration
}

// typicalBatchSize is the batch size assumed when the work of a request is estimated.
const typicalBatchSize = 12

// Work returns the engine time that a request takes in a batch of typical size, in
// seconds.
func Work(prompt, output float64, s slugplan.Speed) float64 {
	return prompt/s.PrefillPerSecond + output*(s.StepPerStream+s.StepBase/typicalBatchSize).Seconds()
}

// Load generates the requests of a load in order of arrival, with exponentially
// distributed times between arrivals.
func Load(c LoadConfig) []*Request {
	rng := rand.New(rand.NewPCG(c.Seed, 7))
	var out []*Request
	offered := float64(len(c.Engines)) * c.Utilization
	at := time.Duration(0)
	for at < c.Duration {
		phase := c.phaseAt(at)
		kind := c.Kinds[pickWeighted(rng, phase.WorkShares, c.rates(phase))]
		r := c.newRequest(rng, kind, at, len(out))
		out = append(out, r)
		meanInterval := c.meanWork(phase) / offered
		if c.flooding(at) {
			meanInterval /= c.floodRateFactor()
		}
		at += time.Duration(rng.ExpFloat64() * meanInterval * float64(time.Second))
	}
	return out
}

func (c LoadConfig) flooding(at time.Duration) bool {
	return c.FloodWorkspace != "" && at >= c.FloodStart && at < c.FloodStart+c.FloodDuration
}

// floodRateFactor returns the factor by which the total request rate grows during a flood.
func (c LoadConfig) floodRateFactor() float64 {
	total := 0
	for _, w := range c.Weights {
		total += w
	}
	return 1 + (c.FloodFactor-1)*float64(c.Weights[c.FloodWorkspace])/float64(total)
}

func (c LoadConfig) phaseAt(at time.Duration) Phase {
	total := time.Duration(0)
	for _, p := range c.Phases {
		total += p.Length
	}
	at %= total
	for _, p := range c.Phases {
		if at < p.Length {
			return p
		}
		at -= p.Length
	}
	return c.Phases[0]
}

func mean(bounds [2]int) float64 { return float64(bounds[0]+bounds[1]) / 2 }

// workOf returns the mean work of requests of a kind, in seconds of engine time. Shared
// prefixes are taken as cached.
func (c LoadConfig) workOf(k RequestKind) float64 {
	return Work(mean(k.Prompt), mean(k.Output), c.Engines[0].Speed)
}

// rates returns the number of requests of each kind per second of engine time.
func (c LoadConfig) rates(p Phase) []float64 {
	out := make([]float64, len(p.WorkShares))
	for i, share := range p.WorkShares {
		out[i] = share / c.workOf(c.Kinds[i])
	}
	return out
}

// meanWork returns the mean work of a request in a phase, in seconds of engine time.
func (c LoadConfig) meanWork(p Phase) float64 {
	sum := 0.0
	for _, r := range c.rates(p) {
		sum += r
	}
	return 1 / sum
}

// pickWeighted returns a random index, with probabilities in proportion to rates.
func pickWeighted(rng *rand.Rand, _, rates []float64) int {
	sum := 0.0
	for _, r := range rates {
		sum += r
	}
	x := rng.Float64() * sum
	for i, r := range rates {
		if x -= r; x < 0 {
			return i
		}
	}
	return len(rates) - 1
}

// newRequest returns a request of a kind from a random workspace. Each workspace has 3
// shared prefixes, of which one is drawn.
func (c LoadConfig) newRequest(rng *rand.Rand, k RequestKind, at time.Duration, id int) *Request {
	workspace := c.pickWorkspace(rng, at)
	uniform := func(x [2]int) int { return x[0] + rng.IntN(x[1]-x[0]+1) }
	r := &Request{
		ID: id, Workspace: workspace, Class: k.Class, At: at, TimeLimit: k.TimeLimit,
		Prompt: slugpick.Tokens(uniform(k.Prompt) + k.Shared), Output: slugpick.Tokens(uniform(k.Output)),
	}
	if k.Shared > 0 {
		r.Prefix, r.PrefixTokens = prefixOf(workspace, rng.IntN(3)), slugpick.Tokens(k.Shared)
	}
	return r
}

// prefixOf returns the FNV-1a hash that identifies the n-th shared prefix of a workspace.
func prefixOf(w slugname.Workspace, n int) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range []byte(fmt.Sprintf("%s-%d", w, n)) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h
}

// pickWorkspace returns a random workspace, with probabilities in proportion to the
// weights. During a flood, the weight of FloodWorkspace is multiplied by FloodFactor.
func (c LoadConfig) pickWorkspace(rng *rand.Rand, at time.Duration) slugname.Workspace {
	total := 0.0
	weight := func(w slugname.Workspace) float64 {
		x := float64(c.Weights[w])
		if c.flooding(at) && w == c.FloodWorkspace {
			x *= c.FloodFactor
		}
		return x
	}
	names := sortedWorkspaces(c.Weights)
	for _, w := range names {
		total += weight(w)
	}
	x := rng.Float64() * total
	for _, w := range names {
		if x -= weight(w); x < 0 {
			return w
		}
	}
	return names[len(names)-1]
}

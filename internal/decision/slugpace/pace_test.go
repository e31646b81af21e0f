package slugpace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

// engine is a simulated engine with a true pace.
type engine struct {
	Fit
	random *rand.Rand
}

func newEngine(tokensPerMs float64) engine {
	f := Fit{Fixed: 6 * ms, PerToken: 1e6 / tokensPerMs, PerPair: 10 / tokensPerMs}
	return engine{f, rand.New(rand.NewPCG(1, 2))}
}

// prompts are the lengths of prompts and of their cached parts.
var prompts = [][2]int{{17000, 13300}, {9190, 6300}, {9190, 0}, {1460, 350}, {220, 79}, {17000, 0}}

// process returns the sample of a random prompt. The predicted wait of every third prompt
// is off by up to a factor of 2, in the units of the model's own pace.
func (e engine) process(m *Model, slowness float64) Sample {
	p := prompts[e.random.IntN(len(prompts))]
	s := Sample{Tokens: p[0], Cached: p[1]}
	noise := 0.95 + 0.1*e.random.Float64()
	s.Took = time.Duration(float64(e.Work(p[0], p[1]))*slowness*noise) + e.Fixed
	if e.random.IntN(3) == 0 {
		ahead := prompts[e.random.IntN(len(prompts))]
		s.Wait = m.Work(ahead[0], ahead[1])
		s.Took += time.Duration(float64(e.Work(ahead[0], ahead[1])) * slowness * (0.5 + 1.5*e.random.Float64()))
	}
	return s
}

// ratio returns predicted to true time of a prompt.
func (e engine) ratio(m *Model, tokens, cached int, slowness float64) float64 {
	predicted := m.Work(tokens, cached) + m.Fixed()
	return float64(predicted) / (float64(e.Work(tokens, cached))*slowness + float64(e.Fixed))
}

func assertPredicts(t *testing.T, e engine, m *Model, slowness float64) {
	t.Helper()
	for _, p := range prompts {
		r := e.ratio(m, p[0], p[1], slowness)
		assert.Check(t, r > 0.7 && r < 1.4, "predicted to measured %.2f for %d tokens, %d cached: %+v", r, p[0], p[1], m.own)
	}
}

// TestFitLearnsPace guards against predictions that rest on the guess after 2 s of traffic,
// with engines 8 times as fast or 8 times as slow as it, and with prompts that wait.
func TestFitLearnsPace(t *testing.T) {
	guess := 1e6 / float64(guessedPerToken)
	for name, tokensPerMs := range map[string]float64{"as guessed": guess, "fast": 8 * guess, "slow": guess / 8} {
		t.Run(name, func(t *testing.T) {
			m, e, now := New(), newEngine(tokensPerMs), start
			for range 50 {
				now = now.Add(40 * ms)
				m.Observe(e.process(m, 1), now)
			}
			assert.Assert(t, m.Measured(now))
			assertPredicts(t, e, m, 1)
		})
	}
}

// TestFitFollowsRelease guards against a pace that is kept after a release changed it, or
// after all engines turned slow.
func TestFitFollowsRelease(t *testing.T) {
	m, e, now := New(), newEngine(400), start
	for _, slowness := range []float64{1, 3, 0.5} {
		for range 200 {
			now = now.Add(40 * ms)
			m.Observe(e.process(m, slowness), now)
		}
		assertPredicts(t, e, m, slowness)
	}
}

// TestSlowEngineDoesNotMovePace guards against a single slow engine of eight that changes
// the pace of the service.
func TestSlowEngineDoesNotMovePace(t *testing.T) {
	m, e, now := New(), newEngine(50), start
	for i := range 200 {
		now = now.Add(20 * ms)
		slowness := 1.0
		if i%8 == 0 {
			slowness = 8
		}
		m.Observe(e.process(m, slowness), now)
	}
	assertPredicts(t, e, m, 1)
}

// TestGuessIsNotMeasured guards against refusals for a guess: in the first moments, and
// after a long time without traffic.
func TestGuessIsNotMeasured(t *testing.T) {
	m, e, now := New(), newEngine(400), start
	assert.Assert(t, !m.Measured(now))
	assert.Assert(t, m.Work(1000, 0) > m.Work(1000, 500))
	for range minSamples - 1 {
		m.Observe(e.process(m, 1), now)
	}
	assert.Assert(t, !m.Measured(now))
	m.Observe(e.process(m, 1), now.Add(fitInterval))
	assert.Assert(t, m.Measured(now))
	assert.Assert(t, !m.Measured(now.Add(sampleMaxAge+time.Second)))
}

// TestNewProcessAdoptsPeers guards against a new process that knows nothing, against a
// single peer that is far off, and against peers that prevail over own measurements.
func TestNewProcessAdoptsPeers(t *testing.T) {
	e := newEngine(400)
	fit := e.Fit
	fit.Samples = 100
	odd := Fit{PerToken: 1e6, Samples: 100}
	m := New()
	m.Adopt([]Fit{odd, fit, fit, {PerToken: 1, Samples: 1}, {PerToken: -1, Samples: 100}}, start)
	assert.Assert(t, m.Measured(start))
	assertPredicts(t, e, m, 1)
	_, ok := m.Own(start)
	assert.Assert(t, !ok, "what peers measured is not passed on as an own measurement")
	now := start
	for range 2 * enoughSamples {
		now = now.Add(40 * ms)
		m.Observe(e.process(m, 1), now)
	}
	m.Adopt([]Fit{odd}, now)
	assertPredicts(t, e, m, 1)
}

// TestEqualPromptsAreFitted guards against a fit that fails if all prompts have one length.
func TestEqualPromptsAreFitted(t *testing.T) {
	m, now := New(), start
	for range 20 {
		now = now.Add(50 * ms)
		m.Observe(Sample{Tokens: 3000, Took: 70 * ms}, now)
	}
	got := m.Work(3000, 0) + m.Fixed()
	assert.Assert(t, got > 60*ms && got < 80*ms, "%s", got)
}

// TestCachedPromptsPredictUncached guards against a prediction of many seconds for a prompt
// that is not cached, when all prompts so far were cached except for a few tokens: the time
// of their calls was divided by these tokens.
func TestCachedPromptsPredictUncached(t *testing.T) {
	for _, uncached := range []int{0, 1, 4, 16} {
		t.Run(fmt.Sprintf("%d uncached", uncached), func(t *testing.T) {
			m, now := New(), start
			for range 28 {
				now = now.Add(50 * ms)
				m.Observe(Sample{Tokens: 1000, Cached: 1000 - uncached, Took: 20 * ms}, now)
			}
			assert.Assert(t, m.Measured(now))
			same, whole := m.Work(1000, 1000-uncached)+m.Fixed(), m.Work(1000, 0)+m.Fixed()
			assert.Check(t, same > 19*ms && same < 21*ms, "%s", same)
			assert.Check(t, whole > same && whole < 200*ms, "%s: %+v", whole, m.own)
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	m, e, now := New(), newEngine(50), start
	for b.Loop() {
		now = now.Add(fitInterval)
		m.Observe(e.process(m, 1), now)
	}
}

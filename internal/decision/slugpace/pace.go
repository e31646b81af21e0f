// Package slugpace learns how long the engines of a service take to process a prompt.
//
// A deployment may run engines of any speed, a release may change their speed, and all
// engines of a service may turn slow at once. No figure of an engine is therefore assumed:
// the model is fitted to the prompts that were processed in the last seconds, by this
// process or, as long as it has too few of its own, by its peers. A single slow engine
// hardly moves the fit, which minimizes absolute and not squared errors.
//
// Until there are enough measurements, Work returns a guess that is good enough to compare
// engines with each other, and Measured returns false: no request must be refused for a
// guess.
//
// The package performs no I/O.
//
// # Usage
//
//	m := slugpace.New()
//	m.Observe(slugpace.Sample{Tokens: 9000, Cached: 6000, Took: 20 * time.Millisecond}, time.Now())
//	if m.Measured(time.Now()) {
//		expected := m.Work(9000, 6000) + m.Fixed()
//	}
package slugpace

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Fit is a linear model of the time that a prompt takes.
type Fit struct {
	// Fixed is the time of a call that does not depend on the prompt.
	Fixed time.Duration
	// PerToken is the time of each token that is not cached, in nanoseconds.
	PerToken float64
	// PerPair is the attention time of each pair of a token that is not cached and a token
	// before it, in nanoseconds.
	PerPair float64
	// Samples is the number of measurements that the fit rests on.
	Samples int
}

// Work returns the time for which a prompt occupies an engine, given the number of its
// tokens and of those that are cached.
func (f Fit) Work(tokens, cached int) time.Duration {
	uncached, pairs := features(tokens, cached)
	return time.Duration(f.PerToken*uncached + f.PerPair*pairs)
}

// features returns the number of tokens to process and the number of pairs of tokens
// between which attention is computed.
func features(tokens, cached int) (uncached, pairs float64) {
	uncached = float64(max(1, tokens-cached))
	return uncached, uncached * (float64(max(0, cached)) + uncached/2)
}

// Sample is the measured time of one prompt.
type Sample struct {
	// Tokens is the length of the prompt, and Cached the part of it that the engine had
	// cached as far as known.
	Tokens, Cached int
	// Wait is the predicted time for which the prompt waited for other prompts.
	Wait time.Duration
	// Took is the measured time from the start of the call to its end.
	Took time.Duration
}

const (
	// maxSamples is the number of measurements that are kept.
	maxSamples = 256
	// sampleHalfLife is the age at which a measurement has half its weight, so that the fit
	// follows a change of speed within seconds.
	sampleHalfLife = 2 * time.Second
	// steadyHalfLife is the same for a service whose changes of speed are known otherwise. A
	// host that sends a few prompts a second has too few samples within sampleHalfLife: 12 to
	// 920 ms were fitted in a replay where 144 ms was right.
	steadyHalfLife = 20 * time.Second
	// sampleMaxAge is the age from which measurements no longer support a refusal.
	sampleMaxAge = 20 * time.Second
	// minSamples is the number of measurements from which a fit is used.
	minSamples = 8
	// enoughSamples is the number of own measurements from which peers' fits are ignored.
	enoughSamples = 32
	// fitInterval is the time between two fits. It bounds their processor time.
	fitInterval = 250 * time.Millisecond
	// guessedPerToken is the time per token, in nanoseconds, that is used to compare
	// engines before there are measurements.
	guessedPerToken = 10_000
)

// measurement is a sample in the form that is fitted.
type measurement struct {
	at time.Time
	// tokens is the number of tokens to process, including those of prompts waiting in
	// front, pairs the number of pairs, and took the measured time in nanoseconds.
	tokens, pairs, took float64
	// certainty is the fraction of tokens that belongs to the prompt itself: the wait for
	// other prompts is only predicted.
	certainty float64
}

// Model is the learned pace of the engines of one service. It is safe for concurrent use.
type Model struct {
	mu      sync.Mutex
	samples []measurement
	next    int
	own     Fit
	fittedAt,
	sampledAt time.Time
	peers     Fit
	adoptedAt time.Time
	halfLife  time.Duration
}

// New returns a Model without measurements.
func New() *Model { return &Model{halfLife: sampleHalfLife} }

// Steady makes the model follow changes of speed more slowly and with less noise, for a service
// whose engines state how fast they are at the moment.
func (m *Model) Steady() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.halfLife = steadyHalfLife
}

// Observe adds the measurement of a prompt that an engine processed.
func (m *Model) Observe(s Sample, now time.Time) {
	if s.Took <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	own, pairs := features(s.Tokens, s.Cached)
	// The wait is kept as a number of tokens, so that it remains valid if the pace at which
	// it was predicted proves wrong.
	waiting := float64(max(0, s.Wait)) / m.current().PerToken
	x := measurement{at: now, tokens: own + waiting, pairs: pairs, took: float64(s.Took), certainty: own / (own + waiting)}
	if len(m.samples) < maxSamples {
		m.samples = append(m.samples, x)
	} else {
		m.samples[m.next] = x
	}
	m.next = (m.next + 1) % maxSamples
	m.sampledAt = now
	if now.Sub(m.fittedAt) >= fitInterval {
		m.fit(now)
	}
}

// Adopt replaces the fits that peers measured.
func (m *Model) Adopt(fits []Fit, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fits = slices.DeleteFunc(slices.Clone(fits), func(f Fit) bool {
		return f.Samples < minSamples || f.PerToken <= 0 || f.PerPair < 0 || f.Fixed < 0
	})
	if len(fits) == 0 {
		return
	}
	// The fit of median pace is taken whole, because its figures belong together.
	slices.SortFunc(fits, func(a, b Fit) int {
		return int(a.Work(typicalPrompt, 0) - b.Work(typicalPrompt, 0))
	})
	m.peers, m.adoptedAt = fits[len(fits)/2], now
}

// typicalPrompt is the number of tokens at which fits are compared.
const typicalPrompt = 4096

// Own returns the fit to this process's own measurements for its peers, and false if there
// are too few of them.
func (m *Model) Own(now time.Time) (Fit, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.own, m.own.Samples >= minSamples && now.Sub(m.sampledAt) < sampleMaxAge
}

// Work returns the time for which a prompt occupies an engine of usual speed.
func (m *Model) Work(tokens, cached int) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current().Work(tokens, cached)
}

// Fixed returns the time of a call that does not depend on the prompt.
func (m *Model) Fixed() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current().Fixed
}

// Measured reports whether predictions rest on recent measurements.
func (m *Model) Measured(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.own.Samples >= minSamples && now.Sub(m.sampledAt) < sampleMaxAge
	return own || m.peers.Samples > 0 && now.Sub(m.adoptedAt) < sampleMaxAge
}

// current returns the fit to use. The caller must hold m.mu.
func (m *Model) current() Fit {
	switch {
	case m.own.Samples >= enoughSamples, m.own.Samples >= minSamples && m.peers.Samples == 0:
		return m.own
	case m.peers.Samples > 0:
		return m.peers
	}
	return Fit{PerToken: guessedPerToken}
}

// fit fits the model to the measurements. The caller must hold m.mu.
func (m *Model) fit(now time.Time) {
	m.fittedAt = now
	list := make([]weighted, 0, len(m.samples))
	recent := 0
	for _, s := range m.samples {
		age := now.Sub(s.at)
		if age < sampleMaxAge {
			recent++
		}
		list = append(list, weighted{s, s.certainty * s.certainty * math.Exp2(-age.Seconds()/m.halfLife.Seconds())})
	}
	if recent < minSamples {
		return
	}
	if f, ok := leastAbsolute(list); ok {
		f.Samples = recent
		m.own = f
	}
}

package slugpick

import (
	"math"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

const (
	// mixTime is the time over which the mix of the work is smoothed.
	mixTime = 4 * time.Second
	// leastPart is the part of the work below which a kind gets no endpoints of its
	// own.
	leastPart = 0.03
	// boundarySlack is how far the wanted boundary must be from the present one, in
	// endpoints, before it moves.
	boundarySlack = 0.6
)

// mix is the recent mix of work that is mostly prompt and work that is mostly
// output.
type mix struct {
	// harmful tells that prefill holds decoding up for longer than the objective
	// allows, so that the two kinds are kept apart.
	harmful bool
	prompt  float64
	output  float64
	at      time.Time
	// boundary is the number of endpoints that take mostly prompts.
	boundary int
}

// add counts work and forgets old work.
func (m *mix) add(prompt, output float64, now time.Time) {
	if !m.at.IsZero() {
		keep := math.Exp(-now.Sub(m.at).Seconds() / mixTime.Seconds())
		m.prompt *= keep
		m.output *= keep
	}
	m.at = now
	m.prompt += prompt
	m.output += output
}

// move moves the boundary after the mix of the work on n endpoints.
func (m *mix) move(n int) {
	part := m.prompt / max(m.prompt+m.output, math.SmallestNonzeroFloat64)
	wanted := part * float64(n)
	switch {
	case part < leastPart:
		m.boundary = 0
	case part > 1-leastPart:
		m.boundary = n
	case math.Abs(wanted-float64(m.boundary)) > boundarySlack:
		m.boundary = min(n-1, max(1, int(math.Round(wanted))))
	}
}

// side is the part of the endpoints that a request may use.
type side struct {
	all      bool
	prompt   bool
	boundary int
}

// takes reports whether the endpoint at a position is on the side. An endpoint
// without work takes either kind.
func (s side) takes(position int, c *candidate) bool {
	if s.all || (position < s.boundary) == s.prompt {
		return true
	}
	running, _ := c.load()
	return running == 0
}

// side returns the part of the endpoints that the work may use. Where prefill would
// hold decoding up, work that is mostly prompt and work that is mostly output are
// kept on endpoints of their own, in parts that follow the mix of the last seconds.
// No engine changes its role for that, so a shift costs nothing.
func (p *Picker) side(w Work, split bool) side {
	if split || !p.mix.harmful || len(p.candidates) < 2 || w.Suspect || w.Force {
		return side{all: true}
	}
	speed := p.candidates[0].Speed
	prompt := MostlyPrompt(w.PromptTokens, w.OutputTokens, speed)
	p.mix.move(len(p.candidates))
	if p.mix.boundary == 0 || p.mix.boundary == len(p.candidates) {
		return side{all: true}
	}
	return side{prompt: prompt, boundary: p.mix.boundary}
}

// count adds started work to the mix.
func (p *Picker) count(w Work, cached Tokens, s slugplan.Speed, now time.Time) {
	if !p.mix.harmful || s.PrefillPerSecond <= 0 {
		return
	}
	work := float64(max(0, w.PromptTokens-cached))/s.PrefillPerSecond + float64(w.OutputTokens)*(s.StepPerStream+s.StepBase/typicalBatch).Seconds()
	if MostlyPrompt(w.PromptTokens, w.OutputTokens, s) {
		p.mix.add(work, 0, now)
		return
	}
	p.mix.add(0, work, now)
}

// harmful reports whether a chunk of prefill on these endpoints takes longer than
// the objective between tokens allows.
func (p *Picker) harmful(endpoints []Endpoint) bool {
	gap := p.cfg.Gap()
	for _, e := range endpoints {
		if gap > 0 && e.Speed.Chunk > 0 && e.Speed.PrefillPerSecond > 0 && chunkTime(e.Speed)+e.Speed.StepBase > gap {
			return true
		}
	}
	return false
}

// chunkTime returns how long a step is held up by one chunk of prefill.
func chunkTime(s slugplan.Speed) time.Duration {
	return time.Duration(float64(s.Chunk) / s.PrefillPerSecond * float64(time.Second))
}

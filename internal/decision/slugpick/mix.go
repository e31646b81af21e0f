package slugpick

import (
	"math"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

const (
	// mixTimeConstant is the time constant of the decaying average of the mix.
	mixTimeConstant = 4 * time.Second
	// minShare is the share of the work below which a kind of work, prompt-heavy or
	// output-heavy, gets no endpoints of its own.
	minShare = 0.03
	// boundaryHysteresis is the minimum distance, in endpoints, between the current
	// boundary and the target before the boundary moves.
	boundaryHysteresis = 0.6
)

// mix is the recent mix of prompt-heavy and output-heavy work, in engine seconds.
type mix struct {
	// prefillDelaysDecode is set if prefill delays decoding for longer than the
	// objective allows, so that the two kinds run on separate endpoints.
	prefillDelaysDecode bool
	// prompt and output are the sums of work, decayed up to updatedAt.
	prompt    float64
	output    float64
	updatedAt time.Time
	// boundary is the number of endpoints that accept prompt-heavy work.
	boundary int
}

// add adds work and decays earlier work.
func (m *mix) add(prompt, output float64, now time.Time) {
	if !m.updatedAt.IsZero() {
		decay := math.Exp(-now.Sub(m.updatedAt).Seconds() / mixTimeConstant.Seconds())
		m.prompt *= decay
		m.output *= decay
	}
	m.updatedAt = now
	m.prompt += prompt
	m.output += output
}

// rebalance moves the boundary on n endpoints to match the mix.
func (m *mix) rebalance(n int) {
	promptShare := m.prompt / max(m.prompt+m.output, math.SmallestNonzeroFloat64)
	target := promptShare * float64(n)
	switch {
	case promptShare < minShare:
		m.boundary = 0
	case promptShare > 1-minShare:
		m.boundary = n
	case math.Abs(target-float64(m.boundary)) > boundaryHysteresis:
		m.boundary = min(n-1, max(1, int(math.Round(target))))
	}
}

// partition is the set of endpoints that a request may use.
type partition struct {
	// all is set if the request may use every endpoint.
	all bool
	// promptHeavy selects the endpoints before the boundary instead of those from it on.
	promptHeavy bool
	boundary    int
}

// accepts reports whether the endpoint at a position belongs to the partition. An idle
// endpoint accepts either kind.
func (p partition) accepts(position int, c *candidate) bool {
	if p.all || (position < p.boundary) == p.promptHeavy {
		return true
	}
	running, _ := c.load()
	return running == 0
}

// partitionFor returns the endpoints that the work may use. Where prefill would delay
// decoding too long, prompt-heavy and output-heavy work run on separate endpoints,
// divided according to the mix of the last seconds. No engine changes its role for
// this, so the division follows a shift of the mix at no cost.
func (p *Picker) partitionFor(w Work, split bool) partition {
	if split || !p.mix.prefillDelaysDecode || len(p.candidates) < 2 || w.Suspect || w.IgnoreCapacity {
		return partition{all: true}
	}
	speed := p.candidates[0].Speed
	promptHeavy := MostlyPrompt(w.PromptTokens, w.OutputTokens, speed)
	p.mix.rebalance(len(p.candidates))
	if p.mix.boundary == 0 || p.mix.boundary == len(p.candidates) {
		return partition{all: true}
	}
	return partition{promptHeavy: promptHeavy, boundary: p.mix.boundary}
}

// recordWork adds started work to the mix.
func (p *Picker) recordWork(w Work, cached Tokens, s slugplan.Speed, now time.Time) {
	if !p.mix.prefillDelaysDecode || s.PrefillPerSecond <= 0 {
		return
	}
	work := float64(max(0, w.PromptTokens-cached))/s.PrefillPerSecond + float64(w.OutputTokens)*(s.StepPerStream+s.StepBase/typicalBatch).Seconds()
	if MostlyPrompt(w.PromptTokens, w.OutputTokens, s) {
		p.mix.add(work, 0, now)
		return
	}
	p.mix.add(0, work, now)
}

// prefillExceedsGap reports whether a step with a chunk of prefill takes longer on any
// of these endpoints than the objective for the time between tokens allows.
func (p *Picker) prefillExceedsGap(endpoints []Endpoint) bool {
	gap := p.cfg.MaxTokenGap()
	for _, e := range endpoints {
		if gap > 0 && e.Speed.Chunk > 0 && e.Speed.PrefillPerSecond > 0 && chunkTime(e.Speed)+e.Speed.StepBase > gap {
			return true
		}
	}
	return false
}

// chunkTime returns how long one chunk of prefill delays a step.
func chunkTime(s slugplan.Speed) time.Duration {
	return time.Duration(float64(s.Chunk) / s.PrefillPerSecond * float64(time.Second))
}

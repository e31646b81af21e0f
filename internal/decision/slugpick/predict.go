package slugpick

import (
	"time"

	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

// ineligible stands for the prediction of an endpoint that may not take the work.
const ineligible = time.Duration(-1)

// equalSlack is how much worse an endpoint may be that counts as equal.
const equalSlack = 3 * time.Millisecond

// amongEquals returns the first endpoint, in an order that depends on the request,
// that is about as good as the best.
func (p *Picker) amongEquals(w Work, least time.Duration) (*candidate, time.Duration) {
	first := p.first(w)
	for i := range p.candidates {
		k := (first + i) % len(p.candidates)
		if d := p.predicted[k]; d != ineligible && d <= least+equalSlack {
			return p.candidates[k], d
		}
	}
	return nil, 0
}

// first returns the candidate to look at first, which gets the work if no other
// is better. Equal prompts begin at the same one, so that a prefix stays where it
// was and a request that crashes engines meets few of them.
func (p *Picker) first(w Work) int {
	n := uint64(len(p.candidates))
	if n == 0 {
		return 0
	}
	if w.Affinity != 0 {
		return int(w.Affinity % n)
	}
	p.turn++
	return int(p.turn % n)
}

// hasSplit reports whether both roles of a split have a serving endpoint.
func (p *Picker) hasSplit() bool {
	prefill, decode := false, false
	for _, c := range p.candidates {
		if c.State != slugplan.StateServing {
			continue
		}
		prefill = prefill || c.Role == slugplan.RolePrefill
		decode = decode || c.Role == slugplan.RoleDecode
	}
	return prefill && decode
}

// roleTakes reports whether an engine in a role takes the work. Work is mostly
// prompt when its prefill takes longer than its decoding.
func roleTakes(r slugplan.Role, w *Work, s slugplan.Speed) bool {
	if r != slugplan.RolePrefill && r != slugplan.RoleDecode {
		return true
	}
	return (r == slugplan.RolePrefill) == MostlyPrompt(w.PromptTokens, w.OutputTokens, s)
}

// MostlyPrompt reports whether prefill is the greater part of a request's work.
// Decoding is shared by the batch, so a token's part of a step counts.
func MostlyPrompt(prompt, output Tokens, s slugplan.Speed) bool {
	if s.PrefillPerSecond <= 0 {
		return prompt > output
	}
	prefill := float64(prompt) / s.PrefillPerSecond
	decode := float64(output) * (s.StepPerStream + s.StepBase/typicalBatch).Seconds()
	return prefill > decode
}

// typicalBatch is the number of streams among which a step's fixed time is shared.
const typicalBatch = 16

// maxBacklog is the prefill that may wait at an endpoint. Longer waits are spent in
// the queue, where workspaces share fairly and the least urgent give way.
const maxBacklog = time.Second

// hasRoom reports whether the endpoint can start the work, by its streams and by
// its KV pieces.
func (c *candidate) hasRoom(w *Work, overcommit float64) bool {
	running, backlog := c.load()
	if running >= c.Streams+int(overcommit*float64(c.Streams)) {
		return false
	}
	if rate := c.Speed.PrefillPerSecond; rate > 0 && float64(backlog)/rate > maxBacklog.Seconds() {
		return false
	}
	if !c.reported || c.Pieces == 0 || c.TokensPerPiece == 0 || running == 0 {
		return true
	}
	need := int(w.PromptTokens+w.OutputTokens) / c.TokensPerPiece
	return c.report.FreePieces >= min(need, c.Pieces)
}

// load returns the estimated streams and the tokens waiting for prefill.
func (c *candidate) load() (running int, prefill Tokens) {
	if !c.reported {
		return c.outstanding, max(0, c.sum.prefill)
	}
	running = c.report.Running + c.report.Queued + c.sum.running
	prefill = c.report.PrefillTokens + c.sum.prefill
	return max(running, c.outstanding), max(0, prefill)
}

// defaultSpeed stands in for endpoints that do not say what work costs.
var defaultSpeed = slugplan.Speed{PrefillPerSecond: 20000, StepBase: 10 * time.Millisecond, StepPerStream: 250 * time.Microsecond}

// predict returns the predicted completion time of the work at an endpoint.
func (p *Picker) predict(c *candidate, w *Work) time.Duration {
	speed := c.Speed
	if speed.PrefillPerSecond == 0 {
		speed = defaultSpeed
	}
	running, backlog := c.load()
	prefill := max(0, w.PromptTokens-c.cached) + backlog
	seconds := float64(prefill) / speed.PrefillPerSecond
	step := speed.StepBase + time.Duration(running+1)*speed.StepPerStream
	d := time.Duration(seconds*float64(time.Second)) + time.Duration(w.OutputTokens)*step
	if over := running - c.Streams; over >= 0 && c.Streams > 0 {
		d += time.Duration(float64(over+1) / float64(c.Streams) * float64(w.OutputTokens) * float64(step))
	}
	d = time.Duration(float64(d)*c.error) + p.harm(c, w, speed, running, backlog)
	if c.DataCentre != p.cfg.Local {
		d += p.cfg.RemotePenalty
	}
	return d
}

// lateGapCost is what a gap over the objective counts in the prediction.
const lateGapCost = 60 * time.Millisecond

// harm returns what the work would do to the gaps between tokens of others, and
// they to its own, on engines whose prefill holds decoding up for longer than the
// objective allows. It parts long prompts from long outputs without a change of
// roles, and follows a shift of the mix at once.
func (p *Picker) harm(c *candidate, w *Work, s slugplan.Speed, running int, backlog Tokens) time.Duration {
	gap := p.cfg.Gap()
	if s.Chunk == 0 || gap == 0 {
		return 0
	}
	if chunkTime(s)+s.StepBase <= gap {
		return 0
	}
	own := max(0, w.PromptTokens-c.cached)
	late := chunks(own, s.Chunk)*running + min(chunks(backlog, s.Chunk), int(w.OutputTokens))
	return time.Duration(late) * lateGapCost
}

// chunks returns the number of steps in which a prompt holds decoding up for long.
func chunks(n Tokens, chunk int) int { return int(n) / chunk }

// Shortest returns how long the work takes at an idle endpoint that has nothing of
// it cached, the least of all endpoints.
func (p *Picker) Shortest(w Work) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	least := time.Duration(0)
	for _, c := range p.candidates {
		s := c.Speed
		if s.PrefillPerSecond == 0 || c.Kind != slugmanifest.KindEngine {
			continue
		}
		d := time.Duration(float64(w.PromptTokens)/s.PrefillPerSecond*float64(time.Second)) + time.Duration(w.OutputTokens)*(s.StepBase+s.StepPerStream)
		if least == 0 || d < least {
			least = d
		}
	}
	return least
}

// errorSmoothing is the weight of a new observation of the prediction's error.
const errorSmoothing = 0.1

func (c *candidate) learn(t Ticket, now time.Time) {
	if t.Predicted <= 0 {
		return
	}
	ratio := now.Sub(t.at).Seconds() / t.Predicted.Seconds()
	c.error += errorSmoothing * (min(4, max(0.25, ratio*c.error)) - c.error)
}

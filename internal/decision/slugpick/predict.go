package slugpick

import (
	"time"

	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

// ineligible is stored as the prediction of an endpoint that cannot accept the work.
const ineligible = time.Duration(-1)

// tieTolerance is the difference in predicted time up to which endpoints count as
// equal.
const tieTolerance = 3 * time.Millisecond

// pickAmongTies returns the first endpoint, in an order that depends on the request,
// whose prediction is about as short as the shortest.
func (p *Picker) pickAmongTies(w Work, shortest time.Duration) (*candidate, time.Duration) {
	start := p.startPosition(w)
	for i := range p.candidates {
		k := (start + i) % len(p.candidates)
		if d := p.predicted[k]; d != ineligible && d <= shortest+tieTolerance {
			return p.candidates[k], d
		}
	}
	return nil, 0
}

// startPosition returns the position at which the search among equal endpoints starts.
// Identical requests start at the same position, so that a prefix stays on its endpoint
// and a request that crashes engines reaches few of them.
func (p *Picker) startPosition(w Work) int {
	n := uint64(len(p.candidates))
	if n == 0 {
		return 0
	}
	if w.Affinity != 0 {
		return int(w.Affinity % n)
	}
	p.nextPosition++
	return int(p.nextPosition % n)
}

// hasRoleSplit reports whether both the prefill and the decode role have a serving
// endpoint.
func (p *Picker) hasRoleSplit() bool {
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

// roleAccepts reports whether an engine with a role accepts the work.
func roleAccepts(r slugplan.Role, w *Work, s slugplan.Speed) bool {
	if r != slugplan.RolePrefill && r != slugplan.RoleDecode {
		return true
	}
	return (r == slugplan.RolePrefill) == MostlyPrompt(w.PromptTokens, w.OutputTokens, s)
}

// MostlyPrompt reports whether a request's prefill takes longer than its decoding.
// Decode steps are shared by a batch, so each token counts for its share of a step.
func MostlyPrompt(prompt, output Tokens, s slugplan.Speed) bool {
	if s.PrefillPerSecond <= 0 {
		return prompt > output
	}
	prefill := float64(prompt) / s.PrefillPerSecond
	decode := float64(output) * (s.StepPerStream + s.StepBase/typicalBatch).Seconds()
	return prefill > decode
}

// typicalBatch is the number of streams assumed to share the fixed time of a step.
const typicalBatch = 16

// maxPrefillBacklog is the maximum prefill time that may wait at an endpoint. Longer
// waits take place in the queue, which is fair to workspaces and sheds the least urgent
// requests.
const maxPrefillBacklog = time.Second

// hasRoom reports whether the endpoint has enough free streams and KV cache to start
// the work, and a prefill backlog below the maximum.
func (c *candidate) hasRoom(w *Work, overcommit float64) bool {
	running, backlog := c.load()
	if running >= c.Streams+int(overcommit*float64(c.Streams)) {
		return false
	}
	if rate := c.Speed.PrefillPerSecond; rate > 0 && float64(backlog)/rate > maxPrefillBacklog.Seconds() {
		return false
	}
	if !c.reported || c.Pieces == 0 || c.TokensPerPiece == 0 || running == 0 {
		return true
	}
	neededPieces := int(w.PromptTokens+w.OutputTokens) / c.TokensPerPiece
	return c.report.FreePieces >= min(neededPieces, c.Pieces)
}

// load returns the estimated number of streams and of tokens waiting for prefill.
func (c *candidate) load() (running int, prefill Tokens) {
	if !c.reported {
		return c.outstanding, max(0, c.deltaSum.prefill)
	}
	running = c.report.Running + c.report.Queued + c.deltaSum.running
	prefill = c.report.PrefillTokens + c.deltaSum.prefill
	return max(running, c.outstanding), max(0, prefill)
}

// defaultSpeed is assumed for endpoints that do not report their speed.
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
	if excess := running - c.Streams; excess >= 0 && c.Streams > 0 {
		d += time.Duration(float64(excess+1) / float64(c.Streams) * float64(w.OutputTokens) * float64(step))
	}
	d = time.Duration(float64(d)*c.errorRatio) + p.interference(c, w, speed, running, backlog)
	if c.DataCentre != p.cfg.Local {
		d += p.cfg.RemotePenalty
	}
	return d
}

// delayedTokenCost is added to the prediction for each token that would arrive later
// than the objective allows.
const delayedTokenCost = 60 * time.Millisecond

// interference returns the cost of the tokens that the work's prefill would delay for
// others, and that waiting prefill would delay for the work, on engines where a chunk
// of prefill takes longer than the objective allows. This separates long prompts from
// long outputs without role changes and follows a shift of the mix immediately.
func (p *Picker) interference(c *candidate, w *Work, s slugplan.Speed, running int, backlog Tokens) time.Duration {
	gap := p.cfg.MaxTokenGap()
	if s.Chunk == 0 || gap == 0 {
		return 0
	}
	if chunkTime(s)+s.StepBase <= gap {
		return 0
	}
	uncached := max(0, w.PromptTokens-c.cached)
	delayedTokens := fullChunks(uncached, s.Chunk)*running + min(fullChunks(backlog, s.Chunk), int(w.OutputTokens))
	return time.Duration(delayedTokens) * delayedTokenCost
}

// fullChunks returns the number of full chunks in n tokens, each of which delays
// decoding.
func fullChunks(n Tokens, chunk int) int { return int(n) / chunk }

// MinDuration returns the minimum time that the work takes on any idle engine without a
// cached prefix, or 0 if no engine reports its speed.
func (p *Picker) MinDuration(w Work) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	shortest := time.Duration(0)
	for _, c := range p.candidates {
		s := c.Speed
		if s.PrefillPerSecond == 0 || c.Kind != slugmanifest.KindEngine {
			continue
		}
		d := time.Duration(float64(w.PromptTokens)/s.PrefillPerSecond*float64(time.Second)) + time.Duration(w.OutputTokens)*(s.StepBase+s.StepPerStream)
		if shortest == 0 || d < shortest {
			shortest = d
		}
	}
	return shortest
}

// errorSmoothing is the weight of the latest observation in the prediction error.
const errorSmoothing = 0.1

// recordDuration updates the prediction error with the observed duration of a request.
func (c *candidate) recordDuration(t Ticket, now time.Time) {
	if t.Predicted <= 0 {
		return
	}
	ratio := now.Sub(t.sentAt).Seconds() / t.Predicted.Seconds()
	c.errorRatio += errorSmoothing * (min(4, max(0.25, ratio*c.errorRatio)) - c.errorRatio)
}

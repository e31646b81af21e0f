package slugpick

import (
	"time"

	"github.com/sassafraslug/sassafraslug/internal/process/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

const equalSlack = 3 * time.Millisecond

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

func roleTakes(r slugplan.Role, w *Work, s slugplan.Speed) bool {
	if r != slugplan.RolePrefill && r != slugplan.RoleDecode {
		return true
	}
	return (r == slugplan.RolePrefill) == MostlyPrompt(w.PromptTokens, w.OutputTokens, s)
}

func MostlyPrompt(prompt, output Tokens, s slugplan.Speed) bool {
	if s.PrefillPerSecond <= 0 {
		return prompt > output
	}
	prefill := float64(prompt) / s.PrefillPerSecond
	decode := float64(output) * (s.StepPerStream + s.StepBase/typicalBatch).Seconds()
	return prefill > decode
}

const typicalBatch = 16

const maxBacklog = time.Second

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

func (c *candidate) load() (running int, prefill Tokens) {
	if !c.reported {
		return c.outstanding, max(0, c.sum.prefill)
	}
	running = c.report.Running + c.report.Queued + c.sum.running
	prefill = c.report.PrefillTokens + c.sum.prefill
	return max(running, c.outstanding), max(0, prefill)
}

var defaultSpeed = slugplan.Speed{PrefillPerSecond: 20000, StepBase: 10 * time.Millisecond, StepPerStream: 250 * time.Microsecond}

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

const lateGapCost = 60 * time.Millisecond

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

func chunks(n Tokens, chunk int) int { return int(n) / chunk }

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

const errorSmoothing = 0.1

func (c *candidate) learn(t Ticket, now time.Time) {
	if t.Predicted <= 0 {
		return
	}
	ratio := now.Sub(t.at).Seconds() / t.Predicted.Seconds()
	c.error += errorSmoothing * (min(4, max(0.25, ratio*c.error)) - c.error)
}

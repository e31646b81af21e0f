package slugplacement

import (
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

// PartID identifies a part of a prompt that requests may share.
type PartID string

// Part is one part of a prompt.
type Part struct {
	ID     PartID
	Tokens int
}

// Job is the work of one request.
type Job struct {
	// Parts are the prompt's parts in order; the last one is the request's own.
	Parts []Part
	// Tokens is the length of the prompt.
	Tokens int
	// Output is the greatest number of tokens of the answer.
	Output int
	// Priority is the urgency, 0 first.
	Priority int
	// DataCentre is where the caller's host is.
	DataCentre slugname.DataCentre
}

// subject returns the part that decides where the prompt is kept: the last one that
// is shared.
func (j Job) subject() PartID {
	if len(j.Parts) < 2 {
		return ""
	}
	return j.Parts[len(j.Parts)-2].ID
}

// shared returns the tokens of all parts but the last.
func (j Job) shared() int {
	n := 0
	for _, p := range j.Parts[:max(0, len(j.Parts)-1)] {
		n += p.Tokens
	}
	return n
}

// Cost tells what work costs on an engine.
type Cost struct {
	// TokensPerMs is the speed of processing prompts.
	TokensPerMs float64
	// PairsMsPerMillion is the time for a million pairs of tokens that attend to each
	// other.
	PairsMsPerMillion float64
	// FirstMs is the fixed time of a first token.
	FirstMs float64
}

// DefaultCost is assumed until measured otherwise. Its speed is that of one
// accelerator with a model of about a hundred billion parameters.
var DefaultCost = Cost{TokensPerMs: 43, PairsMsPerMillion: 0.25, FirstMs: 14}

// Prefill returns the time to process a prompt of which some tokens are cached.
func (c Cost) Prefill(tokens, cached int) time.Duration {
	left := float64(max(1, tokens-cached))
	pairs := left * (float64(cached) + left/2)
	ms := left/c.TokensPerMs + pairs/1e6*c.PairsMsPerMillion
	return time.Duration(ms * float64(time.Millisecond))
}

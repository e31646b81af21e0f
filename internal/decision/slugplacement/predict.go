package slugplacement

import (
	"math"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// weight is the rendezvous weight of an endpoint for a shared part, from their hashes.
func weight(part, endpoint uint64) uint64 {
	x := part ^ bits.RotateLeft64(endpoint, rotation)
	x *= mixFactor
	x ^= x >> mixShift
	return x * mixFactor
}

// Constants of the mixing of two hashes, as splitmix64 has them.
const (
	rotation  = 23
	mixFactor = 0x9e3779b97f4a7c15
	mixShift  = 29
)

// home returns the endpoint that all hosts take for the keeper of a part. It is drawn
// from all endpoints of the role, so that one that is avoided for a moment does not
// change the homes of the others; p.mu is held.
func (p *Placer) home(part PartID, r slugplan.Role) *state {
	if part == "" {
		return nil
	}
	hash := xxhash.Sum64String(string(part))
	var best *state
	var most uint64
	for _, s := range p.list {
		if s.Role != r {
			continue
		}
		if w := weight(hash, s.hash); best == nil || w > most {
			best, most = s, w
		}
	}
	return best
}

// kept returns the number of a prompt's tokens that each endpoint keeps as far as this
// process knows; p.mu is held.
func (p *Placer) kept(j Job, list []*state) []int {
	out := make([]int, len(list))
	for i, s := range list {
		out[i] = min(s.cache.cached(j.Parts), j.Tokens)
	}
	return out
}

// hoped returns the number of tokens that an endpoint is hoped to keep: the home of a
// shared part, since other processes bring it there as well. That is no ground for
// copying from it, which would end in processing all of the prompt.
func hoped(s, home *state, j Job, kept int) int {
	if s != home || s.cache.told {
		return kept
	}
	return min(max(kept, j.shared()), j.Tokens)
}

// keeper is an endpoint that keeps the beginning of a prompt.
type keeper struct {
	*state
	tokens int
}

// mostKept returns the endpoint that keeps most of a prompt.
func mostKept(list []*state, kept []int) keeper {
	var best keeper
	for i, s := range list {
		if kept[i] > best.tokens {
			best = keeper{s, kept[i]}
		}
	}
	return best
}

// preferenceSpread is the greatest time that is added to what is expected of an engine
// for prompts, to tell engines apart of which a host knows nothing.
const preferenceSpread = 12 * time.Millisecond

// preference returns the time that is added for an engine. All hosts prefer the engines
// in the same order for one shared part, so that a part in great demand is kept by a few
// of them, and in other orders for other parts. Without a shared part it is random:
// otherwise all hosts would take the first of the list.
func (p *Placer) preference(subject PartID, s *state) time.Duration {
	u := p.cfg.Random()
	if subject != "" {
		u = 1 - float64(weight(xxhash.Sum64String(string(subject)), s.hash))/math.MaxUint64
	}
	return time.Duration(u * float64(preferenceSpread))
}

// homeBonus is the time by which the home of a shared part is preferred, so that all
// hosts bring it to one endpoint as long as nobody keeps it.
const homeBonus = 15 * time.Millisecond

const (
	// leastFetch is the number of tokens below which copying is not worth a call.
	leastFetch = 512
	// fetchTime is the fixed time of copying KV cache between endpoints. It is set
	// above the measured setup, so that an idle keeper goes first: copies everywhere
	// would take the memory of other prompts.
	fetchTime = 25 * time.Millisecond
	// fetchPerToken is the time of copying one token's KV cache.
	fetchPerToken = 500 * time.Nanosecond
)

// fetching predicts a prompt's time at an endpoint that copies the beginning from the
// keeper, as the related paper on moving data to idle places suggests. It returns nil
// where there is nothing to copy; p.mu is held.
func (p *Placer) fetching(s *state, j Job, k keeper, median float64, now time.Time) *Choice {
	if k.state == nil || k.state == s || k.tokens < leastFetch {
		return nil
	}
	c := p.prefillAt(s, j, k.tokens, median, now)
	copying := copyTime(k.tokens)
	if k.DataCentre != s.DataCentre {
		copying += time.Duration(k.tokens) * fetchPerToken
	}
	c.work += copying
	c.Predicted += copying
	c.predict += copying
	c.FetchFrom = k.Address
	return c
}

// copyTime returns the time of copying tokens within a data centre.
func copyTime(tokens int) time.Duration {
	return fetchTime + time.Duration(tokens)*fetchPerToken
}

// prefillAt predicts a prompt's time at an endpoint; p.mu is held.
func (p *Placer) prefillAt(s *state, j Job, cached int, median float64, now time.Time) *Choice {
	slow := s.relative(median, now)
	nominal := p.cfg.Cost.Prefill(j.Tokens, cached)
	work := time.Duration(float64(nominal) * slow)
	wait := time.Duration(float64(s.own.Prefill+s.others.Prefill) * slow)
	if now.Sub(s.toldAt) < toldMemory {
		wait = max(s.idleAt.Sub(now), time.Duration(float64(s.own.Prefill)*slow))
	}
	predict := wait + work + s.penalty(now)
	return &Choice{Endpoint: s.Endpoint, Predicted: wait + work, Cached: cached, p: p, s: s, job: j, work: work, nominal: nominal, wait: wait, predict: predict}
}

// toldMemory is how long word of the work at an endpoint is better than what the
// processes tell each other.
const toldMemory = 500 * time.Millisecond

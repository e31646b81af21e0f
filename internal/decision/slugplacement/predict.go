package slugplacement

import (
	"math"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// rendezvousWeight returns the rendezvous hashing weight of an endpoint for a shared
// part, from the hashes of both.
func rendezvousWeight(part, endpoint uint64) uint64 {
	x := part ^ bits.RotateLeft64(endpoint, hashRotation)
	x *= hashMultiplier
	x ^= x >> hashShift
	return x * hashMultiplier
}

// Constants for mixing two hashes, in the manner of splitmix64.
const (
	hashRotation   = 23
	hashMultiplier = 0x9e3779b97f4a7c15
	hashShift      = 29
)

// homeEndpoint returns the home endpoint of a shared part, on which all hosts agree. It
// is chosen from all endpoints with the role, so that temporarily avoiding an endpoint
// does not move the homes of other parts. The caller must hold p.mu.
func (p *Placer) homeEndpoint(part PartID, r slugplan.Role) *endpointState {
	if part == "" {
		return nil
	}
	hash := xxhash.Sum64String(string(part))
	var best *endpointState
	var maxWeight uint64
	for _, s := range p.list {
		if s.Role != r {
			continue
		}
		if w := rendezvousWeight(hash, s.hash); best == nil || w > maxWeight {
			best, maxWeight = s, w
		}
	}
	return best
}

// cachedTokens returns the number of prompt tokens that each endpoint has cached as far
// as this process knows. The caller must hold p.mu.
func (p *Placer) cachedTokens(j Job, list []*endpointState) []int {
	out := make([]int, len(list))
	for i, s := range list {
		out[i] = min(s.cache.cached(j.Parts), j.Tokens)
	}
	return out
}

// assumedCached returns the number of prompt tokens assumed to be cached at an
// endpoint. Unless it reports its cache, the home endpoint is assumed to have the
// shared parts, because other processes send them there as well. This assumption is no
// reason to fetch from the endpoint: if it is wrong, the whole prompt would be
// processed.
func assumedCached(s, home *endpointState, j Job, cached int) int {
	if s != home || s.cache.reported {
		return cached
	}
	return min(max(cached, j.sharedTokens()), j.Tokens)
}

// cacheHolder is an endpoint that has the beginning of a prompt cached.
type cacheHolder struct {
	*endpointState
	tokens int
	// readyAt is when it has processed these tokens.
	readyAt time.Time
}

// before reports whether a holder of as many tokens as another is the better source: one that has
// processed them, and among these the one that used them last, which is the least likely to
// have evicted them.
func (h cacheHolder) before(other cacheHolder, now time.Time) bool {
	ready, otherReady := !h.readyAt.After(now), !other.readyAt.After(now)
	switch {
	case ready != otherReady:
		return ready
	case ready:
		return h.readyAt.After(other.readyAt)
	}
	return h.readyAt.Before(other.readyAt)
}

// largestHolder returns the engine with the most cached tokens of a prompt, as far as this process
// knows. It need not be a candidate: an engine that was asked and found to be busy may have
// them. Engines that failed lately are left out. The caller must hold p.mu.
func (p *Placer) largestHolder(j Job, now time.Time) cacheHolder {
	var best cacheHolder
	for _, s := range p.list {
		if s.Role != slugplan.RolePrefill || now.Before(s.avoidUntil) {
			continue
		}
		n := min(s.cache.cached(j.Parts), j.Tokens)
		if n == 0 || n < best.tokens {
			continue
		}
		h := cacheHolder{s, n, s.cache.ready(j.Parts, n)}
		if (n > best.tokens || h.before(best, now)) && s.recentFailures(now) < minQuietFailures {
			best = h
		}
	}
	return best
}

// maxPreferenceDelay is the upper bound of the time that preferenceDelay adds, as a
// fraction of the mean work of a prompt.
const maxPreferenceDelay = 0.06

// preferenceDelay returns a time to add to an endpoint's score, which orders engines
// that are otherwise equal. All hosts prefer the engines in the same order for one
// shared part, so that a part in high demand is cached by a few of them, and in
// different orders for different parts. Without a shared part the time is random;
// otherwise all hosts would choose the first engine of the list.
func (p *Placer) preferenceDelay(sharedPart PartID, s *endpointState, unit time.Duration, now time.Time) time.Duration {
	fraction := p.cfg.Random()
	if sharedPart != "" {
		fraction = 1 - float64(rendezvousWeight(xxhash.Sum64String(string(sharedPart)), s.hash))/math.MaxUint64
	}
	return time.Duration(fraction*maxPreferenceDelay*float64(unit)) + p.waitSpread(s, fraction, now)
}

// homeBonus is subtracted from the score of a shared part's home, so that all hosts
// send the part to one endpoint as long as none has it cached. It is a fraction of the
// mean work of a prompt.
const homeBonus = 0.075

// meanWorkSmoothing is the weight of the latest prompt in the mean work.
const meanWorkSmoothing = 0.05

// recordMeanWork updates the mean work of a prompt without cache. The caller must hold
// p.mu.
func (p *Placer) recordMeanWork(j Job) {
	work := p.cfg.Pace.Work(j.Tokens, 0)
	if p.meanWork == 0 {
		p.meanWork = work
	}
	p.meanWork += time.Duration(meanWorkSmoothing * float64(work-p.meanWork))
}

// workUnit returns the mean work of a prompt, in fractions of which preferences are
// expressed, so that they have the same effect with engines of any speed. The caller must
// hold p.mu.
func (p *Placer) workUnit(j Job) time.Duration {
	if p.meanWork == 0 {
		return p.cfg.Pace.Work(j.Tokens, 0)
	}
	return p.meanWork
}

const (
	// minFetchTokens is the number of tokens below which fetching is not worth a call.
	minFetchTokens = 512
	// fetchReluctance is added to the time of fetching KV cache from another endpoint, as
	// a fraction of the mean work of a prompt, so that an idle endpoint with the cache is
	// preferred: copies on many endpoints would displace the cache of other prompts.
	fetchReluctance = 0.12
	// transferQueueing is the ratio of the time of a transfer to that of its bytes alone,
	// because an endpoint's transfers run one after another.
	transferQueueing = 2
)

// prefillWithFetch predicts the time of a prompt at an endpoint that first fetches the KV
// cache of the prompt's beginning from source. Moving cached data to idle nodes follows
// published work. It reports false if there is nothing worth fetching, or source is still to process
// it when the prompt would begin. The caller must hold p.mu.
func (p *Placer) prefillWithFetch(s *endpointState, j Job, source cacheHolder, unit time.Duration, median, weight float64, now time.Time) (estimate, bool) {
	if source.endpointState == nil || source.endpointState == s || source.tokens < minFetchTokens {
		return estimate{}, false
	}
	c := p.predictPrefill(s, j, source.tokens, median, weight, now)
	if source.readyAt.After(now.Add(c.wait)) {
		return estimate{}, false
	}
	c.fetchFrom, c.fetchAt = source.endpointState, source.readyAt
	c.fetch = p.fetchTime(s, source.tokens, unit)
	if source.DataCentre != s.DataCentre {
		c.fetch += transferQueueing * time.Duration(source.tokens) * s.TransferPerToken
	}
	c.score += c.fetch
	return c, true
}

const (
	// readyMargin and minReadyMargin are added to the time after which an engine is expected to
	// have processed a part, as a fraction and at least: a fetch that is too early fails, and the
	// whole prompt is processed.
	readyMargin    = 0.2
	minReadyMargin = 50 * time.Millisecond
)

// withMargin returns the time after which others can rely on a part that is expected to be
// processed after d.
func withMargin(d time.Duration) time.Duration {
	return d + time.Duration(readyMargin*float64(d)) + minReadyMargin
}

// fetchTime returns the time to fetch the KV cache of tokens within a data centre.
func (p *Placer) fetchTime(s *endpointState, tokens int, unit time.Duration) time.Duration {
	return time.Duration(fetchReluctance*float64(unit)) + transferQueueing*time.Duration(tokens)*s.TransferPerToken
}

// estimate is the predicted time of a prompt at an endpoint. Hundreds of them are compared for
// each prompt, so that only the best becomes a Choice.
type estimate struct {
	state  *endpointState
	cached int
	// nominal is the processing time at an endpoint of normal speed, work that at this one.
	nominal, wait, work time.Duration
	// fetch is the time to fetch KV cache from fetchFrom, which has it from fetchAt on.
	fetch     time.Duration
	fetchFrom *endpointState
	fetchAt   time.Time
	score     time.Duration
}

// predictPrefill predicts the time of a prompt at an endpoint. In the score, work counts with
// its weight. The caller must hold p.mu.
func (p *Placer) predictPrefill(s *endpointState, j Job, cached int, median, weight float64, now time.Time) estimate {
	nominal := p.cfg.Pace.Work(j.Tokens, cached)
	wait, work := p.waitAndWork(s, nominal, median, now)
	return estimate{
		state: s, cached: cached, nominal: nominal, wait: wait, work: work,
		score: wait + weighted(work, weight) + s.penaltyForFailures(now),
	}
}

// choice returns the choice of an estimate. The caller must hold p.mu.
func (p *Placer) choice(e *estimate, j Job, now time.Time) *Choice {
	c := &Choice{
		Endpoint: e.state.Endpoint, Predicted: e.wait + e.work + e.fetch + p.cfg.Pace.Fixed(), Measured: p.cfg.Pace.Measured(now), Cached: e.cached,
		p: p, state: e.state, job: j, work: e.work + e.fetch, nominal: e.nominal, wait: e.wait, score: e.score,
	}
	if e.fetchFrom != nil {
		c.FetchFrom, c.fetchAt = e.fetchFrom.Address, e.fetchAt
	}
	return c
}

// forecastMaxAge is how long the owner's forecast of the work at an endpoint takes
// precedence over the load that processes report to each other.
const forecastMaxAge = 500 * time.Millisecond

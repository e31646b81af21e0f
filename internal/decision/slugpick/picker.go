// Package slugpick chooses the endpoint of a service with the shortest predicted
// completion time for a request. The prediction covers the time in the queue, prefill
// of the uncached part of the prompt, and decoding at the batch size that the request
// would join.
//
// Load reports lag, so the picker adds its own sends since the last report. Prefix
// affinity follows from the prediction: a cached prefix saves its prefill, until the
// wait for its endpoint outweighs the saving. Prefix hashes are salted by workspace, so
// that no workspace can probe the cache of another.
//
// # Usage
//
//	p := slugpick.New(slugpick.Config{Local: "dc-1"})
//	p.SetEndpoints(endpoints)
//	t, ok := p.Pick(work, time.Now())
//	...
//	p.Done(&t, slugpick.OutcomeComplete, time.Now())
package slugpick

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugnotice"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

// Endpoint is an endpoint that can be picked.
type Endpoint struct {
	slugplan.Endpoint
	DataCentre slugname.DataCentre
}

// Config configures a Picker.
type Config struct {
	// Local is the data centre of this process.
	Local slugname.DataCentre
	// RemotePenalty is added to the prediction of endpoints in other data centres.
	RemotePenalty time.Duration
	// CacheAge is how long a prefix is assumed to stay cached after its last use.
	CacheAge time.Duration
	// Overcommit is the number of requests sent beyond an endpoint's streams, as a
	// fraction of the streams.
	Overcommit float64
	// MaxTokenGap returns the maximum time between tokens that the service's objective
	// allows, or 0 if it has none; nil means none.
	MaxTokenGap func() time.Duration
	// GateIndex returns the index of this gate among the live gates, and their number. Each
	// gate tries its suspects on its own endpoints, so that suspects of different gates
	// do not run together; nil means that there is only one gate.
	GateIndex func() (index, gates int)
	// CrashPause is how long an endpoint gets no work after a crash.
	CrashPause time.Duration
	// Notices holds what endpoints said about themselves; nil means that no one records any.
	Notices *slugnotice.Notices
}

// Defaults for Config.
const (
	defaultRemotePenalty = time.Millisecond
	defaultCacheAge      = 5 * time.Minute
	defaultCrashPause    = 500 * time.Millisecond
	// suspectShare is the maximum fraction of the endpoints that may run suspects.
	suspectShare = 0.1
)

// Tokens is a number of tokens.
type Tokens int

// Work describes a request to be placed.
type Work struct {
	Workspace    slugname.Workspace
	Class        slugmanifest.Class
	PromptTokens Tokens
	OutputTokens Tokens
	// Blocks are the salted hashes of the prompt's prefixes, one per block.
	Blocks []uint64
	// BlockTokens is the number of tokens per block.
	BlockTokens Tokens
	// Repeatable work may run on reclaimable endpoints, which can disappear at any
	// time.
	Repeatable bool
	// Avoid lists endpoints on which the request has failed before.
	Avoid []slugname.Endpoint
	// Suspect work belongs to a request that may have crashed an endpoint. It runs where
	// no other suspect runs.
	Suspect bool
	// Affinity is the same for identical requests. It selects among endpoints that are
	// about equally good.
	Affinity uint64
	// IgnoreCapacity disregards the capacity of endpoints, for work that must not wait.
	IgnoreCapacity bool
}

// Ticket is a picked endpoint. It must be released with Done.
type Ticket struct {
	Endpoint slugname.Endpoint
	Address  string
	// Cached is the number of prompt tokens assumed to be cached.
	Cached Tokens
	// Predicted is the predicted time until completion.
	Predicted time.Duration
	work      Work
	sentAt    time.Time
	// prefillDone is set once the prefill has finished.
	prefillDone bool
}

// Outcome says how a request ended at its endpoint.
type Outcome int

// Possible values of Outcome.
const (
	// OutcomeComplete is a complete response.
	OutcomeComplete Outcome = iota
	// OutcomeNotRun is a refusal by the endpoint.
	OutcomeNotRun
	// OutcomeFailed is a lost connection or an endpoint that stopped.
	OutcomeFailed
	// OutcomeCanceled is a request whose caller disconnected.
	OutcomeCanceled
)

// Report is a load report of an endpoint.
type Report struct {
	// TakenAt is the time of the report by this process's clock.
	TakenAt       time.Time
	Running       int
	Queued        int
	PrefillTokens Tokens
	FreePieces    int
}

// candidate is an endpoint with the picker's knowledge of it.
type candidate struct {
	Endpoint
	// position is the index in the list of endpoints, which SetEndpoints expects to be
	// sorted by name.
	position int
	report   Report
	reported bool
	// deltas are the load changes by this process since the last report, oldest first.
	deltas []loadDelta
	// deltaSum is the sum of deltas.
	deltaSum    loadDelta
	outstanding int
	suspects    int
	pausedUntil time.Time
	// cached is the number of tokens of the current pick's prompt that are assumed to
	// be cached.
	cached Tokens
	// errorRatio is the smoothed ratio of observed to predicted time.
	errorRatio float64
}

// loadDelta is a change of the load by this process: a request sent or ended, or a
// prefill finished.
type loadDelta struct {
	at      time.Time
	running int
	prefill Tokens
}

// Picker picks among the endpoints of one service. It is safe for concurrent use.
type Picker struct {
	cfg Config

	mu         sync.Mutex
	candidates []*candidate
	byName     map[slugname.Endpoint]*candidate
	prefixes   *prefixIndex
	// cachedCandidates are the candidates with a cached prefix in the current pick.
	cachedCandidates []*candidate
	// inFlight holds the identical requests that are running, by affinity.
	inFlight map[uint64]identicalRequests
	// useAssigned is set if the current pick may use only the endpoints assigned to
	// this gate for suspects.
	useAssigned bool
	// predicted is scratch space of the current pick, by position.
	predicted []time.Duration
	mix       mix
	// nextPosition distributes requests without affinity over equal endpoints.
	nextPosition uint64
}

// New returns a Picker without endpoints.
func New(cfg Config) *Picker {
	if cfg.RemotePenalty == 0 {
		cfg.RemotePenalty = defaultRemotePenalty
	}
	if cfg.CacheAge == 0 {
		cfg.CacheAge = defaultCacheAge
	}
	if cfg.GateIndex == nil {
		cfg.GateIndex = func() (int, int) { return 0, 1 }
	}
	if cfg.MaxTokenGap == nil {
		cfg.MaxTokenGap = func() time.Duration { return 0 }
	}
	if cfg.Notices == nil {
		cfg.Notices = slugnotice.New()
	}
	if cfg.CrashPause == 0 {
		cfg.CrashPause = defaultCrashPause
	}
	return &Picker{
		cfg: cfg, byName: map[slugname.Endpoint]*candidate{},
		prefixes: newPrefixIndex(), inFlight: map[uint64]identicalRequests{}, nextPosition: rand.Uint64(),
	}
}

// SetEndpoints replaces the endpoints and keeps the state of those that remain at the
// same address. The list must be sorted by name, because gates divide it by position.
func (p *Picker) SetEndpoints(endpoints []Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	byName := make(map[slugname.Endpoint]*candidate, len(endpoints))
	p.candidates = p.candidates[:0]
	p.predicted = make([]time.Duration, len(endpoints))
	p.mix.prefillDelaysDecode = p.prefillExceedsGap(endpoints)
	for _, e := range endpoints {
		c := p.byName[e.Name]
		if c == nil || c.Address != e.Address {
			c = &candidate{errorRatio: 1}
		}
		c.Endpoint, c.position = e, len(p.candidates)
		byName[e.Name] = c
		p.candidates = append(p.candidates, c)
	}
	for name := range p.byName {
		if byName[name] == nil {
			p.prefixes.removeEndpoint(name)
		}
	}
	p.byName = byName
}

// Endpoints returns the endpoints in the order in which they were set.
func (p *Picker) Endpoints() []Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Endpoint, len(p.candidates))
	for i, c := range p.candidates {
		out[i] = c.Endpoint
	}
	return out
}

// HasEndpoint reports whether any endpoint accepts work now or will after a change.
func (p *Picker) HasEndpoint() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.candidates, func(c *candidate) bool {
		_, leaving := p.cfg.Notices.Wait(c.Name, 0, time.Now())
		return c.State != slugplan.StateLeaving && !leaving
	})
}

// Outstanding returns the number of this process's requests at an endpoint.
func (p *Picker) Outstanding(e slugname.Endpoint) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.byName[e]; c != nil {
		return c.outstanding
	}
	return 0
}

// RecordReport records a load report. Reports older than the last one are ignored.
func (p *Picker) RecordReport(e slugname.Endpoint, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.byName[e]
	if c == nil || c.reported && r.TakenAt.Before(c.report.TakenAt) {
		return
	}
	c.report, c.reported = r, true
	c.deltas = slices.DeleteFunc(c.deltas, func(x loadDelta) bool { return !x.at.After(r.TakenAt) })
	c.deltaSum = loadDelta{}
	for _, x := range c.deltas {
		c.deltaSum.add(x)
	}
}

// RecordCacheEvent records that an endpoint cached or removed a prefix.
func (p *Picker) RecordCacheEvent(e slugname.Endpoint, prefix uint64, removed bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if removed {
		p.prefixes.remove(prefix, e)
		return
	}
	p.prefixes.add(prefix, e, now.Add(p.cfg.CacheAge))
}

// Pick chooses an endpoint and counts the work as sent to it. It reports false if no
// endpoint can accept the work now.
func (p *Picker) Pick(w Work, now time.Time) (Ticket, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lookUpPrefixes(w, now)
	split := p.hasRoleSplit()
	allowed := p.partitionFor(w, split)
	p.useAssigned = w.Suspect && p.hasAssignedEndpoint(&w)
	preferred := p.identicalEndpoint(&w)
	var best *candidate
	var shortest time.Duration
	for i, c := range p.candidates {
		p.predicted[i] = ineligible
		if !p.eligible(c, &w, split, now) || !allowed.accepts(i, c) {
			continue
		}
		d := p.predict(c, &w)
		p.predicted[i] = d
		if best == nil || d < shortest || c.Name == preferred {
			best, shortest = c, d
		}
		if c.Name == preferred {
			break
		}
	}
	if best == nil {
		return Ticket{}, false
	}
	if best.Name != preferred {
		best, shortest = p.pickAmongTies(w, shortest)
	}
	return p.assign(best, w, shortest, now), true
}

// eligible reports whether an endpoint can accept the work now. split is set if endpoints
// are divided by role.
func (p *Picker) eligible(c *candidate, w *Work, split bool, now time.Time) bool {
	if !c.suits(w, split) || now.Before(c.pausedUntil) {
		return false
	}
	if wait, leaving := p.cfg.Notices.Wait(c.Name, 0, now); wait > 0 || leaving {
		return false
	}
	if w.Suspect && (c.suspects > 0 || !p.suspectsAllowed() || p.useAssigned && !p.assignedForSuspects(c)) {
		return false
	}
	return (w.IgnoreCapacity || c.hasRoom(w, p.cfg.Overcommit)) && !slices.Contains(w.Avoid, c.Name)
}

// maxDeltas limits the load changes stored for an endpoint that does not report.
const maxDeltas = 512

// assign counts the work as sent to the endpoint and returns its ticket.
func (p *Picker) assign(c *candidate, w Work, predicted time.Duration, now time.Time) Ticket {
	t := Ticket{Endpoint: c.Name, Address: c.Address, Cached: c.cached, Predicted: predicted, work: w, sentAt: now}
	c.outstanding++
	p.recordWork(w, t.Cached, c.Speed, now)
	p.countIdentical(w.Affinity, c.Name, 1)
	c.record(loadDelta{now, 1, max(0, w.PromptTokens-t.Cached)})
	if w.Suspect {
		c.suspects++
	}
	for _, i := range samplePositions(len(w.Blocks)) {
		p.prefixes.add(w.Blocks[i], c.Name, now.Add(p.cfg.CacheAge))
	}
	return t
}

// record adds a load change and drops the oldest one above maxDeltas.
func (c *candidate) record(x loadDelta) {
	if len(c.deltas) >= maxDeltas {
		c.deltaSum.add(loadDelta{running: -c.deltas[0].running, prefill: -c.deltas[0].prefill})
		c.deltas = c.deltas[1:]
	}
	c.deltas = append(c.deltas, x)
	c.deltaSum.add(x)
}

func (x *loadDelta) add(y loadDelta) {
	x.running += y.running
	x.prefill += y.prefill
}

// RecordFirstToken records that the prefill of a request has finished.
func (p *Picker) RecordFirstToken(t *Ticket, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.byName[t.Endpoint]; c != nil {
		c.record(loadDelta{now, 0, -t.pendingPrefill()})
	}
	t.prefillDone = true
}

// pendingPrefill returns the number of prompt tokens counted as waiting for prefill.
func (t *Ticket) pendingPrefill() Tokens {
	if t.prefillDone {
		return 0
	}
	return max(0, t.work.PromptTokens-t.Cached)
}

// Done releases a ticket and records the outcome.
func (p *Picker) Done(t *Ticket, o Outcome, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countIdentical(t.work.Affinity, t.Endpoint, -1)
	c := p.byName[t.Endpoint]
	if c == nil {
		return
	}
	c.outstanding = max(0, c.outstanding-1)
	c.record(loadDelta{now, -1, -t.pendingPrefill()})
	if t.work.Suspect {
		c.suspects = max(0, c.suspects-1)
	}
	switch o {
	case OutcomeFailed:
		c.pausedUntil = now.Add(p.cfg.CrashPause)
		p.prefixes.removeEndpoint(c.Name)
	case OutcomeComplete:
		c.recordDuration(*t, now)
	}
}

// lookUpPrefixes sets the cached tokens of each candidate for the current pick.
func (p *Picker) lookUpPrefixes(w Work, now time.Time) {
	for _, c := range p.cachedCandidates {
		c.cached = 0
	}
	p.cachedCandidates = p.cachedCandidates[:0]
	positions := samplePositions(len(w.Blocks))
	for k := len(positions) - 1; k >= 0; k-- {
		tokens := Tokens(positions[k]+1) * w.BlockTokens
		for _, h := range p.prefixes.holders(w.Blocks[positions[k]]) {
			if c := p.byName[h.endpoint]; c != nil && h.expiresAt.After(now) && tokens > c.cached {
				c.cached = tokens
				p.cachedCandidates = append(p.cachedCandidates, c)
			}
		}
	}
}

// Package slugpick chooses the endpoint of a service with the least predicted
// completion time of a request: time in the queue, prefill of what is not
// cached, and decoding at the batch size that the request would find.
//
// Load reports lag, so the picker adds its own sends since the report was taken.
// Prefix affinity follows from the prediction: a cached prefix saves its prefill,
// until the wait for its endpoint outweighs the saving. Prefix hashes are salted
// by workspace, so that no workspace can probe the cache of another.
//
// # Usage
//
//	p := slugpick.New(slugpick.Config{Local: "dc-1"})
//	p.SetEndpoints(endpoints)
//	t, ok := p.Pick(work, time.Now())
//	...
//	p.Done(&t, slugpick.OutcomeWhole, time.Now())
package slugpick

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

// Endpoint is a candidate.
type Endpoint struct {
	slugplan.Endpoint
	DataCentre slugname.DataCentre
}

// Config sets what the picker assumes.
type Config struct {
	// Local is the data centre of this process.
	Local slugname.DataCentre
	// RemotePenalty is the cost of leaving the data centre.
	RemotePenalty time.Duration
	// CacheAge is how long a prefix is assumed to stay cached after its last use.
	CacheAge time.Duration
	// Overcommit is the number of requests sent beyond an endpoint's streams, as
	// a part of the streams.
	Overcommit float64
	// Gap returns the longest time between tokens that the service's objective
	// allows, 0 when it has none; nil means none.
	Gap func() time.Duration
	// Place returns this gate's place among the live gates and their number. Each
	// gate tries its suspects on endpoints of its own, so that no two suspects meet;
	// nil means that there is one gate.
	Place func() (place, gates int)
	// CrashPause is how long an endpoint gets no work after a crash.
	CrashPause time.Duration
}

// Defaults of the configuration.
const (
	defaultRemotePenalty = time.Millisecond
	defaultCacheAge      = 5 * time.Minute
	defaultCrashPause    = 500 * time.Millisecond
	// suspectShare is the greatest part of endpoints that may hold suspects.
	suspectShare = 0.1
)

// Tokens is a number of tokens.
type Tokens int

// Work is what the choice depends on.
type Work struct {
	Workspace    slugname.Workspace
	Class        slugmanifest.Class
	PromptTokens Tokens
	OutputTokens Tokens
	// Blocks are the salted hashes of the prompt's prefixes, one a block.
	Blocks []uint64
	// BlockTokens is the number of tokens in a block.
	BlockTokens Tokens
	// Repeatable work may run on endpoints that can vanish.
	Repeatable bool
	// Avoid lists endpoints that failed the request before.
	Avoid []slugname.Endpoint
	// Suspect work runs with no other suspect beside it.
	Suspect bool
	// Affinity is equal for equal requests. It chooses among endpoints that are about
	// as good.
	Affinity uint64
	// Force ignores the endpoint's room, for work that must not wait.
	Force bool
}

// Ticket is a choice. It must be given back with Done.
type Ticket struct {
	Endpoint slugname.Endpoint
	Address  string
	// Cached is the number of prompt tokens assumed to be cached.
	Cached Tokens
	// Predicted is the predicted completion time.
	Predicted time.Duration
	work      Work
	at        time.Time
	// prefilled tells that the prefill is done.
	prefilled bool
}

// Outcome says how a request ended at its endpoint.
type Outcome int

// The outcomes.
const (
	// OutcomeWhole is an answer from its first to its last byte.
	OutcomeWhole Outcome = iota
	// OutcomeNotRun is a refusal by the endpoint.
	OutcomeNotRun
	// OutcomeFailed is a lost connection or an endpoint that ended.
	OutcomeFailed
	// OutcomeCanceled is a request whose caller went away.
	OutcomeCanceled
)

// Report is a load report of an endpoint.
type Report struct {
	// TakenAt is the time of the report on this process's clock.
	TakenAt       time.Time
	Running       int
	Queued        int
	PrefillTokens Tokens
	FreePieces    int
}

// candidate is an endpoint with its soft state.
type candidate struct {
	Endpoint
	// position is the place in the list of endpoints, which is in order of name.
	position int
	report   Report
	reported bool
	// own are this process's sends and returns, newest last.
	own []ownEvent
	// sum is the sum of own.
	sum         ownEvent
	outstanding int
	suspects    int
	pausedUntil time.Time
	// cached is the part of the present pick's prompt that is assumed to be cached.
	cached Tokens
	// error is the ratio of observed to predicted time, smoothed.
	error float64
}

// ownEvent is one send (+1) or return (-1) of this process.
type ownEvent struct {
	at      time.Time
	running int
	prefill Tokens
}

// Picker chooses among the endpoints of one service.
type Picker struct {
	cfg Config

	mu         sync.Mutex
	candidates []*candidate
	index      map[slugname.Endpoint]*candidate
	prefixes   *prefixIndex
	// warm are the candidates with a cached prefix in the present pick.
	warm []*candidate
	// running are the equal requests that run now, by affinity.
	running map[uint64]equal
	// ownSuspects tells for one pick that this gate has endpoints of its own for
	// suspects.
	ownSuspects bool
	// predicted is scratch space for one pick, by position.
	predicted []time.Duration
	mix       mix
	// turn spreads picks among equal endpoints.
	turn uint64
}

// New returns a Picker without endpoints.
func New(cfg Config) *Picker {
	if cfg.RemotePenalty == 0 {
		cfg.RemotePenalty = defaultRemotePenalty
	}
	if cfg.CacheAge == 0 {
		cfg.CacheAge = defaultCacheAge
	}
	if cfg.Place == nil {
		cfg.Place = func() (int, int) { return 0, 1 }
	}
	if cfg.Gap == nil {
		cfg.Gap = func() time.Duration { return 0 }
	}
	if cfg.CrashPause == 0 {
		cfg.CrashPause = defaultCrashPause
	}
	return &Picker{
		cfg: cfg, index: map[slugname.Endpoint]*candidate{},
		prefixes: newPrefixIndex(), running: map[uint64]equal{}, turn: rand.Uint64(),
	}
}

// SetEndpoints replaces the endpoints and keeps the state of those that stay.
func (p *Picker) SetEndpoints(endpoints []Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	index := make(map[slugname.Endpoint]*candidate, len(endpoints))
	p.candidates = p.candidates[:0]
	p.predicted = make([]time.Duration, len(endpoints))
	p.mix.harmful = p.harmful(endpoints)
	for _, e := range endpoints {
		c := p.index[e.Name]
		if c == nil || c.Address != e.Address {
			c = &candidate{error: 1}
		}
		c.Endpoint, c.position = e, len(p.candidates)
		index[e.Name] = c
		p.candidates = append(p.candidates, c)
	}
	for name := range p.index {
		if index[name] == nil {
			p.prefixes.forget(name)
		}
	}
	p.index = index
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

// Expects reports whether any endpoint takes work, or will again after a change.
func (p *Picker) Expects() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.candidates, func(c *candidate) bool { return c.State != slugplan.StateLeaving })
}

// Outstanding returns the number of this process's requests at an endpoint.
func (p *Picker) Outstanding(e slugname.Endpoint) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.index[e]; c != nil {
		return c.outstanding
	}
	return 0
}

// Report takes a load report.
func (p *Picker) Report(e slugname.Endpoint, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.index[e]
	if c == nil || c.reported && r.TakenAt.Before(c.report.TakenAt) {
		return
	}
	c.report, c.reported = r, true
	c.own = slices.DeleteFunc(c.own, func(x ownEvent) bool { return !x.at.After(r.TakenAt) })
	c.sum = ownEvent{}
	for _, x := range c.own {
		c.sum.add(x)
	}
}

// CacheEvent takes word that an endpoint cached or dropped a prefix.
func (p *Picker) CacheEvent(e slugname.Endpoint, prefix uint64, removed bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if removed {
		p.prefixes.remove(prefix, e)
		return
	}
	p.prefixes.add(prefix, e, now.Add(p.cfg.CacheAge))
}

// Pick chooses an endpoint and counts the work as sent there. It reports false
// when no endpoint may take the work now.
func (p *Picker) Pick(w Work, now time.Time) (Ticket, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lookUpPrefixes(w, now)
	split := p.hasSplit()
	side := p.side(w, split)
	p.ownSuspects = w.Suspect && p.hasOwnSuspects(&w)
	prefer := p.prefer(&w)
	var best *candidate
	var least time.Duration
	for i, c := range p.candidates {
		p.predicted[i] = ineligible
		if !p.eligible(c, &w, split, now) || !side.takes(i, c) {
			continue
		}
		d := p.predict(c, &w)
		p.predicted[i] = d
		if best == nil || d < least || c.Name == prefer {
			best, least = c, d
		}
		if c.Name == prefer {
			break
		}
	}
	if best == nil {
		return Ticket{}, false
	}
	if best.Name != prefer {
		best, least = p.amongEquals(w, least)
	}
	return p.take(best, w, least, now), true
}

func (p *Picker) eligible(c *candidate, w *Work, split bool, now time.Time) bool {
	if c.State != slugplan.StateServing || now.Before(c.pausedUntil) {
		return false
	}
	if c.Cheap && !w.Repeatable {
		return false
	}
	if split && !roleTakes(c.Role, w, c.Speed) {
		return false
	}
	if w.Suspect && (c.suspects > 0 || !p.suspectsAllowed() || p.ownSuspects && !p.ownsSuspects(c)) {
		return false
	}
	return (w.Force || c.hasRoom(w, p.cfg.Overcommit)) && !slices.Contains(w.Avoid, c.Name)
}

// maxOwnEvents bounds the sends remembered for an endpoint that does not report.
const maxOwnEvents = 512

func (p *Picker) take(c *candidate, w Work, predicted time.Duration, now time.Time) Ticket {
	t := Ticket{Endpoint: c.Name, Address: c.Address, Cached: c.cached, Predicted: predicted, work: w, at: now}
	c.outstanding++
	p.count(w, t.Cached, c.Speed, now)
	p.hold(w.Affinity, c.Name, 1)
	c.note(ownEvent{now, 1, max(0, w.PromptTokens-t.Cached)})
	if w.Suspect {
		c.suspects++
	}
	for _, i := range samplePositions(len(w.Blocks)) {
		p.prefixes.add(w.Blocks[i], c.Name, now.Add(p.cfg.CacheAge))
	}
	return t
}

func (c *candidate) note(x ownEvent) {
	if len(c.own) >= maxOwnEvents {
		c.sum.add(ownEvent{running: -c.own[0].running, prefill: -c.own[0].prefill})
		c.own = c.own[1:]
	}
	c.own = append(c.own, x)
	c.sum.add(x)
}

func (x *ownEvent) add(y ownEvent) {
	x.running += y.running
	x.prefill += y.prefill
}

// FirstToken takes word that the prefill of a request is done.
func (p *Picker) FirstToken(t *Ticket, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.index[t.Endpoint]; c != nil {
		c.note(ownEvent{now, 0, -t.waiting()})
	}
	t.prefilled = true
}

// waiting returns the prompt tokens that were counted as waiting for prefill.
func (t *Ticket) waiting() Tokens {
	if t.prefilled {
		return 0
	}
	return max(0, t.work.PromptTokens-t.Cached)
}

// Done gives a ticket back.
func (p *Picker) Done(t *Ticket, o Outcome, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hold(t.work.Affinity, t.Endpoint, -1)
	c := p.index[t.Endpoint]
	if c == nil {
		return
	}
	c.outstanding = max(0, c.outstanding-1)
	c.note(ownEvent{now, -1, -t.waiting()})
	if t.work.Suspect {
		c.suspects = max(0, c.suspects-1)
	}
	switch o {
	case OutcomeFailed:
		c.pausedUntil = now.Add(p.cfg.CrashPause)
		p.prefixes.forget(c.Name)
	case OutcomeWhole:
		c.learn(*t, now)
	}
}

// lookUpPrefixes notes for one pick which candidates have a prefix cached.
func (p *Picker) lookUpPrefixes(w Work, now time.Time) {
	for _, c := range p.warm {
		c.cached = 0
	}
	p.warm = p.warm[:0]
	positions := samplePositions(len(w.Blocks))
	for k := len(positions) - 1; k >= 0; k-- {
		tokens := Tokens(positions[k]+1) * w.BlockTokens
		for _, h := range p.prefixes.holders(w.Blocks[positions[k]]) {
			if c := p.index[h.endpoint]; c != nil && h.until.After(now) && tokens > c.cached {
				c.cached = tokens
				p.warm = append(p.warm, c)
			}
		}
	}
}

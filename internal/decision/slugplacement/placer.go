// Package slugplacement decides which endpoint of a service takes which stage of a
// request.
//
// It answers the load of many prompts that share long parts, arriving at many hosts
// at once, while endpoints come and go: a prompt goes where its shared parts are
// kept, as long as the wait there costs less than processing them again elsewhere.
// All hosts take the same endpoint for the home of a shared part, by rendezvous
// hashing, so that they find it there without telling each other. The second choice
// is the same for all as well, so that a part in great demand is kept twice and not
// everywhere.
//
// The package does no input or output. Load is what this process has sent and not
// seen the end of, and what the others tell of theirs.
//
// # Usage
//
//	p := slugplacement.New(slugplacement.Config{DataCentre: "dc-a"})
//	p.SetEndpoints(endpoints)
//	c, ok := p.Prefill(job, nil, time.Now())
//	...
//	c.End(slugplacement.Served, time.Now())
package slugplacement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugbacklog"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// Endpoint is one endpoint that may be chosen.
type Endpoint struct {
	Name        slugname.Endpoint
	Incarnation int64
	Address     string
	DataCentre  slugname.DataCentre
	Role        slugplan.Role
	Slots       int
	// CacheTokens is the memory for prompts and answers; 0 for plain services.
	CacheTokens int
}

// Load is work at an endpoint.
type Load struct {
	// Prefill is the time that waiting and running prompts need. Engines process them in
	// the order in which they came: urgency decides only who is admitted first.
	Prefill time.Duration
	// Streams is the number of requests that run or wait.
	Streams int
	// CacheTokens is the memory that they need.
	CacheTokens int
}

// Outcome is how a stage at an endpoint ended.
type Outcome int

// The outcomes.
const (
	// Served means that the endpoint did its part.
	Served Outcome = iota
	// Failed means that the endpoint broke off, did not answer in time or spoiled its
	// answer.
	Failed
	// Full means that the endpoint refused for want of room.
	Full
	// Wrong means that another endpoint answers at the address.
	Wrong
	// Abandoned means that the caller left; it tells nothing of the endpoint.
	Abandoned
)

const (
	// failureHalfLife is how long a failure counts half.
	failureHalfLife = 3 * time.Second
	// failurePenalty is the time that an endpoint's first recent failure adds to
	// what is expected of it; it grows with the square of their number.
	failurePenalty = 120 * time.Millisecond
	// avoidAfter is the number of recent failures from which an endpoint is avoided.
	avoidAfter = 1.5
	// avoidFor is how long it is avoided.
	avoidFor = 1500 * time.Millisecond
	// fullFor is how long an endpoint that refused for want of room is avoided.
	fullFor = 120 * time.Millisecond
	// slowSmoothing is the part of the newest measurement in an endpoint's slowness.
	slowSmoothing = 0.25
	// slowMemory is how long a measured slowness is believed without a newer one.
	slowMemory = 6 * time.Second
	// maxSlowness bounds what one measurement can say.
	maxSlowness = 20
	// cacheUse is the part of an endpoint's memory that running requests may take.
	cacheUse = 0.9
)

// Config makes a Placer.
type Config struct {
	DataCentre slugname.DataCentre
	Cost       Cost
	// Random returns a number from 0 up to 1, to break ties; nil means the runtime's.
	Random func() float64
}

// state is what is known of an endpoint.
type state struct {
	Endpoint
	// hash is that of the name.
	hash   uint64
	own    Load
	others Load
	cache  *cache
	// slowness is the measured time over the expected one, 1 at first.
	slowness   float64
	slownessAt time.Time
	// failures is the decayed number of failures.
	failures   float64
	failuresAt time.Time
	avoidUntil time.Time
	// idleAt is when all work that any process announced will be done, as the process
	// that answers for the endpoint told at toldAt.
	idleAt, toldAt time.Time
	// doneAt is when a prompt was last processed there.
	doneAt time.Time
}

// Placer chooses among the endpoints of one service.
type Placer struct {
	cfg Config

	mu     sync.Mutex
	state  map[slugname.Endpoint]*state
	list   []*state
	demand demand
	// backlog is what all processes announced for the endpoints that this one answers
	// for.
	backlog *slugbacklog.Backlog
}

// New returns a Placer without endpoints.
func New(cfg Config) *Placer {
	if cfg.Cost == (Cost{}) {
		cfg.Cost = DefaultCost
	}
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &Placer{cfg: cfg, state: map[slugname.Endpoint]*state{}, backlog: slugbacklog.New()}
}

// SetEndpoints replaces the endpoints that take new work. What is known of those that
// stay is kept, unless they started again.
func (p *Placer) SetEndpoints(list []Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.EqualFunc(list, p.list, func(e Endpoint, s *state) bool { return e == s.Endpoint }) {
		return
	}
	next := make(map[slugname.Endpoint]*state, len(list))
	p.list = p.list[:0]
	for _, e := range list {
		s := p.state[e.Name]
		if s == nil || s.Incarnation != e.Incarnation {
			s = &state{hash: xxhash.Sum64String(string(e.Name)), cache: newCache(e.CacheTokens), slowness: 1}
		}
		if s.Role != e.Role {
			s.cache = newCache(e.CacheTokens)
		}
		s.Endpoint = e
		next[e.Name] = s
		p.list = append(p.list, s)
	}
	p.state = next
}

// CacheTold takes what an endpoint told of the parts that it keeps: those with tokens
// are kept, the others are not. fresh tells that it kept nothing before.
func (p *Placer) CacheTold(e slugname.Endpoint, parts []Part, fresh bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state[e]
	if s == nil {
		return
	}
	if fresh {
		s.cache = newCache(s.CacheTokens)
	}
	s.cache.told = true
	for _, x := range parts {
		if x.Tokens > 0 {
			s.cache.keep(x)
		} else {
			s.cache.drop(x.ID)
		}
	}
}

// SetOthers replaces what other processes told of their load.
func (p *Placer) SetOthers(loads map[slugname.Endpoint]Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, s := range p.state {
		s.others = loads[name]
	}
}

// Own returns this process's load, without endpoints that have none.
func (p *Placer) Own() map[slugname.Endpoint]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[slugname.Endpoint]Load{}
	for name, s := range p.state {
		if s.own != (Load{}) {
			out[name] = s.own
		}
	}
	return out
}

// Len returns the number of endpoints with a role, or of all for an empty one.
func (p *Placer) Len(r slugplan.Role) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.list {
		if r == "" || s.Role == r {
			n++
		}
	}
	return n
}

// Choice is an endpoint that was chosen, with the work noted there until End.
type Choice struct {
	Endpoint
	// Predicted is when the stage is expected to be done.
	Predicted time.Duration
	// Cached is the number of prompt tokens believed to be kept there.
	Cached int
	// Told tells that the prediction comes from the process that answers for the
	// endpoint, and not from this one's own view.
	Told bool
	// Announced is what that process answered.
	Announced Announced
	// FetchFrom is the address of an endpoint from which it may copy more of the
	// prompt's KV cache, empty when there is none.
	FetchFrom string

	p       *Placer
	s       *state
	job     Job
	at      time.Time
	work    time.Duration
	nominal time.Duration
	stage   slugplan.Role
	ended   bool
	wait    time.Duration
	predict time.Duration
}

const (
	// stallFactor is the number of times the expected duration after which a prompt is
	// late enough to ask whether its endpoint stands still.
	stallFactor = 4
	// leastStall is how late it must be at least.
	leastStall = 1500 * time.Millisecond
)

// Stalled reports whether the prompt is late and nothing was done at its endpoint since
// it began. A prompt that is only late goes on: to process it again elsewhere would
// add to the load that made it late.
func (c *Choice) Stalled(now time.Time) bool {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	late := now.Sub(c.at) > max(leastStall, stallFactor*c.Predicted)
	return late && !c.s.doneAt.After(c.at)
}

// Began returns when the endpoint was chosen.
func (c *Choice) Began() time.Time { return c.at }

// usable returns the endpoints with a role that are not excluded. Avoided ones are
// left out as long as there are others; p.mu is held.
func (p *Placer) usable(r slugplan.Role, exclude []slugname.Endpoint, now time.Time) []*state {
	var good, avoided []*state
	for _, s := range p.list {
		if s.Role != r || slices.Contains(exclude, s.Name) {
			continue
		}
		if now.Before(s.avoidUntil) {
			avoided = append(avoided, s)
			continue
		}
		good = append(good, s)
	}
	if len(good) == 0 {
		return avoided
	}
	return good
}

// Prefill chooses the endpoint that processes a prompt: the one where it is expected
// to be done first.
func (p *Placer) Prefill(j Job, exclude []slugname.Endpoint, now time.Time) (*Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.take(p.bestPrefill(j, exclude, now), slugplan.RolePrefill, now)
}

// bestPrefill returns the best endpoint for a prompt, nil when there is none; p.mu is
// held.
func (p *Placer) bestPrefill(j Job, exclude []slugname.Endpoint, now time.Time) *Choice {
	var best *Choice
	usable := p.usable(slugplan.RolePrefill, exclude, now)
	subject := j.subject()
	home := p.home(subject, slugplan.RolePrefill)
	kept := p.kept(j, usable)
	source := mostKept(usable, kept)
	median := p.median(slugplan.RolePrefill, now)
	for i, s := range usable {
		c := p.prefillAt(s, j, hoped(s, home, j, kept[i]), median, now)
		c.predict += p.preference(subject, s)
		if s == home {
			c.predict -= homeBonus
		}
		if f := p.fetching(s, j, source, median, now); f != nil && f.predict < c.predict {
			c = f
		}
		if best == nil || c.predict < best.predict {
			best = c
		}
	}
	return best
}

// Job returns the prompt, and how many of its tokens the endpoint is to copy.
func (c *Choice) Job() (j Job, copied int) {
	if c.FetchFrom == "" {
		return c.job, 0
	}
	return c.job, c.Cached
}

// Decode chooses the endpoint that makes the answer from the KV cache at near: one
// with room, in the same data centre if there is one, with the fewest requests.
func (p *Placer) Decode(j Job, near slugname.DataCentre, exclude []slugname.Endpoint, now time.Time) (*Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *Choice
	median := p.median(slugplan.RoleDecode, now)
	for _, s := range p.usable(slugplan.RoleDecode, exclude, now) {
		c := &Choice{Endpoint: s.Endpoint, p: p, s: s, job: j}
		c.predict = p.decodeAt(s, j, near, median, now)
		if best == nil || c.predict < best.predict {
			best = c
		}
	}
	return p.take(best, slugplan.RoleDecode, now)
}

const (
	// farPenalty is what a move of KV cache to another data centre costs more, in time.
	farPenalty = 8 * time.Millisecond
	// noRoomPenalty is the wait expected at an endpoint without room.
	noRoomPenalty = 2 * time.Second
	// perStream is the time by which each request more makes a first event later.
	perStream = 500 * time.Microsecond
	// tieSpread is the greatest random time that breaks ties.
	tieSpread = 200 * time.Microsecond
)

// decodeAt returns how much later than elsewhere an answer would begin; p.mu is held.
func (p *Placer) decodeAt(s *state, j Job, near slugname.DataCentre, median float64, now time.Time) time.Duration {
	streams := s.own.Streams + s.others.Streams
	d := time.Duration(float64(streams)*float64(perStream)*s.relative(median, now)) + s.penalty(now)
	d += time.Duration(p.cfg.Random() * float64(tieSpread))
	if s.DataCentre != near {
		d += farPenalty
	}
	tokens := s.own.CacheTokens + s.others.CacheTokens + j.Tokens + j.Output
	if streams >= s.Slots || s.CacheTokens > 0 && float64(tokens) > cacheUse*float64(s.CacheTokens) {
		d += noRoomPenalty
	}
	return d
}

// Plain chooses an endpoint of a plain service: the one with the fewest requests for
// its slots.
func (p *Placer) Plain(exclude []slugname.Endpoint, now time.Time) (*Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *Choice
	median := p.median("", now)
	for _, s := range p.usable("", exclude, now) {
		c := &Choice{Endpoint: s.Endpoint, p: p, s: s}
		c.predict = p.plainAt(s, median, now)
		if best == nil || c.predict < best.predict {
			best = c
		}
	}
	return p.take(best, "", now)
}

// plainWork is the time that one request is taken to need before any was measured.
const plainWork = 30 * time.Millisecond

// plainAt returns the expected time of a request at a plain endpoint; p.mu is held.
func (p *Placer) plainAt(s *state, median float64, now time.Time) time.Duration {
	streams := s.own.Streams + s.others.Streams
	rounds := 1 + float64(streams)/float64(max(1, s.Slots))
	d := time.Duration(rounds*float64(plainWork)*s.relative(median, now)) + s.penalty(now)
	if s.DataCentre != p.cfg.DataCentre {
		d += time.Millisecond
	}
	return d + time.Duration(p.cfg.Random()*float64(tieSpread))
}

// take notes the work at the chosen endpoint; p.mu is held.
func (p *Placer) take(c *Choice, stage slugplan.Role, now time.Time) (*Choice, bool) {
	if c == nil {
		return nil, false
	}
	c.stage, c.at = stage, now
	c.s.note(c, 1)
	if stage == slugplan.RolePrefill {
		p.demand.add(c.nominal, now)
		return c, true
	}
	n := 0
	for _, s := range p.list {
		n += s.own.Streams
	}
	p.demand.running(n, now)
	return c, true
}

// note adds or takes away the work of a choice.
func (s *state) note(c *Choice, sign int) {
	if c.stage == slugplan.RolePrefill {
		s.own.Prefill += time.Duration(sign) * c.work
		return
	}
	s.own.Streams += sign
	s.own.CacheTokens += sign * (c.job.Tokens + c.job.Output)
}

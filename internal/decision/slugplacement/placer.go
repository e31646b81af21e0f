// Package slugplacement decides which endpoint of a service runs which stage of a
// request.
//
// Many prompts that share long parts arrive at many hosts at once, while endpoints come
// and go. A prompt is sent to an endpoint that caches its shared parts, as long as the
// wait there costs less than processing them again elsewhere. All hosts choose the same
// home endpoint for a shared part by rendezvous hashing, so that they find it there
// without coordination. They also agree on the order of the other endpoints, so that a
// part in high demand is cached by a few endpoints and not by all. The owner of the
// home is asked first, and told where a prompt goes instead, so that it can tell others who has
// the part.
//
// The package performs no I/O. The load it knows of consists of this process's own
// unfinished work, the load that other processes report, and announcements: before a
// process sends a prompt to an endpoint, it may announce the prompt to the owner of the
// endpoint, which is the process that collects the announcements for that endpoint and
// returns the expected wait.
//
// # Usage
//
//	p := slugplacement.New(slugplacement.Config{DataCentre: "dc-a"})
//	p.SetEndpoints(endpoints, time.Now())
//	c, ok := p.Prefill(job, nil, time.Now()) // or PrefillAtHome, to ask its owner first
//	...
//	c.End(slugplacement.Served, time.Now())
package slugplacement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugbacklog"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugload"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugmedian"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugnotice"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpace"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpermit"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// Endpoint is an endpoint that can be chosen.
type Endpoint struct {
	Name        slugname.Endpoint
	Incarnation int64
	Address     string
	DataCentre  slugname.DataCentre
	Role        slugplan.Role
	// Version is the version of the endpoint's software.
	Version slugname.SoftwareVersion
	Slots   int
	// CacheTokens is the capacity for the tokens of prompts and responses; 0 for plain
	// services.
	CacheTokens int
	// TransferPerToken is the time to transfer the KV cache of one token to another
	// endpoint in the same data centre.
	TransferPerToken time.Duration
}

// Load is the work at an endpoint.
type Load struct {
	// Prefill is the processing time of waiting and running prompts. Engines process
	// prompts in order of arrival; priority only decides which are admitted first.
	Prefill time.Duration
	// Streams is the number of running and waiting requests.
	Streams int
	// CacheTokens is the cache capacity that these requests need.
	CacheTokens int
}

// Outcome says how a stage at an endpoint ended.
type Outcome int

// Possible values of Outcome.
const (
	// Served means that the endpoint completed its stage.
	Served Outcome = iota
	// Failed means that the endpoint broke the connection, timed out or sent an invalid
	// response.
	Failed
	// Silent means that the endpoint wrote nothing for so long that another one took over. It
	// may go on a moment later.
	Silent
	// Full means that the endpoint refused for lack of capacity.
	Full
	// WrongEndpoint means that a different endpoint responded at the address.
	WrongEndpoint
	// Abandoned means that the caller disconnected; it says nothing about the endpoint.
	Abandoned
	// Outrun means that an extra attempt at another endpoint responded first.
	Outrun
)

const (
	// failureHalfLife is the time after which a failure counts half.
	failureHalfLife = 3 * time.Second
	// failurePenalty is the time that an endpoint's first recent failure adds to its
	// score. The penalty grows with the square of the number of failures.
	failurePenalty = 120 * time.Millisecond
	// avoidThreshold is the decayed number of failures from which an endpoint is
	// avoided.
	avoidThreshold = 1.5
	// avoidDuration is how long a failing endpoint is avoided.
	avoidDuration = 1500 * time.Millisecond
	// downAvoidDuration is how long an endpoint is avoided at whose address nothing listens.
	// It exceeds the time after which the entry of a crashed endpoint disappears.
	downAvoidDuration = 4 * time.Second
	// fullAvoidDuration is how long an endpoint is avoided that refused for lack of
	// capacity.
	fullAvoidDuration = 120 * time.Millisecond
	// slownessSmoothing is the weight of the latest measurement in an endpoint's
	// slowness.
	slownessSmoothing = 0.25
	// slownessMaxAge is how long a measured slowness is used without a newer
	// measurement.
	slownessMaxAge = 6 * time.Second
	// maxSlowness limits the slowness of a single measurement.
	maxSlowness = 20
	// awayTTL is how long the state of an endpoint that is no choice is kept. It may live and
	// come back, with the limit that it stated: its entry lapses while it is cut from the
	// store, and is left out while its role changes.
	awayTTL = 10 * time.Minute
	// maxCacheShare is the fraction of an endpoint's cache that running requests may
	// use.
	maxCacheShare = 0.9
)

// Config configures a Placer.
type Config struct {
	DataCentre slugname.DataCentre
	// Pace predicts the time of prompts; nil means a model without measurements.
	Pace *slugpace.Model
	// Share returns the place of this host among all hosts, by which they divide the rate
	// limit of an endpoint, and Clock the time on which all hosts agree. Nil means a single
	// host, and time.Now.
	Share func() slugpermit.Share
	Clock func() time.Time
	// Notices holds what endpoints said about themselves; nil means that no one records any.
	Notices *slugnotice.Notices
	// LoadDelay returns how long it takes until this host learns of the load that others place
	// on endpoints; nil means no time.
	LoadDelay func() time.Duration
	// PromptEnded is called at the end of an announced prompt whose engine states its load. It
	// passes the end to the owner of the engine, or returns true if that is this process. It
	// must not call the placer; nil means that no owner is told.
	PromptEnded func(PromptEnd) bool
	// Owns reports whether this process is the owner of an engine. It must not call the placer;
	// nil means that the owner's forecasts name no better engines.
	Owns func(slugname.Endpoint, slugname.DataCentre) bool
	// Random returns a number in [0, 1) for breaking ties; nil means math/rand/v2.
	Random func() float64
}

// endpointState is the placer's knowledge of an endpoint.
type endpointState struct {
	Endpoint
	// hash is the hash of the name.
	hash uint64
	// own is the load of this process, others that of all other processes.
	own    Load
	others Load
	cache  *cache
	// gaps are the pauses between the events of responses, compared with the usual ones.
	gaps slugload.Work
	// slowness is the smoothed ratio of measured to expected time, initially 1.
	slowness   float64
	slownessAt time.Time
	// failures is the number of failures, decayed up to failuresAt.
	failures   float64
	failuresAt time.Time
	avoidUntil time.Time
	// idleAt is when the work announced by all processes will be done, according to the
	// forecast of the endpoint's owner at forecastAt.
	idleAt, forecastAt time.Time
	// permits divide the rate limit that the endpoint last stated, at limitedAt; nil if it
	// stated none.
	permits   *slugpermit.Permits
	limitedAt time.Time
	// lastPrefillAt is when this process last saw a prompt processed there.
	lastPrefillAt time.Time
	// awaited is the number of requests of this process that wait for a processed prompt or an
	// event from there.
	awaited int
	// heardAt is when this process last received one from there, or began to wait for one.
	heardAt time.Time
	// load is what the endpoint states of its load, and its measured speed.
	load slugload.Load
	// peerSlowness is what the owner of the engine measured, or 0.
	peerSlowness float64
	// listedAt is when the endpoint became a choice, or zero if it was one from the start.
	listedAt time.Time
}

// awayEndpoint is the state of an endpoint that has been no choice since a time.
type awayEndpoint struct {
	state *endpointState
	since time.Time
}

// Placer chooses among the endpoints of one service. It is safe for concurrent use.
type Placer struct {
	cfg Config

	mu     sync.Mutex
	byName map[slugname.Endpoint]*endpointState
	list   []*endpointState
	// away holds the endpoints that were a choice within awayTTL.
	away   map[slugname.Endpoint]awayEndpoint
	demand demand
	// starts counts the requests that this process has sent to endpoints whose load hosts
	// report to each other.
	starts rate
	// meanWork is the smoothed time of a whole prompt without cache.
	meanWork time.Duration
	// firstEvents are the times from the start of decode requests to their first events,
	// streamTimes those to their ends, and plainTimes the durations of requests to plain
	// endpoints.
	// gapTimes are the pauses between events.
	firstEvents, streamTimes, plainTimes, gapTimes *slugmedian.Window
	// backlog is the work that all processes announced for the endpoints of which this
	// process is the owner.
	backlog *slugbacklog.Backlog
	// deferrals hold the deferred prompts of those endpoints.
	deferrals map[slugname.Endpoint]*deferral
	// urgencies is what is known of the announced prompts of each priority.
	urgencies map[int]urgency
	// reporting is set once an endpoint of the service has stated its load.
	reporting atomic.Bool
	// owned are the engines of which this process was the owner at ownedAt.
	owned   []*endpointState
	ownedAt time.Time
	// typical is the wait to expect at engines of which no recent forecast is known.
	// spreadWaits is set while it is varied from engine to engine.
	typical     typicalWait
	spreadWaits bool
}

// New returns a Placer without endpoints.
func New(cfg Config) *Placer {
	if cfg.Pace == nil {
		cfg.Pace = slugpace.New()
	}
	if cfg.Share == nil {
		cfg.Share = func() slugpermit.Share { return slugpermit.Share{Hosts: 1} }
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Notices == nil {
		cfg.Notices = slugnotice.New()
	}
	if cfg.LoadDelay == nil {
		cfg.LoadDelay = func() time.Duration { return 0 }
	}
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &Placer{
		cfg: cfg, byName: map[slugname.Endpoint]*endpointState{}, away: map[slugname.Endpoint]awayEndpoint{}, backlog: slugbacklog.New(), deferrals: map[slugname.Endpoint]*deferral{}, urgencies: map[int]urgency{},
		firstEvents: slugmedian.New(measurementMaxAge), streamTimes: slugmedian.New(measurementMaxAge), plainTimes: slugmedian.New(measurementMaxAge), gapTimes: slugmedian.New(measurementMaxAge),
	}
}

// Choice is a chosen endpoint. Its work counts as load there until End.
type Choice struct {
	Endpoint
	// Predicted is the predicted time until the stage is done.
	Predicted time.Duration
	// Measured is set if the prediction rests on measurements and not on a guess.
	Measured bool
	// Cached is the number of prompt tokens assumed to be cached there, including those
	// that are to be fetched.
	Cached int
	// FromOwner is set if the prediction comes from the endpoint's owner and not from this
	// process's own knowledge.
	FromOwner bool
	// Forecast is the owner's forecast, valid if FromOwner is set.
	Forecast Forecast
	// FetchFrom is the address of an endpoint from which more of the prompt's KV cache
	// can be fetched, or empty.
	FetchFrom string

	// AtHome is set if the endpoint was chosen by PrefillAtHome.
	AtHome bool

	// fetchAt is when that endpoint has processed what is to be fetched.
	fetchAt time.Time
	// instead is the choice to which the prompt is sent instead of this one.
	instead *Choice

	p         *Placer
	state     *endpointState
	job       Job
	startedAt time.Time
	work      time.Duration
	// nominal is the prefill time at an endpoint of normal speed.
	nominal time.Duration
	stage   slugplan.Role
	ended   bool
	// eventSeen is set after the first event of a response, and lastEventAt is when the last
	// one arrived.
	eventSeen   bool
	lastEventAt time.Time
	// awaiting is set while the request waits for its prompt or an event.
	awaiting bool
	wait     time.Duration
	// score is Predicted plus penalties and preferences; the lowest score is chosen.
	score time.Duration
	// perSlot is the number of requests per slot of a plain endpoint when it was chosen,
	// including this one.
	perSlot float64
}

const (
	// stallFactor is the multiple of the predicted time after which a prompt may be
	// stalled.
	stallFactor = 4
	// minStall is the minimum time after which a prompt may be stalled.
	minStall = 1500 * time.Millisecond
)

// Wait returns the predicted time for which the prompt waits for other prompts.
func (c *Choice) Wait() time.Duration { return c.wait }

// Stalled reports whether the prompt is overdue and its endpoint has completed no
// prompt since it was sent. A prompt that is merely late continues: processing it again
// elsewhere would add to the load that made it late.
func (c *Choice) Stalled(now time.Time) bool {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	late := now.Sub(c.startedAt) > max(minStall, stallFactor*c.Predicted)
	return late && !c.state.lastPrefillAt.After(c.startedAt)
}

// Sent records that the request is being sent now. Announcements, or the processing of its
// prompt, may have taken some time since the endpoint was chosen.
func (c *Choice) Sent(now time.Time) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	c.startedAt = now
	c.setAwaiting(true, now)
}

// StartedAt returns when the prompt was sent, or when the endpoint was chosen if it has not
// been sent yet.
func (c *Choice) StartedAt() time.Time { return c.startedAt }

// candidates returns the endpoints with a role, of a software version unless that is empty,
// that are not excluded, that want requests and whose rate limit allows one. Endpoints to
// avoid are returned only if there are no others.
// The caller must hold p.mu.
func (p *Placer) candidates(r slugplan.Role, v slugname.SoftwareVersion, exclude []slugname.Endpoint, now time.Time) []*endpointState {
	var preferred, avoided []*endpointState
	for _, s := range p.list {
		if p.exclusion(s, r, v, exclude, now) != "" {
			continue
		}
		if now.Before(s.avoidUntil) {
			avoided = append(avoided, s)
			continue
		}
		preferred = append(preferred, s)
	}
	if len(preferred) == 0 {
		return avoided
	}
	return preferred
}

// Prefill chooses the endpoint that is expected to finish processing a prompt first.
func (p *Placer) Prefill(j Job, exclude []slugname.Endpoint, now time.Time) (*Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spreadWaits = true
	best := p.bestPrefill(j, exclude, now)
	p.spreadWaits = false
	return p.assign(best, slugplan.RolePrefill, now)
}

// bestPrefill returns the best choice for a prompt, or nil if there is none. The caller
// must hold p.mu.
func (p *Placer) bestPrefill(j Job, exclude []slugname.Endpoint, now time.Time) *Choice {
	var best estimate
	candidates := p.candidates(slugplan.RolePrefill, "", exclude, now)
	sharedPart := j.lastSharedPart()
	home := p.homeEndpoint(sharedPart, slugplan.RolePrefill)
	cached := p.cachedTokens(j, candidates)
	source := p.largestHolder(j, now)
	median := p.medianSlowness(slugplan.RolePrefill, now)
	unit, weight := p.workUnit(j), p.workWeight(now)
	for i, s := range candidates {
		c := p.predictPrefill(s, j, assumedCached(s, home, j, cached[i]), median, weight, now)
		c.score += p.preferenceDelay(sharedPart, s, unit, now) + p.slowStartDelay(s, unit, now)
		if s == home {
			c.score -= time.Duration(homeBonus * float64(unit))
		}
		if f, ok := p.prefillWithFetch(s, j, source, unit, median, weight, now); ok && f.score < c.score {
			c = f
		}
		if best.state == nil || c.score < best.score {
			best = c
		}
	}
	if best.state == nil {
		return nil
	}
	return p.choice(&best, j, now)
}

// Job returns the work of the request, and how many of its prompt tokens the endpoint is
// to fetch from another endpoint's KV cache.
func (c *Choice) Job() (j Job, fetched int) {
	if c.job.Ticket == 0 && c.p.reporting.Load() {
		c.job.Ticket = newTicket()
	}
	if c.FetchFrom == "" {
		return c.job, 0
	}
	return c.job, c.Cached
}

// Decode chooses the endpoint that generates the response. near is the data centre that
// has the KV cache. Decode prefers endpoints with free capacity in that data centre, and
// among them the one with the fewest requests.
func (p *Placer) Decode(j Job, near slugname.DataCentre, exclude []slugname.Endpoint, now time.Time) (*Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.assign(p.bestDecode(j, near, p.candidates(slugplan.RoleDecode, j.Version, exclude, now), now), slugplan.RoleDecode, now)
}

// DecodeAt is like Decode, but chooses one of the given endpoints.
func (p *Placer) DecodeAt(j Job, near slugname.DataCentre, names []slugname.Endpoint, now time.Time) (*Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var others []slugname.Endpoint
	for _, s := range p.list {
		if !slices.Contains(names, s.Name) {
			others = append(others, s.Name)
		}
	}
	return p.assign(p.bestDecode(j, near, p.candidates(slugplan.RoleDecode, j.Version, others, now), now), slugplan.RoleDecode, now)
}

// Spare chooses, like Decode, an engine for a response that is still expected elsewhere. It
// has free capacity, and if any request of this process waits for an event from there, one has
// arrived within maxSilence.
func (p *Placer) Spare(j Job, near slugname.DataCentre, exclude []slugname.Endpoint, maxSilence time.Duration, now time.Time) (*Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := slices.DeleteFunc(p.candidates(slugplan.RoleDecode, j.Version, exclude, now), func(s *endpointState) bool {
		return !s.hasRoom(j) || s.awaited > 0 && now.Sub(s.heardAt) > maxSilence
	})
	return p.assign(p.bestDecode(j, near, candidates, now), slugplan.RoleDecode, now)
}

// SparePrefill chooses, like Prefill, an engine for a prompt that is still being processed
// elsewhere. If this process waits for any prompt there, one was completed within maxSilence
// or within the predicted time.
func (p *Placer) SparePrefill(j Job, exclude []slugname.Endpoint, maxSilence time.Duration, now time.Time) (*Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	exclude = slices.Clone(exclude)
	for {
		c := p.bestPrefill(j, exclude, now)
		if c == nil || c.state.awaited == 0 || now.Sub(c.state.heardAt) <= max(maxSilence, c.Predicted) {
			return p.assign(c, slugplan.RolePrefill, now)
		}
		exclude = append(exclude, c.Name)
	}
}

// Lists reports whether an endpoint is listed in the given incarnation.
func (p *Placer) Lists(e slugname.Endpoint, incarnation int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byName[e]
	return s != nil && s.Incarnation == incarnation
}

// bestDecode returns the choice for a response, or nil if there are no candidates. The caller
// must hold p.mu.
func (p *Placer) bestDecode(j Job, near slugname.DataCentre, candidates []*endpointState, now time.Time) *Choice {
	median := p.medianSlowness(slugplan.RoleDecode, now)
	scores := make([]time.Duration, len(candidates))
	for i, s := range candidates {
		scores[i] = p.scoreDecode(s, j, near, median, now)
	}
	return p.chooseSpread(candidates, scores, delayPerStream, j, now)
}

const (
	// crossDataCentrePenalty is the additional time to transfer the KV cache to another
	// data centre.
	crossDataCentrePenalty = 8 * time.Millisecond
	// noRoomPenalty is the expected wait at an endpoint without free capacity.
	noRoomPenalty = 2 * time.Second
	// delayPerStream is the time by which each running request delays the first event
	// of another.
	delayPerStream = 500 * time.Microsecond
	// tieSpread is the upper bound of the random time that breaks ties.
	tieSpread = 200 * time.Microsecond
)

// scoreDecode returns the relative delay of a response generated at an endpoint. The
// caller must hold p.mu.
func (p *Placer) scoreDecode(s *endpointState, j Job, near slugname.DataCentre, median float64, now time.Time) time.Duration {
	streams := s.own.Streams + s.others.Streams
	d := time.Duration(float64(streams)*float64(delayPerStream)*s.relativeSlowness(median, now)) + s.penaltyForFailures(now)
	d += time.Duration(p.cfg.Random()*float64(tieSpread)) + p.loadDelay(s, now) + s.slowResponseDelay(now)
	if s.DataCentre != near {
		d += crossDataCentrePenalty
	}
	if !s.hasRoom(j) {
		d += noRoomPenalty
	}
	return d
}

// hasRoom reports whether an engine has a free slot and free cache for another response.
func (s *endpointState) hasRoom(j Job) bool {
	tokens := s.own.CacheTokens + s.others.CacheTokens + j.Tokens + j.Output
	return s.own.Streams+s.others.Streams < s.Slots && (s.CacheTokens == 0 || float64(tokens) <= maxCacheShare*float64(s.CacheTokens))
}

// assign adds the work to the chosen endpoint and records the demand. It reports false
// if there is no choice. The caller must hold p.mu.
func (p *Placer) assign(c *Choice, stage slugplan.Role, now time.Time) (*Choice, bool) {
	if c == nil {
		return nil, false
	}
	c.stage, c.startedAt = stage, now
	c.state.addWork(c, 1)
	if stage != slugplan.RolePrefill {
		p.starts.add(now)
	}
	if stage == slugplan.RolePrefill && !c.job.Counted {
		p.demand.add(c.nominal, now)
		p.recordMeanWork(c.job)
	}
	if stage == slugplan.RolePrefill {
		return c, true
	}
	n := 0
	for _, s := range p.list {
		n += s.own.Streams
	}
	p.demand.recordStreams(n, now)
	return c, true
}

// addWork adds the work of a choice (sign 1) or removes it (sign -1).
func (s *endpointState) addWork(c *Choice, sign int) {
	if c.stage == slugplan.RolePrefill {
		s.own.Prefill += time.Duration(sign) * c.work
		return
	}
	s.own.Streams += sign
	s.own.CacheTokens += sign * (c.job.Tokens + c.job.Output)
}

package slugplacement

import (
	"slices"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// Exclusion says why an endpoint is no candidate for a stage of a request; it is empty for a
// candidate.
type Exclusion string

// The values of Exclusion.
const (
	// ExcludedRole means that the endpoint has another role.
	ExcludedRole Exclusion = "another role"
	// ExcludedVersion means that another software version began the stream.
	ExcludedVersion Exclusion = "another software version"
	// ExcludedTried means that the request must not be sent there again.
	ExcludedTried Exclusion = "already tried"
	// ExcludedLimit means that the rate limit of the endpoint allows this host no request now.
	ExcludedLimit Exclusion = "rate limit"
	// ExcludedUnwanted means that the endpoint is leaving or asked to be left alone.
	ExcludedUnwanted Exclusion = "leaving or asked to be left alone"
	// ExcludedAvoided means that the endpoint is avoided after failures, as long as others
	// are candidates.
	ExcludedAvoided Exclusion = "avoided after failures"
)

// exclusion returns why an endpoint is no candidate for a role, apart from ExcludedAvoided. The
// caller must hold p.mu.
func (p *Placer) exclusion(s *endpointState, r slugplan.Role, v slugname.SoftwareVersion, exclude []slugname.Endpoint, now time.Time) Exclusion {
	switch {
	case s.Role != r:
		return ExcludedRole
	case v != "" && s.Version != v:
		return ExcludedVersion
	case slices.Contains(exclude, s.Name):
		return ExcludedTried
	case !p.hasPermit(s):
		return ExcludedLimit
	case !p.wantsRequests(s, now):
		return ExcludedUnwanted
	}
	return ""
}

// Candidate is what a Placer knows of an endpoint. A zero time means that there is no
// measurement.
type Candidate struct {
	Endpoint
	Excluded Exclusion
	// Expected is the expected time of the stage there, with the preferences that order
	// candidates, and Wait the part of it in which the prompt waits. Both are 0 for an
	// endpoint that is no candidate.
	Expected, Wait time.Duration
	// Cached is the number of prompt tokens assumed to be cached, and CacheReported whether
	// that rests on reports of the endpoint.
	Cached        int
	CacheReported bool
	// Own is the load of this process, and Peers that of the others.
	Own, Peers Load
	// ForecastAt is when the owner of the endpoint last forecast its work.
	ForecastAt time.Time
	Slowness   float64
	SlownessAt time.Time
	Failures   float64
	FailuresAt time.Time
	AvoidedFor time.Duration
	// PerSecond is the rate limit that the endpoint stated at LimitedAt, or 0, and PermitIn
	// the time until this host has a permit.
	PerSecond float64
	LimitedAt time.Time
	PermitIn  time.Duration
	// Leaving and WaitAsked are what the endpoint said about itself.
	Leaving   bool
	WaitAsked time.Duration
	// LastPromptAt is when this process last saw a prompt processed there.
	LastPromptAt time.Time
}

// Preview is a choice that was not made.
type Preview struct {
	// Choice is the endpoint that would be chosen, or nil. Its work does not count as load,
	// and its End has no effect.
	Choice *Choice
	// Candidates are all endpoints of the service that take new work, also those that are
	// no candidates for the stage.
	Candidates []Candidate
}

// PreviewPlain returns what Plain would choose now.
func (p *Placer) PreviewPlain(v slugname.SoftwareVersion, now time.Time) Preview {
	p.mu.Lock()
	defer p.mu.Unlock()
	median := p.medianPlainSlowness(now)
	return p.preview(p.bestPlain(v, nil, now), "", v, now, func(s *endpointState, c *Candidate) {
		c.Expected = p.scorePlain(s, median, now)
	})
}

// PreviewPrefill returns what Prefill would choose now. The owners of the endpoints are not
// asked.
func (p *Placer) PreviewPrefill(j Job, now time.Time) Preview {
	p.mu.Lock()
	defer p.mu.Unlock()
	home := p.homeEndpoint(j.lastSharedPart(), slugplan.RolePrefill)
	median := p.medianSlowness(slugplan.RolePrefill, now)
	return p.preview(p.bestPrefill(j, nil, now), slugplan.RolePrefill, "", now, func(s *endpointState, c *Candidate) {
		x := p.predictPrefill(s, j, assumedCached(s, home, j, p.cachedTokens(j, []*endpointState{s})[0]), median, p.workWeight(now), now)
		c.Expected, c.Wait, c.Cached = x.score+p.cfg.Pace.Fixed(), x.wait, x.cached
	})
}

// PreviewDecode returns what Decode would choose now.
func (p *Placer) PreviewDecode(j Job, near slugname.DataCentre, now time.Time) Preview {
	p.mu.Lock()
	defer p.mu.Unlock()
	median := p.medianSlowness(slugplan.RoleDecode, now)
	best := p.bestDecode(j, near, p.candidates(slugplan.RoleDecode, j.Version, nil, now), now)
	return p.preview(best, slugplan.RoleDecode, j.Version, now, func(s *endpointState, c *Candidate) {
		c.Expected = p.scoreDecode(s, j, near, median, now)
	})
}

// preview describes all endpoints beside a choice. expect sets what is expected of a candidate.
// The caller must hold p.mu.
func (p *Placer) preview(best *Choice, r slugplan.Role, v slugname.SoftwareVersion, now time.Time, expect func(*endpointState, *Candidate)) Preview {
	if best != nil {
		best.stage, best.startedAt, best.ended = r, now, true
	}
	candidates := p.candidates(r, v, nil, now)
	out := Preview{Choice: best}
	for _, s := range p.list {
		c := p.describe(s, now)
		if c.Excluded = p.exclusion(s, r, v, nil, now); c.Excluded == "" && !slices.Contains(candidates, s) {
			c.Excluded = ExcludedAvoided
		}
		if c.Excluded == "" {
			expect(s, &c)
		}
		out.Candidates = append(out.Candidates, c)
	}
	return out
}

// describe returns what is known of an endpoint. The caller must hold p.mu.
func (p *Placer) describe(s *endpointState, now time.Time) Candidate {
	c := Candidate{
		Endpoint: s.Endpoint, CacheReported: s.cache.reported, Own: s.own, Peers: s.others, ForecastAt: s.forecastAt,
		Slowness: s.currentSlowness(now), SlownessAt: s.slownessAt, Failures: s.recentFailures(now), FailuresAt: s.failuresAt,
		AvoidedFor: max(0, s.avoidUntil.Sub(now)), LastPromptAt: s.lastPrefillAt,
	}
	c.WaitAsked, c.Leaving = p.cfg.Notices.Wait(s.Name, s.Incarnation, now)
	if s.permits != nil {
		c.PerSecond, c.LimitedAt, c.PermitIn = s.permits.PerSecond(), s.limitedAt, s.permits.Wait(p.cfg.Share(), p.cfg.Clock())
	}
	return c
}

// ExpectedAt returns what is expected of the stage at an endpoint, or 0.
func (x Preview) ExpectedAt(e slugname.Endpoint) time.Duration {
	for _, c := range x.Candidates {
		if c.Name == e {
			return c.Expected
		}
	}
	return 0
}

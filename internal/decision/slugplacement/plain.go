package slugplacement

import (
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

// Plain chooses the endpoint of a plain service with the fewest requests per slot, among those
// of a software version unless that is empty.
func (p *Placer) Plain(v slugname.SoftwareVersion, exclude []slugname.Endpoint, now time.Time) (*Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.assign(p.bestPlain(v, exclude, now), "", now)
}

// bestPlain returns the choice for a request to a plain service, or nil if there is none. The
// caller must hold p.mu.
func (p *Placer) bestPlain(v slugname.SoftwareVersion, exclude []slugname.Endpoint, now time.Time) *Choice {
	candidates := p.candidates("", v, exclude, now)
	median := p.medianPlainSlowness(now)
	scores := make([]time.Duration, len(candidates))
	for i, s := range candidates {
		scores[i] = p.scorePlain(s, median, now)
	}
	c := p.chooseSpread(candidates, scores, p.delayPerPlain(candidates, now), Job{}, now)
	if c != nil {
		c.perSlot = c.state.requestsPerSlot(now) + 1/float64(max(1, c.state.load.Slots(c.Slots)))
	}
	return c
}

// guessedPlainWork is the duration of a request to a plain endpoint that is used to compare
// endpoints before there are measurements.
const guessedPlainWork = 30 * time.Millisecond

// scorePlain returns the expected duration of a request at a plain endpoint. The caller
// must hold p.mu.
func (p *Placer) scorePlain(s *endpointState, median float64, now time.Time) time.Duration {
	rounds, work := 1+s.requestsPerSlot(now), p.plainWork(now)
	d := time.Duration(rounds*float64(work)*s.plainSlowness(median, now)) + s.penaltyForFailures(now)
	if s.DataCentre != p.cfg.DataCentre {
		// Among equal endpoints, those in this data centre are preferred.
		d += time.Millisecond
	}
	d += p.slowStartDelay(s, work, now)
	return d + time.Duration(p.cfg.Random()*float64(tieSpread))
}

// plainWork returns the usual duration of a request to a plain endpoint. The caller must hold
// p.mu.
func (p *Placer) plainWork(now time.Time) time.Duration {
	work, ok := p.plainTimes.Median(now)
	if !ok {
		return guessedPlainWork
	}
	return work
}

// delayPerPlain returns the time by which each running request delays another one at the
// given endpoints. The caller must hold p.mu.
func (p *Placer) delayPerPlain(list []*endpointState, now time.Time) time.Duration {
	slots := 1
	for _, s := range list {
		slots = max(slots, s.Slots)
	}
	return p.plainWork(now) / time.Duration(slots)
}

package slugplacement

import (
	"slices"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugload"
)

// RecordLoad records the load that a response of the chosen endpoint states.
func (c *Choice) RecordLoad(r slugload.Report, now time.Time) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	c.state.load.Record(r, c.state.own.Streams, now)
	if r.Stated {
		c.p.setReporting()
	}
}

// setReporting records that endpoints of the service state their load.
func (p *Placer) setReporting() {
	if !p.reporting.Swap(true) {
		p.cfg.Pace.Steady()
	}
}

// ReportedLoad returns the load that an endpoint last stated, and when; false means that it
// stated none.
func (p *Placer) ReportedLoad(e slugname.Endpoint) (r slugload.Report, at time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byName[e]
	if s == nil {
		return r, at, false
	}
	r, at = s.load.Report()
	return r, at, r.Stated
}

// CountLoads returns the number of endpoints that have stated their load to this process, and
// of those at which work is expected to take at least factor times as long as usual now.
func (p *Placer) CountLoads(factor float64, now time.Time) (stating, slow int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.list {
		if s.load.Stated() {
			stating++
		}
		if s.load.Factor(now) >= factor {
			slow++
		}
	}
	return stating, slow
}

// requestsPerSlot returns the expected number of requests per slot of a plain endpoint. The
// caller must hold p.mu.
func (s *endpointState) requestsPerSlot(now time.Time) float64 {
	if !s.load.Stated() {
		return float64(s.own.Streams+s.others.Streams) / float64(max(1, s.Slots))
	}
	return s.load.Requests(s.own.Streams, s.others.Streams, now) / float64(max(1, s.load.Slots(s.Slots)))
}

// plainSlowness returns how many times slower than usual a plain endpoint is now. Slowness is
// measured only of endpoints that state their load: without it, a long request may just have
// waited. The caller must hold p.mu.
func (s *endpointState) plainSlowness(median float64, now time.Time) float64 {
	if !s.load.Stated() {
		return s.relativeSlowness(median, now)
	}
	slowness, _ := s.load.Slowness(now)
	return s.load.Factor(now) * slowness / median
}

// medianPlainSlowness returns the median slowness of the plain endpoints. The caller must hold
// p.mu.
func (p *Placer) medianPlainSlowness(now time.Time) float64 {
	var all []float64
	for _, s := range p.list {
		if slowness, ok := s.load.Slowness(now); ok && s.Role == "" {
			all = append(all, slowness)
		}
	}
	if len(all) == 0 {
		return p.medianSlowness("", now)
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// recordPlainWork compares the duration of a request to a plain endpoint that states its load
// with the usual one. A request waits only as far as all slots were taken when it was sent.
// The caller must hold p.mu.
func (c *Choice) recordPlainWork(took time.Duration, now time.Time) {
	usual, ok := c.p.plainTimes.Median(now)
	if !ok || !c.state.load.Stated() {
		return
	}
	rounds := max(1, c.perSlot)
	c.state.load.RecordWork(took, time.Duration(rounds*float64(usual)*c.state.load.Factor(now)), now)
}

package slugplacement

import "time"

const (
	// slowStartTime is the time in which an endpoint that is new, or has returned, gets more
	// and more requests. Hosts tell each other their load in up to a second, so that all would
	// send to it before any knows of the others.
	slowStartTime = 2 * time.Second
	// slowStartMin is the smallest fraction of the choices in which such an endpoint counts
	// like the others, so that it gets requests at all.
	slowStartMin = 0.02
)

// noteListed records that an endpoint has become a choice now. Those that the process finds
// when it starts are not new. The caller must hold p.mu.
func (p *Placer) noteListed(s *endpointState, e Endpoint, now time.Time) {
	if len(p.byName) > 0 && (p.byName[e.Name] != s || s.Role != e.Role) {
		s.listedAt = now
	}
}

// heldBack reports whether an endpoint is held back in this choice because it is new or has
// returned: always at first, and in fewer and fewer choices. The caller must hold p.mu.
func (p *Placer) heldBack(s *endpointState, now time.Time) bool {
	age := now.Sub(s.listedAt)
	if age >= slowStartTime || !p.reporting.Load() {
		return false
	}
	return p.cfg.Random() >= max(slowStartMin, float64(age)/float64(slowStartTime))
}

// slowStartDelay returns the time to add to the score of an endpoint: that of one request if it
// is held back, so that it is chosen if the others are busier than that. The caller must hold
// p.mu.
func (p *Placer) slowStartDelay(s *endpointState, work time.Duration, now time.Time) time.Duration {
	if p.heldBack(s, now) {
		return work
	}
	return 0
}

// loadDelay returns the time by which the present speed of a decode engine, if it states that,
// delays the first event of a response, and the delay of a slow start, which is that of a full
// engine. The caller must hold p.mu.
func (p *Placer) loadDelay(s *endpointState, now time.Time) time.Duration {
	if !p.reporting.Load() {
		return 0
	}
	first, _ := p.firstEvents.Median(now)
	usual := first + time.Duration(s.own.Streams+s.others.Streams)*delayPerStream
	d := time.Duration((s.load.Factor(now) - 1) * float64(usual))
	return d + p.slowStartDelay(s, time.Duration(s.Slots)*delayPerStream, now)
}

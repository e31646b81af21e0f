package slugplacement

import "time"

// slowResponseUnit is the delay that a decode engine of twice the usual pauses adds to its score:
// as much as 30 further responses. Long responses would not be complete by their deadline at an
// engine that is several times slower.
const slowResponseUnit = 15 * time.Millisecond

// recordGap records the pause before an event that is not the first. The caller must hold p.mu.
func (c *Choice) recordGap(now time.Time) {
	last := c.lastEventAt
	c.lastEventAt = now
	if last.IsZero() {
		return
	}
	if usual, ok := c.p.gapTimes.Median(now); ok {
		c.state.gaps.Add(now.Sub(last), usual, now)
	}
	c.p.gapTimes.Add(now.Sub(last), now)
}

// slowResponseDelay returns the time that the lasting speed of a decode engine adds to its
// score, or takes from it. The caller must hold p.mu.
func (s *endpointState) slowResponseDelay(now time.Time) time.Duration {
	slowness, ok := s.gaps.Slowness(now)
	if !ok {
		return 0
	}
	return time.Duration((slowness - 1) * float64(slowResponseUnit))
}

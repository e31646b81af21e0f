package slugplacement

import (
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// minQuietFailures is the decayed number of failures from which an endpoint gets no extra
// attempts: half of one, which is a failure within failureHalfLife.
const minQuietFailures = 0.5

// Unfit returns the endpoints with a role that must not get an extra attempt: those that are
// avoided, failed lately, state a rate limit or want no requests. A plain endpoint is also unfit
// without a free slot, or if requests of this process wait there and none was answered within
// maxSilence.
func (p *Placer) Unfit(r slugplan.Role, maxSilence time.Duration, now time.Time) []slugname.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []slugname.Endpoint
	for _, s := range p.list {
		if s.Role != r {
			continue
		}
		switch {
		case now.Before(s.avoidUntil), s.recentFailures(now) >= minQuietFailures, s.permits != nil, !p.wantsRequests(s, now):
			out = append(out, s.Name)
		case r == "" && (s.own.Streams+s.others.Streams >= s.Slots || s.awaited > 0 && now.Sub(s.heardAt) > maxSilence):
			out = append(out, s.Name)
		}
	}
	return out
}

// Busy returns the load of the endpoints with a role, as far as this process knows: the
// fraction of the slots of plain endpoints that are in use, or of the engines that have work.
// Endpoints to avoid are left out. Without any it is 1.
func (p *Placer) Busy(r slugplan.Role, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	busy, all := 0, 0
	for _, s := range p.list {
		switch {
		case s.Role != r || now.Before(s.avoidUntil):
		case r == "":
			busy += s.own.Streams + s.others.Streams
			all += max(1, s.Slots)
		default:
			all++
			if s.own.Prefill+s.others.Prefill > 0 || s.own.Streams+s.others.Streams > 0 || now.Sub(s.forecastAt) < forecastMaxAge && s.idleAt.After(now) {
				busy++
			}
		}
	}
	if all == 0 {
		return 1
	}
	return float64(busy) / float64(all)
}

// recordOutrun takes over the time that a prompt has taken so far as a measurement of its
// endpoint, if that is slower than expected. Otherwise an engine whose slow prompts are all
// completed elsewhere would never count as slow. The caller must hold p.mu.
func (c *Choice) recordOutrun(now time.Time) {
	if c.stage != slugplan.RolePrefill {
		return
	}
	took, expected := now.Sub(c.startedAt), c.wait+c.nominal+c.p.cfg.Pace.Fixed()
	if float64(took) > float64(expected)*c.state.currentSlowness(now) {
		c.state.recordDuration(took, expected, now)
	}
}

package slugplacement

import (
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// Hint names an engine of the same owner at which an announced prompt would be done sooner, as
// far as the owner knows. The prompt was not announced for it.
type Hint struct {
	// Endpoint is empty if there is none.
	Endpoint slugname.Endpoint
	Wait     time.Duration
}

// ownedMaxAge is how long the list of engines of which this process is the owner is used. It
// changes with the live processes.
const ownedMaxAge = time.Second

// ownedEngines returns the engines of which this process is the owner. The caller must hold
// p.mu.
func (p *Placer) ownedEngines(now time.Time) []*endpointState {
	if now.Sub(p.ownedAt) < ownedMaxAge {
		return p.owned
	}
	p.owned, p.ownedAt = nil, now
	for _, s := range p.list {
		if s.Role == slugplan.RolePrefill && p.cfg.Owns(s.Name, s.DataCentre) {
			p.owned = append(p.owned, s)
		}
	}
	return p.owned
}

// hint returns the engine of this owner that would be done with a prompt first, if that is
// sooner than the forecast by minGain. The caller must hold p.mu.
func (p *Placer) hint(asked *endpointState, j Job, f Forecast, median float64, now time.Time) (h Hint) {
	if p.cfg.Owns == nil || !p.reporting.Load() {
		return h
	}
	weight := p.workWeight(now)
	best := f.Wait + weighted(f.Work, weight) - time.Duration(minGain*float64(p.workUnit(j)))
	for _, s := range p.ownedEngines(now) {
		if s == asked || p.byName[s.Name] != s || now.Before(s.avoidUntil) || p.heldBack(s, now) || !p.wantsRequests(s, now) {
			continue
		}
		wait := p.backlog.Wait(s.Name, &s.load, now)
		if wait >= best {
			continue
		}
		nominal := p.cfg.Pace.Work(j.Tokens, min(s.cache.cached(j.Parts), j.Tokens))
		if d := wait + weighted(s.load.Stretch(p.usualWork(s, nominal, median, now), now.Add(wait)), weight); d < best {
			best, h = d, Hint{s.Name, wait}
		}
	}
	return h
}

// applyHint records the wait at the engine that an owner named. The caller must hold p.mu.
func (p *Placer) applyHint(h Hint, now time.Time) {
	if s := p.byName[h.Endpoint]; s != nil {
		s.idleAt, s.forecastAt = now.Add(h.Wait), now
	}
}

const (
	// typicalWaitSmoothing is the weight of the latest forecast in the typical wait.
	typicalWaitSmoothing = 0.4
	// typicalWaitMaxAge is how long the typical wait is used without a newer forecast.
	typicalWaitMaxAge = 3 * time.Second
)

// typicalWait is the wait to expect at an engine of which no recent forecast is known.
type typicalWait struct {
	wait time.Duration
	at   time.Time
}

// Add adds the wait at an engine that was asked without knowing it.
func (t *typicalWait) Add(wait time.Duration, now time.Time) {
	t.wait = t.Expected(now) + time.Duration(typicalWaitSmoothing*float64(wait-t.Expected(now)))
	t.at = now
}

// Expected returns the wait to expect.
func (t *typicalWait) Expected(now time.Time) time.Duration {
	if now.Sub(t.at) >= typicalWaitMaxAge {
		return 0
	}
	return t.wait
}

// waitSpread returns what to add to the score of an engine of which no recent forecast is known:
// its wait may be anything up to twice the typical one. Engines that are slower than others
// would otherwise never be asked, however much the others have to do. fraction, between 0 and
// 1, decides. Once an owner has answered, its figures are compared with the typical wait: the
// lowest of many random ones would always seem better. The caller must hold p.mu.
func (p *Placer) waitSpread(s *endpointState, fraction float64, now time.Time) time.Duration {
	if !p.spreadWaits || !p.reporting.Load() || now.Sub(s.forecastAt) < forecastMaxAge {
		return 0
	}
	return time.Duration((2*fraction - 1) * float64(p.typical.Expected(now)))
}

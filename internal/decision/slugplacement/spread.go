package slugplacement

import (
	"time"

	"github.com/sassafraslug/sassafraslug/internal/decision/slugspread"
)

// rateInterval is the period over which a rate is averaged.
const rateInterval = time.Second

// rate measures how often something happens.
type rate struct {
	number            int64
	previous, current int
}

// advance makes the period of now the current one.
func (r *rate) advance(now time.Time) {
	number := now.UnixNano() / int64(rateInterval)
	switch number {
	case r.number:
		return
	case r.number + 1:
		r.previous = r.current
	default:
		r.previous = 0
	}
	r.number, r.current = number, 0
}

func (r *rate) add(now time.Time) {
	r.advance(now)
	r.current++
}

// perSecond returns the rate in this period and the one before.
func (r *rate) perSecond(now time.Time) float64 {
	r.advance(now)
	elapsed := rateInterval + time.Duration(now.UnixNano()%int64(rateInterval))
	return float64(r.previous+r.current) / elapsed.Seconds()
}

// unseen returns how many requests other hosts are expected to have sent since the load that
// they last reported. Callers choose hosts at random, so the others send as often as this one.
// The caller must hold p.mu.
func (p *Placer) unseen(now time.Time) float64 {
	others := float64(max(0, p.cfg.Share().Hosts-1))
	return p.starts.perSecond(now) * others * p.cfg.LoadDelay().Seconds()
}

// chooseSpread chooses among endpoints whose load other hosts report with a delay, given the
// expected delay of a request at each of them, and the delay that each running request adds.
// It returns nil if there are no candidates. The caller must hold p.mu.
func (p *Placer) chooseSpread(candidates []*endpointState, scores []time.Duration, perRequest time.Duration, j Job, now time.Time) *Choice {
	if len(candidates) == 0 {
		return nil
	}
	loads := make([]float64, len(scores))
	for i, d := range scores {
		loads[i] = float64(d) / float64(max(1, perRequest))
	}
	i := slugspread.New(loads, p.unseen(now)).Choose(p.cfg.Random())
	return &Choice{Endpoint: candidates[i].Endpoint, p: p, state: candidates[i], job: j, score: scores[i]}
}

package slugplacement

import (
	"time"

	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// maxUtilization limits the utilization in workWeight, since the weight grows without bound.
const maxUtilization = 0.8

// workWeight returns by how much the work of a prompt counts more than its wait. Work also delays
// the prompts behind it, by u/(1-u) of its time in a queue of utilization u. So the busier the
// engines are, the more wait is accepted to find a part of the prompt cached instead of
// processing it again. The caller must hold p.mu.
func (p *Placer) workWeight(now time.Time) float64 {
	engines := 0
	for _, s := range p.list {
		if s.Role == slugplan.RolePrefill {
			engines++
		}
	}
	busy := p.demand.mean(now) * float64(max(1, p.cfg.Share().Hosts))
	return 1 / (1 - min(maxUtilization, busy/float64(max(1, engines))))
}

// mean returns the number of engines kept busy by prompts, averaged over this period and the one
// before.
func (d *demand) mean(now time.Time) float64 {
	d.advance(now)
	elapsed := demandInterval + time.Duration(now.UnixNano()%int64(demandInterval))
	return (d.previous.prefillWork + d.current.prefillWork).Seconds() / elapsed.Seconds()
}

// weighted returns work times its weight.
func weighted(work time.Duration, weight float64) time.Duration {
	return time.Duration(weight * float64(work))
}

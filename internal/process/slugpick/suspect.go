package slugpick

import (
	"slices"

	"github.com/sassafraslug/sassafraslug/internal/process/slugname"
	"github.com/sassafraslug/sassafraslug/internal/process/slugplan"
)

type equal struct {
	endpoint slugname.Endpoint
	count    int
}

func (p *Picker) prefer(w *Work) slugname.Endpoint {
	if w.Suspect {
		return ""
	}
	return p.running[w.Affinity].endpoint
}

func (p *Picker) hold(affinity uint64, e slugname.Endpoint, n int) {
	x, ok := p.running[affinity]
	if affinity == 0 || ok && x.endpoint != e {
		return
	}
	x.endpoint = e
	if x.count += n; x.count <= 0 {
		delete(p.running, affinity)
		return
	}
	p.running[affinity] = x
}

func (p *Picker) hasOwnSuspects(w *Work) bool {
	return slices.ContainsFunc(p.candidates, func(c *candidate) bool {
		return p.ownsSuspects(c) && c.State == slugplan.StateServing && !slices.Contains(w.Avoid, c.Name)
	})
}

func (p *Picker) suspectsAllowed() bool {
	holding := 0
	for _, c := range p.candidates {
		if c.suspects > 0 {
			holding++
		}
	}
	return holding < max(1, int(suspectShare*float64(len(p.candidates))))
}

func (p *Picker) ownsSuspects(c *candidate) bool {
	place, gates := p.cfg.Place()
	if gates <= 1 || len(p.candidates) < gates {
		return true
	}
	return c.position%gates == place
}

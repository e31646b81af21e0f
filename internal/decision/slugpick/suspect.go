package slugpick

import (
	"slices"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// equal counts equal requests at an endpoint.
type equal struct {
	endpoint slugname.Endpoint
	count    int
}

// prefer returns the endpoint that runs an equal request now, so that a request
// which crashes endpoints, sent many times at once, crashes one.
func (p *Picker) prefer(w *Work) slugname.Endpoint {
	if w.Suspect {
		return ""
	}
	return p.running[w.Affinity].endpoint
}

// hold counts an equal request; n is 1 or -1.
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

// hasOwnSuspects reports whether a suspect may be tried at any of this gate's own
// endpoints.
func (p *Picker) hasOwnSuspects(w *Work) bool {
	return slices.ContainsFunc(p.candidates, func(c *candidate) bool {
		return p.ownsSuspects(c) && c.State == slugplan.StateServing && !slices.Contains(w.Avoid, c.Name)
	})
}

// suspectsAllowed reports whether one more endpoint may hold a suspect.
func (p *Picker) suspectsAllowed() bool {
	holding := 0
	for _, c := range p.candidates {
		if c.suspects > 0 {
			holding++
		}
	}
	return holding < max(1, int(suspectShare*float64(len(p.candidates))))
}

// ownsSuspects reports whether this gate may try suspects at an endpoint. Gates that
// see the same endpoints part them by position.
func (p *Picker) ownsSuspects(c *candidate) bool {
	place, gates := p.cfg.Place()
	if gates <= 1 || len(p.candidates) < gates {
		return true
	}
	return c.position%gates == place
}

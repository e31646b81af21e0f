package slugpick

import (
	"slices"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// identicalRequests counts the running identical requests at an endpoint.
type identicalRequests struct {
	endpoint slugname.Endpoint
	count    int
}

// identicalEndpoint returns the endpoint that already runs an identical request, or "".
// Duplicates are sent to the same endpoint, so that a request that crashes endpoints
// reaches only one of them even if a caller sends it many times at once.
func (p *Picker) identicalEndpoint(w *Work) slugname.Endpoint {
	if w.Suspect {
		return ""
	}
	return p.inFlight[w.Affinity].endpoint
}

// countIdentical adds n, which is 1 or -1, to the number of running identical requests.
func (p *Picker) countIdentical(affinity uint64, e slugname.Endpoint, n int) {
	running, ok := p.inFlight[affinity]
	if affinity == 0 || ok && running.endpoint != e {
		return
	}
	running.endpoint = e
	if running.count += n; running.count <= 0 {
		delete(p.inFlight, affinity)
		return
	}
	p.inFlight[affinity] = running
}

// hasAssignedEndpoint reports whether the work can be tried on an endpoint assigned to
// this gate for suspects.
func (p *Picker) hasAssignedEndpoint(w *Work) bool {
	return slices.ContainsFunc(p.candidates, func(c *candidate) bool {
		return p.assignedForSuspects(c) && c.State == slugplan.StateServing && !slices.Contains(w.Avoid, c.Name)
	})
}

// suspectsAllowed reports whether fewer endpoints run suspects than suspectShare
// allows.
func (p *Picker) suspectsAllowed() bool {
	running := 0
	for _, c := range p.candidates {
		if c.suspects > 0 {
			running++
		}
	}
	return running < max(1, int(suspectShare*float64(len(p.candidates))))
}

// assignedForSuspects reports whether an endpoint is assigned to this gate for
// suspects. Gates with the same list of endpoints divide it by position.
func (p *Picker) assignedForSuspects(c *candidate) bool {
	gateIndex, gates := p.cfg.GateIndex()
	if gates <= 1 || len(p.candidates) < gates {
		return true
	}
	return c.position%gates == gateIndex
}

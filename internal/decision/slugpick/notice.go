package slugpick

import (
	"slices"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// suits reports whether an endpoint accepts work of this kind, whatever its load. split is
// set if endpoints are divided by role.
func (c *candidate) suits(w *Work, split bool) bool {
	return c.State == slugplan.StateServing && (!c.Cheap || w.Repeatable) && (!split || roleAccepts(c.Role, w, c.Speed))
}

// UntilWanted returns the time until the first endpoint that suits the work wants requests
// again. It is 0 if one wants requests now, or if none asked to be left alone.
func (p *Picker) UntilWanted(w Work, now time.Time) (shortest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	split := p.hasRoleSplit()
	for _, c := range p.candidates {
		if !c.suits(&w, split) || slices.Contains(w.Avoid, c.Name) {
			continue
		}
		wait, leaving := p.cfg.Notices.Wait(c.Name, 0, now)
		switch {
		case leaving:
		case wait == 0:
			return 0
		case shortest == 0 || wait < shortest:
			shortest = wait
		}
	}
	return shortest
}

package slugregistry

import (
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
)

const (
	// departureTTL is how long the departure of an endpoint is remembered. It must exceed
	// the age of the copies from which a store is restored.
	departureTTL = 10 * time.Minute
	// copiedEntryDelay is how long an endpoint that was gone gets no requests although the
	// restored store has its entry. The store removes the entry of a silent endpoint sooner,
	// and an endpoint that is alive may write nothing that differs from the copy.
	copiedEntryDelay = 10 * time.Second
)

// departure is what is remembered of an endpoint that was seen leaving or gone.
type departure struct {
	incarnation Incarnation
	// announced reports that the endpoint itself said that it leaves.
	announced bool
	at        time.Time
}

// copiedEntry is the entry of an endpoint that was gone, as restored from a copy.
type copiedEntry struct {
	version slugstore.Version
	until   time.Time
}

// applyDeparture makes an entry leaving if its endpoint was seen leaving or gone, unless the
// endpoint has started or registered again since; r.mu must be held.
func (r *Registry) applyDeparture(e Endpoint, version slugstore.Version, restored bool, now time.Time) Endpoint {
	d, departed := r.departures[e.Name]
	switch {
	case e.Leaving:
		r.departures[e.Name] = departure{e.Incarnation, true, now}
		delete(r.copied, e.Name)
		return e
	case !departed:
		return e
	case d.incarnation != e.Incarnation && (!restored || e.Incarnation > d.incarnation):
	case d.announced && e.Incarnation != 0:
		e.Leaving = true
		return e
	case restored:
		e.Leaving = true
		r.copied[e.Name] = copiedEntry{version, now.Add(copiedEntryDelay)}
		return e
	case r.copied[e.Name].version == version:
		e.Leaving = true
		return e
	}
	delete(r.departures, e.Name)
	delete(r.copied, e.Name)
	return e
}

// recordRemoval remembers that an endpoint is gone; r.mu must be held.
func (r *Registry) recordRemoval(e Endpoint, now time.Time) {
	announced := e.Leaving
	if _, isCopy := r.copied[e.Name]; isCopy {
		announced = r.departures[e.Name].announced
	}
	r.departures[e.Name] = departure{e.Incarnation, announced, now}
	delete(r.copied, e.Name)
}

// expireDepartures forgets old departures, and takes endpoints back whose copied entry the
// store has kept; r.mu must be held.
func (r *Registry) expireDepartures(now time.Time, changed map[slugname.Service]bool) {
	for name, c := range r.copied {
		if now.Before(c.until) {
			continue
		}
		delete(r.copied, name)
		delete(r.departures, name)
		if e, known := r.endpoints[name]; known && e.Leaving {
			e.Leaving = false
			r.endpoints[name] = e
			changed[e.Service] = true
			r.logChange(e, c.version)
		}
	}
	for name, d := range r.departures {
		if _, known := r.endpoints[name]; !known && now.Sub(d.at) >= departureTTL {
			delete(r.departures, name)
		}
	}
}

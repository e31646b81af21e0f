// Package slugregistry knows the endpoints that have registered in the platform's
// store.
//
// An entry that disappears ends its endpoint at once, except shortly after the store
// was away: entries that lapsed meanwhile come back, so they are kept for a while.
//
// # Usage
//
//	r := slugregistry.New(slugregistry.Config{Decode: decode, Changed: changed, Log: log})
//	go store.Watch(ctx, slugstore.Watcher{Prefix: "servers/", Foreign: true, Changed: r.Take, Lost: r.Lost})
//	for _, e := range r.Endpoints("assistant") { ... }
package slugregistry

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// Incarnation tells the starts of an endpoint apart.
type Incarnation int64

// Endpoint is what an endpoint says of itself.
type Endpoint struct {
	Name        slugname.Endpoint
	Incarnation Incarnation
	Service     slugname.Service
	Address     string
	DataCentre  slugname.DataCentre
	// Role is empty for plain services.
	Role  slugplan.Role
	Slots int
	// Leaving endpoints take no new requests.
	Leaving bool
	// Cheap endpoints may be reclaimed.
	Cheap bool
	// Slow is how long the endpoint remains slow after its start.
	Slow time.Duration
}

// Config makes a Registry.
type Config struct {
	// Decode reads an entry.
	Decode func(slugstore.Object) (Endpoint, error)
	// Changed is called after endpoints came, went or changed, with the services
	// concerned; it may be nil.
	Changed func([]slugname.Service)
	// Restarted is called with endpoints that started again without having left; it may
	// be nil.
	Restarted func(slugname.Endpoint)
	// OthersHear reports whether the store answers other processes. Entries do not
	// lapse when only this one is cut off.
	OthersHear func() bool
	Log        *slugevent.Log
}

const (
	// absenceGrace is how long after the store's return an entry may still be missing
	// though its endpoint lives.
	absenceGrace = 2200 * time.Millisecond
	// outageMemory is how long before the store's return its absence must have been
	// noticed.
	outageMemory = 3 * time.Second
	// returnSpan is how long after the store's return the disappearances that it tells
	// are put down to its absence.
	returnSpan = 400 * time.Millisecond
)

// Registry holds the endpoints of all services.
type Registry struct {
	cfg Config

	mu        sync.RWMutex
	endpoints map[slugname.Endpoint]Endpoint
	services  map[slugname.Service][]Endpoint
	// absent are endpoints without an entry, with the end of their grace.
	absent map[slugname.Endpoint]time.Time
	// failing tells that the last call failed.
	failing bool
	// lost is when the store last failed to answer anybody, returned when it first
	// answered after that.
	lost, returned time.Time
	// synced tells that the store has been read once.
	synced bool
}

// New returns a Registry without endpoints.
func New(cfg Config) *Registry {
	if cfg.Changed == nil {
		cfg.Changed = func([]slugname.Service) {}
	}
	if cfg.Restarted == nil {
		cfg.Restarted = func(slugname.Endpoint) {}
	}
	if cfg.OthersHear == nil {
		cfg.OthersHear = func() bool { return false }
	}
	return &Registry{
		cfg: cfg, endpoints: map[slugname.Endpoint]Endpoint{}, services: map[slugname.Service][]Endpoint{},
		absent: map[slugname.Endpoint]time.Time{},
	}
}

// Endpoints returns the endpoints of a service in order of name. The result must not
// be changed.
func (r *Registry) Endpoints(s slugname.Service) []Endpoint {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.services[s]
}

// Services returns the names of all services that have endpoints.
func (r *Registry) Services() []slugname.Service {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]slugname.Service, 0, len(r.services))
	for s := range r.services {
		out = append(out, s)
	}
	slices.Sort(out)
	return out
}

// Synced reports whether the store has been read once.
func (r *Registry) Synced() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.synced
}

// Settled reports whether the entries show which endpoints there are: the store has been
// read, and it was not away until a moment ago.
func (r *Registry) Settled() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := time.Now()
	away := r.failing && now.Sub(r.lost) < outageMemory
	back := r.returned.Sub(r.lost) < outageMemory && now.Sub(r.returned) < absenceGrace
	return r.synced && !away && !back
}

// Lost notes that the store did not answer.
func (r *Registry) Lost(error) {
	others := r.cfg.OthersHear()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = true
	if !others {
		r.lost = time.Now()
	}
}

// Take takes entries that are new, changed or gone.
func (r *Registry) Take(objects []slugstore.Object) {
	now := time.Now()
	changed := map[slugname.Service]bool{}
	r.mu.Lock()
	r.synced = true
	if r.failing {
		r.failing, r.returned = false, now
	}
	var restarted []slugname.Endpoint
	for _, o := range objects {
		if r.take(o, now, changed) {
			restarted = append(restarted, nameOf(o))
		}
	}
	r.sweep(now, changed)
	r.index(changed)
	r.mu.Unlock()
	r.tell(changed)
	for _, e := range restarted {
		r.cfg.Restarted(e)
	}
}

// Sweep ends the endpoints whose grace is over.
func (r *Registry) Sweep() {
	changed := map[slugname.Service]bool{}
	r.mu.Lock()
	r.sweep(time.Now(), changed)
	r.index(changed)
	r.mu.Unlock()
	r.tell(changed)
}

func (r *Registry) tell(changed map[slugname.Service]bool) {
	if len(changed) == 0 {
		return
	}
	var list []slugname.Service
	for s := range changed {
		list = append(list, s)
	}
	slices.Sort(list)
	r.cfg.Changed(list)
}

// nameOf returns the endpoint of an entry.
func nameOf(o slugstore.Object) slugname.Endpoint {
	_, name, ok := strings.Cut(o.Name, "/")
	if !ok {
		name = o.Name
	}
	return slugname.Endpoint(name)
}

// take takes one entry and reports whether its endpoint started again without having
// left; r.mu is held.
func (r *Registry) take(o slugstore.Object, now time.Time, changed map[slugname.Service]bool) (restarted bool) {
	name := nameOf(o)
	old, known := r.endpoints[name]
	if o.Body == nil {
		if known {
			r.absence(name, old, now, changed)
		}
		return false
	}
	e, err := r.cfg.Decode(o)
	if err != nil {
		r.cfg.Log.Error(slugevent.EndpointUnreadable, err, slugevent.Fields{"endpoint": name, "version": o.Version})
		if known {
			r.remove(name, old, "its entry cannot be read", changed)
		}
		return false
	}
	delete(r.absent, name)
	if known && old == e {
		return false
	}
	r.endpoints[name] = e
	changed[e.Service] = true
	if known && old.Service != e.Service {
		changed[old.Service] = true
	}
	r.cfg.Log.Emit(slugevent.EndpointChanged, slugevent.Fields{
		"endpoint": name, "service": e.Service, "dataCentre": e.DataCentre, "address": e.Address, "role": e.Role,
		"leaving": e.Leaving, "cheap": e.Cheap, "incarnation": e.Incarnation, "version": o.Version,
	})
	return known && !old.Leaving && old.Incarnation != e.Incarnation
}

// absence ends an endpoint, at once or after its grace; r.mu is held.
func (r *Registry) absence(name slugname.Endpoint, old Endpoint, now time.Time, changed map[slugname.Service]bool) {
	outage := r.returned.Sub(r.lost) < outageMemory && now.Sub(r.returned) < returnSpan
	if outage && !old.Leaving {
		r.absent[name] = r.returned.Add(absenceGrace)
		return
	}
	r.remove(name, old, "its entry is gone", changed)
}

func (r *Registry) remove(name slugname.Endpoint, old Endpoint, reason string, changed map[slugname.Service]bool) {
	delete(r.endpoints, name)
	delete(r.absent, name)
	changed[old.Service] = true
	r.cfg.Log.Emit(slugevent.EndpointGone, slugevent.Fields{"endpoint": name, "service": old.Service, "reason": reason})
}

func (r *Registry) sweep(now time.Time, changed map[slugname.Service]bool) {
	for name, until := range r.absent {
		if now.Before(until) {
			continue
		}
		r.remove(name, r.endpoints[name], "its entry did not come back", changed)
	}
}

// index rebuilds the lists of changed services; r.mu is held.
func (r *Registry) index(changed map[slugname.Service]bool) {
	for s := range changed {
		var list []Endpoint
		for _, e := range r.endpoints {
			if e.Service == s {
				list = append(list, e)
			}
		}
		slices.SortFunc(list, func(a, b Endpoint) int { return cmp.Compare(a.Name, b.Name) })
		if len(list) == 0 {
			delete(r.services, s)
		} else {
			r.services[s] = list
		}
	}
}

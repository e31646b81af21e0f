// Package slugregistry keeps the endpoints that are registered in the platform's store.
//
// An endpoint is removed as soon as its entry disappears, except shortly after an outage
// of the store. Entries that expired during the outage are usually written again, so their
// endpoints are kept for a grace period. The same holds after the store was restored from a
// copy. An endpoint that was seen leaving or gone doesn't come back with the copy.
//
// # Usage
//
//	r := slugregistry.New(slugregistry.Config{Decode: decode, Changed: changed, Log: log})
//	go store.Watch(ctx, slugstore.Watcher{Prefix: "servers/", NoEnvelope: true, OnChange: r.Apply, OnError: r.WatchFailed})
//	for _, e := range r.Endpoints("assistant") { ... }
package slugregistry

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// Incarnation identifies one start of an endpoint.
type Incarnation int64

// Endpoint is the registration of an endpoint.
type Endpoint struct {
	Name        slugname.Endpoint
	Incarnation Incarnation
	Service     slugname.Service
	// Version is the version of the endpoint's software.
	Version    slugname.SoftwareVersion
	Address    string
	DataCentre slugname.DataCentre
	// Role is empty for plain services.
	Role  slugplan.Role
	Slots int
	// Leaving reports that the endpoint takes no new requests.
	Leaving bool
	// Cheap reports that the platform may reclaim the endpoint at any time.
	Cheap bool
	// WarmUp is how long the endpoint stays slow after its start.
	WarmUp time.Duration
}

// Config configures a Registry.
type Config struct {
	// Decode parses an entry.
	Decode func(slugstore.Object) (Endpoint, error)
	// Changed is called after endpoints were added, removed or changed, with the affected
	// services; it may be nil.
	Changed func([]slugname.Service)
	// Ended is called with the old registration of each endpoint that restarted, or whose
	// entry disappeared, without leaving first; it may be nil.
	Ended func(Endpoint)
	// StoreAnswersOthers reports whether the store answers other processes. If it does, a
	// failed call only means that this process is cut off from the store, and entries that
	// disappear did not expire in an outage. A nil function reports false.
	StoreAnswersOthers func() bool
	// Era returns the era of the store; nil means that it is never restored from a copy.
	Era func() slugstore.Era
	Log *slugevent.Log
}

const (
	// reregistrationGrace is how long after the recovery of the store an entry may be
	// missing although its endpoint is alive.
	reregistrationGrace = 2200 * time.Millisecond
	// outageWindow is the longest time between the last failed call and the recovery of
	// the store for which that failure counts as part of the outage.
	outageWindow = 3 * time.Second
	// recoveryWindow is how long after the recovery of the store removed entries are
	// attributed to the outage.
	recoveryWindow = 400 * time.Millisecond
)

// Registry holds the endpoints of all services. Its methods are safe for concurrent use.
type Registry struct {
	cfg Config

	mu        sync.RWMutex
	endpoints map[slugname.Endpoint]Endpoint
	services  map[slugname.Service][]Endpoint
	// missing maps endpoints whose entries disappeared to the end of their grace period.
	missing map[slugname.Endpoint]time.Time
	// failing reports that the last call to the store failed.
	failing bool
	// lastOutage is the time of the last call that failed while the store answered no
	// other process either, and recovered the time of the first response after a failed
	// call.
	lastOutage, recovered time.Time
	// synced reports that the store has been read at least once.
	synced bool
	// ended holds the endpoints to be passed to Config.Ended.
	ended []Endpoint
	// unreadable maps the entries that cannot be read to the error that was logged.
	unreadable map[slugname.Endpoint]string
	era        slugstore.EraTracker
	// departures holds the endpoints that were seen leaving or gone, and copied the entries
	// of those that were gone and came back with a copy.
	departures map[slugname.Endpoint]departure
	copied     map[slugname.Endpoint]copiedEntry
}

// New returns an empty Registry.
func New(cfg Config) *Registry {
	if cfg.Changed == nil {
		cfg.Changed = func([]slugname.Service) {}
	}
	if cfg.Ended == nil {
		cfg.Ended = func(Endpoint) {}
	}
	if cfg.StoreAnswersOthers == nil {
		cfg.StoreAnswersOthers = func() bool { return false }
	}
	if cfg.Era == nil {
		cfg.Era = func() slugstore.Era { return 0 }
	}
	return &Registry{
		cfg: cfg, endpoints: map[slugname.Endpoint]Endpoint{}, services: map[slugname.Service][]Endpoint{},
		missing: map[slugname.Endpoint]time.Time{}, unreadable: map[slugname.Endpoint]string{},
		departures: map[slugname.Endpoint]departure{}, copied: map[slugname.Endpoint]copiedEntry{},
	}
}

// Endpoints returns the endpoints of a service, ordered by name. The caller must not
// modify the result.
func (r *Registry) Endpoints(s slugname.Service) []Endpoint {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.services[s]
}

// Services returns the names of all services that have endpoints, in order.
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

// Synced reports whether the store has been read at least once.
func (r *Registry) Synced() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.synced
}

// Settled reports whether the set of endpoints is reliable: the store has been read, it is
// not in an outage, and the grace period after the last outage is over.
func (r *Registry) Settled() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := time.Now()
	inOutage := r.failing && now.Sub(r.lastOutage) < outageWindow
	inGrace := r.recovered.Sub(r.lastOutage) < outageWindow && now.Sub(r.recovered) < reregistrationGrace
	return r.synced && !inOutage && !inGrace
}

// WatchFailed records a failed call to the store, or to a peer that watches it. A peer that does not
// respond says nothing about the store.
func (r *Registry) WatchFailed(err error) {
	if errors.Is(err, slugstore.ErrSourceUnavailable) && !errors.Is(err, slugstore.ErrSourceBehind) {
		return
	}
	if errors.Is(err, slugstore.ErrStale) {
		r.cfg.Log.Error(slugevent.StaleReadIgnored, err, nil)
	}
	othersAnswered := r.cfg.StoreAnswersOthers()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = true
	if !othersAnswered {
		r.lastOutage = time.Now()
	}
}

// Apply applies new, changed and removed entries.
func (r *Registry) Apply(objects []slugstore.Object) {
	now := time.Now()
	changed := map[slugname.Service]bool{}
	r.mu.Lock()
	restored := r.era.Restored(objects, r.cfg.Era())
	r.synced = true
	if restored {
		r.lastOutage = now
	}
	if r.failing || restored {
		r.failing, r.recovered = false, now
	}
	for _, o := range objects {
		r.applyEntry(o, restored, now, changed)
	}
	r.finish(now, changed)
}

// finish completes a change of the endpoints: it removes those whose grace period is over,
// and notifies. It unlocks r.mu, which must be held.
func (r *Registry) finish(now time.Time, changed map[slugname.Service]bool) {
	r.removeExpired(now, changed)
	r.expireDepartures(now, changed)
	r.rebuildIndex(changed)
	ended := r.ended
	r.ended = nil
	r.mu.Unlock()
	r.notifyChanged(changed)
	for _, e := range ended {
		r.cfg.Ended(e)
	}
}

// RemoveExpired removes the endpoints whose grace period is over.
func (r *Registry) RemoveExpired() {
	r.mu.Lock()
	r.finish(time.Now(), map[slugname.Service]bool{})
}

// notifyChanged calls Config.Changed with the changed services, if there are any.
func (r *Registry) notifyChanged(changed map[slugname.Service]bool) {
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

// nameOf returns the name of the endpoint of an entry.
func nameOf(o slugstore.Object) slugname.Endpoint {
	_, name, ok := strings.Cut(o.Name, "/")
	if !ok {
		name = o.Name
	}
	return slugname.Endpoint(name)
}

// applyEntry applies one entry. restored reports that it may be from the copy from which the
// store was restored; r.mu must be held.
func (r *Registry) applyEntry(o slugstore.Object, restored bool, now time.Time, changed map[slugname.Service]bool) {
	name := nameOf(o)
	old, known := r.endpoints[name]
	if o.Body == nil {
		delete(r.unreadable, name)
		if known {
			r.entryRemoved(name, old, now, changed)
		}
		return
	}
	e, err := r.cfg.Decode(o)
	if err == nil {
		delete(r.unreadable, name)
	} else {
		if r.unreadable[name] != err.Error() {
			r.unreadable[name] = err.Error()
			r.cfg.Log.Error(slugevent.EndpointUnreadable, err, slugevent.Fields{"endpoint": name, "version": o.Version})
		}
		if known {
			r.remove(name, old, "its entry cannot be read", now, changed)
		}
		return
	}
	if restored && known && e.Incarnation < old.Incarnation {
		// The endpoint has started again since the copy was made.
		r.entryRemoved(name, old, now, changed)
		return
	}
	e = r.applyDeparture(e, o.Version, restored, now)
	delete(r.missing, name)
	if known && old == e {
		return
	}
	r.endpoints[name] = e
	changed[e.Service] = true
	if known && old.Service != e.Service {
		changed[old.Service] = true
	}
	r.logChange(e, o.Version)
	if known && !old.Leaving && old.Incarnation != e.Incarnation {
		r.ended = append(r.ended, old)
	}
}

// logChange logs the new registration of an endpoint.
func (r *Registry) logChange(e Endpoint, version slugstore.Version) {
	r.cfg.Log.Emit(slugevent.EndpointChanged, slugevent.Fields{
		"endpoint": e.Name, "service": e.Service, "dataCentre": e.DataCentre, "address": e.Address, "role": e.Role,
		"leaving": e.Leaving, "cheap": e.Cheap, "incarnation": e.Incarnation, "softwareVersion": e.Version, "version": version,
	})
}

// entryRemoved removes an endpoint whose entry disappeared, or starts its grace period if
// the entry may have expired in an outage; r.mu must be held.
func (r *Registry) entryRemoved(name slugname.Endpoint, old Endpoint, now time.Time, changed map[slugname.Service]bool) {
	expiredInOutage := r.recovered.Sub(r.lastOutage) < outageWindow && now.Sub(r.recovered) < recoveryWindow
	if expiredInOutage && !old.Leaving {
		r.missing[name] = r.recovered.Add(reregistrationGrace)
		return
	}
	r.removeEnded(name, old, "its entry is gone", now, changed)
}

// removeEnded removes an endpoint that has ended; r.mu must be held.
func (r *Registry) removeEnded(name slugname.Endpoint, old Endpoint, reason string, now time.Time, changed map[slugname.Service]bool) {
	if !old.Leaving {
		r.ended = append(r.ended, old)
	}
	r.remove(name, old, reason, now, changed)
}

// remove deletes an endpoint and logs the reason; r.mu must be held.
func (r *Registry) remove(name slugname.Endpoint, old Endpoint, reason string, now time.Time, changed map[slugname.Service]bool) {
	r.recordRemoval(old, now)
	delete(r.endpoints, name)
	delete(r.missing, name)
	changed[old.Service] = true
	r.cfg.Log.Emit(slugevent.EndpointGone, slugevent.Fields{"endpoint": name, "service": old.Service, "reason": reason})
}

// removeExpired removes the endpoints whose grace period is over; r.mu must be held.
func (r *Registry) removeExpired(now time.Time, changed map[slugname.Service]bool) {
	for name, deadline := range r.missing {
		if now.Before(deadline) {
			continue
		}
		r.removeEnded(name, r.endpoints[name], "its entry did not come back", now, changed)
	}
}

// rebuildIndex rebuilds the endpoint lists of the changed services; r.mu must be held.
func (r *Registry) rebuildIndex(changed map[slugname.Service]bool) {
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

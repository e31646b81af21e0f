package slugtakeup

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
)

// Prefix is the prefix of the names of the objects that list the versions of each service.
const Prefix = "serving/"

const (
	// presentTime is how lately a version must have been seen to be added to the list.
	presentTime = time.Second
	// removalLimits is the number of times that streams may last after which a version is
	// removed from the list. Hosts do not see the last endpoint leave at the same moment.
	removalLimits = 2
	// writeTimeout bounds a change of the list.
	writeTimeout = 5 * time.Second
)

// versionList is the list of the software versions of a service in the store. Versions that
// served within the time that a stream may last are on it.
type versionList struct {
	Service  slugname.Service           `json:"service"`
	Versions []slugname.SoftwareVersion `json:"versions"`
	// Era is the era of the store in which the list was written. After a restore from a copy
	// the list may lack versions.
	Era slugstore.Era `json:"era"`
}

// storedList is a list that the store holds.
type storedList struct {
	versionList
	version slugstore.Version
}

// Apply takes over the lists of versions from the store as of an instant.
func (r *Resolver) Apply(objects []slugstore.Object, currentAt slugclock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listedAt = currentAt
	for _, o := range objects {
		s := slugname.Service(strings.TrimPrefix(o.Name, Prefix))
		delete(r.stored, s)
		var list versionList
		switch {
		case o.Body == nil:
		case o.Decode(&list) != nil:
			// It is written again.
			r.stored[s] = storedList{version: o.Version}
		default:
			r.stored[s] = storedList{list, o.Version}
		}
	}
}

// listed returns the versions of a service that the store lists as of an instant, and whether
// the list can be relied on.
func (r *Resolver) listed(s slugname.Service) (versions []slugname.SoftwareVersion, at slugclock.Instant, reliable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list, ok := r.stored[s]
	return list.Versions, r.listedAt, ok && len(list.Versions) > 0 && list.Era == r.cfg.Store.Era()
}

// updateStore lists the versions that serve, and removes those that have left.
func (r *Resolver) updateStore(ctx context.Context, wg *sync.WaitGroup, now slugclock.Instant) {
	open := map[string]bool{}
	for _, s := range r.cfg.Memory.Services() {
		wanted := r.wantedList(s, now)
		if wanted == nil {
			continue
		}
		open[Prefix+string(s)] = true
		if r.turns.Due(Prefix+string(s), now.Time()) {
			wg.Go(func() { r.write(ctx, s, wanted) })
		}
	}
	r.turns.Keep(func(name string) bool { return open[name] })
}

// wantedList returns the list that the store is to have, or nil if it has it.
func (r *Resolver) wantedList(s slugname.Service, now slugclock.Instant) []slugname.SoftwareVersion {
	present := r.cfg.Memory.Observed(s, presentTime, now).Versions
	lately := r.cfg.Memory.Observed(s, removalLimits*r.cfg.Limit(), now)
	old, _, reliable := r.listed(s)
	if !reliable && !lately.Complete {
		return nil
	}
	var wanted []slugname.SoftwareVersion
	if reliable {
		for _, v := range old {
			if !lately.Complete || slices.Contains(lately.Versions, v) {
				wanted = append(wanted, v)
			}
		}
		wanted = append(wanted, present...)
	} else {
		wanted = slices.Clone(lately.Versions)
	}
	slices.Sort(wanted)
	wanted = slices.Compact(wanted)
	if len(wanted) == 0 || reliable && slices.Equal(wanted, old) {
		return nil
	}
	return wanted
}

// write changes the list of a service.
func (r *Resolver) write(ctx context.Context, s slugname.Service, versions []slugname.SoftwareVersion) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	r.mu.Lock()
	expected := r.stored[s].version
	r.mu.Unlock()
	_, err := r.cfg.Store.Put(ctx, Prefix+string(s), expected, versionList{s, versions, r.cfg.Store.Era()})
	if err != nil && !errors.Is(err, slugstore.ErrConflict) {
		r.cfg.Log.Error(slugevent.StoreUnavailable, err, slugevent.Fields{"step": "list software versions", "service": s})
	}
}

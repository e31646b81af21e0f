// Package slugintent keeps the requested drains in the platform's store: those that operators
// request, and those of endpoints that the ordering duty returns to the platform.
//
// # Usage
//
//	i := slugintent.New(store, log)
//	go i.Run(ctx)
//	if i.IsDraining(endpoint) { ... }
package slugintent

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
)

// Names of objects in the store.
const (
	prefix = "intents/"
	// drainsName is the object that operator commands write.
	drainsName = prefix + "drains"
	// releasesPrefix is the prefix of the objects that the ordering duties write, one
	// for each region.
	releasesPrefix = prefix + "releases/"
)

// Drains are the hosts and endpoints that operators have requested to drain.
type Drains struct {
	Hosts     []slugname.Host     `json:"hosts"`
	Endpoints []slugname.Endpoint `json:"endpoints"`
}

// Releases are the endpoints that the ordering duty of a region is returning to the
// platform.
type Releases struct {
	Endpoints []slugname.Endpoint `json:"endpoints"`
}

// Intent is the local copy of the requested drains. It is safe for concurrent use.
type Intent struct {
	store *slugstore.Store
	log   *slugevent.Log

	mu       sync.Mutex
	drains   Drains
	releases map[string]Releases
	versions map[string]slugstore.Version
}

// New returns an empty Intent.
func New(s *slugstore.Store, log *slugevent.Log) *Intent {
	return &Intent{store: s, log: log, releases: map[string]Releases{}, versions: map[string]slugstore.Version{}}
}

// Run watches the objects and applies their changes until ctx ends.
func (i *Intent) Run(ctx context.Context) error {
	return i.store.Watch(ctx, slugstore.Watcher{Prefix: prefix, OnChange: i.Apply})
}

// Apply updates the local copy from changed objects. An object that cannot be decoded changes
// nothing, since a drain must not end by mistake.
func (i *Intent) Apply(objects []slugstore.Object) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, o := range objects {
		i.versions[o.Name] = o.Version
		var err error
		if o.Name == drainsName {
			var d Drains
			if err = decode(o, &d); err == nil {
				i.drains = d
			}
		} else {
			var r Releases
			if err = decode(o, &r); err == nil {
				i.releases[o.Name] = r
			}
		}
		if err != nil {
			i.log.Error(slugevent.DrainsUnreadable, err, slugevent.Fields{"object": o.Name})
		}
	}
}

// decode decodes an object into v and leaves v as it is if the object does not exist.
func decode(o slugstore.Object, v any) error {
	if o.Body == nil {
		return nil
	}
	return o.Decode(v)
}

// IsDraining reports whether an endpoint is being drained, either for an operator or before
// its return to the platform.
func (i *Intent) IsDraining(e slugname.Endpoint) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if slices.Contains(i.drains.Endpoints, e) {
		return true
	}
	for _, r := range i.releases {
		if slices.Contains(r.Endpoints, e) {
			return true
		}
	}
	return false
}

// Drains returns the drains that operators have requested.
func (i *Intent) Drains() Drains {
	i.mu.Lock()
	defer i.mu.Unlock()
	return Drains{slices.Clone(i.drains.Hosts), slices.Clone(i.drains.Endpoints)}
}

// maxChangeAttempts is the number of attempts at one change under write conflicts.
const maxChangeAttempts = 5

// ChangeDrains applies mutate to the stored drains and writes the result. After a write
// conflict it reads the drains again and retries.
func (i *Intent) ChangeDrains(ctx context.Context, mutate func(*Drains)) error {
	for range maxChangeAttempts {
		o, err := i.store.Get(ctx, drainsName)
		if err != nil {
			return err
		}
		var d Drains
		if err := decode(o, &d); err != nil {
			return err
		}
		mutate(&d)
		_, err = i.store.Put(ctx, drainsName, o.Version, d)
		if !errors.Is(err, slugstore.ErrConflict) {
			return err
		}
	}
	return slugfault.New("change drains", "", "too many write conflicts on intents/drains")
}

// SetReleases writes the releases of a region if they differ from the local copy.
func (i *Intent) SetReleases(ctx context.Context, region slugname.Region, r Releases) error {
	name := releasesPrefix + string(region)
	i.mu.Lock()
	unchanged := slices.Equal(i.releases[name].Endpoints, r.Endpoints)
	i.mu.Unlock()
	if unchanged {
		return nil
	}
	o, err := i.store.Get(ctx, name)
	if err != nil {
		return err
	}
	version, err := i.store.Put(ctx, name, o.Version, r)
	if err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.releases[name], i.versions[name] = r, version
	return nil
}

// Releases returns the endpoints that the ordering duty of a region is returning.
func (i *Intent) Releases(region slugname.Region) []slugname.Endpoint {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.releases[releasesPrefix+string(region)].Endpoints)
}

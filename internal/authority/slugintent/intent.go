// Package slugintent keeps what operators and the ordering duty want to be
// drained, in the platform's store.
//
// # Usage
//
//	i := slugintent.New(store)
//	go i.Run(ctx)
//	if i.Leaving(endpoint) { ... }
package slugintent

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
)

// Names of the objects.
const (
	prefix = "intents/"
	// drains is written by operators' commands.
	drains = prefix + "drains"
	// releases begins the names of what the ordering duties write.
	releases = prefix + "releases/"
)

// Drains are the hosts and endpoints that operators drain.
type Drains struct {
	Hosts     []slugname.Host     `json:"hosts"`
	Endpoints []slugname.Endpoint `json:"endpoints"`
}

// Releases are the endpoints that the ordering duty of a region gives back.
type Releases struct {
	Endpoints []slugname.Endpoint `json:"endpoints"`
}

// Intent is a process's view of what is to be drained.
type Intent struct {
	store *slugstore.Store

	mu       sync.Mutex
	drains   Drains
	releases map[string]Releases
	versions map[string]slugstore.Version
}

// New returns an Intent that knows nothing yet.
func New(s *slugstore.Store) *Intent {
	return &Intent{store: s, releases: map[string]Releases{}, versions: map[string]slugstore.Version{}}
}

// Run follows the objects until ctx ends.
func (i *Intent) Run(ctx context.Context) error {
	return i.store.Watch(ctx, slugstore.Watcher{Prefix: prefix, Changed: i.Take})
}

// Take puts changed objects into use.
func (i *Intent) Take(objects []slugstore.Object) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, o := range objects {
		i.versions[o.Name] = o.Version
		if o.Name == drains {
			i.drains = Drains{}
			_ = decode(o, &i.drains)
			continue
		}
		var r Releases
		_ = decode(o, &r)
		i.releases[o.Name] = r
	}
}

func decode(o slugstore.Object, v any) error {
	if o.Body == nil {
		return nil
	}
	return o.Decode(v)
}

// Leaving reports whether an endpoint is to be drained.
func (i *Intent) Leaving(e slugname.Endpoint) bool {
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

// Drains returns what operators drain.
func (i *Intent) Drains() Drains {
	i.mu.Lock()
	defer i.mu.Unlock()
	return Drains{slices.Clone(i.drains.Hosts), slices.Clone(i.drains.Endpoints)}
}

// changeTries bounds the conflicts of one change.
const changeTries = 5

// ChangeDrains changes what operators drain.
func (i *Intent) ChangeDrains(ctx context.Context, f func(*Drains)) error {
	for range changeTries {
		o, err := i.store.Get(ctx, drains)
		if err != nil {
			return err
		}
		var d Drains
		if err := decode(o, &d); err != nil {
			return err
		}
		f(&d)
		_, err = i.store.Put(ctx, drains, o.Version, d)
		if !errors.Is(err, slugstore.ErrConflict) {
			return err
		}
	}
	return slugfault.New("change drains", "", "too many conflicts")
}

// SetReleases writes what the ordering duty of a region gives back.
func (i *Intent) SetReleases(ctx context.Context, region slugname.Region, r Releases) error {
	name := releases + string(region)
	i.mu.Lock()
	same := slices.Equal(i.releases[name].Endpoints, r.Endpoints)
	i.mu.Unlock()
	if same {
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

// Releases returns what the ordering duty of a region gives back.
func (i *Intent) Releases(region slugname.Region) []slugname.Endpoint {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.releases[releases+string(region)].Endpoints)
}

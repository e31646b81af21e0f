// Package slugowner decides which process owns an endpoint: all prompts for the endpoint are
// announced to its owner.
//
// With hundreds of hosts and endpoints, an owner for each endpoint among all hosts means that
// every host talks to every other one, rarely enough that most announcements need a
// handshake first. The endpoints of a data centre are therefore owned by a few of its hosts.
// A process then has a bounded number of connections, which it uses all the time, and an
// announcement stays in the data centre of its endpoint. All processes that know the same
// live processes choose the same owners, by rendezvous hashing.
//
// The package performs no I/O.
//
// # Usage
//
//	o := slugowner.New()
//	o.Update(live)
//	process, ok := o.Owner("engine-1", "dc-a")
package slugowner

import (
	"slices"
	"sync"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
)

// perDataCentre is the number of processes of a data centre that own its endpoints. It is
// large enough that the loss of one leaves most endpoints with their owners.
const perDataCentre = 8

// minCapable is the number of capable hosts of a data centre from which only these own its
// endpoints: with a single one, its loss would leave all endpoints without their owner.
const minCapable = 2

// subject is the subject of the rendezvous hashing that chooses the processes.
const subject = "owners"

// Process is a live process with its data centre.
type Process struct {
	Name       slugname.Process
	DataCentre slugname.DataCentre
	slugmember.Capacity
}

// Owners assigns endpoints to processes. It is safe for concurrent use.
type Owners struct {
	mu   sync.Mutex
	live []Process
	// owning are the processes that own the endpoints of each data centre, and all those
	// that own the endpoints of a data centre without processes.
	owning map[slugname.DataCentre][]slugname.Process
	all    []slugname.Process
	// chosen caches the owners of endpoints.
	chosen map[slugname.Endpoint]slugname.Process
}

// New returns Owners without processes.
func New() *Owners { return &Owners{} }

// Update replaces the live processes, which must be sorted.
func (o *Owners) Update(live []Process) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if slices.Equal(live, o.live) {
		return
	}
	o.live = slices.Clone(live)
	byDataCentre := map[slugname.DataCentre][]Process{}
	for _, p := range live {
		byDataCentre[p.DataCentre] = append(byDataCentre[p.DataCentre], p)
	}
	o.owning = map[slugname.DataCentre][]slugname.Process{}
	for d, list := range byDataCentre {
		o.owning[d] = chooseOwning(list)
	}
	o.all = chooseOwning(live)
	o.chosen = map[slugname.Endpoint]slugname.Process{}
}

// chooseOwning returns the processes of a list that own endpoints. They run on capable hosts.
func chooseOwning(list []Process) []slugname.Process {
	capable := slugmember.Capable(list, func(p Process) slugmember.Capacity { return p.Capacity }, minCapable)
	names := make([]slugname.Process, len(capable))
	for i, p := range capable {
		names[i] = p.Name
	}
	return slugmember.HighestRanked(subject, names, perDataCentre)
}

// Owner returns the owner of an endpoint in a data centre, and false if there are no
// processes.
func (o *Owners) Owner(e slugname.Endpoint, d slugname.DataCentre) (slugname.Process, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p, ok := o.chosen[e]; ok {
		return p, true
	}
	candidates := o.owning[d]
	if len(candidates) == 0 {
		candidates = o.all
	}
	ranked := slugmember.HighestRanked(string(e), candidates, 1)
	if len(ranked) == 0 {
		return "", false
	}
	if len(o.chosen) >= maxCached {
		clear(o.chosen)
	}
	o.chosen[e] = ranked[0]
	return ranked[0], true
}

// maxCached bounds the cache of owners, because endpoints come and go.
const maxCached = 16384

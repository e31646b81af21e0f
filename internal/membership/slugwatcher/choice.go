// Package slugwatcher chooses which processes watch the platform's store on behalf of
// the others. Calls to the store then grow with the data centres, not with the hosts.
//
// The load that it answers: a change of an object that hundreds of processes follow,
// each of which would end its watch and begin another.
//
// # Usage
//
//	near, far := slugwatcher.Choose(self, "dc-a", candidates)
package slugwatcher

import (
	"cmp"
	"slices"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
)

// subject is what the ranks of watchers are drawn for.
const subject = "watch"

const (
	// perWatcher is the number of processes of a data centre for which one more of them
	// watches: each costs its watcher some messages a second.
	perWatcher = 32
	// leastWatchers is the number of watchers at least, so that the others hear of a
	// change while one is cut off and has not noticed.
	leastWatchers = 2
)

// Candidate is a live process.
type Candidate struct {
	Process    slugname.Process
	DataCentre slugname.DataCentre
	// Failing tells that the store does not answer the process.
	Failing bool
}

// Choose returns the processes that watch, in the order in which a process asks them:
// those near it, of its own data centre, and those far from it. The near ones come in
// another order for each process, so that they share the others among themselves.
// Processes that the store does not answer are chosen only when it answers none.
func Choose(self slugname.Process, dc slugname.DataCentre, all []Candidate) (near, far []slugname.Process) {
	usable := slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return c.Failing })
	if len(usable) == 0 {
		usable = all
	}
	byPlace := map[slugname.DataCentre][]slugname.Process{}
	for _, c := range usable {
		byPlace[c.DataCentre] = append(byPlace[c.DataCentre], c.Process)
	}
	least := (leastWatchers + len(byPlace) - 1) / max(1, len(byPlace))
	for place, list := range byPlace {
		watchers := closest(list, least)
		if place == dc {
			near = slugmember.Closest(string(self), watchers, len(watchers))
		} else {
			far = append(far, watchers...)
		}
	}
	slices.SortFunc(far, cmp.Compare[slugname.Process])
	return near, far
}

// closest returns the watchers of one data centre, a number of them at least.
func closest(list []slugname.Process, least int) []slugname.Process {
	return slugmember.Closest(subject, list, max(least, (len(list)+perWatcher-1)/perWatcher))
}

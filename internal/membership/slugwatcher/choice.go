// Package slugwatcher chooses the processes that watch the platform's store on behalf of
// the others, so that the number of calls to the store grows with the data centres and
// only slowly with the hosts.
//
// Without it, a change of an object that hundreds of processes follow would end the watch
// of each of them and make each start another one.
//
// # Usage
//
//	near, far := slugwatcher.Choose(self, "dc-a", candidates)
package slugwatcher

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
)

// rankSubject is the rendezvous hashing key for which watchers are ranked. All processes
// use the same one, so they choose the same watchers.
const rankSubject = "watch"

const (
	// processesPerWatcher is the number of processes in a data centre per watcher: each
	// process that follows costs its watcher a few messages a second.
	processesPerWatcher = 32
	// MinWatchers is the smallest number of watchers in the whole system, so that changes
	// still spread while one watcher is cut off and has not noticed it.
	MinWatchers = 2
)

// Candidate is a live process that may be chosen as a watcher.
type Candidate struct {
	Process    slugname.Process
	DataCentre slugname.DataCentre
	// Failing reports that the store does not answer the process.
	Failing bool
	slugmember.Capacity
}

// Choose returns the watchers in the order in which the process self should ask them. Near are
// those in its own data centre dc, far the others. Both are ordered differently for each process,
// which spreads the load over them. If the data centre has fewer watchers than its processes
// need, some of these have a far watcher as the first of the near ones. Processes that the store
// does not answer are chosen only if it answers none.
func Choose(self slugname.Process, dc slugname.DataCentre, candidates []Candidate) (near, far []slugname.Process) {
	if len(usable(candidates)) == 0 {
		candidates = slices.Clone(candidates)
		for i := range candidates {
			candidates[i].Failing = false
		}
	}
	byDataCentre := map[slugname.DataCentre][]Candidate{}
	for _, c := range candidates {
		byDataCentre[c.DataCentre] = append(byDataCentre[c.DataCentre], c)
	}
	usableDataCentres := 0
	for _, list := range byDataCentre {
		if len(usable(list)) > 0 {
			usableDataCentres++
		}
	}
	minPerDataCentre := (MinWatchers + usableDataCentres - 1) / max(1, usableDataCentres)
	capable := capableProcesses(candidates)
	needed := 0
	for candidateDC, list := range byDataCentre {
		watchers, n := chooseWatchers(list, minPerDataCentre, func(c Candidate) bool { return capable[c.Process] })
		if candidateDC == dc {
			near, needed = slugmember.HighestRanked(string(self), watchers, len(watchers)), n
		} else {
			far = append(far, watchers...)
		}
	}
	far = slugmember.HighestRanked(string(self), far, len(far))
	if len(far) > 0 && len(near) > 0 && !slices.Contains(near, self) && overflows(self, len(near), needed) {
		near, far = append(far[:1:1], near...), far[1:]
	}
	return near, far
}

// overflows reports whether a process follows a watcher of another data centre, because its own
// has only some of the watchers that it needs.
func overflows(self slugname.Process, watchers, needed int) bool {
	return xxhash.Sum64String(rankSubject+string(self))%uint64(needed) >= uint64(watchers)
}

// capableProcesses returns the processes that the store answers and that are capable among all of
// these.
func capableProcesses(candidates []Candidate) map[slugname.Process]bool {
	out := map[slugname.Process]bool{}
	for _, c := range slugmember.Capable(usable(candidates), func(c Candidate) slugmember.Capacity { return c.Capacity }, minCapable) {
		out[c.Process] = true
	}
	return out
}

// usable returns the candidates that the store answers.
func usable(list []Candidate) []Candidate {
	return slices.DeleteFunc(slices.Clone(list), func(c Candidate) bool { return c.Failing })
}

// Ranked returns the watchers of a data centre with the given processes if it is the only one,
// followed by those that take the places of up to spares of them.
func Ranked(list []Candidate, spares int) []slugname.Process {
	watchers, _ := chooseWatchers(list, MinWatchers, func(Candidate) bool { return true })
	others := slices.DeleteFunc(slices.Clone(list), func(c Candidate) bool { return slices.Contains(watchers, c.Process) })
	return append(watchers, slugmember.HighestRanked(rankSubject, names(others), spares)...)
}

// minCapable is the number of capable hosts of a data centre from which others only watch if the
// store answers none of them.
const minCapable = 2

// chooseWatchers returns the watchers of one data centre, and the number that it needs: one for
// every processesPerWatcher of the processes that the store answers, rounded up, and at least
// minimum as far as there are processes. They run on capable hosts. If the store answers some of
// these only, there are fewer watchers: a small host would take seconds to tell its followers of
// many changes. If it answers none of them, those of the others watch that substitute accepts.
func chooseWatchers(list []Candidate, minimum int, substitute func(Candidate) bool) (watchers []slugname.Process, needed int) {
	others := usable(list)
	needed = max(minimum, (len(others)+processesPerWatcher-1)/processesPerWatcher)
	capable := usable(slugmember.Capable(list, func(c Candidate) slugmember.Capacity { return c.Capacity }, max(needed, minCapable)))
	if len(capable) == 0 {
		capable = slices.DeleteFunc(others, func(c Candidate) bool { return !substitute(c) })
	}
	return slugmember.HighestRanked(rankSubject, names(capable), needed), needed
}

// names returns the names of the processes.
func names(list []Candidate) []slugname.Process {
	out := make([]slugname.Process, len(list))
	for i, c := range list {
		out[i] = c.Process
	}
	return out
}

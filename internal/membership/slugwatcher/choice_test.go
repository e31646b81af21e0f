package slugwatcher

import (
	"fmt"
	"slices"
	"testing"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"gotest.tools/v3/assert"
)

// candidates returns n processes in each of the data centres.
func candidates(n int, dataCentres ...slugname.DataCentre) []Candidate {
	var out []Candidate
	for _, dc := range dataCentres {
		for i := range n {
			out = append(out, Candidate{Process: slugname.Process(fmt.Sprintf("%s-%d", dc, i)), DataCentre: dc})
		}
	}
	return out
}

// TestChoose guards against too few or too many watchers, against a far watcher before the
// near ones, and against failing watchers while others work.
func TestChoose(t *testing.T) {
	failingIn := func(dc slugname.DataCentre, list []Candidate) []Candidate {
		for i := range list {
			list[i].Failing = list[i].DataCentre == dc || dc == ""
		}
		return list
	}
	tests := []struct {
		name string
		live []Candidate
		// firstDC is the data centre of the first watcher, and total the number of watchers.
		firstDC slugname.DataCentre
		total   int
	}{
		{"nobody", nil, "", 0},
		{"one per data centre, own data centre first", candidates(3, "a", "b", "c"), "b", 3},
		{"two in a single data centre", candidates(3, "b"), "b", 2},
		{"more watchers for more hosts", candidates(40, "a", "b"), "b", 4},
		{"far ones only when the store answers none in the own data centre", failingIn("b", candidates(3, "a", "b", "c")), "a", 2},
		{"usual choice when the store answers nobody", failingIn("", candidates(3, "a", "b", "c")), "b", 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			near, far := Choose("b-0", "b", tt.live)
			got := append(near, far...)
			assert.Equal(t, len(got), tt.total)
			if tt.total > 0 {
				assert.Assert(t, got[0][:1] == slugname.Process(tt.firstDC), "%v", got)
			}
		})
	}
}

// TestCapableHostsWatch guards against small hosts that watch the store for all others while a
// capable one can, also if another capable one is cut off from the store, and against no watcher
// if all capable ones are.
func TestCapableHostsWatch(t *testing.T) {
	for failing, want := range []func(name slugname.Process) bool{
		func(n slugname.Process) bool { return n == "a-3" || n == "a-7" },
		func(n slugname.Process) bool { return n == "a-7" },
		func(n slugname.Process) bool { return n != "a-3" && n != "a-7" },
	} {
		list := candidates(24, "a", "b", "c")
		for i := range list {
			list[i].Capacity = slugmember.Capacity{Cores: 0.192, LinkMbps: 10}
			if n := list[i].Process; n == "a-3" || n == "a-7" {
				list[i].Capacity = slugmember.Capacity{Cores: 0.8, LinkMbps: 200}
				list[i].Failing = failing == 2 || failing == 1 && n == "a-3"
			}
		}
		near, _ := Choose("a-0", "a", list)
		assert.Assert(t, len(near) == 1 && want(near[0]), "%d failing: %v", failing, near)
	}
}

// TestWatchersGrowSlowerThanHosts guards against a load on the store that grows with the
// hosts: each watcher makes about 1.6 calls a second. The last case, 660 hosts, is the
// largest size that the system is meant for.
func TestWatchersGrowSlowerThanHosts(t *testing.T) {
	dataCentres := []slugname.DataCentre{"a", "b", "c", "d"}
	for _, tt := range []struct{ hosts, maxWatchers int }{{8, 4}, {73, 8}, {300, 16}, {660, 32}} {
		near, far := Choose("a-0", "a", candidates(tt.hosts/4, dataCentres...))
		assert.Assert(t, len(near)+len(far) <= tt.maxWatchers, "%d hosts", tt.hosts)
	}
}

// TestWatchersShareFollowers guards against a watcher in a large data centre that is asked
// by far more hosts than its share.
func TestWatchersShareFollowers(t *testing.T) {
	all := candidates(165, "a")
	followers := map[slugname.Process]int{}
	for _, c := range all {
		near, _ := Choose(c.Process, "a", all)
		if !slices.Contains(near, c.Process) {
			followers[near[0]]++
		}
	}
	for watcher, n := range followers {
		assert.Assert(t, n <= 2*processesPerWatcher, "watcher %s has %d followers", watcher, n)
	}
}

// mixedSystem returns processes on large and small hosts in several data centres.
func mixedSystem(dataCentres, large, small int) (out []Candidate) {
	for dc := range dataCentres {
		name := slugname.DataCentre(fmt.Sprint("dc-", dc))
		for i := range large + small {
			c := Candidate{Process: slugname.Process(fmt.Sprintf("%s-%d", name, i)), DataCentre: name, Capacity: slugmember.Capacity{Cores: 0.2, LinkMbps: 20}}
			if i < large {
				c.Capacity = slugmember.Capacity{Cores: 1, LinkMbps: 200}
			}
			out = append(out, c)
		}
	}
	return out
}

// TestSmallHostsWatchBesideCapableOnes guards against small hosts that tell others of all changes,
// which takes them seconds, because the store does not answer some or all capable hosts of their
// data centre while it answers others. The followers must be shared among the capable ones.
func TestSmallHostsWatchBesideCapableOnes(t *testing.T) {
	const large = 3
	for failing := 1; failing <= large; failing++ {
		t.Run(fmt.Sprintf("%d of %d", failing, large), func(t *testing.T) {
			all := mixedSystem(5, large, 60)
			capable := map[slugname.Process]bool{}
			for i, c := range all {
				all[i].Failing = c.DataCentre == "dc-1" && i%(large+60) < failing
				capable[c.Process] = c.Cores == 1
			}
			followers := map[slugname.Process]int{}
			for _, c := range all {
				near, far := Choose(c.Process, c.DataCentre, all)
				if slices.Contains(near, c.Process) {
					assert.Check(t, capable[c.Process], "%s watches the store", c.Process)
					continue
				}
				followers[append(near, far...)[0]]++
			}
			for watcher, n := range followers {
				assert.Check(t, capable[watcher], "%s has %d followers", watcher, n)
				assert.Check(t, n <= 2*processesPerWatcher, "%s has %d followers", watcher, n)
			}
		})
	}
}

package slugwatcher

import (
	"fmt"
	"slices"
	"testing"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"gotest.tools/v3/assert"
)

// candidates returns n processes in each of the data centres.
func candidates(n int, places ...slugname.DataCentre) []Candidate {
	var out []Candidate
	for _, dc := range places {
		for i := range n {
			out = append(out, Candidate{Process: slugname.Process(fmt.Sprintf("%s-%d", dc, i)), DataCentre: dc})
		}
	}
	return out
}

func TestChoose(t *testing.T) {
	failingIn := func(dc slugname.DataCentre, list []Candidate) []Candidate {
		for i := range list {
			list[i].Failing = list[i].DataCentre == dc || dc == ""
		}
		return list
	}
	tests := []struct {
		name string
		list []Candidate
		// first is the data centre of the first watcher, total how many there are.
		first slugname.DataCentre
		total int
	}{
		{"nobody", nil, "", 0},
		{"one of each data centre, the own first", candidates(3, "a", "b", "c"), "b", 3},
		{"two of a single one", candidates(3, "b"), "b", 2},
		{"more where there are more hosts", candidates(40, "a", "b"), "b", 4},
		{"others' when the store answers nobody near", failingIn("b", candidates(3, "a", "b", "c")), "a", 2},
		{"as always when the store answers nobody", failingIn("", candidates(3, "a", "b", "c")), "b", 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			near, far := Choose("b-0", "b", tt.list)
			got := append(near, far...)
			assert.Equal(t, len(got), tt.total)
			if tt.total > 0 {
				assert.Assert(t, got[0][:1] == slugname.Process(tt.first), "%v", got)
			}
		})
	}
}

// TestWatchersGrowSlowerThanHosts holds the calls to the store at the sizes of the
// target: each watcher makes some 1.6 calls a second.
func TestWatchersGrowSlowerThanHosts(t *testing.T) {
	places := []slugname.DataCentre{"a", "b", "c", "d"}
	for _, tt := range []struct{ hosts, most int }{{8, 4}, {73, 8}, {300, 16}, {660, 32}} {
		near, far := Choose("a-0", "a", candidates(tt.hosts/4, places...))
		assert.Assert(t, len(near)+len(far) <= tt.most, "%d hosts", tt.hosts)
	}
}

// TestWatchersShareTheOthers holds each watcher of a large data centre to its part of
// the hosts that follow.
func TestWatchersShareTheOthers(t *testing.T) {
	all := candidates(165, "a")
	followers := map[slugname.Process]int{}
	for _, c := range all {
		near, _ := Choose(c.Process, "a", all)
		if !slices.Contains(near, c.Process) {
			followers[near[0]]++
		}
	}
	for w, n := range followers {
		assert.Assert(t, n <= 2*perWatcher, "%s has %d", w, n)
	}
}

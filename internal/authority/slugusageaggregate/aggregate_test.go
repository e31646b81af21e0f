package slugusageaggregate

import (
	"testing"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
	"gotest.tools/v3/assert"
)

func window(k int64, n uint32) slugpeer.WindowCount {
	return slugpeer.WindowCount{Window: k, Counts: map[slugname.Workspace]uint32{"a": n}}
}

// sumWindow returns the count of workspace "a" in window k over all processes.
func sumWindow(a *Aggregate, k int64) (n uint32) {
	for _, w := range a.Windows() {
		if w.Window == k {
			n += w.Counts["a"]
		}
	}
	return n
}

// TestReorderedMessageKeepsGreatestCounts guards against counts that a reordered message
// reduces, and against keeping windows that are no longer reported.
func TestReorderedMessageKeepsGreatestCounts(t *testing.T) {
	a := New()
	a.Update("p", []slugpeer.WindowCount{window(1, 3), window(2, 1)})
	a.Update("q", []slugpeer.WindowCount{window(1, 4)})
	assert.Equal(t, sumWindow(a, 1), uint32(7))
	a.Update("p", []slugpeer.WindowCount{window(1, 5)})
	assert.Equal(t, sumWindow(a, 1), uint32(9), "greater counts replace earlier ones")
	a.Update("p", []slugpeer.WindowCount{window(1, 2)})
	assert.Equal(t, sumWindow(a, 1), uint32(9), "a message that arrives out of order changes nothing")
	assert.Equal(t, sumWindow(a, 2), uint32(1))
	a.Update("q", []slugpeer.WindowCount{window(1+retainedWindows, 1)})
	assert.Equal(t, sumWindow(a, 1), uint32(0))
	a.Update("p", []slugpeer.WindowCount{window(1, 9)})
	assert.Equal(t, sumWindow(a, 1), uint32(0), "counts of expired windows are not kept")
}

package slugcollection

import (
	"testing"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
	"gotest.tools/v3/assert"
)

func window(k int64, n uint32) slugpeer.WindowCount {
	return slugpeer.WindowCount{Window: k, Counts: map[slugname.Workspace]uint32{"a": n}}
}

// sum adds the figures of a window.
func sum(c *Collection, k int64) (n uint32) {
	for _, w := range c.Windows() {
		if w.Window == k {
			n += w.Counts["a"]
		}
	}
	return n
}

func TestHeard(t *testing.T) {
	c := New()
	c.Heard("p", []slugpeer.WindowCount{window(1, 3), window(2, 1)})
	c.Heard("q", []slugpeer.WindowCount{window(1, 4)})
	assert.Equal(t, sum(c, 1), uint32(7))
	c.Heard("p", []slugpeer.WindowCount{window(1, 5)})
	assert.Equal(t, sum(c, 1), uint32(9), "later figures replace earlier ones")
	c.Heard("p", []slugpeer.WindowCount{window(1, 2)})
	assert.Equal(t, sum(c, 1), uint32(9), "a message that was overtaken changes nothing")
	assert.Equal(t, sum(c, 2), uint32(1))
	c.Heard("q", []slugpeer.WindowCount{window(1+keptWindows, 1)})
	assert.Equal(t, sum(c, 1), uint32(0))
	c.Heard("p", []slugpeer.WindowCount{window(1, 9)})
	assert.Equal(t, sum(c, 1), uint32(0), "figures that nobody wants are not kept")
}

package slugsilence

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"gotest.tools/v3/assert"
)

// TestSplit guards against processes that stay silent in the eyes of others after they answered or
// after the time is over, and against a changed order of the others.
func TestSplit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, list := New(time.Second), []slugname.Process{"c", "a", "b"}
		split := func() (sound, silent []slugname.Process) { return s.Split(list) }
		s.Failed("a")
		s.Failed("c")
		sound, silent := split()
		assert.DeepEqual(t, sound, []slugname.Process{"b"})
		assert.DeepEqual(t, silent, []slugname.Process{"c", "a"})
		s.Answered("c")
		sound, _ = split()
		assert.DeepEqual(t, sound, []slugname.Process{"c", "b"})
		time.Sleep(time.Second)
		sound, silent = split()
		assert.DeepEqual(t, sound, list)
		assert.Equal(t, len(silent), 0)
		s.Failed("b")
		assert.Equal(t, len(s.failedAt), 1, "old failures are kept")
	})
}

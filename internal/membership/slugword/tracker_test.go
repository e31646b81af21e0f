package slugword

import (
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"gotest.tools/v3/assert"
)

func TestTracker(t *testing.T) {
	x, now := New(), slugclock.Now()
	x.Heard(7, 6, now)
	assert.Equal(t, x.Last(), now, "an older revision was the newest, so ours is as well")
	x.Fresh(now.Add(-time.Second))
	assert.Equal(t, x.Last(), now, "word never gets older")
	x.Heard(7, 9, now.Add(time.Second))
	x.Heard(7, 8, now.Add(time.Second))
	assert.Equal(t, x.Last(), now, "word of a newer revision says that ours is not the newest")
	assert.Equal(t, uint64(x.Wanted()), uint64(9))
	<-x.Poked()
	assert.Assert(t, x.Store(true))
	assert.Assert(t, !x.Store(true))
	assert.Assert(t, x.StoreAnswers())
}

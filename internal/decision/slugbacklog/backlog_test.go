package slugbacklog

import (
	"fmt"
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func TestAdd(t *testing.T) {
	b, now := New(), time.Unix(1000, 0)
	assert.Equal(t, b.Add("a", 100*ms, now), time.Duration(0))
	assert.Equal(t, b.Add("a", 50*ms, now.Add(20*ms)), 80*ms)
	assert.Equal(t, b.Add("b", 50*ms, now), time.Duration(0))
	b.Add("a", -50*ms, now.Add(20*ms))
	assert.Equal(t, b.Add("a", 0, now.Add(20*ms)), 80*ms, "work that was taken back waits for nobody")
	assert.Equal(t, b.Add("a", 10*ms, now.Add(time.Second)), time.Duration(0), "time does the work")
	b.Add("a", time.Hour, now.Add(time.Second))
	assert.Equal(t, b.Add("a", 0, now.Add(time.Second)), mostWait)
}

func TestIdleEndpointsAreForgotten(t *testing.T) {
	b, now := New(), time.Unix(1000, 0)
	for i := range 3 * pruneAbove {
		b.Add(slugname.Endpoint(fmt.Sprint(i)), ms, now.Add(time.Duration(i)*ms))
	}
	assert.Assert(t, len(b.idle) <= pruneAbove, "%d endpoints", len(b.idle))
}

package slugbacklog

import (
	"fmt"
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// TestAddReturnsWaitForEarlierWork guards against waits that ignore earlier work,
// elapsed time or removed work, or that exceed maxBacklog.
func TestAddReturnsWaitForEarlierWork(t *testing.T) {
	b, now := New(), time.Unix(1000, 0)
	assert.Equal(t, b.Add("a", 100*ms, now), time.Duration(0))
	assert.Equal(t, b.Add("a", 50*ms, now.Add(20*ms)), 80*ms)
	assert.Equal(t, b.Add("b", 50*ms, now), time.Duration(0))
	b.Add("a", -50*ms, now.Add(20*ms))
	assert.Equal(t, b.Add("a", 0, now.Add(20*ms)), 80*ms, "removed work does not add to the wait")
	assert.Equal(t, b.Add("a", 10*ms, now.Add(time.Second)), time.Duration(0), "work completes as time passes")
	b.Add("a", time.Hour, now.Add(time.Second))
	assert.Equal(t, b.Add("a", 0, now.Add(time.Second)), maxBacklog)
}

// TestIdleEndpointsAreRemoved guards against memory growth as endpoints come and go.
func TestIdleEndpointsAreRemoved(t *testing.T) {
	b, now := New(), time.Unix(1000, 0)
	for i := range 3 * pruneThreshold {
		b.Add(slugname.Endpoint(fmt.Sprint(i)), ms, now.Add(time.Duration(i)*ms))
	}
	assert.Assert(t, len(b.idleAt) <= pruneThreshold, "%d endpoints", len(b.idleAt))
}

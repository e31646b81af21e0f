package slugplacement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEngineCountsAsSilent guards against an engine that cannot take over because it is
// silent where nothing is expected of it: the request is yet to be sent, since its prompt is
// being processed, or the caller has not taken the last event.
func TestEngineCountsAsSilent(t *testing.T) {
	const maxSilence = 400 * time.Millisecond
	p := newPlacer(newEngines(0, 1))
	j := Job{Tokens: 100, Output: 10}
	c, ok := p.Spare(j, "a", nil, maxSilence, start)
	assert.Assert(t, ok)
	spare := func(after time.Duration) bool {
		x, ok := p.Spare(j, "a", nil, maxSilence, start.Add(after))
		if ok {
			x.End(Abandoned, start.Add(after))
		}
		return ok
	}
	assert.Assert(t, spare(time.Second), "the request was not sent yet")
	c.Sent(start.Add(time.Second))
	assert.Assert(t, spare(1400*time.Millisecond))
	assert.Assert(t, !spare(1500*time.Millisecond), "the response is overdue")
	c.Event(start.Add(2 * time.Second))
	assert.Assert(t, spare(9*time.Second), "the caller has not taken the event")
	c.Await(start.Add(9 * time.Second))
	assert.Assert(t, spare(9400*time.Millisecond))
	assert.Assert(t, !spare(9500*time.Millisecond), "the next event is overdue")
	c.End(Failed, start.Add(10*time.Second))
	assert.Assert(t, spare(11*time.Second), "no response is expected")
}

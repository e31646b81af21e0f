package slugpath

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPlan guards against peers that are asked for each connection, against an endpoint that is
// never asked directly again, and against waits for the direct connection of a host that reaches
// no endpoint.
func TestPlan(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	p := New()
	assert.Equal(t, p.Plan("a", start), Plan{Direct: true, Peers: true, PeersAfter: patience})
	assert.Equal(t, p.Lost("a", start, start), Loss{New: true})
	assert.Equal(t, p.Plan("a", at(time.Millisecond)), Plan{Peers: true}, "a direct attempt was just made")
	assert.Equal(t, p.Plan("a", at(retryInterval)), Plan{Direct: true, Peers: true})
	assert.Equal(t, p.Plan("a", at(retryInterval+1)), Plan{Peers: true})
	assert.Equal(t, p.Plan("b", at(retryInterval)), Plan{Direct: true, Peers: true, PeersAfter: patience}, "one lost path says little of others")
	assert.Equal(t, p.Lost("b", at(time.Second), at(time.Second)), Loss{New: true, CutOff: true, SilentSince: at(time.Second)})
	assert.Equal(t, p.Plan("c", at(time.Second)), Plan{Direct: true, Peers: true}, "the host is cut off")
	assert.Assert(t, !p.Lost("b", at(time.Second), at(time.Second)).CutOff, "it is told once")
	assert.Assert(t, !p.Reached("c", at(2*time.Second)), "the path to c was not lost")
	assert.Equal(t, p.Plan("d", at(2*time.Second)).PeersAfter, patience, "the host reaches endpoints")
	assert.Equal(t, p.Status(), Status{Lost: 2, ReachedAt: at(2 * time.Second)})
	assert.Assert(t, p.Reached("a", at(3*time.Second)) && p.Reached("b", at(3*time.Second)))
	assert.Equal(t, p.Status().Lost, 0)
}

// TestOldFailureHidesSuccess guards against a path that counts as lost because of an attempt that
// began before another one succeeded.
func TestOldFailureHidesSuccess(t *testing.T) {
	start := time.Unix(1000, 0)
	p := New()
	p.Reached("a", start.Add(time.Second))
	assert.Equal(t, p.Lost("a", start, start.Add(2*time.Second)), Loss{})
	assert.Assert(t, !p.IsLost("a"))
	assert.Assert(t, p.Lost("a", start.Add(time.Second+1), start.Add(2*time.Second)).New)
	assert.Assert(t, p.IsLost("a"))
}

// TestLostPacketsCloseConnections guards against open connections that are closed because a single
// direct attempt has failed, and against those that stay open as attempt after attempt fails.
func TestLostPacketsCloseConnections(t *testing.T) {
	start := time.Unix(1000, 0)
	p := New()
	assert.Equal(t, p.Lost("a", start, start.Add(time.Second)), Loss{New: true})
	assert.Equal(t, p.Lost("a", start.Add(time.Second), start.Add(2*time.Second)), Loss{SilentSince: start})
	p.Reached("a", start.Add(3*time.Second))
	assert.Equal(t, p.Lost("a", start.Add(4*time.Second), start.Add(5*time.Second)), Loss{New: true})
}

// TestPeersAreAskedAgainAfterAWhile guards against hosts that ask peers for each connection to an
// endpoint that is dead.
func TestPeersAreAskedAgainAfterAWhile(t *testing.T) {
	start := time.Unix(1000, 0)
	p := New()
	p.Unreached("a", start)
	assert.Equal(t, p.Plan("a", start.Add(unreachedHold-1)), Plan{Direct: true, PeersAfter: patience})
	assert.Assert(t, p.Plan("a", start.Add(unreachedHold)).Peers)
	p.Unreached("a", start)
	p.Lost("a", start, start)
	assert.Assert(t, p.Plan("a", start.Add(time.Millisecond)).Direct, "there is no other way")
}

// TestUnusedPathsAreForgotten guards against memory that grows with each address ever used, and
// against a host that stays cut off because of endpoints that are gone.
func TestUnusedPathsAreForgotten(t *testing.T) {
	start := time.Unix(1000, 0)
	p := New()
	for i := range 100 {
		p.Lost(fmt.Sprint(i), start, start)
	}
	p.Plan("x", start.Add(forgetAfter+pruneInterval+time.Second))
	assert.Equal(t, len(p.paths), 1)
	assert.Equal(t, p.Status().Lost, 0)
}

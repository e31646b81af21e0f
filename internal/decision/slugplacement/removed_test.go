package slugplacement

import (
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"gotest.tools/v3/assert"
)

// TestRequestIsSentToRemovedEndpoint guards against a request that is sent to an endpoint that was
// taken from the list, as one that is leaving is, while the request waited for its turn.
func TestRequestIsSentToRemovedEndpoint(t *testing.T) {
	now := time.Now()
	list := []Endpoint{{Name: "a", Address: "10.0.0.1:80", Slots: 8, Incarnation: 1, Role: slugplan.RolePrefill}}
	p := New(Config{})
	p.SetEndpoints(list, now)
	c, ok := p.Prefill(Job{Tokens: 1000}, nil, now)
	assert.Assert(t, ok)
	assert.Assert(t, c.WantsRequests(now))
	p.SetEndpoints(nil, now)
	assert.Assert(t, !c.WantsRequests(now), "the endpoint is not listed any more")
	p.SetEndpoints(list, now)
	assert.Assert(t, c.WantsRequests(now), "the endpoint is listed again")
	list[0].Incarnation = 2
	p.SetEndpoints(list, now)
	assert.Assert(t, !c.WantsRequests(now), "the endpoint has started again")
}

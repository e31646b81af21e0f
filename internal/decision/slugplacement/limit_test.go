package slugplacement

import (
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/decision/slugpermit"
	"gotest.tools/v3/assert"
)

// limitedEndpoint returns a placer with one plain endpoint, which has stated a limit of one
// request per second.
func limitedEndpoint(cfg Config) (*Placer, []Endpoint) {
	endpoints := []Endpoint{{Name: "e-00", Incarnation: 7, Address: "10.0.0.1:80", DataCentre: "a", Slots: 8}}
	cfg.Clock = func() time.Time { return start }
	p := New(cfg)
	p.SetEndpoints(endpoints, start)
	c, _ := p.Plain("", nil, start)
	c.RecordLimit(Limit{Stated: true, PerSecond: 1}, start, start)
	c.End(Served, start)
	return p, endpoints
}

// TestLimitIsForgottenWhileEndpointIsAway guards against an endpoint that gets requests
// without regard to its limit after it was no choice for a time, and against a limit that
// outlives the process that stated it.
func TestLimitIsForgottenWhileEndpointIsAway(t *testing.T) {
	restarted := func(e []Endpoint) []Endpoint { return []Endpoint{{Name: e[0].Name, Incarnation: 8, Slots: 8}} }
	for _, test := range []struct {
		name    string
		back    func([]Endpoint) []Endpoint
		limited int
	}{
		{"its entry comes back", func(e []Endpoint) []Endpoint { return e }, 1},
		{"at another address", func(e []Endpoint) []Endpoint {
			e[0].Address = "10.0.0.2:80"
			return e
		}, 1},
		{"it has restarted", restarted, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			p, endpoints := limitedEndpoint(Config{})
			p.SetEndpoints(nil, start)
			assert.Equal(t, len(p.Limited()), 0)
			p.SetEndpoints(test.back(endpoints), start)
			assert.Equal(t, len(p.Limited()), test.limited)
		})
	}
}

// TestHostThatKnowsNoOthersTakesTheWholeLimit guards against a host that takes all that an
// endpoint allows because it does not know yet how many hosts there are.
func TestHostThatKnowsNoOthersTakesTheWholeLimit(t *testing.T) {
	share := slugpermit.Share{}
	now := start
	p, _ := limitedEndpoint(Config{Share: func() slugpermit.Share { return share }})
	p.cfg.Clock = func() time.Time { return now }
	now = start.Add(10 * time.Second)
	_, ok := p.Plain("", nil, now)
	assert.Assert(t, !ok)
	share = slugpermit.Share{Hosts: 2}
	now = start.Add(12 * time.Second)
	_, ok = p.Plain("", nil, now)
	assert.Assert(t, ok)
}

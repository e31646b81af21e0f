package slugplacement

import (
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugnotice"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"gotest.tools/v3/assert"
)

// noticed returns a placer whose first endpoints with a role have given notice.
func noticed(endpoints []Endpoint, r slugplan.Role, given ...slugnotice.Notice) *Placer {
	notices := slugnotice.New()
	for _, e := range endpoints {
		if e.Role == r && len(given) > 0 {
			notices.Record(e.Name, e.Incarnation, given[0], start)
			given = given[1:]
		}
	}
	p := New(Config{DataCentre: "a", Pace: measuredPace(), Notices: notices, Random: func() float64 { return 0 }})
	p.SetEndpoints(endpoints, start)
	return p
}

// pick chooses an endpoint with a role.
func pick(p *Placer, r slugplan.Role, now time.Time) (*Choice, bool) {
	switch r {
	case slugplan.RolePrefill:
		return p.Prefill(newJob("s", 1), nil, now)
	case slugplan.RoleDecode:
		return p.Decode(newJob("s", 1), "a", nil, now)
	}
	return p.Plain("", nil, now)
}

// Guards against work that is placed at endpoints that want none, or nowhere while others
// want it.
func TestWorkIsPlacedWhereItIsWanted(t *testing.T) {
	leaving, wait := slugnotice.Notice{Leaving: true}, slugnotice.Notice{RetryAfter: 3 * time.Second}
	for _, r := range []slugplan.Role{"", slugplan.RolePrefill, slugplan.RoleDecode} {
		endpoints := newEngines(4, 4)
		for i := range endpoints {
			if r == "" {
				endpoints[i].Role = ""
			}
		}
		own := endpoints[:4]
		if r == slugplan.RoleDecode {
			own = endpoints[4:]
		}
		p := noticed(own, r, leaving, wait, wait)
		chosen := map[slugname.Endpoint]int{}
		for range 20 {
			c, ok := pick(p, r, start.Add(time.Second))
			assert.Assert(t, ok)
			chosen[c.Name]++
		}
		assert.DeepEqual(t, chosen, map[slugname.Endpoint]int{own[3].Name: 20})
		assert.Assert(t, p.Accepts(r, "", start) && p.UntilWanted(r, start) == 0)
		for range 20 {
			c, ok := pick(p, r, start.Add(3*time.Second))
			assert.Assert(t, ok)
			chosen[c.Name]++
		}
		assert.Assert(t, chosen[own[0].Name] == 0 && chosen[own[1].Name] > 0 && chosen[own[2].Name] > 0, "%v", chosen)
	}
}

// Guards against requests that wait although no endpoint wants them, and against a retry
// time before which none does.
func TestTimeUntilAnEndpointWantsRequests(t *testing.T) {
	leaving := slugnotice.Notice{Leaving: true}
	three, five := slugnotice.Notice{RetryAfter: 3 * time.Second}, slugnotice.Notice{RetryAfter: 5 * time.Second}
	for _, test := range []struct {
		given   []slugnotice.Notice
		accepts bool
		wait    time.Duration
	}{
		{nil, true, 0},
		{[]slugnotice.Notice{five, leaving}, true, 0},
		{[]slugnotice.Notice{five, leaving, three}, false, 2 * time.Second},
		{[]slugnotice.Notice{leaving, leaving, leaving}, false, 0},
	} {
		p := noticed(newEngines(2, 3), slugplan.RoleDecode, test.given...)
		now := start.Add(time.Second)
		assert.Equal(t, p.Accepts(slugplan.RoleDecode, "", now), test.accepts)
		assert.Equal(t, p.UntilWanted(slugplan.RoleDecode, now), test.wait)
		assert.Assert(t, p.Accepts(slugplan.RolePrefill, "", now) && p.UntilWanted(slugplan.RolePrefill, now) == 0)
		assert.Assert(t, p.Accepts("", "", now), "none has the role")
		_, ok := pick(p, slugplan.RoleDecode, now)
		assert.Equal(t, ok, test.accepts)
	}
}

// Guards against a request that is sent to an endpoint that gave notice while the request
// waited.
func TestChoiceIsCheckedBeforeItIsUsed(t *testing.T) {
	p := noticed(newEngines(1, 1), slugplan.RoleDecode)
	c, ok := pick(p, slugplan.RoleDecode, start)
	assert.Assert(t, ok && c.WantsRequests(start))
	p.cfg.Notices.Record(c.Name, c.Incarnation, slugnotice.Notice{RetryAfter: time.Second}, start)
	assert.Assert(t, !c.WantsRequests(start.Add(999*time.Millisecond)))
	assert.Assert(t, c.WantsRequests(start.Add(time.Second)))
}

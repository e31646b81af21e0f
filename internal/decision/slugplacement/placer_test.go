package slugplacement

import (
	"fmt"
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpace"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// newEngines returns prefill and decode engines in two data centres.
func newEngines(prefill, decode int) []Endpoint {
	var out []Endpoint
	for i := range prefill + decode {
		e := Endpoint{
			Name: slugname.Endpoint(fmt.Sprintf("e-%02d", i)), Address: fmt.Sprintf("10.0.0.%d:80", i), DataCentre: "a",
			Role: slugplan.RolePrefill, Slots: 64, CacheTokens: 400000, TransferPerToken: 200 * time.Nanosecond,
		}
		if i >= prefill {
			e.Role = slugplan.RoleDecode
		}
		if i%2 == 1 {
			e.DataCentre = "b"
		}
		out = append(out, e)
	}
	return out
}

// measuredFit is the measured pace of the engines in most tests.
var measuredFit = slugpace.Fit{Fixed: 10 * time.Millisecond, PerToken: 23_256, PerPair: 0.25, Samples: 1000}

// measuredPace returns a model that has adopted measuredFit.
func measuredPace() *slugpace.Model {
	m := slugpace.New()
	m.Adopt([]slugpace.Fit{measuredFit}, start)
	return m
}

// newPlacer returns a placer in data centre a that breaks ties in list order.
func newPlacer(endpoints []Endpoint) *Placer {
	p := New(Config{DataCentre: "a", Pace: measuredPace(), Random: func() float64 { return 0 }})
	p.SetEndpoints(endpoints, start)
	return p
}

// newJob returns a long prompt with a shared part.
func newJob(sharedPart string, id int) Job {
	return Job{Parts: []Part{{PartID(sharedPart), 13000}, {PartID(fmt.Sprint(sharedPart, id)), 3000}}, Tokens: 16000, Output: 100, Priority: 2}
}

// TestHostsAgreeOnHomeEndpoint guards against hosts that choose different home
// endpoints for a shared part.
func TestHostsAgreeOnHomeEndpoint(t *testing.T) {
	for i := range 20 {
		var names []slugname.Endpoint
		for range 5 {
			c, ok := newPlacer(newEngines(12, 2)).Prefill(newJob(fmt.Sprint("s", i), 1), nil, start)
			assert.Assert(t, ok)
			names = append(names, c.Name)
		}
		for _, n := range names {
			assert.Equal(t, n, names[0])
		}
	}
}

// TestIdleEnginesFetchFromBusyHome guards against processing a shared part repeatedly
// when many prompts use it at once: while its home is busy, idle engines fetch the part
// from it.
func TestIdleEnginesFetchFromBusyHome(t *testing.T) {
	p := newPlacer(newEngines(6, 1))
	first, _ := p.Prefill(newJob("s", 0), nil, start)
	first.End(Served, start.Add(time.Second))
	now := start.Add(time.Second)
	used := map[slugname.Endpoint]int{}
	for i := range 12 {
		c, ok := p.Prefill(newJob("s", i+1), nil, now)
		assert.Assert(t, ok)
		used[c.Name]++
		if c.Name != first.Name {
			assert.Equal(t, c.FetchFrom, first.Address)
			assert.Equal(t, c.Cached, 13000)
		}
		assert.Assert(t, c.Predicted < 450*time.Millisecond, "%s", c.Predicted)
	}
	assert.Assert(t, len(used) >= 5, "%v", used)
}

// TestCacheReportCorrectsAssumption guards against assuming parts cached that an engine
// has reported as evicted.
func TestCacheReportCorrectsAssumption(t *testing.T) {
	p := newPlacer(newEngines(1, 0))
	c, _ := p.Prefill(newJob("s", 0), nil, start)
	c.End(Served, start)
	c, _ = p.Prefill(newJob("s", 1), nil, start)
	assert.Equal(t, c.Cached, 13000)
	p.RecordCacheReport(c.Name, []Part{{"s", 0}}, false)
	c, _ = p.Prefill(newJob("s", 2), nil, start)
	assert.Equal(t, c.Cached, 0)
	p.RecordCacheReport(c.Name, []Part{{"s", 13000}}, true)
	c, _ = p.Prefill(newJob("s", 3), nil, start)
	assert.Equal(t, c.Cached, 13000)
}

// TestUrgentPromptAvoidsBusyEngines guards against placing a short urgent prompt behind
// long ones: engines process admitted prompts in order, so it goes where the least work
// waits.
func TestUrgentPromptAvoidsBusyEngines(t *testing.T) {
	p := newPlacer(newEngines(2, 0))
	for i := range 10 {
		_, _ = p.Prefill(newJob(fmt.Sprint("s", i), 1), nil, start)
	}
	urgent := Job{Parts: []Part{{"q", 1000}}, Tokens: 1000, Priority: 0}
	c, _ := p.Prefill(urgent, nil, start)
	assert.Assert(t, c.Predicted > 300*time.Millisecond, "%s", c.Predicted)
	p.SetEndpoints(newEngines(3, 0), start)
	c, _ = p.Prefill(urgent, nil, start)
	assert.Equal(t, c.Name, slugname.Endpoint("e-02"))
	assert.Assert(t, c.Predicted < 50*time.Millisecond, "%s", c.Predicted)
}

// TestPeerLoadIsConsidered guards against ignoring the load of other hosts: work goes
// to the engines that they leave idle.
func TestPeerLoadIsConsidered(t *testing.T) {
	p := newPlacer(newEngines(3, 2))
	busy := Load{Streams: 40, Prefill: 900 * time.Millisecond}
	p.SetPeerLoads(map[slugname.Endpoint]Load{"e-00": busy, "e-01": busy, "e-03": busy})
	for range 2 {
		c, _ := p.Prefill(Job{Tokens: 1000, Priority: 2}, nil, start)
		assert.Equal(t, c.Name, slugname.Endpoint("e-02"))
	}
	c, _ := p.Decode(Job{Tokens: 1000}, "b", nil, start)
	assert.Equal(t, c.Name, slugname.Endpoint("e-04"))
}

// TestFailingEnginesAreAvoided guards against sending requests to an engine that fails
// them although its health checks pass. The engine is avoided and tried again later.
func TestFailingEnginesAreAvoided(t *testing.T) {
	p := newPlacer(newEngines(4, 0))
	now := start
	failing := slugname.Endpoint("e-00")
	requests := 0
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		c, _ := p.Prefill(Job{Parts: []Part{{PartID(fmt.Sprint(i)), 100}}, Tokens: 100}, nil, now)
		if c.Name != failing {
			c.End(Served, now.Add(12*time.Millisecond))
			continue
		}
		requests++
		c.End(Failed, now)
	}
	assert.Assert(t, requests > 0 && requests < 12, "the failing engine received %d of 400 requests", requests)
}

// TestSilenceOfManyStreamsCountsOnce guards against an engine that gets no streams for many
// seconds because it was silent once, for a moment, while it had many of them.
func TestSilenceOfManyStreamsCountsOnce(t *testing.T) {
	p := newPlacer(newEngines(1, 2))
	var silent []*Choice
	for range 40 {
		c, ok := p.Decode(newJob("a", 1), "dc-a", nil, start)
		assert.Assert(t, ok)
		if c.Name == "e-01" {
			silent = append(silent, c)
		}
	}
	now := start.Add(time.Second)
	for i, c := range silent {
		c.End(Silent, now.Add(time.Duration(i)*10*time.Millisecond))
	}
	assert.Assert(t, len(silent) > 10)
	for range 10 {
		c, _ := p.Decode(newJob("a", 1), "dc-a", nil, now.Add(avoidDuration/2))
		assert.Equal(t, c.Name, slugname.Endpoint("e-02"), "a silent engine is chosen")
		c.End(Abandoned, now)
	}
	later := now.Add(3 * failureHalfLife)
	for range 20 {
		if c, _ := p.Decode(newJob("a", 1), "dc-a", nil, later); c.Name == "e-01" {
			return
		}
	}
	t.Fatal("the engine is still avoided")
}

// TestStalledNeedsIdleEngine guards against treating a late prompt as stalled while its
// engine completes other prompts.
func TestStalledNeedsIdleEngine(t *testing.T) {
	p := newPlacer(newEngines(1, 0))
	late, _ := p.Prefill(newJob("s", 0), nil, start)
	next, _ := p.Prefill(newJob("s", 1), nil, start)
	assert.Assert(t, !late.Stalled(start.Add(time.Second)))
	assert.Assert(t, late.Stalled(start.Add(4*time.Second)), "the engine completed no prompt")
	next.End(Served, start.Add(4*time.Second))
	assert.Assert(t, !late.Stalled(start.Add(5*time.Second)), "the engine completed another prompt, so the prompt is only late")
}

// TestPlainBalancesBySlots guards against ignoring the number of slots of plain
// endpoints.
func TestPlainBalancesBySlots(t *testing.T) {
	p := newPlacer([]Endpoint{{Name: "small", Slots: 2, DataCentre: "a"}, {Name: "large", Slots: 6, DataCentre: "a"}})
	n := map[slugname.Endpoint]int{}
	for range 16 {
		c, _ := p.Plain("", nil, start)
		n[c.Name]++
	}
	assert.Equal(t, n["small"], 4)
	assert.Equal(t, n["large"], 12)
}

// TestEndRemovesWork guards against load that remains after End, or is removed twice.
func TestEndRemovesWork(t *testing.T) {
	p := newPlacer(newEngines(2, 2))
	a, _ := p.Prefill(newJob("s", 1), nil, start)
	b, _ := p.Decode(newJob("s", 1), "a", nil, start)
	assert.Equal(t, len(p.OwnLoads()), 2)
	for _, c := range []*Choice{a, b, a} {
		c.End(Served, start)
	}
	assert.Equal(t, len(p.OwnLoads()), 0)
	busy, streams := p.Demand(start)
	assert.Assert(t, busy > 0)
	assert.Equal(t, streams, 1.0)
}

func BenchmarkPrefill(b *testing.B) {
	for _, n := range []int{20, 200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newPlacer(newEngines(n, 0))
			jobs := make([]Job, 100)
			for i := range jobs {
				jobs[i] = newJob(fmt.Sprint("s", i), i)
			}
			for i := 0; b.Loop(); i++ {
				c, _ := p.Prefill(jobs[i%len(jobs)], nil, start)
				c.End(Served, start)
			}
		})
	}
}

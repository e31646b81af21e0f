package slugplacement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"gotest.tools/v3/assert"
)

func TestAnnounce(t *testing.T) {
	owner := placer(engines(2, 1))
	long := review("s", 1000)
	first, ok := owner.Announce("e-00", long, 0, start)
	assert.Assert(t, ok)
	assert.Equal(t, first.Wait, time.Duration(0))
	assert.Equal(t, first.Cached, 0)
	second, _ := owner.Announce("e-00", review("s", 900), 0, start)
	assert.Equal(t, second.Wait, first.Work)
	assert.Equal(t, second.Cached, long.shared(), "what was announced before will be kept by then")
	assert.Assert(t, second.Work < first.Work/2, "%s after %s", second.Work, first.Work)
	owner.TakeBack("e-00", review("s", 900), second, start)
	third, _ := owner.Announce("e-00", review("t", 1), 0, start)
	assert.Equal(t, third.Wait, first.Work)
	_, ok = owner.Announce("e-02", long, 0, start)
	assert.Assert(t, !ok, "an engine that makes answers")
	_, ok = owner.Announce("e-99", long, 0, start)
	assert.Assert(t, !ok, "an unknown engine")
}

// TestTakeBackForgetsTheParts takes a prompt back that went elsewhere: its parts are not
// kept, but those that were there before are.
func TestTakeBackForgetsTheParts(t *testing.T) {
	owner := placer(engines(1, 0))
	_, _ = owner.Announce("e-00", review("s", 1000), 0, start)
	a, _ := owner.Announce("e-00", review("t", 1000), 0, start)
	owner.TakeBack("e-00", review("t", 1000), a, start)
	again, _ := owner.Announce("e-00", review("t", 1000), 0, start)
	assert.Equal(t, again.Cached, 0)
	kept, _ := owner.Announce("e-00", review("s", 1000), 0, start)
	assert.Assert(t, kept.Cached > 0)
}

// TestManyHostsShareTheirLoad replays many hosts that send prompts at once, each of
// which knows only its own: with announcements the busiest engine has little more than
// its part, without them some wait several times as long.
func TestManyHostsShareTheirLoad(t *testing.T) {
	const hosts, prompts, engineCount = 66, 4, 40
	owner := placer(engines(engineCount, 0))
	busiest := func(announce bool) time.Duration {
		work := map[slugname.Endpoint]time.Duration{}
		var most time.Duration
		list := make([]*Placer, hosts)
		for i := range list {
			list[i] = New(Config{DataCentre: "a", Random: rand.New(rand.NewPCG(1, uint64(i))).Float64})
			list[i].SetEndpoints(engines(engineCount, 0))
		}
		for n := range prompts {
			for i, p := range list {
				j := Job{Tokens: 2000, Parts: []Part{{PartID(fmt.Sprint(i, "/", n)), 2000}}}
				c, _ := p.Prefill(j, nil, start)
				if announce {
					c = announced(owner, c)
				}
				work[c.Name] += c.work
				most = max(most, work[c.Name])
			}
		}
		return most
	}
	alone, told := busiest(false), busiest(true)
	mean := time.Duration(hosts*prompts) * DefaultCost.Prefill(2000, 0) / engineCount
	t.Logf("mean %s, busiest %s with announcements, %s without", mean, told, alone)
	assert.Assert(t, told < mean*3/2, "busiest %s, mean %s", told, mean)
	assert.Assert(t, told < alone, "%s, without announcements %s", told, alone)
}

// announced asks for up to three engines and returns the best.
func announced(owner *Placer, c *Choice) *Choice {
	best := c
	var asked []slugname.Endpoint
	for range 3 {
		job, copied := c.Job()
		a, _ := owner.Announce(c.Name, job, copied, start)
		asked = append(asked, c.Name)
		next, better := c.Learn(a, asked, start)
		if c.Before(best) {
			best = c
		}
		if !better {
			break
		}
		owner.TakeBack(c.Name, job, a, start)
		c = next
	}
	job, copied := best.Job()
	_, _ = owner.Announce(best.Name, job, copied, start)
	return best
}

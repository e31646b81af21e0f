package slugplacement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"gotest.tools/v3/assert"
)

// TestAnnounceReturnsWaitAndCache guards against forecasts that ignore earlier
// announcements, and against announcements for endpoints that process no prompts.
func TestAnnounceReturnsWaitAndCache(t *testing.T) {
	owner := newPlacer(newEngines(2, 1))
	long := newJob("s", 1000)
	first, ok := owner.Announce("e-00", long, 0, 0, start)
	assert.Assert(t, ok)
	assert.Equal(t, first.Wait, time.Duration(0))
	assert.Equal(t, first.Cached, 0)
	second, _ := owner.Announce("e-00", newJob("s", 900), 0, 0, start)
	assert.Equal(t, second.Wait, first.Work)
	assert.Equal(t, second.Cached, long.sharedTokens(), "the parts announced before will be cached by then")
	assert.Assert(t, second.Work < first.Work/2, "%s after %s", second.Work, first.Work)
	owner.WithdrawAnnouncement("e-00", newJob("s", 900), second, start)
	third, _ := owner.Announce("e-00", newJob("t", 1), 0, 0, start)
	assert.Equal(t, third.Wait, first.Work)
	_, ok = owner.Announce("e-02", long, 0, 0, start)
	assert.Assert(t, !ok, "a decode engine accepts no prompts")
	_, ok = owner.Announce("e-99", long, 0, 0, start)
	assert.Assert(t, !ok, "an unknown engine")
}

// TestWithdrawAnnouncementRemovesParts guards against assuming parts cached whose prompt
// was sent elsewhere. Parts announced before remain.
func TestWithdrawAnnouncementRemovesParts(t *testing.T) {
	owner := newPlacer(newEngines(1, 0))
	_, _ = owner.Announce("e-00", newJob("s", 1000), 0, 0, start)
	a, _ := owner.Announce("e-00", newJob("t", 1000), 0, 0, start)
	owner.WithdrawAnnouncement("e-00", newJob("t", 1000), a, start)
	again, _ := owner.Announce("e-00", newJob("t", 1000), 0, 0, start)
	assert.Equal(t, again.Cached, 0)
	earlier, _ := owner.Announce("e-00", newJob("s", 1000), 0, 0, start)
	assert.Assert(t, earlier.Cached > 0)
}

// TestDeclinedPromptsAddNoBacklog guards against prompts that are refused for their wait and
// still make others wait.
func TestDeclinedPromptsAddNoBacklog(t *testing.T) {
	owner := newPlacer(newEngines(1, 0))
	first, _ := owner.Announce("e-00", newJob("s", 0), 0, 0, start)
	for i := range 100 {
		f, ok := owner.Announce("e-00", newJob(fmt.Sprint("t", i), 0), 0, first.Work/2, start)
		assert.Assert(t, ok && f.Declined)
		assert.Equal(t, f.Wait, first.Work)
	}
	f, _ := owner.Announce("e-00", newJob("t0", 1), 0, first.Work, start)
	assert.Assert(t, !f.Declined)
	assert.Equal(t, f.Cached, 0, "declined prompts are not cached")
}

// TestManyHostsShareTheirLoad guards against overloading single engines when many
// hosts, each of which knows only its own prompts, send at once. With announcements the
// busiest engine gets less than one and a half times the mean work, and less than
// without them.
func TestManyHostsShareTheirLoad(t *testing.T) {
	const hosts, prompts, engineCount = 66, 4, 40
	owner := newPlacer(newEngines(engineCount, 0))
	busiest := func(announce bool) time.Duration {
		work := map[slugname.Endpoint]time.Duration{}
		var most time.Duration
		list := make([]*Placer, hosts)
		for i := range list {
			list[i] = New(Config{DataCentre: "a", Pace: measuredPace(), Random: rand.New(rand.NewPCG(1, uint64(i))).Float64})
			list[i].SetEndpoints(newEngines(engineCount, 0), start)
		}
		for n := range prompts {
			for i, p := range list {
				j := Job{Tokens: 2000, Parts: []Part{{PartID(fmt.Sprint(i, "/", n)), 2000}}}
				c, _ := p.Prefill(j, nil, start)
				if announce {
					c = announceAndChoose(owner, c)
				}
				work[c.Name] += c.work
				most = max(most, work[c.Name])
			}
		}
		return most
	}
	withoutAnnouncements, withAnnouncements := busiest(false), busiest(true)
	mean := time.Duration(hosts*prompts) * measuredFit.Work(2000, 0) / engineCount
	t.Logf("mean %s, busiest %s with announcements, %s without", mean, withAnnouncements, withoutAnnouncements)
	assert.Assert(t, withAnnouncements < mean*3/2, "busiest %s, mean %s", withAnnouncements, mean)
	assert.Assert(t, withAnnouncements < withoutAnnouncements, "%s, without announcements %s", withAnnouncements, withoutAnnouncements)
}

// announceAndChoose announces the prompt to up to three engines and returns the best
// choice.
func announceAndChoose(owner *Placer, c *Choice) *Choice {
	best := c
	var asked []slugname.Endpoint
	for range 3 {
		job, fetched := c.Job()
		a, _ := owner.Announce(c.Name, job, fetched, 0, start)
		asked = append(asked, c.Name)
		next, better := c.ApplyForecast(a, asked, start)
		if c.Before(best) {
			best = c
		}
		if !better {
			break
		}
		owner.WithdrawAnnouncement(c.Name, job, a, start)
		c = next
	}
	job, fetched := best.Job()
	_, _ = owner.Announce(best.Name, job, fetched, 0, start)
	return best
}

package slugdirectory

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugfreshness"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpartition"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugknownfailures"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

const (
	// confirmInterval is the time between confirmations by the store, and confirmers the
	// number of processes of a data centre that get them.
	confirmInterval, confirmers = 1500 * time.Millisecond, 3
	// callDelay is the delay of a call between processes.
	callDelay = 2 * time.Millisecond
	// startTime is the time after which all gates must know each other.
	startTime = 10 * time.Second
	// cutOffTime is the time within which lookups leave out a gate that is cut off, in a system
	// whose rows fit into one digest.
	cutOffTime = 10 * time.Second
)

// process is a gate or a control process of a host.
type process struct {
	slugmember.Record
	table     *slugpeer.Table
	freshness *slugfreshness.Tracker
	detector  *slugpartition.Detector
	directory *Directory
}

// cluster is a system of hosts with a gate and a control process each, in three data centres.
type cluster struct {
	processes []*process
	records   []slugmember.Record
	byName    map[slugname.Process]*process

	mu sync.Mutex
	// deaf and mute are the hosts that get no messages and that send none.
	deaf, mute map[slugname.Host]bool
}

// errLost means that a message was lost.
var errLost = errors.New("message lost")

// call sends a message and returns the answer, unless one of both is lost.
func (c *cluster) call(from *process, to slugmember.Record, m slugpeer.Message) (slugpeer.Message, error) {
	time.Sleep(callDelay)
	c.mu.Lock()
	lost := c.mute[from.Host] || c.deaf[to.Host]
	answerLost := c.mute[to.Host] || c.deaf[from.Host]
	c.mu.Unlock()
	if lost {
		return slugpeer.Message{}, errLost
	}
	answer := c.byName[to.Process].table.Serve(from.Process, m)
	if answerLost {
		return slugpeer.Message{}, errLost
	}
	return answer, nil
}

// cut cuts a host off from the store, and its messages in one direction or both.
func (c *cluster) cut(h slugname.Host, deaf, mute bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deaf[h], c.mute[h] = deaf, mute
}

// newProcess adds a process.
func (c *cluster) newProcess(kind slugmember.Kind, host int) {
	h := slugname.Host(fmt.Sprint("host-", host))
	p := &process{
		Record: slugmember.Record{
			Process: slugname.Process(fmt.Sprintf("%s-%s", h, kind)), Kind: kind, Host: h, CallersAddress: string(h),
			DataCentre: slugname.DataCentre('a' + rune(host%3)),
		},
		freshness: slugfreshness.New(),
	}
	records := func() []slugmember.Record { return c.records }
	p.table = slugpeer.New(slugpeer.Config{
		Self: p.Record, Peers: records, LastConfirmed: p.freshness.LastConfirmed,
		RevisionConfirmed: func(_ slugconfig.Revision, at slugclock.Instant) { p.freshness.ObservePeer(1, 1, at) },
		Call: func(_ context.Context, to slugmember.Record, m slugpeer.Message) (slugpeer.Message, error) {
			return c.call(p, to, m)
		},
	})
	p.detector = slugpartition.New(slugpartition.Config{
		LastConfirmed: func() (slugclock.Instant, bool) { return p.freshness.LastConfirmed(), true },
		Statuses:      p.table.Statuses, Records: records, Log: slugevent.New(io.Discard, logrus.InfoLevel, ""),
		Changed: func(cutOff bool) { p.table.Update(func(r *slugpeer.Row) { r.CutOff = cutOff }) },
	})
	p.directory = New(Config{
		Self: p.Record, Statuses: p.table.Statuses, CutOff: p.detector.CutOff, MaxAge: time.Second,
		Record: func(n slugname.Process) (slugmember.Record, bool) { return c.byName[n].Record, true },
	})
	c.processes, c.records, c.byName[p.Process] = append(c.processes, p), append(c.records, p.Record), p
}

// withCluster runs test on a cluster, in virtual time.
func withCluster(t *testing.T, hosts int, test func(c *cluster)) {
	t.Helper()
	t.Cleanup(slugclock.IgnoreSuspensions())
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{byName: map[slugname.Process]*process{}, deaf: map[slugname.Host]bool{}, mute: map[slugname.Host]bool{}}
		for host := range hosts {
			c.newProcess(slugmember.KindGate, host)
			c.newProcess(slugmember.KindControl, host)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		confirming := map[slugname.DataCentre]int{}
		for _, p := range c.processes {
			wg.Go(func() { _ = p.table.Run(ctx) })
			wg.Go(func() { _ = p.detector.Run(ctx) })
			if confirming[p.DataCentre]++; confirming[p.DataCentre] <= confirmers {
				wg.Go(func() { c.confirm(ctx, p) })
			}
		}
		time.Sleep(startTime)
		test(c)
		cancel()
		wg.Wait()
	})
}

// confirm lets the store confirm the configuration of a process that is not cut off.
func (c *cluster) confirm(ctx context.Context, p *process) {
	for ctx.Err() == nil {
		c.mu.Lock()
		cut := c.deaf[p.Host] || c.mute[p.Host]
		c.mu.Unlock()
		if !cut {
			p.freshness.Confirm(slugclock.Now())
		}
		time.Sleep(confirmInterval)
	}
}

// listed returns the smallest number of gates that a gate's lookup returns, and how many of
// the lookups contain a host. The lookups of that host do not count.
func (c *cluster) listed(except slugname.Host) (smallest, containing int) {
	smallest = len(c.processes)
	for _, p := range c.processes {
		if p.Kind != slugmember.KindGate || p.Host == except {
			continue
		}
		list := p.directory.Lookup("").Addresses
		smallest = min(smallest, len(list))
		for _, a := range list {
			if a.Address == string(except) {
				containing++
			}
		}
	}
	return smallest, containing
}

// requireAllGates checks that all lookups return all gates for half a minute.
func (c *cluster) requireAllGates(t *testing.T, hosts int) {
	t.Helper()
	for second := range 30 {
		smallest, _ := c.listed("")
		assert.Assert(t, smallest == hosts, "after %d s a lookup returned %d of %d gates", second, smallest, hosts)
		time.Sleep(time.Second)
	}
}

// TestLookupsLackSoundGates guards against lookups that leave out gates although all of them
// are sound, because what one process knows of another is older than what that one knows.
func TestLookupsLackSoundGates(t *testing.T) {
	for _, hosts := range []int{5, 9, 30} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			withCluster(t, hosts, func(c *cluster) { c.requireAllGates(t, hosts) })
		})
	}
}

// TestLookupsOfManyHostsLackSoundGates guards against the same in a system whose rows do not
// fit into one digest.
func TestLookupsOfManyHostsLackSoundGates(t *testing.T) {
	hosts := 150
	if testing.Short() {
		hosts = 50
	}
	withCluster(t, hosts, func(c *cluster) {
		time.Sleep(30 * time.Second)
		c.requireAllGates(t, hosts)
	})
}

// TestLookupReturnsGateThatIsCutOff guards against callers that are sent to a gate that
// refuses their keys, because it gets no word from the others or cannot reach them.
func TestLookupReturnsGateThatIsCutOff(t *testing.T) {
	for _, test := range []struct {
		name       string
		deaf, mute bool
	}{{"it hears nobody", true, false}, {"nobody hears it", false, true}, {"both", true, true}} {
		t.Run(test.name, func(t *testing.T) {
			slugknownfailures.Skip(t)
			withCluster(t, 9, func(c *cluster) {
				c.cut("host-0", test.deaf, test.mute)
				time.Sleep(cutOffTime)
				for range 10 {
					smallest, containing := c.listed("host-0")
					assert.Equal(t, containing, 0)
					assert.Equal(t, smallest, 8)
					time.Sleep(time.Second)
				}
				c.cut("host-0", false, false)
				time.Sleep(startTime)
				smallest, _ := c.listed("")
				assert.Equal(t, smallest, 9)
			})
		})
	}
}

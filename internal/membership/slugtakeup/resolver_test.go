package slugtakeup

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugorigin"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// limit is how long a stream may last in the tests.
const limit = 5 * time.Second

// cluster connects resolvers. Processes that are down answer nobody.
type cluster struct {
	mu        sync.Mutex
	resolvers map[slugname.Process]*Resolver
	order     []slugname.Process
	down      map[slugname.Process]bool
}

// newCluster returns n resolvers that know each other.
func newCluster(n int) *cluster {
	c := &cluster{resolvers: map[slugname.Process]*Resolver{}, down: map[slugname.Process]bool{}}
	for i := range n {
		c.add(slugname.Process('a' + rune(i)))
	}
	return c
}

// unavailable returns the backend of a store that does not answer.
func unavailable() *slugstore.Backend {
	return &slugstore.Backend{
		Get: func(context.Context, string) (slugstore.Value, error) {
			return slugstore.Value{}, slugstore.ErrUnavailable
		},
		Write: func(context.Context, string, slugstore.Version, []byte) (slugstore.Version, error) {
			return 0, slugstore.ErrUnavailable
		},
	}
}

// add starts a process that knows nothing.
func (c *cluster) add(self slugname.Process) *Resolver {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := New(Config{
		Memory: slugorigin.New(), Store: slugstore.New(slugstore.Config{Backend: unavailable()}), Rank: func(string) int { return 0 }, Log: slugevent.New(io.Discard, logrus.InfoLevel, ""),
		Limit: func() time.Duration { return limit },
		Peers: func(subject string, n int) (out []slugmember.Record) {
			c.mu.Lock()
			defer c.mu.Unlock()
			var others []slugname.Process
			for _, p := range c.order {
				if p != self {
					others = append(others, p)
				}
			}
			for _, p := range slugmember.HighestRanked(subject, others, n) {
				out = append(out, slugmember.Record{Process: p})
			}
			return out
		},
		Call: func(ctx context.Context, to slugmember.Record, m slugpeer.Message) (slugpeer.Message, error) {
			c.mu.Lock()
			peer, down := c.resolvers[to.Process], c.down[to.Process]
			c.mu.Unlock()
			if down {
				<-ctx.Done()
				return slugpeer.Message{}, errors.New("no answer")
			}
			if m.Origins != nil {
				peer.Merge(m.Origins)
				return slugpeer.Message{}, nil
			}
			a, observed := peer.Serve(*m.FindOrigin)
			return slugpeer.Message{Origin: &a, Observed: observed}, nil
		},
	})
	c.resolvers[self] = r
	c.order = append(c.order, self)
	return r
}

// fail ends processes.
func (c *cluster) fail(processes ...slugname.Process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range processes {
		c.down[p] = true
	}
}

// observe lets all processes see versions.
func (c *cluster) observe(versions ...slugname.SoftwareVersion) {
	for _, r := range c.resolvers {
		see(r, versions...)
	}
}

// see lets a process see versions in a list that is current.
func see(r *Resolver, versions ...slugname.SoftwareVersion) {
	r.cfg.Memory.Observe("llm", versions, time.Now())
	r.cfg.Memory.Confirm(slugclock.Now())
}

// Guards against a version that is guessed, and against one that is not found although a
// process knows it.
func TestFind(t *testing.T) {
	t.Cleanup(slugclock.IgnoreSuspensions())
	for _, test := range []struct {
		name string
		// play returns the process at which the stream is taken up.
		play func(c *cluster) *Resolver
		want Answer
		// within bounds the time of the answer.
		within time.Duration
	}{
		{"one version", func(c *cluster) *Resolver { return c.resolvers["a"] }, Answer{"v1", SourceOnlyVersion, []slugname.SoftwareVersion{"v1"}}, 0},
		{"one version, some processes are down", func(c *cluster) *Resolver {
			c.fail("b", "c")
			return c.resolvers["a"]
		}, Answer{"v1", SourceOnlyVersion, []slugname.SoftwareVersion{"v1"}}, 0},
		{"one version, the process has just started", func(c *cluster) *Resolver {
			r := c.add("new")
			see(r, "v1")
			return r
		}, Answer{"v1", SourceOnlyVersion, []slugname.SoftwareVersion{"v1"}}, 0},
		{"one version, all processes have just started", func(c *cluster) *Resolver {
			c.fail(c.order...)
			r := c.add("new")
			see(r, "v1")
			return r
		}, Answer{"", SourceUnknown, []slugname.SoftwareVersion{"v1"}}, askTimeout},
		{"a peer has seen another version", func(c *cluster) *Resolver {
			see(c.resolvers["b"], "v2")
			c.fail("c", "d")
			return c.resolvers["a"]
		}, Answer{"", SourceUnknown, []slugname.SoftwareVersion{"v1", "v2"}}, askTimeout},
		{"the process that began it takes it up", func(c *cluster) *Resolver {
			c.observe("v1", "v2")
			c.resolvers["a"].Began("llm", "id", "v2")
			return c.resolvers["a"]
		}, Answer{"v2", SourceOwn, []slugname.SoftwareVersion{"v1", "v2"}}, 0},
		{"another process takes it up", func(c *cluster) *Resolver {
			c.observe("v1", "v2")
			c.resolvers["a"].Began("llm", "id", "v2")
			time.Sleep(2 * checkInterval)
			c.fail("a")
			return c.add("new")
		}, Answer{"v2", SourcePeer, []slugname.SoftwareVersion{"v1", "v2"}}, askTimeout},
		{"it began before the versions were mixed", func(c *cluster) *Resolver {
			c.resolvers["a"].Began("llm", "id", "v1")
			time.Sleep(time.Second)
			c.observe("v1", "v2")
			time.Sleep(2 * checkInterval)
			c.fail("a")
			return c.add("new")
		}, Answer{"v1", SourcePeer, []slugname.SoftwareVersion{"v1", "v2"}}, askTimeout},
		{"nobody knows it", func(c *cluster) *Resolver {
			c.observe("v1", "v2")
			return c.resolvers["d"]
		}, Answer{"", SourceUnknown, []slugname.SoftwareVersion{"v1", "v2"}}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				c := newCluster(5)
				for range 2 * limit / time.Second {
					c.observe("v1")
					time.Sleep(time.Second)
				}
				c.observe("v1")
				for _, r := range c.resolvers {
					go func() { _ = r.Run(ctx) }()
				}
				r := test.play(c)
				asked := time.Now()
				assert.DeepEqual(t, r.Find(ctx, "llm", "id"), test.want)
				assert.Assert(t, time.Since(asked) <= test.within, "%s", time.Since(asked))
				cancel()
				synctest.Wait()
			})
		})
	}
}

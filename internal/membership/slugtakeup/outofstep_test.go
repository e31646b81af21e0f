package slugtakeup

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugorigin"
	"gotest.tools/v3/assert"
)

// observeFrom lets processes see versions each second, once begun after a delay, until ctx
// ends or for the given time.
func (c *cluster) observeFrom(ctx context.Context, delay, span time.Duration, versions []slugname.SoftwareVersion, processes ...slugname.Process) {
	for _, p := range processes {
		r := c.resolvers[p]
		go func() {
			time.Sleep(delay)
			for begun := time.Now(); ctx.Err() == nil && time.Since(begun) < span; time.Sleep(time.Second) {
				see(r, versions...)
			}
		}()
	}
}

// background returns a context for goroutines, and stop, which ends them and waits for them.
func background(t *testing.T) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	return ctx, func() {
		cancel()
		time.Sleep(2 * time.Second)
		synctest.Wait()
	}
}

// store lists versions in the store as of now.
func (c *cluster) store(t *testing.T, processes []slugname.Process, versions ...slugname.SoftwareVersion) {
	t.Helper()
	for _, p := range processes {
		r := c.resolvers[p]
		r.mu.Lock()
		r.stored["llm"] = storedList{versionList: versionList{Service: "llm", Versions: versions, Era: r.cfg.Store.Era()}}
		r.listedAt = slugclock.Now()
		r.mu.Unlock()
	}
}

// TestOutOfStepProcessGuessesVersion guards against a process that takes the only version that
// it has seen for the one that began a stream, although it may have missed another, and
// against processes in touch that do not find the version. v2 joins at 11 s, and a stream
// begins at it at b; a is asked for the stream.
func TestOutOfStepProcessGuessesVersion(t *testing.T) {
	t.Cleanup(slugclock.IgnoreSuspensions())
	all := []slugname.Process{"a", "b", "c", "d", "e"}
	v1, both := []slugname.SoftwareVersion{"v1"}, []slugname.SoftwareVersion{"v1", "v2"}
	const ever = time.Hour
	for _, test := range []struct {
		name string
		// play lets time pass from the moment at which v2 joins.
		play func(ctx context.Context, t *testing.T, c *cluster)
		want Source
	}{
		{"cut off from all", func(_ context.Context, _ *testing.T, c *cluster) {
			c.fail("b", "c", "d", "e")
		}, SourceUnknown},
		{"cut off from all, asked late", func(_ context.Context, _ *testing.T, c *cluster) {
			c.fail("b", "c", "d", "e")
			time.Sleep(4 * time.Second)
		}, SourceUnknown},
		{"cut off with a zone of peers", func(_ context.Context, _ *testing.T, c *cluster) {
			c.fail("b", "e")
			time.Sleep(500 * time.Millisecond)
		}, SourceUnknown},
		{"frozen, peers do not answer yet", func(_ context.Context, _ *testing.T, c *cluster) {
			time.Sleep(3 * time.Second)
			c.fail("b", "c", "d", "e")
		}, SourceUnknown},
		{"frozen, then the list is confirmed", func(ctx context.Context, _ *testing.T, c *cluster) {
			time.Sleep(3 * time.Second)
			c.fail("b", "c", "d", "e")
			c.observeFrom(ctx, 200*time.Millisecond, ever, both, "a")
		}, SourceUnknown},
		{"frozen while v2 joins and leaves, then the list is confirmed", func(ctx context.Context, _ *testing.T, c *cluster) {
			time.Sleep(4 * time.Second)
			c.fail("b", "c", "d", "e")
			c.observeFrom(ctx, 0, ever, v1, "a")
			time.Sleep(time.Second)
		}, SourceUnknown},
		{"all observe an old list", func(_ context.Context, _ *testing.T, c *cluster) {
			for range 4 {
				time.Sleep(500 * time.Millisecond)
				for _, p := range []slugname.Process{"a", "c", "d"} {
					c.resolvers[p].cfg.Memory.Observe("llm", v1, time.Now())
				}
			}
			c.fail("b", "e")
		}, SourceUnknown},
		{"the list in the store is old", func(ctx context.Context, t *testing.T, c *cluster) {
			c.store(t, all, "v1")
			time.Sleep(4 * time.Second)
			c.fail("b", "c", "d", "e")
			c.observeFrom(ctx, 0, ever, v1, "a")
			time.Sleep(time.Second)
		}, SourceUnknown},
		{"in touch with the process that began it", func(context.Context, *testing.T, *cluster) {}, SourceOwn},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := background(t)
				defer stop()
				c := newCluster(len(all))
				c.observeFrom(ctx, 0, 11*time.Second, v1, all...)
				time.Sleep(11 * time.Second)
				for _, p := range []slugname.Process{"b", "e"} {
					see(c.resolvers[p], both...)
				}
				c.resolvers["b"].Began("llm", "id", "v2")
				if test.want != SourceUnknown {
					for _, r := range c.resolvers {
						go func() { _ = r.Run(ctx) }()
					}
					time.Sleep(2 * checkInterval)
				}
				test.play(ctx, t, c)
				got := c.resolvers["a"].Find(ctx, "llm", "id")
				assert.Equal(t, got.Source, test.want, "%v", got)
				assert.Equal(t, got.Version == "v2", test.want == SourceOwn)
			})
		})
	}
}

// TestProcessInTouchRefusesTakeUp guards against processes in touch that wait too long for the
// confirmation that there was one version only, or do not find it.
func TestProcessInTouchRefusesTakeUp(t *testing.T) {
	t.Cleanup(slugclock.IgnoreSuspensions())
	v1 := []slugname.SoftwareVersion{"v1"}
	for _, test := range []struct {
		name string
		// play returns the process at which the stream is taken up.
		play func(ctx context.Context, t *testing.T, c *cluster) *Resolver
	}{
		{"no release", func(_ context.Context, _ *testing.T, c *cluster) *Resolver { return c.resolvers["a"] }},
		{"all others have failed", func(_ context.Context, _ *testing.T, c *cluster) *Resolver {
			c.fail("b", "c", "d", "e")
			return c.resolvers["a"]
		}},
		{"confirmations are late, but do not end", func(_ context.Context, _ *testing.T, c *cluster) *Resolver {
			time.Sleep(900 * time.Millisecond)
			c.fail("b", "c", "d")
			return c.resolvers["a"]
		}},
		{"it has just started", func(ctx context.Context, _ *testing.T, c *cluster) *Resolver {
			c.fail("b")
			r := c.add("new")
			c.observeFrom(ctx, 0, time.Hour, v1, "new")
			time.Sleep(1200 * time.Millisecond)
			return r
		}},
		{"all were killed, and the store lists one version", func(ctx context.Context, t *testing.T, c *cluster) *Resolver {
			c.fail(c.order...)
			r := c.add("new")
			c.observeFrom(ctx, 0, time.Hour, v1, "new")
			time.Sleep(50 * time.Millisecond)
			c.store(t, []slugname.Process{"new"}, "v1")
			return r
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := background(t)
				defer stop()
				c := newCluster(5)
				for i, p := range c.order {
					c.observeFrom(ctx, time.Duration(i)*200*time.Millisecond, time.Hour, v1, p)
				}
				time.Sleep(11*time.Second + 100*time.Millisecond)
				r := test.play(ctx, t, c)
				asked := time.Now()
				got := r.Find(ctx, "llm", "id")
				assert.DeepEqual(t, got, Answer{"v1", SourceOnlyVersion, v1})
				assert.Assert(t, time.Since(asked) <= time.Second, "%s", time.Since(asked))
			})
		})
	}
}

// TestStoreOutageLosesStreams guards against take-ups that are refused while no list can be
// confirmed, although the process that began the stream was in touch with others.
func TestStoreOutageLosesStreams(t *testing.T) {
	t.Cleanup(slugclock.IgnoreSuspensions())
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := background(t)
		defer stop()
		c := newCluster(5)
		c.observeFrom(ctx, 0, 11*time.Second, []slugname.SoftwareVersion{"v1"}, c.order...)
		for _, r := range c.resolvers {
			go func() { _ = r.Run(ctx) }()
		}
		time.Sleep(11 * time.Second)
		c.resolvers["b"].Began("llm", "id", "v1")
		_, known := c.resolvers["a"].cfg.Memory.Find(slugorigin.NewKey("llm", "id"), time.Now())
		assert.Assert(t, !known)
		time.Sleep(4 * time.Second)
		c.fail("b")
		assert.Equal(t, c.resolvers["a"].Find(ctx, "llm", "id").Version, slugname.SoftwareVersion("v1"))
		assert.Equal(t, c.resolvers["a"].Find(ctx, "llm", "other").Source, SourceUnknown)
	})
}

// TestStreamIsNotToldAsVersionLeaves guards against a stream that peers are not told of, because
// one version is left, while their answers still count the other.
func TestStreamIsNotToldAsVersionLeaves(t *testing.T) {
	t.Cleanup(slugclock.IgnoreSuspensions())
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := background(t)
		defer stop()
		c := newCluster(5)
		c.observeFrom(ctx, 0, 10500*time.Millisecond, []slugname.SoftwareVersion{"v1"}, c.order...)
		c.observeFrom(ctx, 0, time.Hour, []slugname.SoftwareVersion{"v2"}, c.order...)
		for _, r := range c.resolvers {
			go func() { _ = r.Run(ctx) }()
		}
		// v1 was last seen at 10 s.
		time.Sleep(10*time.Second + limit + checkInterval/2)
		c.resolvers["b"].Began("llm", "id", "v2")
		time.Sleep(checkInterval)
		c.fail("b")
		assert.Equal(t, c.resolvers["a"].Find(ctx, "llm", "id").Version, slugname.SoftwareVersion("v2"))
	})
}

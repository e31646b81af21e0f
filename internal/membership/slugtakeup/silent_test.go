package slugtakeup

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugorigin"
	"gotest.tools/v3/assert"
)

// newMixedCluster returns seven running processes that have observed two versions for 11 s.
func newMixedCluster(ctx context.Context) *cluster {
	c := newCluster(7)
	c.observeFrom(ctx, 0, time.Hour, []slugname.SoftwareVersion{"v1", "v2"}, c.order...)
	for _, r := range c.resolvers {
		go func() { _ = r.Run(ctx) }()
	}
	time.Sleep(11 * time.Second)
	return c
}

// TestStreamsAreToldToSilentPeers guards against streams that are lost with the host that
// began them, since peers that stand still count among those that were told.
func TestStreamsAreToldToSilentPeers(t *testing.T) {
	t.Cleanup(slugclock.IgnoreSuspensions())
	for _, test := range []struct {
		name string
		// silentFor is how long two peers have stood still as the streams begin, and wait the
		// time from then until all processes but one fail.
		silentFor, wait time.Duration
	}{
		{"known to be silent", time.Second, 2 * spreadDelay},
		{"not known to be silent", 0, 2*spreadDelay + 2*ackTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := background(t)
				defer stop()
				c := newMixedCluster(ctx)
				const streams = 100
				b := c.resolvers["b"]
				began := func(from, to int) {
					for n := from; n < to; n++ {
						b.Began("llm", fmt.Sprint(n), "v2")
					}
				}
				c.fail("f", "g")
				if test.silentFor > 0 {
					began(streams, 2*streams)
				}
				time.Sleep(test.silentFor)
				began(0, streams)
				time.Sleep(test.wait)
				c.fail("b", "c", "d", "e")
				known := 0
				for n := range streams {
					if _, ok := c.resolvers["a"].cfg.Memory.Find(slugorigin.NewKey("llm", fmt.Sprint(n)), time.Now()); ok {
						known++
					}
				}
				assert.Equal(t, known, streams)
			})
		})
	}
}

// TestRecoveredPeerIsToldFirst guards against peers that count as silent after they have
// answered again, so that ever more peers are told of each stream.
func TestRecoveredPeerIsToldFirst(t *testing.T) {
	t.Cleanup(slugclock.IgnoreSuspensions())
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := background(t)
		defer stop()
		c := newMixedCluster(ctx)
		began := func(id string) (told int) {
			c.resolvers["b"].Began("llm", id, "v2")
			time.Sleep(2*checkInterval + ackTimeout + callTimeout)
			for p, r := range c.resolvers {
				if _, ok := r.cfg.Memory.Find(slugorigin.NewKey("llm", id), time.Now()); ok && p != "b" {
					told++
				}
			}
			return told
		}
		c.fail("c", "d", "e", "f", "g")
		for n := range 20 {
			assert.Equal(t, began(fmt.Sprint("down ", n)), 1)
		}
		c.mu.Lock()
		clear(c.down)
		c.mu.Unlock()
		for n := range 20 {
			began(fmt.Sprint("up ", n))
		}
		for n := range 20 {
			assert.Equal(t, began(fmt.Sprint("later ", n)), copies)
		}
	})
}

package slughost

import (
	"context"
	"net/http"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/fleet/slugcachefeed"
	"golang.org/x/sync/errgroup"
)

const (
	// engineListInterval is the time between looks at which engines are to be read.
	engineListInterval = 500 * time.Millisecond
	// eventIdleConnections bounds the idle connections to one engine.
	eventIdleConnections = 1
)

// followCaches follows what engines tell of the prompt parts that they keep: of all of
// them as long as all hosts together stay within the number of readers that an engine
// allows, else of those that this process answers for.
func (h *Host) followCaches(ctx context.Context, g *errgroup.Group) error {
	client := &http.Client{Transport: &http.Transport{DialContext: h.network.DialWithin(dialTimeout), MaxIdleConnsPerHost: eventIdleConnections}}
	feed := slugcachefeed.New(slugcachefeed.Config{
		Read: func(ctx context.Context, address string, since int64, wait time.Duration) (slugcachefeed.Page, error) {
			return h.adapter.CacheEvents(ctx, client.Do, address, since, wait)
		},
		Apply: h.applyCachePage,
	})
	g.Go(func() error {
		for slugbackoff.Sleep(ctx, engineListInterval) == nil {
			feed.Follow(ctx, h.cacheFeedEngines())
		}
		feed.Wait()
		client.CloseIdleConnections()
		return nil
	})
	return nil
}

// cacheFeedEngines returns the engines that process prompts whose news this process reads.
func (h *Host) cacheFeedEngines() []slugcachefeed.Engine {
	t := h.follower.Table()
	if t == nil {
		return nil
	}
	hosts := h.hostCount()
	var out []slugcachefeed.Engine
	for _, s := range t.Services {
		if s.Engine == nil || s.Engine.MostEventReaders == 0 {
			continue
		}
		all := s.Engine.MostEventReaders >= hosts
		for _, e := range h.usableEndpoints(s.Name, time.Now()) {
			if e.Role == slugplan.RolePrefill && (all || h.owns(e.Name)) {
				out = append(out, slugcachefeed.Engine{Name: e.Name, Address: e.Address, Service: s.Name})
			}
		}
	}
	return out
}

// owns reports whether this process answers for an endpoint.
func (h *Host) owns(e slugname.Endpoint) bool {
	r, known := h.owner(e)
	return known && r.Process == h.member.Self().Process
}

func (h *Host) applyCachePage(e slugcachefeed.Engine, p slugcachefeed.Page, fresh bool) {
	parts := make([]slugplacement.Part, len(p.Changes))
	for i, c := range p.Changes {
		parts[i] = slugplacement.Part{ID: c.Part, Tokens: c.Tokens}
	}
	h.placer(e.Service).CacheTold(e.Name, parts, fresh)
}

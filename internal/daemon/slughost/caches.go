package slughost

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slughttp"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/fleet/slugcachefeed"
	"github.com/sassafraslug/sassafraslug/internal/fleet/slugregistry"
	"golang.org/x/sync/errgroup"
)

const (
	// engineListInterval is the time between updates of the list of engines whose cache
	// events are read.
	engineListInterval = 500 * time.Millisecond
	// eventIdleConnections limits the idle connections to one engine.
	eventIdleConnections = 1
)

// followCaches starts to follow the cache events of engines. It follows all prefill
// engines of a service if an engine allows as many readers as there are hosts, and
// otherwise only the engines that this process owns.
func (h *Host) followCaches(ctx context.Context, g *errgroup.Group) error {
	transport := slughttp.NewTransport(h.dialEndpointWithin(dialTimeout))
	transport.MaxIdleConnsPerHost = eventIdleConnections
	client := &http.Client{Transport: transport}
	read := h.noticing(client.Do)
	feed := slugcachefeed.New(slugcachefeed.Config{
		Read: func(ctx context.Context, e slugcachefeed.Engine, since int64, wait time.Duration) (slugcachefeed.Page, error) {
			if left, leaving := h.notices.Wait(e.Name, e.Incarnation, time.Now()); left > 0 || leaving {
				return slugcachefeed.Page{}, errUnwanted
			}
			askedAt := time.Now()
			page, err := h.adapter.CacheEvents(ctx, read, h.memory.Hold(), e.Address, since, wait)
			if err == nil {
				h.recordStart(e.Address, page.Incarnation, askedAt)
			}
			return page, err
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

// errUnwanted means that an engine wants no calls of this host now.
var errUnwanted = errors.New("engine is leaving or asked to be left alone")

// cacheFeedEngines returns the prefill engines whose cache events this process reads.
func (h *Host) cacheFeedEngines() []slugcachefeed.Engine {
	t := h.follower.Table()
	if t == nil {
		return nil
	}
	hosts := h.hostCount()
	var out []slugcachefeed.Engine
	for _, s := range t.Services {
		if s.Engine == nil || s.Engine.MaxEventReaders == 0 {
			continue
		}
		all := s.Engine.MaxEventReaders >= hosts
		for _, e := range h.usableEndpoints(s.Name, time.Now()) {
			if e.Role == slugplan.RolePrefill && (all || h.owns(e)) {
				out = append(out, slugcachefeed.Engine{Name: e.Name, Incarnation: int64(e.Incarnation), Address: e.Address, Service: s.Name})
			}
		}
	}
	return out
}

// owns reports whether this process owns an endpoint.
func (h *Host) owns(e slugregistry.Endpoint) bool {
	p, ok := h.owners.Owner(e.Name, e.DataCentre)
	return ok && p == h.member.Self().Process
}

// applyCachePage passes changes of an engine's cache to the placer of its service.
func (h *Host) applyCachePage(e slugcachefeed.Engine, p slugcachefeed.Page, fresh bool) {
	parts := make([]slugplacement.Part, len(p.Changes))
	for i, c := range p.Changes {
		parts[i] = slugplacement.Part{ID: c.Part, Tokens: c.Tokens}
	}
	h.placer(e.Service).RecordCacheReport(e.Name, parts, fresh)
}

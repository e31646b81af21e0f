package slughost

import (
	"context"
	"net/http"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slughttp"
	"github.com/sassafraslug/sassafraslug/internal/fleet/slugregistry"
	"github.com/sassafraslug/sassafraslug/internal/fleet/slugstart"
)

// reportTimeout bounds a report that is read to learn the start of an endpoint.
const reportTimeout = time.Second

// newStarts returns the tracker of the endpoints' starts.
func (h *Host) newStarts() *slugstart.Tracker {
	transport := slughttp.NewTransport(h.dialEndpointWithin(reportTimeout))
	// The next report may be that of another start.
	transport.DisableKeepAlives = true
	do := h.noticing((&http.Client{Transport: transport}).Do)
	return slugstart.New(slugstart.Config{
		Dial: h.detour.Dial, ListAge: func() time.Duration { return slugclock.Since(h.origins.Span().To) }, Stated: h.startStated,
		Read: func(address string) (slugregistry.Incarnation, error) {
			if !h.wantsCalls(address) {
				return 0, errUnwanted
			}
			ctx, cancel := context.WithTimeout(h.aborted, reportTimeout)
			defer cancel()
			h.metrics.Add("startReports", 1)
			status, err := h.adapter.Commands.OrderStatus(ctx, do, address)
			return slugregistry.Incarnation(status.Incarnation), err
		},
	})
}

// wantsCalls reports whether no endpoint at an address is leaving or asked to be left alone.
func (h *Host) wantsCalls(address string) bool {
	for _, e := range h.endpointsAt(address) {
		if left, leaving := h.notices.Wait(e.Name, int64(e.Incarnation), time.Now()); left > 0 || leaving {
			return false
		}
	}
	return true
}

// startStated logs an endpoint that states another start than its entry.
func (h *Host) startStated(address string, start slugregistry.Incarnation) {
	for _, e := range h.endpointsAt(address) {
		if e.Incarnation != 0 && e.Incarnation != start {
			h.metrics.Add("startsBeforeEntry", 1)
			h.log.Emit(slugevent.EndpointRestarted, slugevent.Fields{
				"endpoint": e.Name, "service": e.Service, "peer": address, "incarnation": e.Incarnation, "stated": start, "softwareVersion": e.Version,
			})
		}
	}
}

// startKnown, awaitStart, checkStart and recordStart adapt the tracker to the request path.
func (h *Host) startKnown(address string, incarnation int64, since time.Time) bool {
	return h.starts.KnownSince(address, slugregistry.Incarnation(incarnation), since)
}

func (h *Host) awaitStart(address string, incarnation int64) bool {
	return h.starts.Await(address, slugregistry.Incarnation(incarnation))
}

func (h *Host) checkStart(address string, incarnation int64) {
	h.starts.Check(address, slugregistry.Incarnation(incarnation))
}

func (h *Host) recordStart(address string, incarnation int64, sentAt time.Time) {
	h.starts.State(address, slugregistry.Incarnation(incarnation), sentAt)
}

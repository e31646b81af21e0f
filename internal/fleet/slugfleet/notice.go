package slugfleet

import (
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
)

// Responded records what a response says about the endpoint that gave it. Endpoints state no
// incarnation in their responses, so that a response which does not say that the endpoint is
// leaving ends an earlier one that did.
func (f *Fleet) Responded(r slugsend.Response) {
	e, ok := f.endpointAt(r.Address)
	if !ok {
		return
	}
	fields := slugevent.Fields{"endpoint": e.endpoint, "service": e.service, "peer": r.Address}
	if r.Err != nil {
		f.cfg.Log.Error(slugevent.NoticeUnreadable, r.Err, fields)
	}
	if !r.Notice.Leaving && f.notices.RecordReturn(e.endpoint, r.SentAt) {
		f.cfg.Log.Emit(slugevent.EndpointReturned, fields)
	}
	changed := f.notices.Record(e.endpoint, 0, r.Notice, time.Now())
	if changed.Leaving {
		f.cfg.Log.Emit(slugevent.EndpointSaidLeaving, fields)
	}
	if changed.RetryAfter > 0 {
		fields["retryAfterMs"] = changed.RetryAfter.Milliseconds()
		f.cfg.Log.Emit(slugevent.EndpointAskedToWait, fields)
	}
}

// planned is an endpoint of a plan.
type planned struct {
	endpoint slugname.Endpoint
	service  slugname.Service
}

// indexAddresses rebuilds the index of addresses; f.mu must be held.
func (f *Fleet) indexAddresses() {
	f.byAddress = map[string]planned{}
	for _, p := range f.plans {
		for _, e := range p.Endpoints {
			f.byAddress[e.Address] = planned{e.Name, p.Service}
		}
	}
}

// endpointAt returns the endpoint at an address.
func (f *Fleet) endpointAt(address string) (planned, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.byAddress[address]
	return e, ok
}

// wantsReads reports whether an endpoint may be asked for its load now.
func (f *Fleet) wantsReads(e slugname.Endpoint) bool {
	wait, _ := f.notices.Wait(e, 0, time.Now())
	return wait == 0
}

// Wants reports whether an endpoint is planned at an address that neither leaves nor asked to be
// left alone.
func (f *Fleet) Wants(address string) bool {
	e, ok := f.endpointAt(address)
	if !ok {
		return false
	}
	wait, leaving := f.notices.Wait(e.endpoint, 0, time.Now())
	return wait == 0 && !leaving
}

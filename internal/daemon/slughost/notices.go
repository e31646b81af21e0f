package slughost

import (
	"net/http"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/authority/slugcommand"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugnotice"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
	"github.com/sassafraslug/sassafraslug/internal/fleet/slugregistry"
	"github.com/sassafraslug/sassafraslug/internal/request/slugdispatch"
)

// endpointNoticed records what the response to a request says about the endpoint that gave
// it. If another endpoint responded than the one to which the request was sent, the notice
// concerns that one.
func (h *Host) endpointNoticed(s slugname.Service, e slugplacement.Endpoint, head slugdispatch.ResponseHead) {
	if head.NoticeUnreadable {
		h.log.Emit(slugevent.NoticeUnreadable, slugevent.Fields{"endpoint": e.Name, "service": s, "peer": e.Address})
	}
	if head.Notice == (slugnotice.Notice{}) {
		return
	}
	if head.Responder != "" && head.Responder != e.Name {
		for _, other := range h.registry.Endpoints(s) {
			if other.Name == head.Responder {
				h.recordNotice(other, head.Notice)
			}
		}
		return
	}
	h.recordNotice(slugregistry.Endpoint{Name: e.Name, Incarnation: slugregistry.Incarnation(e.Incarnation), Service: s, Address: e.Address}, head.Notice)
}

// recordNotice records what an endpoint says about itself, and takes it out of the choice of
// requests if it is leaving.
func (h *Host) recordNotice(e slugregistry.Endpoint, n slugnotice.Notice) {
	if h.applyNotice(e, n) {
		h.tellNotice(e, n)
	}
}

// applyNotice records a notice and reports whether any of it is new.
func (h *Host) applyNotice(e slugregistry.Endpoint, n slugnotice.Notice) bool {
	changed := h.notices.Record(e.Name, int64(e.Incarnation), n, time.Now())
	fields := slugevent.Fields{"endpoint": e.Name, "incarnation": e.Incarnation, "service": e.Service, "peer": e.Address}
	if changed.RetryAfter > 0 {
		fields["retryAfterMs"] = changed.RetryAfter.Milliseconds()
		h.log.Emit(slugevent.EndpointAskedToWait, fields)
	}
	if changed.Leaving {
		h.log.Emit(slugevent.EndpointSaidLeaving, fields)
		h.updatePlacers([]slugname.Service{e.Service})
	}
	return changed != slugnotice.Notice{}
}

// saidLeaving reports whether an endpoint said in a response to this host that it is leaving.
func (h *Host) saidLeaving(e slugregistry.Endpoint) bool {
	_, leaving := h.notices.Wait(e.Name, int64(e.Incarnation), time.Now())
	return leaving
}

// noticing returns a Do that also records what the responses of endpoints say about them.
func (h *Host) noticing(do slugcommand.Do) slugcommand.Do {
	return func(r *http.Request) (*http.Response, error) {
		resp, err := do(r)
		if err != nil {
			return resp, err
		}
		if n := h.adapter.Codec.DecodeHead(resp).Notice; n != (slugnotice.Notice{}) {
			h.recordNoticeFrom(r.URL.Host, n)
		}
		return resp, nil
	}
}

// recordNoticeFrom records what the endpoint at an address says about itself.
func (h *Host) recordNoticeFrom(address string, n slugnotice.Notice) {
	for _, e := range h.endpointsAt(address) {
		h.recordNotice(e, n)
	}
}

// endpointsAt returns the registered endpoints with an address.
func (h *Host) endpointsAt(address string) (out []slugregistry.Endpoint) {
	for _, s := range h.registry.Services() {
		for _, e := range h.registry.Endpoints(s) {
			if e.Address == address {
				out = append(out, e)
			}
		}
	}
	return out
}

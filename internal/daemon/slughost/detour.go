package slughost

import (
	"context"
	"math"
	"net"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugdetour"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugnotice"
	"github.com/sassafraslug/sassafraslug/internal/fleet/slugregistry"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

// newDetour returns the dialer of connections to endpoints. Orders to engines do not use it: the
// engines would take those through two peers for orders of two holders.
func (h *Host) newDetour() *slugdetour.Dialer {
	return slugdetour.New(slugdetour.Config{
		Direct: h.network.Dial, Peers: h.peersForDetour, Record: h.member.Record, Open: h.transport.Open, Allowed: h.allowsDetour,
		PathChanged: h.pathChanged, Log: h.log,
	})
}

// dialEndpointWithin returns a function that opens connections to endpoints within a time.
func (h *Host) dialEndpointWithin(limit time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		return h.detour.Dial(ctx, network, address)
	}
}

// peersForDetour returns the peers that may open connections for this host.
func (h *Host) peersForDetour() (out []slugdetour.Peer) {
	for _, p := range h.livePeers() {
		if p.Process != h.member.Self().Process {
			out = append(out, slugdetour.Peer{Process: p.Process, LostPaths: p.LostPaths > 0})
		}
	}
	return out
}

// allowsDetour reports whether peers may connect to an address through this host: the host is not
// leaving, and an endpoint is registered there that is not leaving either and has not asked this
// host to be left alone.
func (h *Host) allowsDetour(address string) bool {
	if h.leaving.Load() {
		return false
	}
	endpoints := h.endpointsAt(address)
	for _, e := range endpoints {
		if e.Leaving {
			return false
		}
	}
	return len(endpoints) > 0 && h.wantsCalls(address)
}

// pathChanged forgets the failures of the endpoints at an address whose path was lost or
// restored: they were those of the path.
func (h *Host) pathChanged(address string, _ bool) {
	for _, e := range h.endpointsAt(address) {
		h.placer(e.Service).ForgetFailures(e.Name)
	}
}

// lostPaths returns the number of endpoints that this host reaches only through peers.
func (h *Host) lostPaths() uint32 {
	return uint32(h.detour.Status().Lost)
}

// exportDetours writes metrics about paths to endpoints.
func (h *Host) exportDetours() {
	s := h.detour.Status()
	h.metrics.Set("paths.lost", intVar(s.Lost))
	h.metrics.Set("detours.opened", intVar(int(s.Opened)))
	h.metrics.Set("detours.unopened", intVar(int(s.Unopened)))
	h.metrics.Set("detours.served", intVar(s.Served))
}

// tellNotice tells the peers with which connections to an endpoint are shared what it has said:
// it has said that to them, too.
func (h *Host) tellNotice(e slugregistry.Endpoint, n slugnotice.Notice) {
	notice := slugpeer.EndpointNotice{
		Service: e.Service, Endpoint: e.Name, Incarnation: int64(e.Incarnation), Address: e.Address,
		Leaving: n.Leaving, WaitMs: uint32(min(n.RetryAfter.Milliseconds(), math.MaxUint32)),
	}
	for _, p := range h.detour.Sharing(e.Address) {
		r, known := h.member.Record(p)
		if !known {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(h.aborted, callTimeout)
			defer cancel()
			if _, err := h.transport.Call(ctx, r, slugpeer.Message{Protocol: slugpeer.Protocol, Notices: []slugpeer.EndpointNotice{notice}}); err != nil {
				h.log.Error(slugevent.NoticeUntold, err, slugevent.Fields{"endpoint": e.Name, "process": p})
			}
		}()
	}
}

// noticesOfPeer records what endpoints have said in responses that passed through a peer and
// this host.
func (h *Host) noticesOfPeer(list []slugpeer.EndpointNotice) {
	for _, n := range list {
		h.applyNotice(
			slugregistry.Endpoint{Name: n.Endpoint, Incarnation: slugregistry.Incarnation(n.Incarnation), Service: n.Service, Address: n.Address},
			slugnotice.Notice{Leaving: n.Leaving, RetryAfter: time.Duration(n.WaitMs) * time.Millisecond},
		)
	}
}

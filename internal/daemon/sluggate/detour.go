package sluggate

import (
	"context"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugdetour"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

// newDetour returns the dialer of connections to endpoints. Its functions are called once the gate
// has joined the cluster.
func (g *Gate) newDetour() *slugdetour.Dialer {
	return slugdetour.New(slugdetour.Config{
		Direct: g.network.Dial, Peers: g.peersForDetour, Allowed: g.allowsDetour, Log: g.log,
		Record: func(p slugname.Process) (slugmember.Record, bool) { return g.Member.Record(p) },
		Open: func(ctx context.Context, to slugmember.Record) (slugpeer.Stream, error) {
			return g.Transport.Open(ctx, to)
		},
		PathChanged: func(string, bool) {
			g.Table.Update(func(r *slugpeer.Row) { r.LostPaths = uint32(g.detour.Status().Lost) })
		},
	})
}

// peersForDetour returns the gates that may open connections for this one.
func (g *Gate) peersForDetour() (out []slugdetour.Peer) {
	for _, s := range g.Table.Statuses() {
		if s.Kind == slugmember.KindGate && s.Alive && !s.Leaving && s.Process != g.Member.Self().Process {
			out = append(out, slugdetour.Peer{Process: s.Process, LostPaths: s.LostPaths > 0})
		}
	}
	return out
}

// allowsDetour reports whether peers may connect to an address through this gate: it is that of a
// planned endpoint that wants requests, and the gate is not leaving.
func (g *Gate) allowsDetour(address string) bool {
	return !g.leaving.Load() && g.fleet.Wants(address)
}

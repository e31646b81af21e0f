package sluggate

import (
	"context"
	"strconv"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugsuspect"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

// tellCutOff tells peers whether this gate is cut off, so that their lookups leave it out.
func (g *Gate) tellCutOff(cutOff bool) {
	g.Table.Update(func(r *slugpeer.Row) { r.CutOff = cutOff })
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), leavePropagationTime)
		defer cancel()
		g.Table.Push(ctx)
	}()
}

// maxGatesBefore limits how many gates go before this one in probing a suspected request.
// The later gates learn from the outcome of the earlier ones.
const maxGatesBefore = 3

// gatesBefore returns how many live gates go before this one in probing a suspected request,
// at most maxGatesBefore.
func (g *Gate) gatesBefore(f slugsuspect.Fingerprint) int {
	return min(maxGatesBefore, slugmember.Rank(strconv.FormatUint(f.Hash, 16), g.Member.Self().Process, g.liveGates()))
}

// liveGates returns the gates that are alive.
func (g *Gate) liveGates() []slugname.Process {
	var gates []slugname.Process
	for _, s := range g.Table.Statuses() {
		if s.Kind == slugmember.KindGate && s.Alive {
			gates = append(gates, s.Process)
		}
	}
	return gates
}

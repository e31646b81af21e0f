package slugdispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
	"github.com/sassafraslug/sassafraslug/internal/version/slugrouting"
)

// Preview says where a request would be sent at first, and why. Nothing was sent, announced or
// counted for it.
type Preview struct {
	// Table is the configuration that decided, nil if there is none yet. Route, Service and
	// Workspace are nil if the request is refused before they are known.
	Table     *slugrouting.Table
	Route     *slugrouting.Route
	Service   *slugrouting.Service
	Workspace *slugrouting.Workspace
	// Remaining is the time limit of the request.
	Remaining time.Duration
	// Stages are the stages that were decided, in order.
	Stages []PreviewStage
	// First is the expected time to the first event of a stream, or of a plain response; 0
	// means unknown. It rests on measurements if Measured is set.
	First    time.Duration
	Measured bool
	// Refusal is nil if the request would be sent.
	Refusal *slugrefusal.Refusal
}

// PreviewStage is a stage with the choice of its endpoint.
type PreviewStage struct {
	// Name is "run" for plain requests, "prefill" or "decode".
	Name string
	slugplacement.Preview
}

// Preview decides about a new request as Serve does up to its first attempt. It does not take
// up streams, and does not ask the owners of engines.
func (d *Dispatcher) Preview(ctx context.Context, c *Call) Preview {
	req := &dispatch{Dispatcher: d, call: c}
	var out Preview
	var err error
	if refusal := req.admit(); refusal != nil {
		err = refusal
	} else if req.isGenerated() {
		out.Remaining = req.remaining()
		err = req.previewStream(ctx, &out)
	} else {
		out.Remaining = req.remaining()
		err = req.previewPlain(ctx, &out)
	}
	// All errors of the decisions above are refusals, unless ctx has ended.
	if err != nil && !errors.As(err, &out.Refusal) {
		out.Refusal = slugrefusal.NotRun(slugrefusal.CodeInternal, "%v", err)
	}
	out.Table, out.Route, out.Service, out.Workspace = req.table, req.route, req.service, req.workspace
	return out
}

// previewPlain decides like plain.
func (d *dispatch) previewPlain(ctx context.Context, out *Preview) error {
	now := time.Now()
	p := d.placer.PreviewPlain(d.version, now)
	out.Stages = append(out.Stages, PreviewStage{"run", p})
	if p.Choice == nil {
		return d.callerError(ctx, errNoEndpoint)
	}
	out.First, out.Measured = p.ExpectedAt(p.Choice.Name), d.placer.UsualTime("", now) > 0
	return nil
}

// previewStream decides like stream.
func (d *dispatch) previewStream(ctx context.Context, out *Preview) error {
	now, near := time.Now(), d.call.Prompt.DataCentre
	if d.placer.Accepts(slugplan.RoleDecode, d.version, now) {
		if d.placer.Len(slugplan.RolePrefill) > 0 {
			p := d.placer.PreviewPrefill(d.job(), now)
			out.Stages = append(out.Stages, PreviewStage{"prefill", p})
			if p.Choice == nil {
				return d.callerError(ctx, errNoEndpoint)
			}
			out.First, _ = d.missesDeadline(p.Choice)
			out.Measured, near = p.Choice.Measured, p.Choice.DataCentre
			if refusal := d.refuseOverload(p.Choice); refusal != nil {
				return d.callerError(ctx, refusal)
			}
		} else {
			out.First = d.placer.FirstEventTime(now)
			out.Measured = out.First > 0
		}
	}
	p := d.placer.PreviewDecode(d.job(), near, now)
	out.Stages = append(out.Stages, PreviewStage{"decode", p})
	if p.Choice == nil {
		return d.callerError(ctx, errNoEndpoint)
	}
	return nil
}

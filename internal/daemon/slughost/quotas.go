package slughost

import (
	"context"
	"expvar"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugquota"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugquotaexchange"
	"github.com/sassafraslug/sassafraslug/internal/version/slugrouting"
	"golang.org/x/sync/errgroup"
)

// newQuotas returns the exchange of the quotas of workspaces.
func (h *Host) newQuotas() *slugquotaexchange.Exchange {
	return slugquotaexchange.New(slugquotaexchange.Config{
		Self: h.member.Self().Process, Window: h.settings().QuotaWindow, Overage: h.settings().QuotaOverage, Slack: h.settings().QuotaSlack,
		Record: h.member.Record, Call: h.transport.Call, Log: h.log,
	})
}

// exchangeQuotas starts to share the quotas with peers.
func (h *Host) exchangeQuotas(ctx context.Context, g *errgroup.Group) error {
	g.Go(func() error { return h.quotas.Run(ctx) })
	return nil
}

// setQuotas applies the quotas of a configuration.
func (h *Host) setQuotas(t *slugrouting.Table) {
	limits := map[slugname.Workspace]slugquota.Limit{}
	for _, w := range t.Workspaces {
		if w.Quota != nil {
			limits[w.Name] = slugquota.Limit{Rate: slugquota.Tokens(w.Quota.Rate), Burst: slugquota.Tokens(w.Quota.Burst)}
		}
	}
	h.quotas.SetLimits(limits)
}

// takeQuota takes the cost of a request from the quota of its workspace.
func (h *Host) takeQuota(ctx context.Context, w slugname.Workspace, cost float64) (ok bool, retryAfter time.Duration) {
	v := h.quotas.Take(ctx, w, cost)
	return v.Admitted, v.RetryAfter
}

// returnQuota gives back the cost of a request that did not run. age is the time since it was
// taken.
func (h *Host) returnQuota(w slugname.Workspace, cost float64, age time.Duration) {
	h.quotas.Return(w, cost, age)
}

// exportQuotas writes the figures of the workspaces with a quota into the metrics.
func (h *Host) exportQuotas() {
	for w, s := range h.quotas.Stats() {
		h.metrics.Set("quota.admitted."+string(w), intVar(int(s.Admitted)))
		h.metrics.Set("quota.refused."+string(w), intVar(int(s.Refused)))
		h.metrics.Set("quota.returned."+string(w), intVar(int(s.Returned)))
		available := new(expvar.Float)
		available.Set(float64(s.Available))
		h.metrics.Set("quota.available."+string(w), available)
	}
}

package slugdispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
)

// quotaCost returns the cost of the request, and false if its workspace has no quota.
func (d *dispatch) quotaCost() (float64, bool) {
	if d.workspace == nil || d.workspace.Quota == nil || d.cfg.TakeQuota == nil {
		return 0, false
	}
	return d.workspace.Quota.Cost(d.call.Prompt.Tokens + d.call.Prompt.Output), true
}

// takeQuota refuses a request that exceeds the quota of its workspace.
func (d *dispatch) takeQuota(ctx context.Context) *slugrefusal.Refusal {
	cost, limited := d.quotaCost()
	if !limited {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, d.deadline)
	defer cancel()
	ok, retryAfter := d.cfg.TakeQuota(ctx, d.workspace.Name, cost)
	if ok {
		d.quotaTakenAt = time.Now()
		return nil
	}
	return slugrefusal.NotRun(slugrefusal.CodeLimit, "the quota of workspace %s is exceeded", d.workspace.Name).WithRetryAfter(retryAfter)
}

// returnQuota gives back the cost of a request that did not run at any endpoint. A prompt that
// was processed counts as run, and so does one that may have reached an endpoint when the caller
// disconnected.
func (d *dispatch) returnQuota(err error) {
	cost, limited := d.quotaCost()
	if !limited || err == nil || len(d.ranAt) > 0 || d.prefillAccepted {
		return
	}
	var refusal *slugrefusal.Refusal
	if errors.As(err, &refusal) && refusal.Ran == slugrefusal.RanNo || errors.Is(err, ErrCallerDisconnected) && d.sends == 0 {
		d.cfg.ReturnQuota(d.workspace.Name, cost, time.Since(d.quotaTakenAt))
	}
}

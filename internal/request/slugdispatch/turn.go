package slugdispatch

import (
	"context"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
)

// turnHold is how long the owner of an endpoint may hold its answer to a deferred prompt. Then
// the prompt may turn to another endpoint.
const turnHold = 250 * time.Millisecond

// firstEventLeft returns the time that is left until the first event has to reach the caller.
func (d *dispatch) firstEventLeft() time.Duration {
	if d.firstBy.IsZero() || d.headerWritten {
		return d.remaining()
	}
	return min(d.remaining(), time.Until(d.firstBy))
}

// terms returns the waits that the prompt accepts at an endpoint. A prompt whose prediction does
// not rest on measurements accepts any.
func (d *dispatch) terms(c *slugplacement.Choice) slugplacement.Terms {
	if !c.Measured {
		return slugplacement.Terms{Ready: true}
	}
	now := time.Now()
	left, processing := d.firstEventLeft(), c.Predicted-c.Wait()+d.placer.FirstEventTime(now)
	elapsed := now.Sub(d.call.Received)
	return slugplacement.Terms{
		MaxWait: max(time.Millisecond, left-processing), OnTimeWait: d.route.Objective - elapsed - processing, Deadline: left, Priority: d.route.PriorityFor(d.workspace),
		Aged: elapsed > left, Ready: d.route.Objective <= 0 || d.headerWritten,
	}
}

// awaitTurn waits until a deferred prompt is accepted or declined. Every turnHold it chooses the
// endpoint anew.
func (d *dispatch) awaitTurn(ctx context.Context, c *slugplacement.Choice, exclude []slugname.Endpoint) *slugplacement.Choice {
	if !c.Forecast.Deferred {
		return c
	}
	began, first := time.Now(), c.Forecast.Wait
	for c.Forecast.Deferred && ctx.Err() == nil {
		next, ok := d.askForTurn(ctx, c, exclude)
		c = next
		if !ok {
			break
		}
	}
	d.cfg.Log.Emit(slugevent.PromptDeferred, slugevent.Fields{
		"request": d.call.ID, "route": d.route.Name, "endpoint": c.Name, "firstWaitMs": first.Milliseconds(), "waitMs": c.Forecast.Wait.Milliseconds(),
		"deferredMs": time.Since(began).Milliseconds(), "leftMs": d.firstEventLeft().Milliseconds(), "declined": c.Forecast.Declined,
	})
	return c
}

// askForTurn asks the owner of the chosen endpoint to hold its answer until the prompt has its
// turn. It returns the choice with the owner's answer, or another one if the prompt is still
// deferred, and false if the owner does not answer or there is no other endpoint.
func (d *dispatch) askForTurn(ctx context.Context, c *slugplacement.Choice, exclude []slugname.Endpoint) (*slugplacement.Choice, bool) {
	forecast, ok := d.cfg.Announce(ctx, d.service.Name, c, d.terms(c), turnHold)
	if !ok {
		return c, false
	}
	if other, better := c.ApplyForecast(forecast, exclude, time.Now()); better {
		d.cancelChoice(other)
	}
	if !forecast.Deferred {
		return c, true
	}
	job := d.job()
	job.Counted = true
	next, ok := d.placer.Prefill(job, exclude, time.Now())
	if !ok {
		return c, false
	}
	d.cancelChoice(c)
	return d.announce(ctx, next, exclude), true
}

package slugdispatch

import (
	"context"
	"slices"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slughedge"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/version/slugrouting"
)

// mayHedge reports whether the request may get an extra attempt.
func (d *dispatch) mayHedge() bool { return d.hedger != nil && !d.extraSent && !d.stallReplaced }

// racePlain sends the request to the chosen endpoint and relays the response. If that is slow
// and the route is safe, the request gets an extra attempt.
func (d *dispatch) racePlain(ctx context.Context, c *slugplacement.Choice) (sent bool, err error) {
	if !d.mayHedge() || d.route.Kind != slugrouting.Safe || len(add(slices.Clone(d.ranAt), c.Name)) >= d.route.MaxAttempts {
		return d.attemptPlain(ctx, c)
	}
	now := time.Now()
	class := slughedge.Class{Route: d.route.Name}
	delay, _ := d.hedger.Delay(class, now)
	sent, outrun, err := d.runRace(ctx, c, delay, raceConfig{
		stage: "run", class: class, minRemaining: d.placer.UsualTime("", now),
		spare: func(_ context.Context, f *dispatch) (*slugplacement.Choice, slughedge.Reason) {
			return f.sparePlain(c, delay)
		},
		attempt: func(ctx context.Context, d *dispatch, c *slugplacement.Choice) (bool, error) {
			return d.attemptPlain(ctx, c)
		},
	})
	if outrun != nil {
		d.exclude(outrun.Name)
	}
	return sent, err
}

// sparePlain chooses the endpoint of an extra attempt beside the one at c. If requests of this
// process wait there, it has answered one within maxSilence, which is the time after which
// responses are slow.
func (d *dispatch) sparePlain(c *slugplacement.Choice, maxSilence time.Duration) (*slugplacement.Choice, slughedge.Reason) {
	now := time.Now()
	exclude := append(d.placer.Unfit("", maxSilence, now), d.excluded...)
	spare, ok := d.placer.Plain(d.version, append(exclude, c.Name), now)
	if !ok {
		return nil, slughedge.ReasonEndpoint
	}
	return spare, ""
}

// racePrefill is like attemptPrefill, but a slow prompt gets an extra attempt at another
// endpoint. The KV cache that is not used is released. A failed extra attempt adds its endpoint
// to the excluded ones.
func (d *dispatch) racePrefill(ctx context.Context, c *slugplacement.Choice, exclude *[]slugname.Endpoint, next **replacement) (prefilled *prefillResult, sent bool, err error) {
	if !d.mayHedge() {
		return d.attemptPrefill(ctx, c, *exclude, next)
	}
	class := slughedge.Class{Route: d.route.Name, Size: slughedge.SizeOf(d.call.Prompt.Tokens)}
	delay, ok := d.hedger.Delay(class, time.Now())
	if ok {
		// A prompt that waits for others as long as was predicted is not slow.
		delay = max(delay, c.Predicted)
	}
	excluded := append(slices.Clone(*exclude), c.Name)
	sent, outrun, err := d.runRace(ctx, c, delay, raceConfig{
		stage: "prefill", class: class, role: slugplan.RolePrefill,
		spare: func(ctx context.Context, f *dispatch) (*slugplacement.Choice, slughedge.Reason) {
			return f.sparePrefill(ctx, excluded, delay)
		},
		attempt: func(ctx context.Context, x *dispatch, to *slugplacement.Choice) (bool, error) {
			var replaced *replacement
			p, sent, err := x.attemptPrefill(ctx, to, excluded, &replaced)
			if x == d {
				*next = replaced
			}
			if err != nil {
				return sent, err
			}
			if !x.race.claim(ctx, x, true) {
				x.releaseCache(p)
				return sent, errUnused
			}
			prefilled = p
			return sent, nil
		},
	})
	if outrun != nil {
		*exclude = append(*exclude, outrun.Name)
	}
	return prefilled, sent, err
}

// sparePrefill chooses the endpoint of an extra attempt for a prompt, as sparePlain does, and
// announces the prompt there.
func (d *dispatch) sparePrefill(ctx context.Context, exclude []slugname.Endpoint, maxSilence time.Duration) (*slugplacement.Choice, slughedge.Reason) {
	now := time.Now()
	exclude = append(d.placer.Unfit(slugplan.RolePrefill, 0, now), exclude...)
	c, ok := d.placer.SparePrefill(d.job(), exclude, maxSilence, now)
	if !ok {
		return nil, slughedge.ReasonEndpoint
	}
	c = d.announce(ctx, c, exclude)
	if _, late := d.missesDeadline(c); late || c.Forecast.Deferred {
		d.cancelChoice(c)
		return nil, slughedge.ReasonLate
	}
	return c, ""
}

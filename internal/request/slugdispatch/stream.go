package slugdispatch

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
)

const (
	// stallLook is the time between looks whether an endpoint stands still.
	stallLook = 250 * time.Millisecond
	// answerTime is what the first event takes after the prompt.
	answerTime = 90 * time.Millisecond
	// firstPatience is how long the first event may take once the prompt was
	// processed, before a request that may run again is tried elsewhere.
	firstPatience = 900 * time.Millisecond
	// gapPatience is the number of times the route's longest pause that a stream may be
	// silent before it goes on elsewhere.
	gapPatience = 3
	// leastGapPatience is how long a stream may be silent at least.
	leastGapPatience = 900 * time.Millisecond
	// maxHandleBytes bounds the answer to a prefill call.
	maxHandleBytes = 64 << 10
	// releaseTimeout bounds the removal of a KV cache.
	releaseTimeout = time.Second
	// maxSends bounds the sends of one request, whatever its budget.
	maxSends = 8
)

// stage is one prompt whose KV cache waits at an endpoint.
type stage struct {
	choice *slugplacement.Choice
	handle Handle
}

// stream serves a request of model engines: the prompt at one endpoint, the answer at
// another.
func (x *run) stream(ctx context.Context) error {
	var last error
	for x.arrivals < maxSends {
		if refusal := x.entitled(); refusal != nil && !x.begun && x.ran == 0 {
			return refusal
		}
		s, err := x.prefill(ctx)
		if err == nil {
			err = x.decode(ctx, s)
		}
		if err == nil {
			return nil
		}
		last = err
		if ctx.Err() != nil || errors.Is(err, errStop) {
			break
		}
	}
	return x.failure(ctx, last)
}

// errStop ends the tries of a request.
var errStop = errors.New("request is not tried again")

// stop marks an error after which there is no other try.
func stop(err error) error { return errors.Mark(err, errStop) }

// prefill has the prompt processed. It tries endpoints until one accepts, as far as the
// budget allows. Without an endpoint for prompts it returns a nil stage: the endpoint
// that makes the answer processes the prompt as well.
func (x *run) prefill(ctx context.Context) (*stage, error) {
	if x.placer.Len(slugplan.RolePrefill) == 0 {
		return nil, nil
	}
	exclude := slices.Clone(x.tried)
	var last error
	for range maxSends {
		c, ok := x.placer.Prefill(x.job(), exclude, time.Now())
		if !ok {
			return nil, stop(errors.CombineErrors(last, errNoEndpoint))
		}
		if x.prefilled && !x.again(time.Now()) {
			c.End(slugplacement.Abandoned, time.Now())
			return nil, stop(errors.CombineErrors(last, errBudget))
		}
		c = x.announce(ctx, c, exclude)
		if wait, hopeless := x.hopeless(c); hopeless {
			x.withdraw(c)
			return nil, stop(slugrefusal.NotRun(slugrefusal.CodeOverloaded, "prompts wait for %s", wait.Round(time.Millisecond)).After(x.retryAfter()))
		}
		s, sent, err := x.prefillAt(ctx, c)
		if err == nil {
			x.prefilled = true
			return s, nil
		}
		last = err
		exclude = append(exclude, c.Name)
		if ctx.Err() != nil {
			return nil, stop(err)
		}
		if sent && !x.prefilled && !x.again(time.Now()) {
			return nil, stop(errors.CombineErrors(err, errBudget))
		}
	}
	return nil, stop(last)
}

// maxAnnouncements bounds the endpoints for which a prompt is announced.
const maxAnnouncements = 3

// announce announces a prompt for its endpoint, and for others as long as the ones asked
// turn out to be busier, or to keep less of the prompt, than another is believed to. It
// returns the best of them.
func (x *run) announce(ctx context.Context, c *slugplacement.Choice, exclude []slugname.Endpoint) *slugplacement.Choice {
	if x.cfg.Announce == nil {
		return c
	}
	var asked []*slugplacement.Choice
	exclude = slices.Clone(exclude)
	for range maxAnnouncements {
		a, ok := x.cfg.Announce(ctx, x.service.Name, c)
		if !ok {
			break
		}
		asked = append(asked, c)
		exclude = append(exclude, c.Name)
		next, better := c.Learn(a, exclude, time.Now())
		if !better {
			return x.settle(asked, c)
		}
		c = next
	}
	if len(asked) == 0 {
		return c
	}
	c.End(slugplacement.Abandoned, time.Now())
	best := asked[0]
	for _, a := range asked {
		if a.Before(best) {
			best = a
		}
	}
	return x.settle(asked, best)
}

// withdraw ends a choice to which nothing was sent.
func (x *run) withdraw(c *slugplacement.Choice) {
	c.End(slugplacement.Abandoned, time.Now())
	if c.Told {
		x.cfg.TakeBack(x.service.Name, c, c.Announced)
	}
}

// settle takes all announcements back but that of one choice, which it returns.
func (x *run) settle(asked []*slugplacement.Choice, c *slugplacement.Choice) *slugplacement.Choice {
	for _, a := range asked {
		if a != c {
			x.withdraw(a)
		}
	}
	return c
}

// job returns the request's work.
func (x *run) job() slugplacement.Job {
	j := x.call.Prompt
	j.Priority = x.route.PriorityFor(x.workspace)
	return j
}

// prefillAt has the prompt processed at one endpoint.
func (x *run) prefillAt(ctx context.Context, c *slugplacement.Choice) (s *stage, sent bool, err error) {
	x.where = append(x.where, c.Name)
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer x.watchStall(c, cancel)()
	done := x.cfg.Suspects.Begin(c.Name, x.print, false)
	e, err := x.cfg.Open(callCtx, x.cfg.Codec.Prefill(x.call, x.target(c)))
	if e.Sent {
		x.arrivals++
	}
	var h Handle
	if err == nil {
		h, err = x.readHandle(e)
	}
	done(err == nil)
	c.End(x.judge(ctx, err), time.Now())
	if err != nil {
		e.Drop()
		x.broken(ctx, c, e.Sent, err)
		x.failedAt(c, "prefill", err)
		return nil, e.Sent, err
	}
	x.cfg.Log.Emit(slugevent.EndpointChosen, slugevent.Fields{
		"request": x.call.ID, "endpoint": c.Name, "stage": "prefill", "tokens": x.call.Prompt.Tokens, "cached": c.Cached, "fetchFrom": c.FetchFrom, "told": c.Told,
		"predictedMs": c.Predicted.Milliseconds(), "tookMs": time.Since(c.Began()).Milliseconds(), "processed": h.Tokens,
	})
	return &stage{c, h}, true, nil
}

// hopeless reports whether the first event cannot come in time, as far as is known.
func (x *run) hopeless(c *slugplacement.Choice) (time.Duration, bool) {
	return c.Predicted, c.Predicted+answerTime > x.left()
}

// errStalled ends a call to an endpoint that stands still.
var errStalled = errors.New("endpoint stands still")

// watchStall ends a call when its endpoint stands still. The returned function ends the
// watch.
func (x *run) watchStall(c *slugplacement.Choice, cancel context.CancelCauseFunc) func() {
	var mu sync.Mutex
	var timer *time.Timer
	look := func() {
		mu.Lock()
		defer mu.Unlock()
		if c.Stalled(time.Now()) {
			cancel(errStalled)
			return
		}
		timer.Reset(stallLook)
	}
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(stallLook, look)
	return func() {
		mu.Lock()
		defer mu.Unlock()
		timer.Stop()
	}
}

// readHandle reads the answer to a prefill call.
func (x *run) readHandle(e *slugsend.Exchange) (Handle, error) {
	head := x.cfg.Codec.Head(e.Answer)
	switch {
	case head.ID != "" && head.ID != x.call.ID:
		return Handle{}, errCrossed
	case head.Wrong:
		return Handle{}, errors.Mark(errWrong, errNotRun)
	case head.NotRun:
		return Handle{}, errors.Wrapf(errNotRun, "status %d", head.Status)
	case head.Status != http.StatusOK:
		return Handle{}, errors.Newf("prefill: status %d", head.Status)
	}
	b, err := io.ReadAll(io.LimitReader(e.Answer.Body, maxHandleBytes))
	_ = e.Answer.Body.Close()
	if err != nil {
		return Handle{}, errors.Wrap(err, "read handle")
	}
	return x.cfg.Codec.Handle(b)
}

// decode has the answer made from the KV cache of a stage and relays it.
func (x *run) decode(ctx context.Context, s *stage) error {
	if refusal := x.entitled(); refusal != nil && !x.begun && x.ran == 0 {
		x.release(s)
		return stop(refusal)
	}
	near := x.call.Prompt.DataCentre
	if s != nil {
		near = s.choice.DataCentre
	}
	c, ok := x.placer.Decode(x.job(), near, x.tried, time.Now())
	if !ok {
		x.release(s)
		return stop(errNoEndpoint)
	}
	if x.runSent && !x.again(time.Now()) {
		c.End(slugplacement.Abandoned, time.Now())
		x.release(s)
		return stop(errBudget)
	}
	return x.decodeAt(ctx, c, s)
}

func (x *run) decodeAt(ctx context.Context, c *slugplacement.Choice, s *stage) error {
	x.where = append(x.where, c.Name)
	t := x.target(c)
	if s != nil {
		t.Source = x.cfg.Codec.Source(s.choice.Address, s.handle.ID)
	}
	whole := ctx
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := x.watch(cancel)
	defer watchdog.Stop()
	done := x.cfg.Suspects.Begin(c.Name, x.print, false)
	e, err := x.cfg.Open(ctx, x.cfg.Codec.Run(x.call, t))
	if e.Sent {
		x.arrivals++
		x.runSent = true
	}
	if err == nil {
		err = x.relay(e, watchdog)
	}
	done(err == nil)
	c.End(x.judge(whole, err), time.Now())
	if err == nil {
		return nil
	}
	e.Drop()
	if x.broken(ctx, c, e.Sent, err) {
		x.count() // Most of these began to run.
	}
	x.failedAt(c, "decode", err)
	return x.decodeFailed(ctx, c, s, e.Sent, err)
}

// decodeFailed decides whether there is another try.
func (x *run) decodeFailed(ctx context.Context, c *slugplacement.Choice, s *stage, sent bool, err error) error {
	if !sent || errors.Is(err, errNotRun) {
		x.release(s)
		x.exclude(c.Name)
		return err
	}
	x.ran++
	x.exclude(c.Name)
	if !x.route.Idempotent() || x.ran >= x.route.Attempts {
		return stop(err)
	}
	x.cfg.Log.Emit(slugevent.StreamContinued, slugevent.Fields{"request": x.call.ID, "after": x.lastEvent, "endpoint": c.Name, "reason": context.Cause(ctx)})
	return err
}

// release has a KV cache removed that nobody takes.
func (x *run) release(s *stage) {
	if s == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		// An endpoint that does not answer drops the cache by itself after a while.
		e, err := x.cfg.Open(ctx, x.cfg.Codec.Release(s.choice.Address, s.handle.ID))
		if err != nil {
			x.failedAt(s.choice, "release", err)
			return
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(e.Answer.Body, maxHandleBytes))
		_ = e.Answer.Body.Close()
	}()
}

// watch ends an attempt whose events stay away for too long, if another may follow.
func (x *run) watch(cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{gap: max(leastGapPatience, gapPatience*x.route.Gap)}
	if !x.route.Idempotent() || x.ran+1 >= x.route.Attempts {
		return w
	}
	w.timer = time.AfterFunc(firstPatience, func() { cancel(errSilent) })
	return w
}

// errSilent ends an attempt without events.
var errSilent = errors.New("no event came in time")

// watchdog fires when events stay away; without a timer it never does.
type watchdog struct {
	timer *time.Timer
	gap   time.Duration
}

// Event notes that an event came.
func (w *watchdog) Event() {
	if w.timer != nil {
		w.timer.Reset(w.gap)
	}
}

// Stop ends the watch.
func (w *watchdog) Stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

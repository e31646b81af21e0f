package slugstanding

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	ms        = time.Millisecond
	objective = 150 * ms
	deadline  = 2 * time.Second
	// work is the time in which the engines process one prompt.
	work = 5 * ms
)

var start = time.Unix(1000, 0)

// phase is a part of a load.
type phase struct {
	lasts, interval time.Duration
}

// result counts what became of the prompts of a load.
type result struct {
	onTime, late, refused, missed int
}

// play sends prompts to engines that process them one after another, with and without
// control of the queue.
func play(controlled bool, phases []phase) (r result) {
	q, now, idleAt := New(), start, start
	for _, p := range phases {
		for end := now.Add(p.lasts); now.Before(end); now = now.Add(p.interval) {
			wait := max(0, idleAt.Sub(now))
			if controlled {
				if _, ok := q.Admit(Prompt{Wait: wait, Work: 1}, objective, now); !ok {
					r.refused++
					continue
				}
			}
			switch took := wait + work; {
			case took > deadline:
				r.missed++
				continue
			case took > objective:
				r.late++
			default:
				r.onTime++
			}
			idleAt = now.Add(wait + work)
		}
	}
	return r
}

// TestOverloadIsServedOnTime guards against engines that serve every prompt late while the
// load exceeds them by half for 10 s. As many prompts are served as without refusals.
func TestOverloadIsServedOnTime(t *testing.T) {
	overload := []phase{{2 * time.Second, 8 * ms}, {10 * time.Second, 3 * ms}, {2 * time.Second, 8 * ms}}
	with, without := play(true, overload), play(false, overload)
	t.Logf("with control %+v, without %+v", with, without)
	assert.Assert(t, with.onTime > 8*with.late, "%+v", with)
	assert.Assert(t, with.onTime > 2*without.onTime, "%+v, without control %+v", with, without)
	served := func(r result) int { return r.onTime + r.late }
	assert.Assert(t, float64(served(with)) > 0.8*float64(served(without)), "%+v, without control %+v", with, without)
}

// TestBurstIsNotRefused guards against refusing prompts of a burst that ends soon: all of
// them are served before their deadline.
func TestBurstIsNotRefused(t *testing.T) {
	burst := []phase{{time.Second, 8 * ms}, {70 * ms, 1 * ms}, {3 * time.Second, 8 * ms}, {120 * ms, 2 * ms}, {3 * time.Second, 8 * ms}}
	r := play(true, burst)
	assert.Assert(t, r.refused == 0 && r.missed == 0, "%+v", r)
}

// TestShortPromptsAreAdmitted guards against refusing prompts that hardly lengthen the
// queue, and against a retry time that does not follow from the queue.
func TestShortPromptsAreAdmitted(t *testing.T) {
	q, now := New(), start
	for range 100 {
		now = now.Add(10 * ms)
		_, _ = q.Admit(Prompt{Wait: time.Second, Work: 1}, objective, now)
	}
	assert.Assert(t, q.Standing())
	_, ok := q.Admit(Prompt{Wait: time.Second, Work: 0.1}, objective, now)
	assert.Assert(t, ok)
	retryAfter, ok := q.Admit(Prompt{Wait: time.Second, Work: 1}, objective, now)
	assert.Assert(t, !ok)
	assert.Equal(t, retryAfter, time.Second-objective/2)
	_, ok = q.Admit(Prompt{Wait: time.Hour, Work: 1}, 0, now)
	assert.Assert(t, ok, "a service without objectives refuses nothing")
	for range 200 {
		now = now.Add(10 * ms)
		_, _ = q.Admit(Prompt{Work: 1}, objective, now)
	}
	assert.Assert(t, !q.Standing())
}

package sluglease

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugplatform"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fault is one step of a schedule.
type fault struct {
	Candidate int
	Kind      string
	After     time.Duration
	For       time.Duration
}

const modelCandidates = 3

func schedules() *rapid.Generator[[]fault] {
	one := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			Candidate: rapid.IntRange(0, modelCandidates-1).Draw(t, "candidate"),
			Kind:      rapid.SampledFrom([]string{"cut", "slow", "lose answers", "fast clock", "slow clock", "pause", "down"}).Draw(t, "kind"),
			After:     time.Duration(rapid.IntRange(0, 8000).Draw(t, "after")) * time.Millisecond,
			For:       time.Duration(rapid.IntRange(1, 30000).Draw(t, "for")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 1, 8)
}

// model watches three candidates for one duty.
type model struct {
	mu         sync.Mutex
	active     map[int]Fence
	last       Fence
	taken      int
	violations []string
}

func (m *model) enter(who int, f Fence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for other, fence := range m.active {
		if other != who {
			m.violations = append(m.violations, fmt.Sprintf("%d acts with fence %d while %d acts with fence %d", who, f, other, fence))
		}
	}
	if f < m.last {
		m.violations = append(m.violations, fmt.Sprintf("fence %d after %d", f, m.last))
	}
	if f > m.last {
		m.taken++
	}
	m.last = max(m.last, f)
	m.active[who] = f
}

func (m *model) leave(who int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.active, who)
}

// candidate is a process with its clock and its way to the store.
type candidate struct {
	link *slugplatform.Link
	mu   sync.Mutex
	// rate is how fast its clock goes; since and shown are when that began.
	rate   float64
	since  time.Time
	shown  time.Time
	paused time.Time
}

func (c *candidate) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock()
}

func (c *candidate) clock() time.Time {
	return c.shown.Add(time.Duration(float64(time.Since(c.since)) * c.rate))
}

// setRate changes how fast the clock goes. A lease's margins cover a tenth; a
// monotonic clock that jumps is outside of what a lease can stand.
func (c *candidate) setRate(rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shown, c.since = c.clock(), time.Now()
	c.rate = rate
}

// pausePoint holds the process up while it is paused.
func (c *candidate) pausePoint() {
	c.mu.Lock()
	until := c.paused
	c.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (c *candidate) apply(p *slugplatform.Platform, f fault) {
	switch f.Kind {
	case "cut":
		c.link.Cut(true)
		time.AfterFunc(f.For, func() { c.link.Cut(false) })
	case "slow":
		c.link.Delay(f.For / 10)
		time.AfterFunc(f.For, func() { c.link.Delay(0) })
	case "lose answers":
		c.link.LoseAnswers(1 + int(f.For/(10*time.Second)))
	case "fast clock":
		c.setRate(1.1)
	case "slow clock":
		c.setRate(0.9)
	case "pause":
		c.mu.Lock()
		c.paused = time.Now().Add(f.For)
		c.mu.Unlock()
	case "down":
		p.SetFaults(slugplatform.Faults{Down: true})
		time.AfterFunc(f.For, func() { p.SetFaults(slugplatform.Faults{}) })
	}
}

// work acts a little at a time while the right lasts.
func (c *candidate) work(m *model, who int) func(context.Context, *Right) error {
	return func(ctx context.Context, r *Right) error {
		for ctx.Err() == nil {
			c.pausePoint()
			_ = r.Do(ctx, 50*time.Millisecond, func(ctx context.Context) error {
				m.enter(who, r.Fence)
				defer m.leave(who)
				<-ctx.Done()
				return nil
			})
			time.Sleep(20 * time.Millisecond)
		}
		return nil
	}
}

func play(t *testing.T, schedule []fault) *model {
	m := &model{active: map[int]Fence{}}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := slugplatform.New(slugplatform.Config{})
		var candidates []*candidate
		var wg sync.WaitGroup
		for i := range modelCandidates {
			c := &candidate{link: p.Link(fmt.Sprint(i)), rate: 1, since: time.Now(), shown: time.Now()}
			candidates = append(candidates, c)
			l := New(Config{
				Duty: "model", Self: slugname.Process(fmt.Sprint("p", i)), Host: "h", TTL: 3 * time.Second, Now: c.now, Log: slugevent.Discard(),
				Store: slugstore.New(slugstore.Config{BaseURL: "http://platform", Do: c.link.Do}), Rank: func() int { return i },
			})
			wg.Go(func() { _ = l.Run(ctx, c.work(m, i)) })
		}
		for _, f := range schedule {
			time.Sleep(f.After)
			candidates[f.Candidate].apply(p, f)
		}
		time.Sleep(time.Minute)
		cancel()
		wg.Wait()
		time.Sleep(time.Minute)
	})
	return m
}

// TestModel plays random schedules of cuts, slowness, lost answers, pauses, outages and
// clocks of other rates over three candidates: no two act at a time, and fences never go down.
// SASSAFRASLUG_SCHEDULES plays more than the default.
func TestModel(t *testing.T) {
	// With -short, rapid plays a fifth of them.
	checks := "400"
	if more := os.Getenv("SASSAFRASLUG_SCHEDULES"); more != "" {
		checks = more
	}
	assert.NilError(t, flag.Set("rapid.checks", checks))
	assert.NilError(t, flag.Set("rapid.seed", "1"))
	assert.NilError(t, flag.Set("rapid.nofailfile", "true"))
	taken := 0
	rapid.Check(t, func(rt *rapid.T) {
		m := play(t, schedules().Draw(rt, "schedule"))
		taken += m.taken
		if len(m.violations) > 0 {
			rt.Fatalf("%v", m.violations)
		}
	})
	t.Logf("seed 1, %d claims", taken)
	assert.Assert(t, taken > 60)
}

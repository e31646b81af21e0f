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

// fault is one step of a fault schedule.
type fault struct {
	// Candidate is the index of the affected candidate.
	Candidate int
	Kind      string
	// After is the time since the previous step.
	After time.Duration
	// Length is how long the fault lasts. For "lose answers" it sets the number of
	// responses to drop; changes of the clock rate ignore it.
	Length time.Duration
}

// modelCandidates is the number of candidates that compete.
const modelCandidates = 3

// schedules generates fault schedules of 1 to 8 steps.
func schedules() *rapid.Generator[[]fault] {
	step := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			Candidate: rapid.IntRange(0, modelCandidates-1).Draw(t, "candidate"),
			Kind:      rapid.SampledFrom([]string{"cut", "slow", "lose answers", "fast clock", "slow clock", "pause", "down"}).Draw(t, "kind"),
			After:     time.Duration(rapid.IntRange(0, 8000).Draw(t, "after")) * time.Millisecond,
			Length:    time.Duration(rapid.IntRange(1, 30000).Draw(t, "for")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(step, 1, 8)
}

// exclusionMonitor records which candidates act and reports violations of mutual
// exclusion.
type exclusionMonitor struct {
	mu         sync.Mutex
	active     map[int]Fence
	lastFence  Fence
	claims     int
	violations []string
}

// enter records that a candidate starts to act and reports other candidates that are
// acting and fences that decrease.
func (m *exclusionMonitor) enter(index int, f Fence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for other, fence := range m.active {
		if other != index {
			m.violations = append(m.violations, fmt.Sprintf("%d acts with fence %d while %d acts with fence %d", index, f, other, fence))
		}
	}
	if f < m.lastFence {
		m.violations = append(m.violations, fmt.Sprintf("fence %d after %d", f, m.lastFence))
	}
	if f > m.lastFence {
		m.claims++
	}
	m.lastFence = max(m.lastFence, f)
	m.active[index] = f
}

// leave records that a candidate has stopped acting.
func (m *exclusionMonitor) leave(index int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.active, index)
}

// candidate is a simulated process with its own clock and link to the store.
type candidate struct {
	link *slugplatform.Link
	mu   sync.Mutex
	// rate is the speed of the clock. The clock showed clockBase at rateSince and has
	// run at rate since then.
	rate        float64
	rateSince   time.Time
	clockBase   time.Time
	pausedUntil time.Time
}

// now returns the time that the clock of the candidate shows.
func (c *candidate) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock()
}

// clock is now with mu held.
func (c *candidate) clock() time.Time {
	return c.clockBase.Add(time.Duration(float64(time.Since(c.rateSince)) * c.rate))
}

// setRate changes the speed of the clock. The margin of a lease allows for clocks that run
// a tenth too fast or too slow. Monotonic clocks that jump are not supported.
func (c *candidate) setRate(rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clockBase, c.rateSince = c.clock(), time.Now()
	c.rate = rate
}

// waitWhilePaused blocks while the candidate is paused.
func (c *candidate) waitWhilePaused() {
	c.mu.Lock()
	until := c.pausedUntil
	c.mu.Unlock()
	time.Sleep(time.Until(until))
}

// apply injects one fault.
func (c *candidate) apply(p *slugplatform.Platform, f fault) {
	switch f.Kind {
	case "cut":
		c.link.Cut(true)
		time.AfterFunc(f.Length, func() { c.link.Cut(false) })
	case "slow":
		c.link.Delay(f.Length / 10)
		time.AfterFunc(f.Length, func() { c.link.Delay(0) })
	case "lose answers":
		c.link.LoseResponses(1 + int(f.Length/(10*time.Second)))
	case "fast clock":
		c.setRate(1.1)
	case "slow clock":
		c.setRate(0.9)
	case "pause":
		c.mu.Lock()
		c.pausedUntil = time.Now().Add(f.Length)
		c.mu.Unlock()
	case "down":
		p.SetFaults(slugplatform.Faults{Down: true})
		time.AfterFunc(f.Length, func() { p.SetFaults(slugplatform.Faults{}) })
	}
}

// work performs short actions while the lease is held.
func (c *candidate) work(m *exclusionMonitor, index int) func(context.Context, *Grant) error {
	return func(ctx context.Context, g *Grant) error {
		for ctx.Err() == nil {
			c.waitWhilePaused()
			_ = g.Do(ctx, 50*time.Millisecond, func(ctx context.Context) error {
				m.enter(index, g.Fence)
				defer m.leave(index)
				<-ctx.Done()
				return nil
			})
			time.Sleep(20 * time.Millisecond)
		}
		return nil
	}
}

// runSchedule runs three candidates under a fault schedule.
func runSchedule(t *testing.T, schedule []fault) *exclusionMonitor {
	m := &exclusionMonitor{active: map[int]Fence{}}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := slugplatform.New(slugplatform.Config{})
		var candidates []*candidate
		var wg sync.WaitGroup
		for i := range modelCandidates {
			c := &candidate{link: p.Link(fmt.Sprint(i)), rate: 1, rateSince: time.Now(), clockBase: time.Now()}
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

// TestModel guards against two holders that act at the same time and against fences that
// decrease. It runs random schedules of network cuts, slow links, lost responses,
// pauses, store outages and clocks that run fast or slow against three candidates.
// SASSAFRASLUG_SCHEDULES sets the number of schedules.
func TestModel(t *testing.T) {
	// With -short, rapid runs a fifth of these schedules.
	checks := "400"
	if more := os.Getenv("SASSAFRASLUG_SCHEDULES"); more != "" {
		checks = more
	}
	assert.NilError(t, flag.Set("rapid.checks", checks))
	assert.NilError(t, flag.Set("rapid.seed", "1"))
	assert.NilError(t, flag.Set("rapid.nofailfile", "true"))
	claims := 0
	rapid.Check(t, func(rt *rapid.T) {
		m := runSchedule(t, schedules().Draw(rt, "schedule"))
		claims += m.claims
		if len(m.violations) > 0 {
			rt.Fatalf("%v", m.violations)
		}
	})
	t.Logf("seed 1, %d claims", claims)
	// With fewer claims, the schedules would hardly test changes of the holder.
	assert.Assert(t, claims > 60)
}

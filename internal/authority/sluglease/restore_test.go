package sluglease

import (
	"context"
	"encoding/json"
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
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// restoreFault is one step of a schedule with restores.
type restoreFault struct {
	fault
	// Age is the age of the copy of a restore.
	Age time.Duration
}

// restoreSchedules generates schedules of 1 to 8 steps, most of them restores.
func restoreSchedules() *rapid.Generator[[]restoreFault] {
	step := rapid.Custom(func(t *rapid.T) restoreFault {
		return restoreFault{
			fault: fault{
				Candidate: rapid.IntRange(0, modelCandidates-1).Draw(t, "candidate"),
				Kind:      rapid.SampledFrom([]string{"restore", "restore", "restore", "restart", "release", "cut", "slow", "lose answers", "fast clock", "slow clock", "pause"}).Draw(t, "kind"),
				After:     time.Duration(rapid.IntRange(0, 8000).Draw(t, "after")) * time.Millisecond,
				Length:    time.Duration(rapid.IntRange(1, 30000).Draw(t, "for")) * time.Millisecond,
			},
			Age: time.Duration(rapid.IntRange(0, 20000).Draw(t, "age")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(step, 1, 8)
}

// restoreMonitor also reports shared fences and holders that take turns too quickly.
type restoreMonitor struct {
	exclusionMonitor
	owners map[Fence]int
	// lastAct is when each candidate last acted.
	lastAct map[int]time.Time
	// last is the candidate that acted last.
	last int
}

func (m *restoreMonitor) enter(index int, f Fence) {
	m.exclusionMonitor.enter(index, f)
	m.mu.Lock()
	defer m.mu.Unlock()
	if owner, ok := m.owners[f]; ok && owner != index {
		m.violations = append(m.violations, fmt.Sprintf("%d and %d share fence %d", owner, index, f))
	}
	m.owners[f] = index
	if at, ok := m.lastAct[index]; ok && m.last != index && time.Since(at) < modelTTL {
		m.violations = append(m.violations, fmt.Sprintf("%d acts again %v after it acted, with %d in between", index, time.Since(at), m.last))
	}
	m.lastAct[index], m.last = time.Now(), index
}

// latest returns when any candidate last acted.
func (m *restoreMonitor) latest() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastAct[m.last]
}

// modelTTL is the validity of a lease in the schedules with restores.
const modelTTL = 3 * time.Second

// restorableCandidate is a candidate that can be killed and started again.
type restorableCandidate struct {
	candidate
	index  int
	link   *unreliableLink
	starts int
	lease  *Lease
	kill   func()
	// ineligibleUntil is when the candidate may hold the duty again.
	ineligibleUntil time.Time
}

// start starts a process of the candidate.
func (c *restorableCandidate) start(ctx context.Context, wg *sync.WaitGroup, m *restoreMonitor) {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kill != nil {
		c.kill()
	}
	l := New(Config{
		Duty: "model", Self: slugname.Process(fmt.Sprintf("p%d-%d", c.index, c.starts)), Host: slugname.Host(fmt.Sprint("h", c.index)), TTL: modelTTL, Now: c.now,
		Store: slugstore.New(slugstore.Config{Backend: c.link.backend()}), FirstStart: c.starts == 0, Rank: func() int { return c.index }, Log: slugevent.Discard(),
		Eligible: func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return !time.Now().Before(c.ineligibleUntil)
		},
	})
	c.starts++
	c.lease = l
	c.kill = func() {
		l.Abandon()
		cancel()
	}
	wg.Go(func() {
		_ = l.Run(ctx, func(ctx context.Context, g *Grant) error {
			for ctx.Err() == nil {
				c.waitWhilePaused()
				_ = g.Do(ctx, 50*time.Millisecond, func(ctx context.Context) error {
					m.enter(c.index, g.Fence)
					defer m.leave(c.index)
					<-ctx.Done()
					return nil
				})
				time.Sleep(20 * time.Millisecond)
			}
			return nil
		})
	})
}

// runRestoreSchedule runs three candidates under a schedule with restores.
func runRestoreSchedule(t *testing.T, schedule []restoreFault) *restoreMonitor {
	m := &restoreMonitor{exclusionMonitor: exclusionMonitor{active: map[int]Fence{}}, owners: map[Fence]int{}, lastAct: map[int]time.Time{}}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := newMemoryStore()
		var candidates []*restorableCandidate
		var wg sync.WaitGroup
		for i := range modelCandidates {
			c := &restorableCandidate{candidate: candidate{rate: 1, rateSince: time.Now(), clockBase: time.Now()}, index: i, link: &unreliableLink{store: store}}
			candidates = append(candidates, c)
			c.start(ctx, &wg, m)
		}
		for _, f := range schedule {
			time.Sleep(f.After)
			c := candidates[f.Candidate]
			switch f.Kind {
			case "restore":
				store.restore(f.Length/10, f.Age)
			case "restart":
				c.kill()
				wg.Go(func() {
					time.Sleep(f.Length / 10)
					c.start(ctx, &wg, m)
				})
			case "release":
				c.mu.Lock()
				c.ineligibleUntil = time.Now().Add(f.Length / 3)
				c.mu.Unlock()
				c.lease.Wake()
			case "cut":
				c.link.mu.Lock()
				c.link.cutUntil = time.Now().Add(f.Length)
				c.link.mu.Unlock()
			case "slow":
				c.link.setDelay(f.Length / 10)
				time.AfterFunc(f.Length, func() { c.link.setDelay(0) })
			case "lose answers":
				c.link.mu.Lock()
				c.link.lose = 1 + int(f.Length/(10*time.Second))
				c.link.mu.Unlock()
			default:
				c.apply(nil, f.fault)
			}
		}
		time.Sleep(time.Minute)
		if time.Since(m.latest()) > 5*modelTTL {
			m.violations = append(m.violations, fmt.Sprintf("nobody has acted for %v", time.Since(m.latest())))
		}
		cancel()
		wg.Wait()
		time.Sleep(time.Minute)
	})
	return m
}

// TestModelRestored guards against two holders that act at the same time, that share a
// fence or that take turns, against fences that decrease and against a duty that nobody
// takes up again, when the store is restored from a copy at any moment.
// SASSAFRASLUG_SCHEDULES sets the number of schedules.
func TestModelRestored(t *testing.T) {
	checks := "400"
	if more := os.Getenv("SASSAFRASLUG_SCHEDULES"); more != "" {
		checks = more
	}
	assert.NilError(t, flag.Set("rapid.checks", checks))
	assert.NilError(t, flag.Set("rapid.seed", "1"))
	assert.NilError(t, flag.Set("rapid.nofailfile", "true"))
	claims := 0
	rapid.Check(t, func(rt *rapid.T) {
		m := runRestoreSchedule(t, restoreSchedules().Draw(rt, "schedule"))
		claims += m.claims
		if len(m.violations) > 0 {
			rt.Fatalf("%v", m.violations)
		}
	})
	t.Logf("seed 1, %d claims", claims)
	// With fewer claims, the schedules would hardly test changes of the holder.
	assert.Assert(t, claims > 60)
}

// TestClaimInAnotherEraIsNotUsed guards against a holder whose fence was made for an older
// era than the one in which its claim was stored.
func TestClaimInAnotherEraIsNotUsed(t *testing.T) {
	l := New(Config{
		Duty: "test", Self: "a-1", Host: "a", TTL: 3 * time.Second, FirstStart: true, Rank: func() int { return 0 }, Log: slugevent.Discard(),
		Store: slugstore.New(slugstore.Config{Backend: &slugstore.Backend{
			Get: func(_ context.Context, name string) (slugstore.Value, error) {
				return slugstore.Value{Name: name, Version: slugstore.NewVersion(1, 0)}, nil
			},
			Write: func(context.Context, string, slugstore.Version, []byte) (slugstore.Version, error) {
				return slugstore.NewVersion(2, 7), nil
			},
		}}),
	})
	grant, err := l.tryClaim(t.Context())
	assert.Assert(t, grant == nil && err != nil, "%v", err)
	_, held := l.Status()
	assert.Assert(t, !held)
}

// Guards against a fence that two holders share: a write from an older era takes effect late
// and replaces a claim, and a process that never saw the claim holds the duty next.
func TestFenceIsSharedAfterLateWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		store.era = 2
		fences := map[slugname.Process]Fence{}
		run := func(ctx context.Context, p slugname.Process) *Lease {
			l := New(Config{
				Duty: "test", Self: p, Host: slugname.Host(p), TTL: 3 * time.Second, FirstStart: true, Rank: func() int { return 0 }, Log: slugevent.Discard(),
				Store: slugstore.New(slugstore.Config{Backend: (&unreliableLink{store: store}).backend()}),
			})
			go func() {
				_ = l.Run(ctx, func(ctx context.Context, g *Grant) error {
					fences[p] = g.Fence
					<-ctx.Done()
					return nil
				})
			}()
			return l
		}
		ctx, kill := context.WithCancel(t.Context())
		killed := run(ctx, "b")
		time.Sleep(100 * time.Millisecond)
		killed.Abandon()
		kill()
		late, err := json.Marshal(map[string]any{"change": "late", "body": Record{Duty: "test", Holder: "a", Host: "a", Fence: fenceAfter(1, 7), Era: 1, TTLMs: 3000}})
		assert.NilError(t, err)
		store.mu.Lock()
		_, err = store.write("leases/test", slugstore.NewVersion(1, store.get("leases/test").Version.Revision()), late)
		store.mu.Unlock()
		assert.NilError(t, err)
		ctx, stop := context.WithCancel(t.Context())
		run(ctx, "c")
		time.Sleep(20 * time.Second)
		stop()
		synctest.Wait()
		assert.Assert(t, fences["b"] > 0 && fences["c"] > fences["b"], "%v", fences)
	})
}

package slugsystem_test

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/authority/sluglease"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/operate/slugsystem"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugplatform"
	"gotest.tools/v3/assert"
)

const rolesDuty = sluglease.Duty("roles/assistant/dc-1")

// pauseAt simulates a pause of the process that works on a duty: the first time that a
// holder reaches the step, it is isolated from the network and blocked for the given time.
// The returned function returns the paused host, or an empty name before the pause.
func (r *harness) pauseAt(duty sluglease.Duty, step string, pause time.Duration) (paused func() slugname.Host) {
	// A sync.Once would block other goroutines on a mutex, which stops virtual time.
	var host atomic.Value
	r.setStepHook(func(h slugname.Host, d sluglease.Duty, s string) {
		if d != duty || s != step || !host.CompareAndSwap(nil, h) {
			return
		}
		r.mesh.Isolate(string(h), true)
		time.Sleep(pause)
		r.mesh.Isolate(string(h), false)
	})
	return func() slugname.Host {
		h, _ := host.Load().(slugname.Host)
		return h
	}
}

// hostOtherThan returns a host other than the given one.
func (r *harness) hostOtherThan(not slugname.Host) *slugsystem.Host {
	for _, h := range r.Hosts() {
		if h.Name != not {
			return h
		}
	}
	return nil
}

// A holder of the roles duty is paused at any step of sending an order, for less or more
// than its lease. When it resumes, its orders must not conflict with those of its successor,
// even at engines that ignore fences.
func TestPromiseNoConflictingOrders(t *testing.T) {
	for _, unchecked := range []int{0, 1} {
		for _, step := range []string{"journal.open", "order.journal", "order.send", "order.sent"} {
			for _, pause := range []time.Duration{4 * time.Second, 40 * time.Second} {
				t.Run(subtestName("unchecked %d %s paused %s", unchecked, step, pause), func(t *testing.T) {
					withHarness(t, harnessOptions{uncheckedEvery: unchecked, manifest: twoEngines}, func(t *testing.T, r *harness) {
						if step == "journal.open" {
							first := r.dutyHolder(rolesDuty)
							paused := r.pauseAt(rolesDuty, step, pause)
							r.Kill(first)
							r.waitFor(time.Minute, "the pause at the step", func() bool { return paused() != "" })
						} else {
							paused := r.pauseAt(rolesDuty, step, pause)
							_, err := r.applyChange(r.Hosts()[0], setVersion("assistant", "v2"))
							assert.NilError(t, err)
							r.waitFor(time.Minute, "the pause at the step", func() bool { return paused() != "" })
							// Another change is accepted while the old holder is isolated.
							_, err = r.applyChange(r.hostOtherThan(paused()), setVersion("assistant", "v3"))
							assert.NilError(t, err)
						}
						time.Sleep(time.Minute)
						_, err := r.applyChange(r.Hosts()[0], setVersion("assistant", "v4"))
						assert.NilError(t, err)
						r.waitFor(5*time.Minute, "the roll to v4", func() bool { return r.versionCounts("assistant")["v4"] == 2 })
						assert.DeepEqual(t, r.conflictingOrders(), []string(nil))
					})
				})
			}
		}
	}
}

// All engines crash just before an order is sent to one of them, and so forget the outcomes of
// earlier orders. They must not execute conflicting orders afterwards.
func TestPromiseNoConflictingOrdersEngineCrash(t *testing.T) {
	withHarness(t, harnessOptions{uncheckedEvery: 2, manifest: twoEngines}, func(t *testing.T, r *harness) {
		var once sync.Once
		r.setStepHook(func(_ slugname.Host, d sluglease.Duty, s string) {
			if d == rolesDuty && s == "order.send" {
				once.Do(func() {
					for _, e := range r.Standins.Engines() {
						e.Crash()
					}
				})
			}
		})
		_, err := r.applyChange(r.Hosts()[0], setVersion("assistant", "v2"))
		assert.NilError(t, err)
		r.waitFor(5*time.Minute, "the roll to v2", func() bool { return r.versionCounts("assistant")["v2"] == 2 })
		assert.DeepEqual(t, r.conflictingOrders(), []string(nil))
	})
}

// A duty holder that is cut off from the store loses its lease. Another host must take over
// within 15 s, and no order that the old holder sends afterwards may take effect.
func TestPromiseLostAuthority(t *testing.T) {
	for _, cut := range []string{"from the store", "from all"} {
		t.Run(subtestName("cut %s", cut), func(t *testing.T) {
			withHarness(t, harnessOptions{uncheckedEvery: 2, manifest: twoEngines}, func(t *testing.T, r *harness) {
				old := r.dutyHolder(rolesDuty)
				if cut == "from all" {
					r.mesh.Isolate(string(old.Name), true)
				} else {
					r.mesh.Partition(string(old.Name), "platform", true)
				}
				lost := time.Now()
				r.waitFor(15*time.Second, "the takeover by another host", func() bool {
					h := r.dutyHolder(rolesDuty)
					return h != nil && h != old
				})
				assert.Assert(t, time.Since(lost) < 15*time.Second)
				_, err := r.applyChange(r.hostOtherThan(old.Name), setVersion("assistant", "v2"))
				assert.NilError(t, err)
				time.Sleep(30 * time.Second)
				r.mesh.Isolate(string(old.Name), false)
				r.mesh.Partition(string(old.Name), "platform", false)
				r.waitFor(5*time.Minute, "the roll to v2", func() bool { return r.versionCounts("assistant")["v2"] == 2 })
				for _, e := range r.Standins.Engines() {
					for _, o := range e.Orders() {
						assert.Assert(t, !strings.HasPrefix(o.Holder, string(old.Name)+"-"), "order %s was sent by the old holder", o.Number)
					}
				}
				assert.DeepEqual(t, r.conflictingOrders(), []string(nil))
			})
		})
	}
}

// The holder of the ordering duty is paused while it orders an endpoint from the platform.
// Exactly one replacement must be ordered and fences must not decrease, also if the platform
// checks no fences or accepts no request numbers.
func TestPromiseOneOrderer(t *testing.T) {
	const duty = sluglease.Duty("ordering/home")
	for _, platform := range []slugplatform.Config{
		{HostListLag: 2 * time.Second},
		{HostListLag: 2 * time.Second, OrderingRequestNumbers: true, IgnoreFences: true},
		{HostListLag: 2 * time.Second, IgnoreFences: true},
	} {
		for _, step := range []string{"order.journal", "order.send", "order.sent"} {
			t.Run(subtestName("numbers %t unchecked %t %s", platform.OrderingRequestNumbers, platform.IgnoreFences, step), func(t *testing.T) {
				withHarness(t, harnessOptions{platform: platform, manifest: twoEngines}, func(t *testing.T, r *harness) {
					before := len(r.Standins.Engines())
					paused := r.pauseAt(duty, step, 40*time.Second)
					for name := range r.Standins.Engines() {
						r.Standins.Platform.MarkLeaving(name)
						break
					}
					r.waitFor(time.Minute, "the pause at the step", func() bool { return paused() != "" })
					time.Sleep(90 * time.Second)
					assert.Equal(t, len(r.Standins.Engines()), before+1, "exactly one replacement of the withdrawn endpoint is ordered")
					holders := map[uint64]string{}
					var fence uint64
					for _, o := range r.Standins.Platform.Orders() {
						assert.Assert(t, o.Fence >= fence, "order %s has fence %d after %d", o.Number, o.Fence, fence)
						if h, ok := holders[o.Fence]; ok {
							assert.Equal(t, h, o.Holder, "two holders used fence %d", o.Fence)
						}
						holders[o.Fence], fence = o.Holder, o.Fence
					}
				})
			})
		}
	}
}

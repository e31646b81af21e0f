package slugsystem_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/operate/slugcaller"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugbuffer"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugengine"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugplatform"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
	"gotest.tools/v3/assert"
)

func TestPromiseWholeAnswerEvents(t *testing.T) {
	for _, tt := range []struct {
		name string
		emit func(request string, sequence int, event []byte) [][]byte
	}{
		{"duplicated", func(_ string, _ int, e []byte) [][]byte { return [][]byte{e, e} }},
		{"crossed", func(_ string, n int, e []byte) [][]byte {
			if n == 4 {
				return [][]byte{bytes.ReplaceAll(e, []byte("id: "), []byte("id: another")), e}
			}
			return [][]byte{e}
		}},
		{"reordered", onceAt(3, func([]byte) [][]byte { return nil })},
		{"repeated late", func(_ string, n int, e []byte) [][]byte {
			if n == 6 {
				return [][]byte{[]byte("id: x\n\n"), e}
			}
			return [][]byte{e}
		}},
	} {
		t.Run(named("%s", tt.name), func(t *testing.T) {
			inRig(t, options{engine: slugengine.Config{Emit: tt.emit}}, func(_ *testing.T, r *rig) {
				for _, stream := range []bool{true, false} {
					x := prompt(12, "whole")
					x.Stream = stream
					r.chat(r.caller("dojo-manila", 1), x)
				}
			})
		})
	}
}

// onceAt changes one event of each request on its first way.
func onceAt(n int, f func([]byte) [][]byte) func(string, int, []byte) [][]byte {
	var mu sync.Mutex
	seen := map[string]bool{}
	return func(request string, sequence int, e []byte) [][]byte {
		mu.Lock()
		defer mu.Unlock()
		if sequence == n && !seen[request] {
			seen[request] = true
			return f(e)
		}
		return [][]byte{e}
	}
}

// busy returns the engine that runs a request, once it has made some tokens.
func (r *rig) busy() string {
	for name, e := range r.Stand.Engines() {
		if strings.HasPrefix(name, "assistant") && e.Running() > 0 {
			return name
		}
	}
	return ""
}

func TestPromiseWholeAnswerFaults(t *testing.T) {
	crash := func(r *rig, engine string) { r.Stand.Engine(engine).Crash() }
	for _, tt := range []struct {
		name  string
		after time.Duration
		fault func(r *rig, engine string)
	}{
		{"crash before the first token", 0, crash},
		{"crash in mid-stream", 500 * time.Millisecond, crash},
		{"crash before the last event", 990 * time.Millisecond, crash},
		{"silent connection", 500 * time.Millisecond, func(r *rig, engine string) {
			for _, h := range r.Hosts() {
				r.mesh.Silence(string(h.Name), engine)
			}
		}},
		{"silent engine handler", 500 * time.Millisecond, func(r *rig, engine string) { r.Stand.Engine(engine).Silence() }},
		{"cut from the gate", 500 * time.Millisecond, func(r *rig, engine string) {
			r.mesh.Cut(string(r.Hosts()[0].Name), engine, true)
		}},
	} {
		for _, stream := range []bool{true, false} {
			t.Run(named("%s stream %t", tt.name, stream), func(t *testing.T) {
				inRig(t, options{}, func(_ *testing.T, r *rig) {
					done := make(chan struct{})
					go func() {
						defer close(done)
						x := prompt(100, "the whole lineage")
						x.Stream = stream
						r.chat(r.caller("dojo-manila", 1, gateAddress(r.Hosts()[0])), x)
					}()
					var engine string
					r.await(time.Second, "the start", func() bool { engine = r.busy(); return engine != "" })
					time.Sleep(tt.after)
					tt.fault(r, engine)
					<-done
				})
			})
		}
	}
}

// plainCall sends one call without repetitions.
func plainCall(id, key string) slugcaller.PlainRequest {
	return slugcaller.PlainRequest{Service: "records", Method: http.MethodPost, Path: "/promotions", Body: []byte(id), IdempotencyKey: key}
}

func TestPromiseNotRunIsTrue(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault func(r *rig)
		// ran is what the refusal must say.
		ran string
	}{
		{"endpoint refuses", func(r *rig) { r.plains(func(name string) { r.Stand.Plains()[name].Refuse(true) }) }, "no"},
		{"endpoint unreachable", func(r *rig) {
			r.plains(func(name string) {
				for _, h := range r.Hosts() {
					r.mesh.Cut(string(h.Name), name, true)
				}
			})
		}, "no"},
		{"answer lost after execution", func(r *rig) { r.plains(func(name string) { r.Stand.Plains()[name].DropAnswers(1000) }) }, "unknown"},
		{"connection cut after sending", func(r *rig) {
			r.plains(func(name string) { r.Stand.Plains()[name].SetDelay(2 * time.Second) })
			time.AfterFunc(time.Second, func() {
				r.plains(func(name string) {
					for _, h := range r.Hosts() {
						r.mesh.Silence(string(h.Name), name)
					}
				})
			})
		}, "unknown"},
		{"key not known", func(r *rig) { _, _ = r.change(r.Hosts()[0], withoutKeys("dojo-manila")) }, "no"},
		{"body too large", func(*rig) {}, "no"},
		{"store down at the claim", func(r *rig) { r.Stand.Platform.SetFaults(slugplatform.Faults{Down: true}) }, "no"},
	} {
		t.Run(named("%s", tt.name), func(t *testing.T) {
			inRig(t, options{}, func(t *testing.T, r *rig) {
				time.Sleep(10 * time.Second)
				c := r.caller("dojo-manila", 1)
				_, err := c.Address(r.ctx)
				assert.NilError(t, err)
				tt.fault(r)
				x := plainCall("call-1", "")
				if tt.name == "body too large" {
					x.Body = make([]byte, 17<<20)
				}
				if strings.HasPrefix(tt.name, "store down") {
					x.IdempotencyKey = "key-1"
				}
				ctx, cancel := context.WithTimeout(r.ctx, 5*time.Minute)
				defer cancel()
				_, _, err = c.Plain(ctx, x)
				var refusal *slugcaller.Refusal
				assert.Assert(t, errors.As(err, &refusal), "%v", err)
				assert.Equal(t, refusal.Ran, tt.ran, "%s", refusal)
				executed := r.executions()[string(x.Body)]
				if refusal.Ran == "no" {
					assert.Equal(t, executed, 0, "%s", refusal)
				}
				assert.Assert(t, executed <= 1)
			})
		})
	}
}

// plains does something for every plain service of the cooperative.
func (r *rig) plains(f func(name string)) {
	for name := range r.Stand.Plains() {
		if strings.HasPrefix(name, "records") {
			f(name)
		}
	}
}

func TestPromiseAtMostOnce(t *testing.T) {
	for _, tt := range []struct {
		name  string
		key   string
		fault func(r *rig)
	}{
		{"with a key", "k", func(*rig) {}},
		{"endpoint dies after executing", "k", func(r *rig) { r.plains(func(n string) { r.Stand.Plains()[n].DropAnswers(1) }) }},
		{"endpoint dies after executing, without a key", "", func(r *rig) { r.plains(func(n string) { r.Stand.Plains()[n].DropAnswers(1) }) }},
		{"gate killed after sending", "k", func(r *rig) {
			r.plains(func(n string) { r.Stand.Plains()[n].SetDelay(3 * time.Second) })
			h := r.Hosts()[0]
			time.AfterFunc(time.Second, func() { r.Kill(h) })
		}},
		{"store answer lost at the claim", "k", func(r *rig) {
			r.Stand.Platform.SetFaults(slugplatform.Faults{LoseAnswers: true})
			time.AfterFunc(3*time.Second, func() { r.Stand.Platform.SetFaults(slugplatform.Faults{}) })
		}},
		{"endpoint refuses first", "k", func(r *rig) {
			r.plains(func(n string) { r.Stand.Plains()[n].Refuse(true) })
			time.AfterFunc(2*time.Second, func() { r.plains(func(n string) { r.Stand.Plains()[n].Refuse(false) }) })
		}},
	} {
		t.Run(named("%s", tt.name), func(t *testing.T) {
			inRig(t, options{}, func(t *testing.T, r *rig) {
				// Connections are pooled and die.
				r.chat(r.caller("dojo-manila", 1), prompt(2, "warm"))
				tt.fault(r)
				var wg sync.WaitGroup
				var answered atomic.Int64
				callers := 6
				if tt.key == "" {
					callers = 1
				}
				for n := range callers {
					c := r.caller("dojo-manila", 8, gateAddress(r.Hosts()[n%3]))
					wg.Go(func() {
						ctx, cancel := context.WithTimeout(r.ctx, 4*time.Minute)
						defer cancel()
						status, _, err := c.Plain(ctx, plainCall("promotion", tt.key))
						if err == nil && status == http.StatusOK {
							answered.Add(1)
						}
					})
				}
				wg.Wait()
				executed := r.executions()["promotion"]
				assert.Assert(t, executed <= 1, "executed %d times", executed)
				if answered.Load() > 0 {
					assert.Equal(t, executed, 1)
				}
				t.Logf("executed %d, answered %d of %d", executed, answered.Load(), callers)
			})
		})
	}
}

func TestPromiseAtMostOnceMismatch(t *testing.T) {
	inRig(t, options{}, func(t *testing.T, r *rig) {
		c := r.caller("dojo-manila", 1)
		_, first, err := c.Plain(r.ctx, plainCall("a", "k"))
		assert.NilError(t, err)
		_, second, err := c.Plain(r.ctx, plainCall("a", "k"))
		assert.NilError(t, err)
		assert.Equal(t, string(first), string(second), "a later use gets the first outcome")
		_, _, err = c.Plain(r.ctx, plainCall("b", "k"))
		assert.ErrorContains(t, err, "claimMismatch (ran no)")
		_, _, err = r.caller("dojo-cebu", 1).Plain(r.ctx, plainCall("a", "k"))
		assert.NilError(t, err, "another workspace's equal key is another key")
		assert.Equal(t, r.executions()["a"], 2)
	})
}

func TestPromisePlannedChange(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(t *testing.T, r *rig)
	}{
		{"version roll", func(t *testing.T, r *rig) {
			_, err := r.change(r.Hosts()[0], setVersion("assistant", "v2"))
			assert.NilError(t, err)
			r.await(3*time.Minute, "the roll", func() bool { return r.versions("assistant")["v2"] == 6 })
		}},
		{"endpoint withdrawal", func(_ *testing.T, r *rig) {
			r.Stand.Platform.Withdraw(r.busy())
			time.Sleep(20 * time.Second)
		}},
		{"fewer endpoints", func(t *testing.T, r *rig) {
			before := len(r.Stand.Engines())
			_, err := r.change(r.Hosts()[0], func(m *slugmanifest.Manifest) {
				for i := range m.Services[0].Replicas {
					m.Services[0].Replicas[i].Min, m.Services[0].Replicas[i].Max = 1, 1
				}
			})
			assert.NilError(t, err)
			r.await(3*time.Minute, "the release", func() bool { return len(r.Stand.Engines()) == before-3 })
		}},
		{"key change", func(t *testing.T, r *rig) {
			_, err := r.change(r.Hosts()[0], withoutKeys("parents"))
			assert.NilError(t, err)
		}},
		{"duties moved", func(_ *testing.T, r *rig) {
			h := r.holder(rolesDuty)
			assert.NilError(r.t, r.OperatorsOf(h).Post(r.ctx, "/v1/duties/release?duty=roles/assistant/dc-1", nil, nil))
			released := time.Now()
			r.await(15*time.Second, "the take-over", func() bool { x := r.holder(rolesDuty); return x != nil && x != h })
			r.t.Logf("taken over %s after the order to release", time.Since(released))
		}},
	} {
		t.Run(named("%s", tt.name), func(t *testing.T) {
			inRig(t, options{}, func(t *testing.T, r *rig) {
				var failures slugbuffer.Buffer
				stop := r.strictLoad(12, 60, &failures)
				time.Sleep(3 * time.Second)
				tt.change(t, r)
				time.Sleep(5 * time.Second)
				stop()
				assert.Equal(t, failures.String(), "")
				assert.Assert(t, r.relayed > 1000)
			})
		})
	}
}

// strictLoad sends requests without repetitions, through look-ups, and writes down
// every request that was not answered whole.
func (r *rig) strictLoad(callers, tokens int, failures *slugbuffer.Buffer) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for n := range callers {
		c := r.caller("dojo-manila", 1)
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				x := prompt(tokens+n, "strict")
				a, err := c.Chat(r.ctx, x)
				if err != nil || a.Text != expect(x) {
					_, _ = fmt.Fprintf(failures, "%s: %v\n", a.RequestID, err)
					time.Sleep(time.Second)
				}
				r.mu.Lock()
				r.relayed += int64(x.MaxTokens)
				r.mu.Unlock()
			}
		})
	}
	return func() {
		close(done)
		wg.Wait()
	}
}

func TestPromiseGracefulShutdown(t *testing.T) {
	inRig(t, options{hosts: 9}, func(t *testing.T, r *rig) {
		var failures slugbuffer.Buffer
		stop := r.strictLoad(18, 60, &failures)
		time.Sleep(3 * time.Second)
		for _, h := range r.Hosts() {
			assert.NilError(t, r.Replace(r.ctx, h))
		}
		stop()
		assert.Equal(t, failures.String(), "")
		assert.Equal(t, len(r.Hosts()), 9)
		time.Sleep(3 * time.Minute)
		assert.Equal(t, r.billed().OutputTokens, r.relayed)
	})
}

func TestPromiseOwnWorkspace(t *testing.T) {
	// With one engine all requests meet the same cache.
	inRig(t, options{manifest: onlyAssistant}, func(t *testing.T, r *rig) {
		c := r.caller("dojo-manila", 1)
		secret := prompt(8, strings.Repeat("the same long prompt ", 100))
		r.chat(c, secret)
		r.chat(c, secret)
		time.Sleep(5 * time.Second)
		before := r.cached()
		assert.Assert(t, before > 0, "the second request hits its own workspace's cache")
		r.chat(r.caller("dojo-cebu", 1), secret)
		assert.Equal(t, r.cached(), before, "another workspace hits no cache with the same prompt")
		_, err := r.caller("desk", 1).Chat(r.ctx, secret)
		assert.ErrorContains(t, err, "forbidden")
		assert.Assert(t, !strings.Contains(err.Error(), "manila"))
	})
}

// cached sums the cached tokens that engines reported.
func (r *rig) cached() int {
	n := 0
	for _, e := range r.Stand.Engines() {
		n += e.CachedTokens()
	}
	return n
}

func TestPromisePoison(t *testing.T) {
	inRig(t, options{hosts: 3, engine: slugengine.Config{PoisonMarker: "poison"}}, func(t *testing.T, r *rig) {
		var failures slugbuffer.Buffer
		stop := r.strictLoad(12, 60, &failures)
		time.Sleep(2 * time.Second)
		bad := prompt(4, "poison")
		quarantined := 0
		for n := range 30 {
			_, err := r.caller("parents", 1, gateAddress(r.Hosts()[n%3])).Chat(r.ctx, bad)
			assert.Assert(t, err != nil)
			if strings.Contains(err.Error(), "quarantined") {
				quarantined++
			}
			time.Sleep(200 * time.Millisecond)
		}
		crashes := 0
		for _, e := range r.Stand.Engines() {
			crashes += e.Incarnation()
		}
		assert.Assert(t, crashes <= 2, "%d crashes", crashes)
		assert.Assert(t, quarantined >= 28, "%d refused", quarantined)
		stop()
		assert.Equal(t, failures.String(), "", "innocents finish")
		r.chat(r.caller("parents", 1), prompt(4, "innocent"))
		time.Sleep(20 * time.Minute)
		_, err := r.caller("parents", 1).Chat(r.ctx, bad)
		assert.Assert(t, err != nil)
		after := 0
		for _, e := range r.Stand.Engines() {
			after += e.Incarnation()
		}
		assert.Assert(t, after > crashes, "the quarantine wears off")
	})
}

func TestPromisePoisonFromManyGatesAtOnce(t *testing.T) {
	inRig(t, options{hosts: 3, engine: slugengine.Config{PoisonMarker: "poison"}}, func(t *testing.T, r *rig) {
		var wg sync.WaitGroup
		for n := range 9 {
			wg.Go(func() {
				_, err := r.caller("parents", 1, gateAddress(r.Hosts()[n%3])).Chat(r.ctx, prompt(4, strings.Repeat("poison ", 60)))
				assert.Check(t, err != nil)
			})
		}
		wg.Wait()
		crashed := 0
		for _, e := range r.Stand.Engines() {
			if e.Incarnation() > 0 {
				crashed++
			}
		}
		assert.Assert(t, crashed <= 2, "%d engines crashed", crashed)
	})
}

// With one engine a data centre, a roll that drains all data centres at once leaves
// nothing that takes work.
func TestPromisePlannedChangeOneEngineADataCentre(t *testing.T) {
	one := func(m *slugmanifest.Manifest) {
		for i := range m.Services[0].Replicas {
			m.Services[0].Replicas[i].Min = 1
		}
	}
	inRig(t, options{manifest: one}, func(t *testing.T, r *rig) {
		var failures slugbuffer.Buffer
		stop := r.strictLoad(9, 40, &failures)
		time.Sleep(3 * time.Second)
		_, err := r.change(r.Hosts()[0], setVersion("assistant", "v2"))
		assert.NilError(t, err)
		r.await(5*time.Minute, "the roll", func() bool { return r.versions("assistant")["v2"] == 3 })
		stop()
		assert.Equal(t, failures.String(), "")
	})
}

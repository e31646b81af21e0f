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

// An engine duplicates, drops or mixes up events of a stream. The caller must still receive
// the complete response to its own request.
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
		{"reordered", transformEventOnce(3, func([]byte) [][]byte { return nil })},
		{"repeated late", func(_ string, n int, e []byte) [][]byte {
			if n == 6 {
				return [][]byte{[]byte("id: x\n\n"), e}
			}
			return [][]byte{e}
		}},
	} {
		t.Run(subtestName("%s", tt.name), func(t *testing.T) {
			withHarness(t, harnessOptions{engine: slugengine.Config{RewriteEvent: tt.emit}}, func(_ *testing.T, r *harness) {
				for _, stream := range []bool{true, false} {
					req := chatRequest(12, "whole")
					req.Stream = stream
					r.mustChat(r.newClient("dojo-manila", 1), req)
				}
			})
		})
	}
}

// transformEventOnce returns a RewriteEvent function that transforms the event with sequence
// number n of each request the first time that it is emitted.
func transformEventOnce(n int, f func([]byte) [][]byte) func(string, int, []byte) [][]byte {
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

// busyEngine returns an engine of the assistant service that is running a request, or an empty
// string.
func (r *harness) busyEngine() string {
	for name, e := range r.Standins.Engines() {
		if strings.HasPrefix(name, "assistant") && e.Running() > 0 {
			return name
		}
	}
	return ""
}

// The engine crashes, becomes silent or is cut off at different points of a response. The
// caller must still receive the complete response.
func TestPromiseWholeAnswerFaults(t *testing.T) {
	crash := func(r *harness, engine string) { r.Standins.Engine(engine).Crash() }
	for _, tt := range []struct {
		name  string
		after time.Duration
		fault func(r *harness, engine string)
	}{
		{"crash before the first token", 0, crash},
		{"crash in mid-stream", 500 * time.Millisecond, crash},
		{"crash before the last event", 990 * time.Millisecond, crash},
		{"silent connection", 500 * time.Millisecond, func(r *harness, engine string) {
			for _, h := range r.Hosts() {
				r.mesh.StallConnections(string(h.Name), engine)
			}
		}},
		{"silent engine handler", 500 * time.Millisecond, func(r *harness, engine string) { r.Standins.Engine(engine).StallStreams() }},
		{"cut from the gate", 500 * time.Millisecond, func(r *harness, engine string) {
			r.mesh.Partition(string(r.Hosts()[0].Name), engine, true)
		}},
	} {
		for _, stream := range []bool{true, false} {
			t.Run(subtestName("%s stream %t", tt.name, stream), func(t *testing.T) {
				withHarness(t, harnessOptions{}, func(_ *testing.T, r *harness) {
					done := make(chan struct{})
					go func() {
						defer close(done)
						req := chatRequest(100, "the whole lineage")
						req.Stream = stream
						r.mustChat(r.newClient("dojo-manila", 1, callersAddress(r.Hosts()[0])), req)
					}()
					var engine string
					r.waitFor(time.Second, "the start", func() bool { engine = r.busyEngine(); return engine != "" })
					time.Sleep(tt.after)
					tt.fault(r, engine)
					<-done
				})
			})
		}
	}
}

// promotionCall returns a non-idempotent call with the given body and idempotency key.
func promotionCall(body, key string) slugcaller.PlainRequest {
	return slugcaller.PlainRequest{Service: "records", Method: http.MethodPost, Path: "/promotions", Body: []byte(body), IdempotencyKey: key}
}

// A refusal may say that a call did not run only if no endpoint executed it.
func TestPromiseNotRunIsTrue(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault func(r *harness)
		// ran is the expected value of the refusal's Ran.
		ran string
	}{
		{"endpoint refuses", func(r *harness) {
			r.forEachRecordsEndpoint(func(name string) { r.Standins.PlainServices()[name].SetRefusing(true) })
		}, "no"},
		{"endpoint unreachable", func(r *harness) {
			r.forEachRecordsEndpoint(func(name string) {
				for _, h := range r.Hosts() {
					r.mesh.Partition(string(h.Name), name, true)
				}
			})
		}, "no"},
		{"answer lost after execution", func(r *harness) {
			r.forEachRecordsEndpoint(func(name string) { r.Standins.PlainServices()[name].DropResponses(1000) })
		}, "unknown"},
		{"refusal of another call after execution", func(r *harness) {
			r.forEachRecordsEndpoint(func(name string) { r.Standins.PlainServices()[name].RepeatRefusal("other") })
		}, "unknown"},
		{"connection cut after sending", func(r *harness) {
			r.forEachRecordsEndpoint(func(name string) { r.Standins.PlainServices()[name].SetDelay(2 * time.Second) })
			time.AfterFunc(time.Second, func() {
				r.forEachRecordsEndpoint(func(name string) {
					for _, h := range r.Hosts() {
						r.mesh.StallConnections(string(h.Name), name)
					}
				})
			})
		}, "unknown"},
		{"key not known", func(r *harness) { _, _ = r.applyChange(r.Hosts()[0], revokeKeys("dojo-manila")) }, "no"},
		{"body too large", func(*harness) {}, "no"},
		{"store down at the claim", func(r *harness) { r.Standins.Platform.SetFaults(slugplatform.Faults{Down: true}) }, "no"},
	} {
		t.Run(subtestName("%s", tt.name), func(t *testing.T) {
			withHarness(t, harnessOptions{}, func(t *testing.T, r *harness) {
				time.Sleep(10 * time.Second)
				c := r.newClient("dojo-manila", 1)
				_, err := c.Address(r.ctx)
				assert.NilError(t, err)
				tt.fault(r)
				x := promotionCall("call-1", "")
				if tt.name == "body too large" {
					// The default limit is 16 MiB.
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
				executed := r.executionCounts()[string(x.Body)]
				if refusal.Ran == "no" {
					assert.Equal(t, executed, 0, "%s", refusal)
				}
				assert.Assert(t, executed <= 1)
			})
		})
	}
}

// forEachRecordsEndpoint calls f for every endpoint of the records service.
func (r *harness) forEachRecordsEndpoint(f func(name string)) {
	for name := range r.Standins.PlainServices() {
		if strings.HasPrefix(name, "records") {
			f(name)
		}
	}
}

// Several callers send the same non-idempotent call while a component fails. The call must
// be executed at most once.
func TestPromiseAtMostOnce(t *testing.T) {
	for _, tt := range []struct {
		name  string
		key   string
		fault func(r *harness)
	}{
		{"with a key", "k", func(*harness) {}},
		{"endpoint dies after executing", "k", func(r *harness) {
			r.forEachRecordsEndpoint(func(n string) { r.Standins.PlainServices()[n].DropResponses(1) })
		}},
		{"endpoint dies after executing, without a key", "", func(r *harness) {
			r.forEachRecordsEndpoint(func(n string) { r.Standins.PlainServices()[n].DropResponses(1) })
		}},
		{"gate killed after sending", "k", func(r *harness) {
			r.forEachRecordsEndpoint(func(n string) { r.Standins.PlainServices()[n].SetDelay(3 * time.Second) })
			h := r.Hosts()[0]
			time.AfterFunc(time.Second, func() { r.Kill(h) })
		}},
		{"store answer lost at the claim", "k", func(r *harness) {
			r.Standins.Platform.SetFaults(slugplatform.Faults{LoseAnswers: true})
			time.AfterFunc(3*time.Second, func() { r.Standins.Platform.SetFaults(slugplatform.Faults{}) })
		}},
		{"endpoint refuses first", "k", func(r *harness) {
			r.forEachRecordsEndpoint(func(n string) { r.Standins.PlainServices()[n].SetRefusing(true) })
			time.AfterFunc(2*time.Second, func() { r.forEachRecordsEndpoint(func(n string) { r.Standins.PlainServices()[n].SetRefusing(false) }) })
		}},
	} {
		t.Run(subtestName("%s", tt.name), func(t *testing.T) {
			withHarness(t, harnessOptions{}, func(t *testing.T, r *harness) {
				// A first request opens connections, so that the fault also meets pooled ones.
				r.mustChat(r.newClient("dojo-manila", 1), chatRequest(2, "warm"))
				tt.fault(r)
				var wg sync.WaitGroup
				var answered atomic.Int64
				callers := 6
				if tt.key == "" {
					callers = 1
				}
				for n := range callers {
					c := r.newClient("dojo-manila", 8, callersAddress(r.Hosts()[n%3]))
					wg.Go(func() {
						ctx, cancel := context.WithTimeout(r.ctx, 4*time.Minute)
						defer cancel()
						status, _, err := c.Plain(ctx, promotionCall("promotion", tt.key))
						if err == nil && status == http.StatusOK {
							answered.Add(1)
						}
					})
				}
				wg.Wait()
				executed := r.executionCounts()["promotion"]
				assert.Assert(t, executed <= 1, "executed %d times", executed)
				if answered.Load() > 0 {
					assert.Equal(t, executed, 1)
				}
				t.Logf("executed %d, answered %d of %d", executed, answered.Load(), callers)
			})
		})
	}
}

// An idempotency key that is used again with another body must be refused, and the keys of
// different workspaces are independent.
func TestPromiseAtMostOnceMismatch(t *testing.T) {
	withHarness(t, harnessOptions{}, func(t *testing.T, r *harness) {
		c := r.newClient("dojo-manila", 1)
		_, first, err := c.Plain(r.ctx, promotionCall("a", "k"))
		assert.NilError(t, err)
		_, second, err := c.Plain(r.ctx, promotionCall("a", "k"))
		assert.NilError(t, err)
		assert.Equal(t, string(first), string(second), "a repeated key returns the first outcome")
		_, _, err = c.Plain(r.ctx, promotionCall("b", "k"))
		assert.ErrorContains(t, err, "claimMismatch (ran no)")
		_, _, err = r.newClient("dojo-cebu", 1).Plain(r.ctx, promotionCall("a", "k"))
		assert.NilError(t, err, "the same key of another workspace is independent")
		assert.Equal(t, r.executionCounts()["a"], 2)
	})
}

// Planned changes under load must not interrupt any request, although the callers do not
// retry.
func TestPromisePlannedChange(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(t *testing.T, r *harness)
	}{
		{"version roll", func(t *testing.T, r *harness) {
			_, err := r.applyChange(r.Hosts()[0], setVersion("assistant", "v2"))
			assert.NilError(t, err)
			r.waitFor(3*time.Minute, "the roll", func() bool { return r.versionCounts("assistant")["v2"] == 6 })
		}},
		{"endpoint withdrawal", func(_ *testing.T, r *harness) {
			r.Standins.Platform.MarkLeaving(r.busyEngine())
			time.Sleep(20 * time.Second)
		}},
		{"fewer endpoints", func(t *testing.T, r *harness) {
			before := len(r.Standins.Engines())
			_, err := r.applyChange(r.Hosts()[0], func(m *slugmanifest.Manifest) {
				for i := range m.Services[0].Replicas {
					m.Services[0].Replicas[i].Min, m.Services[0].Replicas[i].Max = 1, 1
				}
			})
			assert.NilError(t, err)
			r.waitFor(3*time.Minute, "the release", func() bool { return len(r.Standins.Engines()) == before-3 })
		}},
		{"key change", func(t *testing.T, r *harness) {
			_, err := r.applyChange(r.Hosts()[0], revokeKeys("parents"))
			assert.NilError(t, err)
		}},
		{"duties moved", func(_ *testing.T, r *harness) {
			h := r.dutyHolder(rolesDuty)
			assert.NilError(r.t, r.OperatorClientOf(h).Post(r.ctx, "/v1/duties/release?duty=roles/assistant/dc-1", nil, nil))
			released := time.Now()
			r.waitFor(15*time.Second, "the takeover by another host", func() bool { x := r.dutyHolder(rolesDuty); return x != nil && x != h })
			r.t.Logf("takeover %s after the release was ordered", time.Since(released))
		}},
	} {
		t.Run(subtestName("%s", tt.name), func(t *testing.T) {
			withHarness(t, harnessOptions{}, func(t *testing.T, r *harness) {
				var failures slugbuffer.Buffer
				stop := r.startLoadWithoutRetries(12, 60, &failures)
				time.Sleep(3 * time.Second)
				tt.change(t, r)
				time.Sleep(5 * time.Second)
				stop()
				assert.Equal(t, failures.String(), "")
				assert.Assert(t, r.receivedTokens > 1000)
			})
		})
	}
}

// startLoadWithoutRetries sends requests without retries until the returned function is
// called. The clients look up the addresses of the gates. It records every request without a
// complete response.
func (r *harness) startLoadWithoutRetries(callers, tokens int, failures *slugbuffer.Buffer) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for n := range callers {
		c := r.newClient("dojo-manila", 1)
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				req := chatRequest(tokens+n, "strict")
				a, err := c.Chat(r.ctx, req)
				if err != nil || a.Text != expectedResponse(req) {
					_, _ = fmt.Fprintf(failures, "%s: %v\n", a.RequestID, err)
					time.Sleep(time.Second)
				}
				r.mu.Lock()
				r.receivedTokens += int64(req.MaxTokens)
				r.mu.Unlock()
			}
		})
	}
	return func() {
		close(done)
		wg.Wait()
	}
}

// All hosts are replaced one by one under load. No request may fail, and all usage must be
// billed.
func TestPromiseGracefulShutdown(t *testing.T) {
	withHarness(t, harnessOptions{hosts: 9}, func(t *testing.T, r *harness) {
		var failures slugbuffer.Buffer
		stop := r.startLoadWithoutRetries(18, 60, &failures)
		time.Sleep(3 * time.Second)
		for _, h := range r.Hosts() {
			assert.NilError(t, r.Replace(r.ctx, h))
		}
		stop()
		assert.Equal(t, failures.String(), "")
		assert.Equal(t, len(r.Hosts()), 9)
		time.Sleep(3 * time.Minute)
		assert.Equal(t, r.billedTotals().OutputTokens, r.receivedTokens)
	})
}

// A workspace must not observe the prompts of another one through the prefix cache, nor use
// a model without permission.
func TestPromiseOwnWorkspace(t *testing.T) {
	// With a single engine all requests use the same cache.
	withHarness(t, harnessOptions{manifest: singleEngine}, func(t *testing.T, r *harness) {
		c := r.newClient("dojo-manila", 1)
		secret := chatRequest(8, strings.Repeat("the same long prompt ", 100))
		r.mustChat(c, secret)
		r.mustChat(c, secret)
		time.Sleep(5 * time.Second)
		before := r.cachedTokens()
		assert.Assert(t, before > 0, "the second request uses the cache of its own workspace")
		r.mustChat(r.newClient("dojo-cebu", 1), secret)
		assert.Equal(t, r.cachedTokens(), before, "the same prompt of another workspace must not use the cache")
		_, err := r.newClient("desk", 1).Chat(r.ctx, secret)
		assert.ErrorContains(t, err, "forbidden")
		assert.Assert(t, !strings.Contains(err.Error(), "manila"))
	})
}

// cachedTokens returns the total number of cached tokens that the engines reported.
func (r *harness) cachedTokens() int {
	n := 0
	for _, e := range r.Standins.Engines() {
		n += e.CachedTokens()
	}
	return n
}

// A request that crashes engines must be quarantined after two crashes, without failures of
// other requests, and must be tried again after the quarantine.
func TestPromisePoison(t *testing.T) {
	withHarness(t, harnessOptions{hosts: 3, engine: slugengine.Config{PoisonMarker: "poison"}}, func(t *testing.T, r *harness) {
		var failures slugbuffer.Buffer
		stop := r.startLoadWithoutRetries(12, 60, &failures)
		time.Sleep(2 * time.Second)
		bad := chatRequest(4, "poison")
		quarantined := 0
		for n := range 30 {
			_, err := r.newClient("parents", 1, callersAddress(r.Hosts()[n%3])).Chat(r.ctx, bad)
			assert.Assert(t, err != nil)
			if strings.Contains(err.Error(), "quarantined") {
				quarantined++
			}
			time.Sleep(200 * time.Millisecond)
		}
		crashes := 0
		for _, e := range r.Standins.Engines() {
			crashes += e.Incarnation()
		}
		assert.Assert(t, crashes <= 2, "%d crashes", crashes)
		assert.Assert(t, quarantined >= 28, "%d quarantined", quarantined)
		stop()
		assert.Equal(t, failures.String(), "", "other requests must be completed")
		r.mustChat(r.newClient("parents", 1), chatRequest(4, "innocent"))
		time.Sleep(20 * time.Minute)
		_, err := r.newClient("parents", 1).Chat(r.ctx, bad)
		assert.Assert(t, err != nil)
		after := 0
		for _, e := range r.Standins.Engines() {
			after += e.Incarnation()
		}
		assert.Assert(t, after > crashes, "the quarantine must expire")
	})
}

// The same crashing prompt arrives at all gates at the same time. The gates together must
// lose at most two engines.
func TestPromisePoisonFromManyGatesAtOnce(t *testing.T) {
	withHarness(t, harnessOptions{hosts: 3, engine: slugengine.Config{PoisonMarker: "poison"}}, func(t *testing.T, r *harness) {
		var wg sync.WaitGroup
		for n := range 9 {
			wg.Go(func() {
				_, err := r.newClient("parents", 1, callersAddress(r.Hosts()[n%3])).Chat(r.ctx, chatRequest(4, strings.Repeat("poison ", 60)))
				assert.Check(t, err != nil)
			})
		}
		wg.Wait()
		crashed := 0
		for _, e := range r.Standins.Engines() {
			if e.Incarnation() > 0 {
				crashed++
			}
		}
		assert.Assert(t, crashed <= 2, "%d engines crashed", crashed)
	})
}

// Chats that share one message, and nothing else, crash the engines that run them. After a
// few crashes the message is quarantined at all gates, and chats that share the other message
// of the workspace are served.
func TestPromisePoisonMessage(t *testing.T) {
	withHarness(t, harnessOptions{hosts: 3, engine: slugengine.Config{PoisonMarker: "poison"}}, func(t *testing.T, r *harness) {
		for n := range 40 {
			bad := chatRequest(4, fmt.Sprint("question ", n))
			bad.System = "poison manual"
			_, err := r.newClient("parents", 1, callersAddress(r.Hosts()[n%3])).Chat(r.ctx, bad)
			assert.Assert(t, err != nil)
			time.Sleep(500 * time.Millisecond)
		}
		crashes := 0
		for _, e := range r.Standins.Engines() {
			crashes += e.Incarnation()
		}
		assert.Assert(t, crashes <= 8, "%d crashes", crashes)
		good := chatRequest(4, "question")
		good.System = "sound manual"
		r.mustChat(r.newClient("parents", 1), good)
	})
}

// With one engine per data centre, a version roll that drains all data centres at once would
// leave no engine that accepts requests.
func TestPromisePlannedChangeOneEngineADataCentre(t *testing.T) {
	one := func(m *slugmanifest.Manifest) {
		for i := range m.Services[0].Replicas {
			m.Services[0].Replicas[i].Min = 1
		}
	}
	withHarness(t, harnessOptions{manifest: one}, func(t *testing.T, r *harness) {
		var failures slugbuffer.Buffer
		stop := r.startLoadWithoutRetries(9, 40, &failures)
		time.Sleep(3 * time.Second)
		_, err := r.applyChange(r.Hosts()[0], setVersion("assistant", "v2"))
		assert.NilError(t, err)
		r.waitFor(5*time.Minute, "the roll", func() bool { return r.versionCounts("assistant")["v2"] == 3 })
		stop()
		assert.Equal(t, failures.String(), "")
	})
}

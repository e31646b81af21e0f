package slugsystem_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/daemon/slugoperatorapi"
	"github.com/sassafraslug/sassafraslug/internal/operate/slugsystem"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugplatform"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
	"gotest.tools/v3/assert"
)

// propagationTimeout is the time within which every host must stop using an older revision
// after a change was accepted.
const propagationTimeout = 10 * time.Second

// accepts reports whether a host serves a request with the given key.
func (r *harness) accepts(h *slugsystem.Host, key string) bool {
	chat := chatRequest(1, "short")
	ctx, cancel := context.WithTimeout(r.ctx, 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callersAddress(h)+"/v1/chat/completions", bytes.NewReader(chat.Body()))
	assert.NilError(r.t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	client := r.newHTTPClient()
	defer client.CloseIdleConnections()
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// partitions are the ways in which one host is separated from the rest of the system.
var partitions = map[string]func(r *harness, h *slugsystem.Host, cut bool){
	"no cut": func(*harness, *slugsystem.Host, bool) {},
	"from the store": func(r *harness, h *slugsystem.Host, cut bool) {
		r.mesh.Partition(string(h.Name), "platform", cut)
	},
	"from its peers": func(r *harness, h *slugsystem.Host, cut bool) {
		for _, x := range r.Hosts() {
			if x != h {
				r.mesh.Partition(string(h.Name), string(x.Name), cut)
			}
		}
	},
	"from both": func(r *harness, h *slugsystem.Host, cut bool) {
		r.mesh.Partition(string(h.Name), "platform", cut)
		for _, x := range r.Hosts() {
			if x != h {
				r.mesh.Partition(string(h.Name), string(x.Name), cut)
			}
		}
	},
}

// While one host is cut off from the store, its peers, both or neither, a change is accepted.
// All hosts must stop using the old revision within propagationTimeout.
func TestPromiseConfigInForce(t *testing.T) {
	for name, cut := range partitions {
		t.Run(subtestName("%s", name), func(t *testing.T) {
			withHarness(t, harnessOptions{hosts: 5}, func(t *testing.T, r *harness) {
				isolated := r.Hosts()[4]
				key := r.deployment.Keys["dojo-cebu"]
				assert.Assert(t, r.accepts(isolated, key))
				cut(r, isolated, true)
				x, err := r.applyChange(r.Hosts()[0], revokeKeys("dojo-cebu"))
				assert.NilError(t, err)
				assert.Assert(t, x.Accepted, "unconfirmed %v", x.Unconfirmed)
				accepted := time.Now()
				for _, h := range r.Hosts() {
					r.waitFor(propagationTimeout-time.Since(accepted), "the rejection of the key at "+string(h.Name), func() bool { return !r.accepts(h, key) })
				}
				cut(r, isolated, false)
				r.waitFor(propagationTimeout, "service at the host after the partition", func() bool { return r.accepts(isolated, r.deployment.Keys["dojo-manila"]) })
				assert.Assert(t, !r.accepts(isolated, key), "the host must not return to an older revision")
			})
		})
	}
}

// A change must not be accepted while most hosts cannot confirm it, and these hosts must
// continue to serve without the store.
func TestPromiseConfigInForceMinority(t *testing.T) {
	withHarness(t, harnessOptions{hosts: 5}, func(t *testing.T, r *harness) {
		// Two hosts can reach the store; the other three are separated from it and from them.
		for _, a := range r.Hosts()[2:] {
			r.mesh.Partition(string(a.Name), "platform", true)
			for _, b := range r.Hosts()[:2] {
				r.mesh.Partition(string(a.Name), string(b.Name), true)
			}
		}
		time.Sleep(10 * time.Second)
		x, err := r.applyChange(r.Hosts()[0], revokeKeys("dojo-cebu"))
		assert.NilError(t, err)
		assert.Assert(t, !x.Accepted, "a minority cannot accept a change")
		assert.Equal(t, len(x.Unconfirmed), 3)
		key := r.deployment.Keys["dojo-manila"]
		assert.Assert(t, r.accepts(r.Hosts()[4], key), "a majority without the store continues to serve")
	})
}

// Concurrent changes must not be accepted under the same revision.
func TestPromiseConfigInForceRacingApplies(t *testing.T) {
	withHarness(t, harnessOptions{hosts: 3}, func(t *testing.T, r *harness) {
		var accepted atomic.Int64
		var wg sync.WaitGroup
		var mu sync.Mutex
		revisions := map[slugconfig.Revision]int{}
		for n := range 12 {
			wg.Go(func() {
				h := r.Hosts()[n%3]
				x, err := r.applyChange(h, func(m *slugmanifest.Manifest) { m.Budget.CentsPerHour = 1000 + n })
				if err == nil && x.Accepted {
					accepted.Add(1)
					mu.Lock()
					revisions[x.Revision]++
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		assert.Assert(t, accepted.Load() >= 1)
		for revision, n := range revisions {
			assert.Equal(t, n, 1, "revision %d was assigned to two changes", revision)
		}
	})
}

// The store executes writes, but its responses are lost. The change must be applied once.
func TestPromiseConfigInForceLostAnswers(t *testing.T) {
	withHarness(t, harnessOptions{hosts: 3}, func(t *testing.T, r *harness) {
		r.Standins.Platform.SetFaults(slugplatform.Faults{LoseAnswers: true})
		x, err := r.applyChange(r.Hosts()[0], revokeKeys("dojo-cebu"))
		assert.NilError(t, err)
		assert.Assert(t, x.Accepted)
		assert.Equal(t, x.Revision, slugconfig.Revision(2))
		r.Standins.Platform.SetFaults(slugplatform.Faults{})
		var settled slugoperatorapi.Change
		assert.NilError(t, r.OperatorClient().Get(r.ctx, "/v1/changes/"+string(x.ID), &settled))
		assert.Equal(t, settled.Revision, x.Revision)
	})
}

// A manifest that was made on an older revision must be refused, as it would undo the
// changes since then.
func TestPromiseConfigInForceStaleBase(t *testing.T) {
	withHarness(t, harnessOptions{hosts: 3}, func(t *testing.T, r *harness) {
		_, err := r.applyChange(r.Hosts()[0], revokeKeys("dojo-cebu"))
		assert.NilError(t, err)
		b, err := json.Marshal(r.deployment.Manifest)
		assert.NilError(t, err)
		_, err = r.OperatorClient().Apply(r.ctx, b, 1, "stale")
		assert.ErrorContains(t, err, "base 1 is not the present revision, which is 2; nothing was changed")
		assert.Assert(t, !r.accepts(r.Hosts()[1], r.deployment.Keys["dojo-cebu"]))
	})
}

// singleEngine reduces the manifest to one service with one engine, which keeps
// simulations of many hours fast.
func singleEngine(m *slugmanifest.Manifest) { keepAssistantEngines(m, 1) }

// twoEngines reduces the manifest to one service with two engines in one data centre.
func twoEngines(m *slugmanifest.Manifest) { keepAssistantEngines(m, 2) }

func keepAssistantEngines(m *slugmanifest.Manifest, n int) {
	m.Services = m.Services[:1]
	m.Services[0].Replicas = []slugmanifest.Replicas{{DataCentre: "dc-1", Min: n, Max: n}}
	var rules []slugmanifest.Rule
	for _, x := range m.Rules {
		if len(x.Models) == 1 && x.Models[0] == "lineage" {
			rules = append(rules, slugmanifest.Rule{Workspace: x.Workspace, Models: x.Models})
		}
	}
	m.Rules = rules
}

// All hosts must serve through a store outage of an hour, or of 10 minutes with -short, and
// accept changes again within 30 s after it.
func TestPromiseConfigInForceStoreOutage(t *testing.T) {
	withHarness(t, harnessOptions{hosts: 3, manifest: singleEngine}, func(t *testing.T, r *harness) {
		key := r.deployment.Keys["dojo-manila"]
		r.Standins.Platform.SetFaults(slugplatform.Faults{Down: true})
		minutes := 60
		if testing.Short() {
			minutes = 10
		}
		for range minutes / 5 {
			time.Sleep(5 * time.Minute)
			for _, h := range r.Hosts() {
				assert.Assert(t, r.accepts(h, key), "host %s does not serve during the outage", h.Name)
			}
		}
		_, err := r.applyChange(r.Hosts()[0], revokeKeys("dojo-cebu"))
		assert.ErrorContains(t, err, "outcome unknown")
		r.Standins.Platform.SetFaults(slugplatform.Faults{})
		r.waitFor(30*time.Second, "a change after the outage", func() bool {
			x, err := r.applyChange(r.Hosts()[0], revokeKeys("parents"))
			return err == nil && x.Accepted
		})
		for _, h := range r.Hosts() {
			r.waitFor(propagationTimeout, "the rejection of the key at "+string(h.Name), func() bool { return !r.accepts(h, r.deployment.Keys["parents"]) })
		}
	})
}

// A revoked key must stop working at all hosts within 5 s, while a request that is already
// running is completed.
func TestPromiseWithdrawnKey(t *testing.T) {
	for _, name := range []string{"no cut", "from both"} {
		t.Run(subtestName("%s", name), func(t *testing.T) {
			withHarness(t, harnessOptions{hosts: 5}, func(t *testing.T, r *harness) {
				isolated := r.Hosts()[4]
				partitions[name](r, isolated, true)
				// A long response is running when the key is revoked, and must be completed.
				long := chatRequest(600, "a long review")
				done := make(chan error, 1)
				go func() {
					a, err := r.newClient("dojo-cebu", 1, callersAddress(r.Hosts()[1])).Chat(r.ctx, long)
					if err == nil && a.Text != expectedResponse(long) {
						err = context.Canceled
					}
					done <- err
				}()
				time.Sleep(time.Second)
				x, err := r.applyChange(r.Hosts()[0], revokeKeys("dojo-cebu"))
				assert.NilError(t, err)
				assert.Assert(t, x.Accepted)
				accepted := time.Now()
				last := accepted
				for time.Since(accepted) < 12*time.Second {
					for _, h := range r.Hosts() {
						if r.accepts(h, r.deployment.Keys["dojo-cebu"]) {
							last = time.Now()
						}
					}
					time.Sleep(100 * time.Millisecond)
				}
				assert.Assert(t, last.Sub(accepted) < 5*time.Second, "the key was accepted for %s", last.Sub(accepted))
				t.Logf("last use %s after acceptance", last.Sub(accepted))
				assert.NilError(t, <-done, "the running answer is completed")
				for name, e := range r.Standins.Engines() {
					assert.Equal(t, len(e.SeenKeys()), 0, "engine %s saw a key", name)
				}
			})
		})
	}
}

// Requests that are queued when their key is revoked must be refused without running.
func TestPromiseWithdrawnKeyQueued(t *testing.T) {
	withHarness(t, harnessOptions{hosts: 3}, func(t *testing.T, r *harness) {
		for _, e := range r.Standins.Engines() {
			e.SetMaxStreams(1)
		}
		// Long responses occupy the engines, so the requests of another workspace are queued.
		var wg sync.WaitGroup
		c := r.newClient("dojo-manila", 1, callersAddress(r.Hosts()[0]))
		for range 400 {
			wg.Go(func() { _, _ = c.Chat(r.ctx, chatRequest(200, "fills the engines")) })
		}
		time.Sleep(2 * time.Second)
		codes := make(chan error, 10)
		q := r.newClient("dojo-cebu", 1, callersAddress(r.Hosts()[0]))
		for range cap(codes) {
			go func() {
				_, err := q.Chat(r.ctx, chatRequest(2, "waits in the queue"))
				codes <- err
			}()
		}
		time.Sleep(100 * time.Millisecond)
		_, err := r.applyChange(r.Hosts()[0], revokeKeys("dojo-cebu"))
		assert.NilError(t, err)
		refused := 0
		for range cap(codes) {
			if err := <-codes; err != nil {
				assert.Assert(t, strings.Contains(err.Error(), "keyUnknown (ran no)"), "%s", err)
				refused++
			}
		}
		assert.Assert(t, refused > 0, "no queued request was refused")
		wg.Wait()
	})
}

// A key must not reach an endpoint, wherever in a request the caller sends it.
func TestPromiseNoEndpointSeesKey(t *testing.T) {
	withHarness(t, harnessOptions{hosts: 3}, func(t *testing.T, r *harness) {
		key := r.deployment.Keys["dojo-manila"]
		address := "http://" + callersAddress(r.Hosts()[0])
		for _, tt := range []struct {
			name string
			set  func(*http.Request)
			want int
		}{
			{"bearer", func(q *http.Request) { q.Header.Set("Authorization", "Bearer "+key) }, 200},
			{"x-api-key", func(q *http.Request) { q.Header.Set("X-Api-Key", key) }, 200},
			{"query", func(q *http.Request) { q.URL.RawQuery = "a=1&api_key=" + key + "&b=2" }, 200},
			{"encoded query", func(q *http.Request) { q.URL.RawQuery = "api_key=" + strings.ReplaceAll(key, "-", "%2D") }, 200},
			{"another header", func(q *http.Request) {
				q.Header.Set("Authorization", "Bearer "+key)
				q.Header.Set("X-Debug", "my key is "+key)
			}, 200},
			{"cookie", func(q *http.Request) {
				q.Header.Set("X-Api-Key", key)
				q.Header.Set("Cookie", "k="+key)
			}, 200},
			{"path", func(q *http.Request) {
				q.Header.Set("X-Api-Key", key)
				q.URL.Path += "/" + key
			}, 400},
			{"body", func(q *http.Request) {
				q.Header.Set("X-Api-Key", key)
				b := []byte(`{"note":"` + key + `"}`)
				q.Body, q.ContentLength = requestBody(b), int64(len(b))
			}, 400},
			{"open route", func(q *http.Request) {
				q.URL.Path = "/services/records/status"
				q.Header.Set("X-Api-Key", key)
			}, 200},
		} {
			req, err := http.NewRequestWithContext(r.ctx, http.MethodPost, address+"/services/records/certificates", http.NoBody)
			assert.NilError(t, err)
			tt.set(req)
			resp, err := r.newHTTPClient().Do(req)
			assert.NilError(t, err, tt.name)
			assert.Equal(t, resp.StatusCode, tt.want, tt.name)
			_ = resp.Body.Close()
		}
		for name, s := range r.Standins.PlainServices() {
			assert.DeepEqual(t, s.SeenKeys(), []string(nil))
			for _, x := range s.Executions() {
				assert.Assert(t, !strings.Contains(x.Path+x.Body, key), "%s saw the key in %s", name, x.Path)
			}
		}
	})
}

// An endpoint that the platform marks as leaving must receive no new requests after 3 s.
func TestPromiseLeavingEndpoint(t *testing.T) {
	withHarness(t, harnessOptions{hosts: 5}, func(t *testing.T, r *harness) {
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for n := range 20 {
			c := r.newClient("dojo-manila", 1, callersAddress(r.Hosts()[n%5]))
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
						r.mustChat(c, chatRequest(10, "load"))
					}
				}
			})
		}
		time.Sleep(3 * time.Second)
		var leaving string
		for name, e := range r.Standins.Engines() {
			if strings.HasPrefix(name, "assistant") && e.Started() > 0 {
				leaving = name
			}
		}
		e := r.Standins.Engine(leaving)
		r.Standins.Platform.MarkLeaving(leaving)
		time.Sleep(3 * time.Second)
		before := e.Started()
		time.Sleep(10 * time.Second)
		assert.Equal(t, e.Started(), before, "the leaving endpoint %s received new requests", leaving)
		assert.Assert(t, before > 0)
		close(stop)
		wg.Wait()
	})
}

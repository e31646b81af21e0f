package slugsystem_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// noticeGiver is a stand-in endpoint that gives notice.
type noticeGiver interface {
	SetLeaving(bool)
	SetRefusing(bool)
	SetRetryAfter(string)
	Calls(after time.Time) int
}

// noticeGivers returns the endpoints of the service that the requests of noticeLoad use, in
// order of their names.
func (r *harness) noticeGivers(plain bool) (out []noticeGiver) {
	byName := map[string]noticeGiver{}
	for name, e := range r.Standins.Engines() {
		if !plain && strings.HasPrefix(name, "assistant") {
			byName[name] = e
		}
	}
	for name, s := range r.Standins.PlainServices() {
		if plain && strings.HasPrefix(name, "records") {
			byName[name] = s
		}
	}
	names := make([]string, 0, len(byName))
	for name := range byName {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		out = append(out, byName[name])
	}
	return out
}

// noticeOutcome counts the outcomes of a load.
type noticeOutcome struct {
	mu                   sync.Mutex
	sent, failed, leaked int
	slowest              time.Duration
	// shortest is the shortest time after which refused callers are to return.
	shortest time.Duration
}

// noticeLoad sends requests through all gates in turn, without retries.
func (r *harness) noticeLoad(plain bool, d time.Duration) *noticeOutcome {
	out := &noticeOutcome{shortest: time.Hour}
	client := r.newHTTPClient()
	var wg sync.WaitGroup
	const interval = 50 * time.Millisecond
	for i := range int(d / interval) {
		gate := callersAddress(r.Hosts()[i%len(r.Hosts())])
		path, body := "/v1/chat/completions", chatRequest(3, fmt.Sprint("request ", i)).Body()
		if plain {
			path, body = "/services/records/promotions", []byte(fmt.Sprint(i))
		}
		wg.Go(func() {
			req, err := http.NewRequestWithContext(r.ctx, http.MethodPost, "http://"+gate+path, bytes.NewReader(body))
			assert.NilError(r.t, err)
			req.Header.Set("Authorization", "Bearer "+r.deployment.Keys["dojo-manila"])
			began := time.Now()
			resp, err := client.Do(req)
			assert.NilError(r.t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			took := time.Since(began)
			out.mu.Lock()
			defer out.mu.Unlock()
			out.sent++
			out.slowest = max(out.slowest, took)
			if seconds, parseErr := strconv.Atoi(resp.Header.Get("Retry-After")); parseErr == nil {
				out.shortest = min(out.shortest, time.Duration(seconds)*time.Second)
			}
			if err != nil || resp.StatusCode != http.StatusOK {
				out.failed++
			}
			if resp.Header.Get("Engine-Leaving") != "" {
				out.leaked++
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return out
}

// forBothInterfaces runs a test with chats at engines and with calls at plain services.
func forBothInterfaces(t *testing.T, f func(t *testing.T, r *harness, plain bool, givers []noticeGiver)) {
	for _, plain := range []bool{false, true} {
		t.Run(fmt.Sprint("plain=", plain), func(t *testing.T) {
			withHarness(t, harnessOptions{}, func(t *testing.T, r *harness) {
				time.Sleep(10 * time.Second)
				givers := r.noticeGivers(plain)
				assert.Assert(t, len(givers) > 1, "%d endpoints", len(givers))
				f(t, r, plain, givers)
			})
		})
	}
}

// An endpoint that says that it is leaving gets no more requests, although the plan has it
// in service, until it starts anew.
func TestPromiseLeavingEndpointGetsNoWork(t *testing.T) {
	forBothInterfaces(t, func(t *testing.T, r *harness, plain bool, givers []noticeGiver) {
		leaving := givers[:len(givers)-1]
		for _, e := range leaving {
			e.SetLeaving(true)
		}
		// Each gate reads the load of its endpoints every second.
		r.noticeLoad(plain, 1500*time.Millisecond)
		told := time.Now()
		out := r.noticeLoad(plain, 5*time.Second)
		for i, e := range leaving {
			assert.Check(t, e.Calls(told) == 0, "endpoint %d got %d requests after its notice", i, e.Calls(told))
		}
		assert.Check(t, out.failed == 0, "%d of %d requests failed", out.failed, out.sent)
		assert.Check(t, out.leaked == 0, "%d responses tell callers that an endpoint leaves", out.leaked)
		for _, e := range leaving {
			e.SetLeaving(false)
		}
		// Without the other endpoint, those that started anew have to be used.
		givers[len(givers)-1].SetLeaving(true)
		r.noticeLoad(plain, 1500*time.Millisecond)
		out = r.noticeLoad(plain, 3*time.Second)
		assert.Check(t, out.failed == 0, "%d of %d requests failed after the restart", out.failed, out.sent)
	})
}

// An endpoint that turns requests away and states for how long is left alone meanwhile.
func TestPromiseEndpointThatAsksToWaitIsLeftAlone(t *testing.T) {
	forBothInterfaces(t, func(t *testing.T, r *harness, plain bool, givers []noticeGiver) {
		for _, e := range givers[:len(givers)-1] {
			e.SetRefusing(true)
			e.SetRetryAfter("6")
		}
		r.noticeLoad(plain, 1500*time.Millisecond)
		told := time.Now()
		out := r.noticeLoad(plain, 3*time.Second)
		for i, e := range givers[:len(givers)-1] {
			most := 2 * len(r.Hosts())
			assert.Check(t, e.Calls(told) <= most, "endpoint %d got %d requests while it wanted none, %d allowed", i, e.Calls(told), most)
		}
		assert.Check(t, out.failed == 0, "%d of %d requests failed", out.failed, out.sent)
		for _, e := range givers {
			e.SetRefusing(false)
		}
		time.Sleep(6 * time.Second)
		// Without the other endpoint, those that have recovered have to be used.
		givers[len(givers)-1].SetLeaving(true)
		r.noticeLoad(plain, 1500*time.Millisecond)
		out = r.noticeLoad(plain, 2*time.Second)
		assert.Check(t, out.failed == 0, "%d of %d requests failed after that time", out.failed, out.sent)
	})
}

// If no endpoint wants requests, callers are refused at once with the time until one does,
// and served afterwards.
func TestPromiseRefusedAtOnceIfNoEndpointWantsRequests(t *testing.T) {
	forBothInterfaces(t, func(t *testing.T, r *harness, plain bool, givers []noticeGiver) {
		for _, e := range givers {
			e.SetRefusing(true)
			e.SetRetryAfter("8.5")
		}
		asked := time.Now()
		r.noticeLoad(plain, 3*time.Second)
		told := time.Now()
		out := r.noticeLoad(plain, time.Second)
		assert.Check(t, out.failed == out.sent, "%d of %d requests were refused", out.failed, out.sent)
		assert.Check(t, out.slowest < 200*time.Millisecond, "a request was refused after %s", out.slowest)
		least := 8500*time.Millisecond - time.Since(asked)
		assert.Check(t, out.shortest >= least, "told to come back after %s, %s is too early", out.shortest, least)
		for i, e := range givers {
			assert.Check(t, e.Calls(told) == 0, "endpoint %d got %d requests", i, e.Calls(told))
			e.SetRefusing(false)
		}
		time.Sleep(9 * time.Second)
		out = r.noticeLoad(plain, time.Second)
		assert.Check(t, out.failed == 0, "%d of %d requests were refused after that time", out.failed, out.sent)
	})
}

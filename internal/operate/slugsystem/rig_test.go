package slugsystem_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/authority/sluglease"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugledger"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugreport"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugsettings"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugoperatorapi"
	"github.com/sassafraslug/sassafraslug/internal/operate/slugcaller"
	"github.com/sassafraslug/sassafraslug/internal/operate/slugdemo"
	"github.com/sassafraslug/sassafraslug/internal/operate/slugsystem"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugbuffer"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugengine"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugknownfailures"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugmesh"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugplatform"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
	"gotest.tools/v3/assert"
)

// harness is a system in virtual time with helpers for tests.
type harness struct {
	*slugsystem.System
	t          *testing.T
	ctx        context.Context
	mesh       *slugmesh.Mesh
	deployment slugdemo.Deployment
	logs       *slugbuffer.Buffer

	mu       sync.Mutex
	stepHook func(h slugname.Host, d sluglease.Duty, step string)
	// receivedTokens is the number of output tokens that callers received.
	receivedTokens int64
}

// harnessOptions configure a harness.
type harnessOptions struct {
	hosts          int
	engine         slugengine.Config
	uncheckedEvery int
	platform       slugplatform.Config
	manifest       func(*slugmanifest.Manifest)
	settings       func(*slugsettings.Settings)
	// beforeStart changes the network before the first host starts; it may be nil.
	beforeStart func(*slugmesh.Mesh)
}

// withHarness runs a test with a system in virtual time. Tests in KNOWN-RED.txt are skipped.
func withHarness(t *testing.T, o harnessOptions, f func(*testing.T, *harness)) {
	t.Helper()
	slugknownfailures.Skip(t)
	t.Cleanup(slugclock.IgnoreSuspensions())
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 24*time.Hour)
		defer cancel()
		r := &harness{t: t, ctx: ctx, mesh: slugmesh.New(), deployment: slugdemo.NewDeployment(), logs: &slugbuffer.Buffer{}}
		if o.hosts == 0 {
			o.hosts = 3
		}
		if o.platform.HostListLag == 0 {
			o.platform = slugplatform.Config{HostListLag: 2 * time.Second, OrderingRequestNumbers: true}
		}
		if o.manifest != nil {
			o.manifest(r.deployment.Manifest)
		}
		if o.beforeStart != nil {
			o.beforeStart(r.mesh)
		}
		var err error
		r.System, err = slugsystem.New(ctx, slugsystem.Config{
			Hosts: o.hosts, Manifest: r.deployment.Manifest, Mesh: r.mesh, Engine: o.engine, UncheckedEvery: o.uncheckedEvery,
			Platform: o.platform, Log: r.logs, OnStep: r.onStep, Settings: o.settings,
		})
		defer r.shutdown()
		defer func() {
			if t.Failed() && os.Getenv("SASSAFRASLUG_TEST_LOG") != "" {
				t.Log(r.logs.String())
			}
		}()
		assert.NilError(t, err)
		f(t, r)
	})
}

// shutdown closes the system and gives its remaining goroutines time to end.
func (r *harness) shutdown() {
	r.Close()
	time.Sleep(2 * time.Minute)
}

func (r *harness) onStep(h slugname.Host, d sluglease.Duty, step string) {
	r.mu.Lock()
	f := r.stepHook
	r.mu.Unlock()
	if f != nil {
		f(h, d, step)
	}
}

func (r *harness) setStepHook(f func(h slugname.Host, d sluglease.Duty, step string)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stepHook = f
}

// newClient returns a client of a workspace that looks addresses up at the given hosts, or
// at any host if none is given.
func (r *harness) newClient(w slugname.Workspace, maxAttempts int, seeds ...string) *slugcaller.Client {
	if len(seeds) == 0 {
		seeds = r.GateAddresses()
	}
	c := slugcaller.New(slugcaller.Config{
		SeedAddresses: seeds, Key: r.deployment.Keys[w], MaxAttempts: maxAttempts,
		Transport: &http.Transport{DialContext: r.mesh.Host("caller").Dial, MaxIdleConnsPerHost: 64},
	})
	r.t.Cleanup(c.CloseIdleConnections)
	return c
}

// newHTTPClient returns an HTTP client on the in-memory network. Unlike the client of newClient,
// it looks no addresses up.
func (r *harness) newHTTPClient() *http.Client {
	t := &http.Transport{DialContext: r.mesh.Host("caller").Dial, MaxIdleConnsPerHost: 64}
	r.t.Cleanup(t.CloseIdleConnections)
	return &http.Client{Transport: t}
}

func chatRequest(n int, text string) slugcaller.ChatRequest {
	return slugcaller.ChatRequest{Model: "lineage", Prompt: text, MaxTokens: n, Stream: true}
}

// expectedResponse returns the complete response to a request.
func expectedResponse(x slugcaller.ChatRequest) string {
	return slugengine.Answer(slugengine.Prompt(x.Body()), x.MaxTokens)
}

// mustChat sends a request and checks that its response is complete.
func (r *harness) mustChat(c *slugcaller.Client, x slugcaller.ChatRequest) {
	r.t.Helper()
	a, err := c.Chat(r.ctx, x)
	assert.NilError(r.t, err)
	assert.Equal(r.t, a.Text, expectedResponse(x))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.receivedTokens += int64(x.MaxTokens)
}

// applyChange applies a changed copy of the manifest in effect through a host's control process.
func (r *harness) applyChange(h *slugsystem.Host, f func(*slugmanifest.Manifest)) (slugoperatorapi.Change, error) {
	client := r.OperatorClientOf(h)
	var current slugoperatorapi.Manifest
	if err := client.Get(r.ctx, "/v1/manifest", &current); err != nil {
		return slugoperatorapi.Change{}, err
	}
	f(current.Manifest)
	b, err := json.Marshal(current.Manifest)
	assert.NilError(r.t, err)
	return client.Apply(r.ctx, b, current.Revision, "")
}

func setVersion(service slugname.Service, version string) func(*slugmanifest.Manifest) {
	return func(m *slugmanifest.Manifest) {
		for i := range m.Services {
			if m.Services[i].Name == service {
				m.Services[i].Version = version
			}
		}
	}
}

func revokeKeys(w slugname.Workspace) func(*slugmanifest.Manifest) {
	return func(m *slugmanifest.Manifest) {
		for i := range m.Workspaces {
			if m.Workspaces[i].Name == w {
				m.Workspaces[i].Keys = []slugmanifest.Key{}
			}
		}
	}
}

// conflictingOrders describes the conflicting orders of all engines.
func (r *harness) conflictingOrders() []string {
	var bad []string
	for name, e := range r.Standins.Engines() {
		bad = append(bad, slugdemo.ConflictingOrders(name, e.Orders())...)
	}
	return bad
}

// waitFor waits in virtual time until a condition holds, and returns how long that took.
func (r *harness) waitFor(within time.Duration, what string, ok func() bool) time.Duration {
	r.t.Helper()
	began := time.Now()
	for !ok() {
		if time.Since(began) > within {
			r.t.Fatalf("timed out waiting for %s after %s", what, within)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

// dutyHolder returns the host whose control process holds a duty, or nil.
func (r *harness) dutyHolder(d sluglease.Duty) *slugsystem.Host {
	for _, h := range r.Hosts() {
		var x slugoperatorapi.Duties
		ctx, cancel := context.WithTimeout(r.ctx, 100*time.Millisecond)
		err := r.OperatorClientOf(h).Get(ctx, "/v1/duties", &x)
		cancel()
		if err != nil {
			continue
		}
		for _, s := range x.Duties {
			if s.Duty == d && s.Held {
				return h
			}
		}
	}
	return nil
}

// versionCounts counts the engines of a service by version.
func (r *harness) versionCounts(service string) map[string]int {
	out := map[string]int{}
	for name, e := range r.Standins.Engines() {
		if strings.HasPrefix(name, service+"-") {
			out[e.Version()]++
		}
	}
	return out
}

// billedTotals sums the usage reports of all windows. It fails the test if two reports of
// one window differ.
func (r *harness) billedTotals() slugledger.Totals {
	var sum slugledger.Totals
	for w, bodies := range r.Standins.Platform.AllWindows() {
		for _, b := range bodies[1:] {
			assert.Equal(r.t, string(b), string(bodies[0]), "window %s", w)
		}
		var report slugreport.Report
		assert.NilError(r.t, json.Unmarshal(bodies[0], &report))
		for _, l := range report.Lines {
			sum = sum.Plus(l.Totals)
		}
	}
	return sum
}

// executionCounts returns how often the plain services executed each call, by its body.
func (r *harness) executionCounts() map[string]int {
	out := map[string]int{}
	for _, s := range r.Standins.PlainServices() {
		for _, x := range s.Executions() {
			out[x.Body]++
		}
	}
	return out
}

// callersAddress returns a host's address for callers.
func callersAddress(h *slugsystem.Host) string {
	callers, _ := h.Gate.Addresses()
	return callers
}

func subtestName(format string, args ...any) string {
	return strings.ReplaceAll(fmt.Sprintf(format, args...), " ", "_")
}

func requestBody(b []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }

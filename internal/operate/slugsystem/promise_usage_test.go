package slugsystem_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugsettings"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugplatform"
	"gotest.tools/v3/assert"
)

// startLoadOnAllHosts sends requests to every host until the returned function is called. That
// function waits for the last responses.
func (r *harness) startLoadOnAllHosts(callers int, ws slugname.Workspace, tokens int) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	hosts := r.Hosts()
	for n := range callers {
		c := r.newClient(ws, 1, callersAddress(hosts[n%len(hosts)]))
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				req := chatRequest(tokens, "usage")
				// Tokens of an interrupted response count too.
				a, _ := c.Chat(r.ctx, req)
				r.mu.Lock()
				r.receivedTokens += int64(strings.Count(a.Text, " "))
				r.mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	return func() {
		close(done)
		wg.Wait()
	}
}

// The reporter of usage is paused or killed, or store and platform fail. All usage must be
// billed once; only counts that a killed gate had not recorded may be lost. The reporter seals
// the record of a gate that has not closed it, and freezes the report of a window by storing it
// before it is sent.
func TestPromiseUsageOnce(t *testing.T) {
	const duty = "usage/home"
	for _, tt := range []struct {
		name  string
		fault func(r *harness)
		// killed is set if a process ends with counts that it has not recorded.
		killed bool
	}{
		{name: "no fault", fault: func(*harness) {}},
		{name: "reporter paused before sealing", fault: func(r *harness) { r.pauseAt(duty, "record.seal", 40*time.Second) }},
		{name: "reporter paused before freezing", fault: func(r *harness) { r.pauseAt(duty, "report.create", 40*time.Second) }},
		{name: "reporter paused before sending", fault: func(r *harness) { r.pauseAt(duty, "report.send", 40*time.Second) }},
		{name: "reporter killed", fault: func(r *harness) { r.dutyHolder(duty).Control.Abort() }},
		{name: "answers of reports lost", fault: func(r *harness) { r.Standins.Platform.LoseReportAnswers(3) }},
		{name: "answers of writes lost", fault: func(r *harness) {
			r.Standins.Platform.SetFaults(slugplatform.Faults{LoseAnswers: true})
			time.AfterFunc(25*time.Second, func() { r.Standins.Platform.SetFaults(slugplatform.Faults{}) })
		}},
		{name: "store down over windows' ends", fault: func(r *harness) {
			r.Standins.Platform.SetFaults(slugplatform.Faults{Down: true})
			time.AfterFunc(25*time.Second, func() { r.Standins.Platform.SetFaults(slugplatform.Faults{}) })
		}},
		{name: "gate cut from the store over a seal", fault: func(r *harness) {
			r.mesh.Partition(string(r.Hosts()[1].Name), "platform", true)
			time.AfterFunc(50*time.Second, func() { r.mesh.Partition(string(r.Hosts()[1].Name), "platform", false) })
		}},
		{name: "gate killed", killed: true, fault: func(r *harness) { r.Kill(r.Hosts()[1]) }},
	} {
		t.Run(subtestName("%s", tt.name), func(t *testing.T) {
			withHarness(t, harnessOptions{manifest: twoEngines, settings: func(s *slugsettings.Settings) { s.UsageWindow = 10 * time.Second }}, func(t *testing.T, r *harness) {
				stop := r.startLoadOnAllHosts(6, "dojo-manila", 10)
				time.Sleep(13 * time.Second)
				tt.fault(r)
				time.Sleep(40 * time.Second)
				stop()
				time.Sleep(90 * time.Second)
				billed := r.billedTotals().OutputTokens
				t.Logf("received %d, billed %d", r.receivedTokens, billed)
				assert.Assert(t, r.receivedTokens > 1000, "received %d", r.receivedTokens)
				if !tt.killed {
					assert.Equal(t, billed, r.receivedTokens)
					return
				}
				// The gate loses the counts since its last write, which is about 2 s ago, and
				// those of the interrupted responses. The bound is 4 s of usage: its 2 callers
				// receive at most 10 tokens each in 0.2 s, 5 times per second.
				const maxLostTokens = 2 * 10 * 5 * 4
				assert.Assert(t, billed >= r.receivedTokens-maxLostTokens, "received %d, billed %d", r.receivedTokens, billed)
				assert.Assert(t, billed <= r.receivedTokens+20, "received %d, with 2 interrupted answers, billed %d", r.receivedTokens, billed)
			})
		})
	}
}

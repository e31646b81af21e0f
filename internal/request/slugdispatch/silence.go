package slugdispatch

import (
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugquarantine"
)

const (
	// silenceTimeout is the time without an answer, or since the last event, after which an
	// endpoint may have ended without closing its connections.
	silenceTimeout = 900 * time.Millisecond
	// silenceInterval is the time between the checks of an endpoint that stays silent.
	silenceInterval = 500 * time.Millisecond
)

// silenceWatch reports an endpoint that does not answer an attempt. It cancels nothing, since
// the endpoint may only be slow.
type silenceWatch struct {
	run *slugquarantine.Run

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// watchSilence starts a silenceWatch for an attempt.
func (d *dispatch) watchSilence(c *slugplacement.Choice, run *slugquarantine.Run) *silenceWatch {
	w := &silenceWatch{run: run}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(silenceTimeout, func() {
		d.reportSilence(c, run)
		w.restart(silenceInterval)
	})
	return w
}

// restart restarts the timer, unless the watch was stopped.
func (w *silenceWatch) restart(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(d)
	}
}

// Event records an event of the response.
func (w *silenceWatch) Event(now time.Time) {
	w.run.Heard(now)
	w.restart(silenceTimeout)
}

// Stop ends the reports.
func (w *silenceWatch) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// reportSilence records that an endpoint has not answered an attempt so far, and reports it
// if it has been silent towards all requests of this host.
func (d *dispatch) reportSilence(c *slugplacement.Choice, run *slugquarantine.Run) {
	if run.Unanswered(time.Now()) {
		d.cfg.EndpointFailed(d.service.Name, c.Endpoint, false)
	}
}

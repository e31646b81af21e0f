// Package slughedge decides when a request that waits for a slow response gets an extra
// attempt at a second endpoint, and whether it gets one.
//
// The time follows from the latencies of the same service, route and size class: an extra
// attempt is due when the response has taken longer than all but a fraction Share of them.
// About that fraction of the requests then wants an extra attempt, which is what the operator
// allows. The attempt is sent only while the share, the retry budget and the load of the
// service have room for it, so that extra attempts end by themselves before they add to an
// overload.
//
// The package performs no I/O.
//
// # Usage
//
//	h := slughedge.New(slughedge.Config{Share: 0.05})
//	h.RecordRequest()
//	if delay, ok := h.Delay(class, now); ok { wait for the response for delay }
//	if reason := h.Take(situation); reason == "" { send the extra attempt }
//	h.Observe(class, took, now)
//	h.Ended(won)
package slughedge

import (
	"maps"
	"sync"
	"time"
)

const (
	// minQuantile and maxQuantile bound the quantile of the latencies after which an extra
	// attempt is due, whatever the share. Below the first, most extra attempts would be sent
	// beside responses that are not slow; above the second, a window holds too few latencies
	// for a stable value.
	minQuantile, maxQuantile = 0.75, 0.99
	// maxLoad is the load of the service from which there are no extra attempts. A share of
	// 0.05 then adds at most 0.035 to the load, and queues grow steeply only beyond 0.8.
	maxLoad = 0.7
	// retryReserve is the fraction of the retry budget that extra attempts leave to retries,
	// which requests need more.
	retryReserve = 0.25
	// maxCredit is the number of extra attempts that may be saved for later ones. It lets a host
	// with few requests send any at all, and bounds what many hosts send at once after a calm
	// time.
	maxCredit = 5
	// creditTolerance makes up for sums of the share that are not exact.
	creditTolerance = 1e-9
)

// Config configures a Hedger.
type Config struct {
	// Share is the largest ratio of extra attempts to requests.
	Share float64
}

// Reason says why an extra attempt was not sent.
type Reason string

// Possible values of Reason.
const (
	// ReasonShare means that the share of extra attempts is used up.
	ReasonShare Reason = "share"
	// ReasonBudget means that the retry budget has too little left.
	ReasonBudget Reason = "budget"
	// ReasonLoad means that the load of the service is high.
	ReasonLoad Reason = "load"
	// ReasonEndpoint means that no second endpoint is fit for the attempt.
	ReasonEndpoint Reason = "endpoint"
	// ReasonSuspected means that the request may crash endpoints.
	ReasonSuspected Reason = "suspected"
	// ReasonShutdown means that the process is shutting down.
	ReasonShutdown Reason = "shutdown"
	// ReasonLate means that the attempt could not end before the deadline of the request.
	ReasonLate Reason = "late"
	// ReasonWithdrawn means that the key of the request may have been withdrawn.
	ReasonWithdrawn Reason = "withdrawn"
	// ReasonReplaced means that a stalled prompt was replaced already.
	ReasonReplaced Reason = "replaced"
	// ReasonEnded means that the first attempt ended while the extra one was prepared.
	ReasonEnded Reason = "ended"
	// ReasonUnsent means that the request did not reach the second endpoint.
	ReasonUnsent Reason = "unsent"
)

// MayPass reports whether an extra attempt that was not sent for this reason may be sent later.
func (r Reason) MayPass() bool {
	return r == ReasonShare || r == ReasonBudget || r == ReasonLoad || r == ReasonEndpoint
}

// Situation is the state of a service on which an extra attempt depends.
type Situation struct {
	// RetriesLeft is the number of retries that the budget allows now, of RetriesAllowed in
	// its window.
	RetriesLeft, RetriesAllowed float64
	// Load is the busy fraction of the service's endpoints.
	Load float64
}

// Stats are the counts of a Hedger since its start, and the delays in effect.
type Stats struct {
	// Sent is the number of extra attempts that were sent and have ended. The responses of Won
	// were used; those of Lost were not.
	Sent, Won, Lost int64
	// Refused is the number of extra attempts that were due and not sent.
	Refused map[Reason]int64
	// Delays holds the times after which extra attempts are due.
	Delays map[Class]time.Duration
}

// Hedger decides on the extra attempts of one service. It is safe for concurrent use.
type Hedger struct {
	cfg      Config
	quantile float64

	mu sync.Mutex
	// credit is the number of extra attempts that the share allows now.
	credit  float64
	windows map[Class]*window
	stats   Stats
}

// New returns a Hedger that knows no latencies.
func New(cfg Config) *Hedger {
	return &Hedger{
		cfg:      cfg,
		quantile: min(max(1-cfg.Share, minQuantile), maxQuantile),
		windows:  map[Class]*window{},
		stats:    Stats{Refused: map[Reason]int64{}},
	}
}

// RecordRequest records a request of the service.
func (h *Hedger) RecordRequest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.credit = min(h.credit+h.cfg.Share, maxCredit)
}

// Observe records how long the first attempt of a request took. If the extra attempt
// responded first, it is the time until then: the real one is longer and, like that time,
// above the delay, so that the quantile stays the same.
func (h *Hedger) Observe(c Class, took time.Duration, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.windows[c]
	if w == nil {
		w = newWindow(now)
		h.windows[c] = w
	}
	w.add(took, now)
}

// Delay returns the time after which a response counts as slow, and false as long as too few
// latencies are known.
func (h *Hedger) Delay(c Class, now time.Time) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.windows[c]
	if w == nil {
		return 0, false
	}
	return w.quantile(h.quantile, now)
}

// Take records an extra attempt and returns an empty Reason if it may be sent now.
func (h *Hedger) Take(s Situation) Reason {
	h.mu.Lock()
	defer h.mu.Unlock()
	reason := Reason("")
	switch {
	case s.Load >= maxLoad:
		reason = ReasonLoad
	case s.RetriesLeft-1 < retryReserve*s.RetriesAllowed:
		reason = ReasonBudget
	case h.credit < 1-creditTolerance:
		reason = ReasonShare
	default:
		h.credit--
		return ""
	}
	h.stats.Refused[reason]++
	return reason
}

// Return takes back an extra attempt that was taken and not sent.
func (h *Hedger) Return(r Reason) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.credit++
	h.stats.Refused[r]++
}

// Refuse counts an extra attempt that was due and is not sent for a reason that Take does
// not know.
func (h *Hedger) Refuse(r Reason) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stats.Refused[r]++
}

// Ended records the end of an extra attempt that was sent, and whether its response was used.
func (h *Hedger) Ended(won bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stats.Sent++
	if won {
		h.stats.Won++
		return
	}
	h.stats.Lost++
}

// Stats returns the counts and the delays.
func (h *Hedger) Stats(now time.Time) Stats {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.stats
	s.Refused, s.Delays = maps.Clone(s.Refused), map[Class]time.Duration{}
	for c, w := range h.windows {
		if d, ok := w.quantile(h.quantile, now); ok {
			s.Delays[c] = d
		}
	}
	return s
}

// Package slugnotice keeps what endpoints say about themselves in their responses: that
// they are leaving, or that they want no requests for a time.
//
// The load it answers: an endpoint stops while its registration still says that it accepts
// requests, because the registration is late, the store is away, or an older one comes back.
// Each response of the endpoint says that it is leaving, and the host that receives one must
// send it nothing more. An endpoint in need turns requests away and states for how long; a
// host that goes on trying makes it worse.
//
// A notice outlives the registration of the endpoint, and ends only with a newer incarnation
// or with the time that it states. Notices are kept by each host for itself. The package
// performs no I/O.
//
// # Usage
//
//	n := slugnotice.New()
//	changed := n.Record(endpoint, incarnation, slugnotice.Notice{Leaving: true}, time.Now())
//	if wait, leaving := n.Wait(endpoint, incarnation, time.Now()); wait == 0 && !leaving { send }
package slugnotice

import (
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

const (
	// maxRetryAfter limits the time for which an endpoint is left alone, since only its
	// responses can show that it wants requests again.
	maxRetryAfter = time.Hour
	// retention is how long a notice is kept without being asked for. Registrations of an
	// endpoint that is gone do not come back after that.
	retention = 24 * time.Hour
	// pruneInterval is the shortest time between searches for notices to forget.
	pruneInterval = time.Minute
)

// Notice is what a response of an endpoint says about the endpoint.
type Notice struct {
	// Leaving is set if the endpoint is about to stop.
	Leaving bool
	// RetryAfter is the time for which the endpoint wants no requests from this host, 0 if
	// it states none.
	RetryAfter time.Duration
}

// state holds the notices of one endpoint.
type state struct {
	incarnation int64
	// leavingAt is when the endpoint first said that it is leaving, zero if it did not.
	leavingAt time.Time
	waitUntil time.Time
	// usedAt is when the state was last recorded or asked for.
	usedAt time.Time
}

// Notices holds the notices of all endpoints. It is safe for concurrent use.
type Notices struct {
	mu       sync.Mutex
	states   map[slugname.Endpoint]*state
	prunedAt time.Time
}

// New returns an empty Notices.
func New() *Notices { return &Notices{states: map[slugname.Endpoint]*state{}} }

// Record records a notice of an incarnation of an endpoint, and returns the part of it that
// is new: Leaving if the endpoint was not known to leave, and RetryAfter if it was not
// waiting already. Notices of an older incarnation than the known one are ignored. A shorter
// time does not replace a longer one, because responses may overtake each other.
func (n *Notices) Record(e slugname.Endpoint, incarnation int64, notice Notice, now time.Time) (changed Notice) {
	notice.RetryAfter = min(notice.RetryAfter, maxRetryAfter)
	if !notice.Leaving && notice.RetryAfter <= 0 {
		return Notice{}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.prune(now)
	s := n.states[e]
	if s == nil || incarnation > s.incarnation {
		s = &state{incarnation: incarnation}
		n.states[e] = s
	}
	if incarnation < s.incarnation {
		return Notice{}
	}
	s.usedAt = now
	if notice.Leaving && s.leavingAt.IsZero() {
		s.leavingAt, changed.Leaving = now, true
	}
	if until := now.Add(notice.RetryAfter); until.After(s.waitUntil) && notice.RetryAfter > 0 {
		if !s.waitUntil.After(now) {
			changed.RetryAfter = notice.RetryAfter
		}
		s.waitUntil = until
	}
	return changed
}

// Wait returns the time for which an endpoint still wants no requests, and whether it is
// leaving. Notices of an incarnation also apply to older ones, whose registration is late.
func (n *Notices) Wait(e slugname.Endpoint, incarnation int64, now time.Time) (wait time.Duration, leaving bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.states[e]
	if s == nil || incarnation > s.incarnation {
		return 0, false
	}
	s.usedAt = now
	return max(0, s.waitUntil.Sub(now)), !s.leavingAt.IsZero()
}

// RecordReturn records a response that does not say that the endpoint is leaving, to a request
// that was sent at the given time, and reports whether that ends an earlier notice. It is for
// endpoints that state no incarnation: all their responses say so until they stop, so that
// one without it shows that the endpoint has started anew.
func (n *Notices) RecordReturn(e slugname.Endpoint, sentAt time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.states[e]
	if s == nil || s.leavingAt.IsZero() || !sentAt.After(s.leavingAt) {
		return false
	}
	delete(n.states, e)
	return true
}

// prune forgets the notices that have not been used for retention. The caller must hold
// n.mu.
func (n *Notices) prune(now time.Time) {
	if now.Sub(n.prunedAt) < pruneInterval {
		return
	}
	n.prunedAt = now
	for e, s := range n.states {
		if now.Sub(s.usedAt) > retention {
			delete(n.states, e)
		}
	}
}

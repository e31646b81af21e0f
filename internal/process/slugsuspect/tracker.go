// Package slugsuspect finds requests that crash the endpoints which run them.
//
// When an endpoint crashes, everything in flight there becomes suspect. A suspect
// runs again only alone among suspects. A request that was in flight at two
// crashes is quarantined for a time in its workspace.
//
// # Usage
//
//	t := slugsuspect.New(slugsuspect.Config{})
//	if t.State(fingerprint, now) == slugsuspect.Quarantined { refuse }
//	done := t.Begin(endpoint, fingerprint)
//	...
//	t.Crashed(endpoint, now)
package slugsuspect

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sassafraslug/sassafraslug/internal/process/slugname"
)

// Fingerprint identifies equal requests of one workspace.
type Fingerprint struct {
	Workspace slugname.Workspace
	Hash      uint64
}

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(w slugname.Workspace, path string, body []byte) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(path + "\x00")
	_, _ = d.Write(body)
	return Fingerprint{w, d.Sum64()}
}

// State says how a request may run.
type State int

// The states.
const (
	// Clear requests run anywhere.
	Clear State = iota
	// Suspected requests run alone among suspects.
	Suspected
	// Quarantined requests are refused.
	Quarantined
)

// Suspicion is what is known of a request, as peers tell each other.
type Suspicion struct {
	Fingerprint Fingerprint
	// Crashes are the endpoint incarnations that ended with the request.
	Crashes []Crash
	// For is how long the suspicion still lasts.
	For time.Duration
}

// Crash identifies one crash, so that two processes that saw the same one count
// it once.
type Crash struct {
	Endpoint slugname.Endpoint
	// Second is the time of the crash in units of crashUnit since 1970.
	Second int64
}

// Config sets the times.
type Config struct {
	// Quarantine is how long a request is refused after its second crash.
	Quarantine time.Duration
	// Memory is how long a single crash is remembered.
	Memory time.Duration
}

const (
	defaultQuarantine = 10 * time.Minute
	defaultMemory     = 5 * time.Minute
	// quarantineCrashes is the number of crashes that quarantine a request.
	quarantineCrashes = 2
	// sameCrash is the time within which crashes of an endpoint count as one.
	sameCrash = 2
	// maxSuspicions bounds the memory of the tracker.
	maxSuspicions = 4096
)

type entry struct {
	crashes []Crash
	until   time.Time
}

// Tracker knows the requests in flight and the suspicions of one process.
type Tracker struct {
	cfg Config

	mu       sync.Mutex
	inFlight map[slugname.Endpoint]map[Fingerprint]int
	suspects map[Fingerprint]*entry
	// changed is called after a new crash with the lock released; it may be nil.
	changed func(Suspicion)
}

// New returns a Tracker without suspicions. changed is called for each request
// that becomes suspect or quarantined here.
func New(cfg Config, changed func(Suspicion)) *Tracker {
	if cfg.Quarantine == 0 {
		cfg.Quarantine = defaultQuarantine
	}
	if cfg.Memory == 0 {
		cfg.Memory = defaultMemory
	}
	return &Tracker{cfg: cfg, inFlight: map[slugname.Endpoint]map[Fingerprint]int{}, suspects: map[Fingerprint]*entry{}, changed: changed}
}

// State returns how a request may run now.
func (t *Tracker) State(f Fingerprint, now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.suspects[f]
	switch {
	case e == nil || !now.Before(e.until):
		delete(t.suspects, f)
		return Clear
	case len(e.crashes) >= quarantineCrashes:
		return Quarantined
	default:
		return Suspected
	}
}

// Until returns when the suspicion of a request ends.
func (t *Tracker) Until(f Fingerprint) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.suspects[f]; e != nil {
		return e.until
	}
	return time.Time{}
}

// Begin records that a request runs at an endpoint until the returned function
// is called. A request that ended well is no longer suspect.
func (t *Tracker) Begin(e slugname.Endpoint, f Fingerprint) func(well bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight[e] == nil {
		t.inFlight[e] = map[Fingerprint]int{}
	}
	t.inFlight[e][f]++
	return func(well bool) { t.end(e, f, well) }
}

func (t *Tracker) end(e slugname.Endpoint, f Fingerprint, well bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight[e][f]--; t.inFlight[e][f] <= 0 {
		delete(t.inFlight[e], f)
	}
	if len(t.inFlight[e]) == 0 {
		delete(t.inFlight, e)
	}
	if s := t.suspects[f]; well && s != nil && len(s.crashes) < quarantineCrashes {
		delete(t.suspects, f)
	}
}

// Crashed records the crash of an endpoint and suspects all that ran there.
func (t *Tracker) Crashed(e slugname.Endpoint, now time.Time) {
	t.mu.Lock()
	var told []Suspicion
	c := Crash{e, now.Unix()}
	for f := range t.inFlight[e] {
		if t.suspect(f, c, now) {
			told = append(told, t.suspicion(f, now))
		}
	}
	t.mu.Unlock()
	if t.changed == nil {
		return
	}
	for _, s := range told {
		t.changed(s)
	}
}

// suspect adds a crash to a request and reports whether it was new.
func (t *Tracker) suspect(f Fingerprint, c Crash, now time.Time) bool {
	s := t.suspects[f]
	if s == nil || !now.Before(s.until) {
		t.makeRoom(now)
		s = &entry{}
		t.suspects[f] = s
	}
	for _, x := range s.crashes {
		if x.Endpoint == c.Endpoint && abs(x.Second-c.Second) <= sameCrash {
			return false
		}
	}
	s.crashes = append(s.crashes, c)
	s.until = now.Add(t.cfg.Memory)
	if len(s.crashes) >= quarantineCrashes {
		s.until = now.Add(t.cfg.Quarantine)
	}
	return true
}

func abs(n int64) int64 { return max(n, -n) }

func (t *Tracker) makeRoom(now time.Time) {
	if len(t.suspects) < maxSuspicions {
		return
	}
	for f, e := range t.suspects {
		if !now.Before(e.until) || len(e.crashes) < quarantineCrashes {
			delete(t.suspects, f)
		}
	}
}

func (t *Tracker) suspicion(f Fingerprint, now time.Time) Suspicion {
	s := t.suspects[f]
	return Suspicion{f, append([]Crash(nil), s.crashes...), s.until.Sub(now)}
}

// Suspicions returns all that lasts, for peers.
func (t *Tracker) Suspicions(now time.Time) []Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Suspicion
	for f, e := range t.suspects {
		if now.Before(e.until) {
			out = append(out, t.suspicion(f, now))
		}
	}
	return out
}

// Heard takes a peer's suspicion.
func (t *Tracker) Heard(s Suspicion, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range s.Crashes {
		if t.suspect(s.Fingerprint, c, now) {
			t.suspects[s.Fingerprint].until = now.Add(s.For)
		}
	}
}

// Package slugsuspect finds requests that crash the endpoints which run them.
//
// When an endpoint crashes, everything in flight there becomes suspect. A suspect
// runs again only alone among suspects. If that crashes an endpoint again, the
// request is quarantined for a time in its workspace. What merely ran beside it
// stays a suspect and finishes.
//
// # Usage
//
//	t := slugsuspect.New(slugsuspect.Config{})
//	if t.State(fingerprint, now) == slugsuspect.Quarantined { refuse }
//	done := t.Begin(endpoint, fingerprint, false)
//	...
//	t.Crashed(endpoint, failed)
package slugsuspect

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
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
	// Alone tells that the request was the only suspect there.
	Alone bool
}

// Config sets the times.
type Config struct {
	// Quarantine is how long a request is refused after its second crash.
	Quarantine time.Duration
	// Memory is how long a single crash is remembered.
	Memory time.Duration
	// Crashes is the number of crashes that quarantine a request though it was never
	// the only suspect; 0 means a default.
	Crashes int
}

const (
	defaultQuarantine = 10 * time.Minute
	defaultMemory     = 5 * time.Minute
	// defaultCrashes is the number of crashes that quarantine a request though it was
	// never the only suspect.
	defaultCrashes = 5
	// brokenMemory is how long an attempt that an endpoint broke off is remembered: an
	// endpoint that crashed is back, and says so, after some seconds.
	brokenMemory = 20 * time.Second
	// sameCrash is the time within which crashes of an endpoint count as one.
	sameCrash = 2
	// maxSuspicions bounds the memory of the tracker.
	maxSuspicions = 4096
)

type entry struct {
	crashes []Crash
	until   time.Time
	// most is the number of crashes that quarantine.
	most int
}

// quarantined reports whether the crashes are the request's own doing.
func (e *entry) quarantined() bool {
	return len(e.crashes) >= e.most || slices.ContainsFunc(e.crashes, func(c Crash) bool { return c.Alone })
}

// run is an equal request at an endpoint.
type run struct {
	count int
	// suspects is how many of them run as suspects.
	suspects int
	// began is when the first of them began, suspectBegan when the suspect did.
	began        time.Time
	suspectBegan time.Time
}

// Tracker knows the requests in flight and the suspicions of one process.
type Tracker struct {
	cfg Config

	mu       sync.Mutex
	inFlight map[slugname.Endpoint]map[Fingerprint]run
	suspects map[Fingerprint]*entry
	// broken holds when an endpoint last broke off an attempt of a request.
	broken map[slugname.Endpoint]map[Fingerprint]time.Time
	// alone holds the suspects that run now; the channel is closed at their end.
	alone map[Fingerprint]chan struct{}
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
	if cfg.Crashes == 0 {
		cfg.Crashes = defaultCrashes
	}
	return &Tracker{
		cfg: cfg, inFlight: map[slugname.Endpoint]map[Fingerprint]run{}, suspects: map[Fingerprint]*entry{},
		broken: map[slugname.Endpoint]map[Fingerprint]time.Time{}, alone: map[Fingerprint]chan struct{}{}, changed: changed,
	}
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
	case e.quarantined():
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

// Alone waits until no equal suspect runs here, and holds others back until the
// returned function is called. Equal requests that wait then learn from the outcome
// of the first.
func (t *Tracker) Alone(ctx context.Context, f Fingerprint) (release func(), err error) {
	for {
		t.mu.Lock()
		running, ok := t.alone[f]
		if !ok {
			done := make(chan struct{})
			t.alone[f] = done
			t.mu.Unlock()
			return func() { t.endAlone(f, done) }, nil
		}
		t.mu.Unlock()
		select {
		case <-running:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (t *Tracker) endAlone(f Fingerprint, done chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.alone, f)
	close(done)
}

// Begin records that a request runs at an endpoint until the returned function
// is called. A request that ended well is no longer suspect.
func (t *Tracker) Begin(e slugname.Endpoint, f Fingerprint, suspect bool) func(well bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight[e] == nil {
		t.inFlight[e] = map[Fingerprint]run{}
	}
	t.count(e, f, 1, suspect)
	return func(well bool) { t.end(e, f, suspect, well) }
}

// count changes the number of equal requests at an endpoint; t.mu is held.
func (t *Tracker) count(e slugname.Endpoint, f Fingerprint, n int, suspect bool) {
	r := t.inFlight[e][f]
	if r.count == 0 {
		r.began = time.Now()
	}
	if suspect && r.suspects == 0 {
		r.suspectBegan = time.Now()
	}
	r.count += n
	if suspect {
		r.suspects += n
	}
	t.inFlight[e][f] = r
	if r.count <= 0 {
		delete(t.inFlight[e], f)
	}
}

func (t *Tracker) end(e slugname.Endpoint, f Fingerprint, suspect, well bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count(e, f, -1, suspect)
	if len(t.inFlight[e]) == 0 {
		delete(t.inFlight, e)
	}
	if s := t.suspects[f]; well && s != nil && !s.quarantined() {
		delete(t.suspects, f)
	}
}

// Crashed records the crash of an endpoint and suspects all that ran there when a
// connection to it failed. What began later does not count: word of a crash may come
// after the endpoint works again.
func (t *Tracker) Crashed(e slugname.Endpoint, failed time.Time) {
	now := time.Now()
	t.mu.Lock()
	var told []Suspicion
	for f, r := range t.inFlight[e] {
		if !r.began.Before(failed) {
			continue
		}
		alone := r.suspects > 0 && r.suspectBegan.Before(failed)
		if t.suspect(f, Crash{e, failed.Unix(), alone}, now) {
			told = append(told, t.suspicion(f, now))
		}
	}
	t.mu.Unlock()
	t.tell(told)
}

// Broke notes that an endpoint broke off an attempt of a request. That alone is no ground
// for suspicion: a connection may fail, and an endpoint may be at fault.
func (t *Tracker) Broke(e slugname.Endpoint, f Fingerprint, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.broken[e] == nil {
		t.broken[e] = map[Fingerprint]time.Time{}
	}
	t.broken[e][f] = now
	for old, at := range t.broken[e] {
		if now.Sub(at) > brokenMemory {
			delete(t.broken[e], old)
		}
	}
}

// Restarted notes that an endpoint started again without having left. The requests whose
// attempts it broke off lately are suspects.
func (t *Tracker) Restarted(e slugname.Endpoint, now time.Time) {
	t.mu.Lock()
	var told []Suspicion
	for f, at := range t.broken[e] {
		if now.Sub(at) <= brokenMemory && t.suspect(f, Crash{Endpoint: e, Second: at.Unix()}, now) {
			told = append(told, t.suspicion(f, now))
		}
	}
	delete(t.broken, e)
	t.mu.Unlock()
	t.tell(told)
}

// tell reports new suspicions, with t.mu released.
func (t *Tracker) tell(list []Suspicion) {
	if t.changed == nil {
		return
	}
	for _, s := range list {
		t.changed(s)
	}
}

// suspect adds a crash to a request and reports whether it was new.
func (t *Tracker) suspect(f Fingerprint, c Crash, now time.Time) bool {
	s := t.suspects[f]
	if s == nil || !now.Before(s.until) {
		t.makeRoom(now)
		s = &entry{most: t.cfg.Crashes}
		t.suspects[f] = s
	}
	if !s.add(c) {
		return false
	}
	s.until = now.Add(t.cfg.Memory)
	if s.quarantined() {
		s.until = now.Add(t.cfg.Quarantine)
	}
	return true
}

// add adds a crash and reports whether it tells anything new.
func (e *entry) add(c Crash) bool {
	for i, x := range e.crashes {
		if x.Endpoint == c.Endpoint && abs(x.Second-c.Second) <= sameCrash {
			e.crashes[i].Alone = x.Alone || c.Alone
			return c.Alone && !x.Alone
		}
	}
	e.crashes = append(e.crashes, c)
	return true
}

func abs(n int64) int64 { return max(n, -n) }

func (t *Tracker) makeRoom(now time.Time) {
	if len(t.suspects) < maxSuspicions {
		return
	}
	for f, e := range t.suspects {
		if !now.Before(e.until) || !e.quarantined() {
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

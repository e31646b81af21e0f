// Package slugsuspect identifies requests that crash the endpoints which run them.
//
// When an endpoint crashes, all requests in flight there become suspects. A suspect
// runs again only where no other suspect runs. If that crashes an endpoint again, the
// request is quarantined for a time in its workspace. Requests that merely ran next to
// it remain suspects until they succeed or the suspicion expires.
//
// # Usage
//
//	t := slugsuspect.New(slugsuspect.Config{}, onChange)
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

// Fingerprint identifies identical requests of one workspace.
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

// Possible values of State.
const (
	// Clear requests run anywhere.
	Clear State = iota
	// Suspected requests run where no other suspect runs.
	Suspected
	// Quarantined requests are refused.
	Quarantined
)

// Suspicion holds the crashes attributed to a request, as exchanged between peers.
type Suspicion struct {
	Fingerprint Fingerprint
	// Crashes are the endpoint crashes during which the request was running.
	Crashes []Crash
	// For is the remaining duration of the suspicion.
	For time.Duration
}

// Crash identifies one crash, so that a crash seen by several processes is counted
// once.
type Crash struct {
	Endpoint slugname.Endpoint
	// Second is the time of the crash in seconds since 1970.
	Second int64
	// Alone is set if the request was running as a suspect, and hence as the only one
	// there.
	Alone bool
}

// Config holds the durations and limits of a Tracker; zero values mean defaults.
type Config struct {
	// Quarantine is how long a request is refused after the crash that quarantines it.
	Quarantine time.Duration
	// CrashRetention is how long a crash that does not quarantine is remembered.
	CrashRetention time.Duration
	// MaxCrashes is the number of crashes that quarantine a request even if it never ran
	// as the only suspect.
	MaxCrashes int
}

const (
	defaultQuarantine = 10 * time.Minute
	defaultMemory     = 5 * time.Minute
	defaultCrashes    = 5
	// sameCrashSeconds is the maximum time between reports of the same crash of an
	// endpoint.
	sameCrashSeconds = 2
	// maxSuspicions is the number of suspicions at which expired and unquarantined ones
	// are evicted.
	maxSuspicions = 4096
)

// suspectRecord holds the crashes attributed to one request.
type suspectRecord struct {
	crashes []Crash
	until   time.Time
	// maxCrashes is the number of crashes that quarantine the request.
	maxCrashes int
}

// quarantined reports whether the crashes are attributed to the request itself.
func (r *suspectRecord) quarantined() bool {
	return len(r.crashes) >= r.maxCrashes || slices.ContainsFunc(r.crashes, func(c Crash) bool { return c.Alone })
}

// activeRuns counts the identical requests that run at an endpoint.
type activeRuns struct {
	count int
	// suspects is the number of them that run as suspects.
	suspects int
	// startedAt is when the first of them started, suspectStartedAt when the first
	// suspect did.
	startedAt        time.Time
	suspectStartedAt time.Time
}

// Tracker tracks the requests in flight and the suspicions of one process. It is safe
// for concurrent use.
type Tracker struct {
	cfg Config

	mu       sync.Mutex
	inFlight map[slugname.Endpoint]map[Fingerprint]activeRuns
	suspects map[Fingerprint]*suspectRecord
	// exclusive holds the suspects that run now; the channel is closed when the run
	// ends.
	exclusive map[Fingerprint]chan struct{}
	// onChange is called for new crashes, without the lock held; it may be nil.
	onChange func(Suspicion)
}

// New returns a Tracker without suspicions. onChange is called for each request to
// which this process attributes a new crash; it may be nil.
func New(cfg Config, onChange func(Suspicion)) *Tracker {
	if cfg.Quarantine == 0 {
		cfg.Quarantine = defaultQuarantine
	}
	if cfg.CrashRetention == 0 {
		cfg.CrashRetention = defaultMemory
	}
	if cfg.MaxCrashes == 0 {
		cfg.MaxCrashes = defaultCrashes
	}
	return &Tracker{
		cfg: cfg, inFlight: map[slugname.Endpoint]map[Fingerprint]activeRuns{}, suspects: map[Fingerprint]*suspectRecord{},
		exclusive: map[Fingerprint]chan struct{}{}, onChange: onChange,
	}
}

// State returns how a request may run now.
func (t *Tracker) State(f Fingerprint, now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := t.suspects[f]
	switch {
	case record == nil || !now.Before(record.until):
		delete(t.suspects, f)
		return Clear
	case record.quarantined():
		return Quarantined
	default:
		return Suspected
	}
}

// SuspectUntil returns when the suspicion of a request expires, or the zero time if there is
// none.
func (t *Tracker) SuspectUntil(f Fingerprint) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if record := t.suspects[f]; record != nil {
		return record.until
	}
	return time.Time{}
}

// AcquireExclusive waits until no identical suspect runs in this process, and makes
// others wait until release is called. This way waiting requests learn from the outcome
// of the first.
func (t *Tracker) AcquireExclusive(ctx context.Context, f Fingerprint) (release func(), err error) {
	for {
		t.mu.Lock()
		running, ok := t.exclusive[f]
		if !ok {
			done := make(chan struct{})
			t.exclusive[f] = done
			t.mu.Unlock()
			return func() { t.releaseExclusive(f, done) }, nil
		}
		t.mu.Unlock()
		select {
		case <-running:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// releaseExclusive ends the exclusive run of a suspect and wakes those that wait for
// it.
func (t *Tracker) releaseExclusive(f Fingerprint, done chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.exclusive, f)
	close(done)
}

// Begin records that a request runs at an endpoint until the returned function is
// called. A request that succeeds is no longer suspect, unless it has been quarantined.
func (t *Tracker) Begin(e slugname.Endpoint, f Fingerprint, suspect bool) func(succeeded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight[e] == nil {
		t.inFlight[e] = map[Fingerprint]activeRuns{}
	}
	t.countRun(e, f, 1, suspect)
	return func(succeeded bool) { t.endRun(e, f, suspect, succeeded) }
}

// countRun changes the number of identical requests at an endpoint by n. The caller
// must hold t.mu.
func (t *Tracker) countRun(e slugname.Endpoint, f Fingerprint, n int, suspect bool) {
	r := t.inFlight[e][f]
	if r.count == 0 {
		r.startedAt = time.Now()
	}
	if suspect && r.suspects == 0 {
		r.suspectStartedAt = time.Now()
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

// endRun removes a run that Begin recorded.
func (t *Tracker) endRun(e slugname.Endpoint, f Fingerprint, suspect, succeeded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countRun(e, f, -1, suspect)
	if len(t.inFlight[e]) == 0 {
		delete(t.inFlight, e)
	}
	if record := t.suspects[f]; succeeded && record != nil && !record.quarantined() {
		delete(t.suspects, f)
	}
}

// Crashed records the crash of an endpoint and suspects all requests that were running
// there when a connection to it failed. Requests that started later are not suspected,
// because a crash may be reported after the endpoint works again.
func (t *Tracker) Crashed(e slugname.Endpoint, failed time.Time) {
	now := time.Now()
	t.mu.Lock()
	var changes []Suspicion
	for f, r := range t.inFlight[e] {
		if !r.startedAt.Before(failed) {
			continue
		}
		alone := r.suspects > 0 && r.suspectStartedAt.Before(failed)
		if t.addCrash(f, Crash{e, failed.Unix(), alone}, now) {
			changes = append(changes, t.suspicion(f, now))
		}
	}
	t.mu.Unlock()
	t.notify(changes)
}

// notify reports changed suspicions to onChange. The caller must not hold t.mu.
func (t *Tracker) notify(list []Suspicion) {
	if t.onChange == nil {
		return
	}
	for _, s := range list {
		t.onChange(s)
	}
}

// addCrash attributes a crash to a request and reports whether that changed the
// suspicion. The caller must hold t.mu.
func (t *Tracker) addCrash(f Fingerprint, c Crash, now time.Time) bool {
	record := t.suspects[f]
	if record == nil || !now.Before(record.until) {
		t.evict(now)
		record = &suspectRecord{maxCrashes: t.cfg.MaxCrashes}
		t.suspects[f] = record
	}
	if !record.add(c) {
		return false
	}
	record.until = now.Add(t.cfg.CrashRetention)
	if record.quarantined() {
		record.until = now.Add(t.cfg.Quarantine)
	}
	return true
}

// add adds a crash and reports whether it contains new information.
func (r *suspectRecord) add(c Crash) bool {
	for i, known := range r.crashes {
		if known.Endpoint == c.Endpoint && abs(known.Second-c.Second) <= sameCrashSeconds {
			r.crashes[i].Alone = known.Alone || c.Alone
			return c.Alone && !known.Alone
		}
	}
	r.crashes = append(r.crashes, c)
	return true
}

func abs(n int64) int64 { return max(n, -n) }

// evict removes all expired and unquarantined suspicions once maxSuspicions is reached.
// The caller must hold t.mu.
func (t *Tracker) evict(now time.Time) {
	if len(t.suspects) < maxSuspicions {
		return
	}
	for f, record := range t.suspects {
		if !now.Before(record.until) || !record.quarantined() {
			delete(t.suspects, f)
		}
	}
}

// suspicion returns the suspicion of a request. The caller must hold t.mu.
func (t *Tracker) suspicion(f Fingerprint, now time.Time) Suspicion {
	record := t.suspects[f]
	return Suspicion{f, append([]Crash(nil), record.crashes...), record.until.Sub(now)}
}

// Suspicions returns all current suspicions, to be sent to peers.
func (t *Tracker) Suspicions(now time.Time) []Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Suspicion
	for f, record := range t.suspects {
		if now.Before(record.until) {
			out = append(out, t.suspicion(f, now))
		}
	}
	return out
}

// MergePeer merges a suspicion received from a peer.
func (t *Tracker) MergePeer(s Suspicion, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range s.Crashes {
		if t.addCrash(s.Fingerprint, c, now) {
			t.suspects[s.Fingerprint].until = now.Add(s.For)
		}
	}
}

// Package slugquarantine decides which requests are refused because they crash the
// endpoints that run them.
//
// The load it answers: endpoints of one service crash one after the other, and each crash
// interrupts many requests of many hosts, of which one is to blame. The culprit is either
// one request that is sent again unchanged, or one part of a prompt that otherwise
// different requests share. The innocent requests share their workspace and all other
// parts with it, and they are interrupted as often. They differ in one respect: requests
// with an innocent part are also served.
//
// A request is described by its traits: the request as a whole, and each part of its prompt
// but the last, which belongs to the request alone. Each crash counts against the traits of
// the requests that it interrupted, and a response clears the traits of its request. A
// trait that was not served lately is quarantined after a few crashes, one that was served
// only after more crashes without any response. Crashes that a quarantined part explains do
// not count against other parts.
//
// The package performs no I/O. Trackers of different processes exchange entries, which
// merge in any order and any number of times to the same result.
//
// # Usage
//
//	t := slugquarantine.New()
//	if v, ok := t.Find(subject, now); ok { refuse }
//	run := t.Begin(start, subject, now)
//	...
//	run.Interrupted(now) // or run.Served(now)
//	t.Crashed(start, now)
//	for _, v := range t.Decide(now) { announce the verdict }
package slugquarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

// Scope says what a trait stands for.
type Scope uint8

// Possible values of Scope.
const (
	// ScopeRequest is a whole request of one workspace.
	ScopeRequest Scope = iota
	// ScopePart is a part of a prompt, in requests of all workspaces.
	ScopePart
)

// String returns the name of the scope.
func (s Scope) String() string {
	if s == ScopePart {
		return "part"
	}
	return "request"
}

// Trait is a property that requests can share.
type Trait struct {
	_     struct{} `cbor:",toarray"`
	Scope Scope
	Hash  uint64
}

// Subject holds the traits of one request.
type Subject struct {
	Request Trait
	// Parts are the parts of the prompt without the last one.
	Parts []Trait
}

// PartTrait returns the trait of a part of prompts with the given ID.
func PartTrait(id string) Trait { return Trait{Scope: ScopePart, Hash: xxhash.Sum64String(id)} }

// NewSubject returns the traits of a request. parts are the IDs of all parts of its prompt.
func NewSubject(w slugname.Workspace, path string, body []byte, parts []string) Subject {
	d := xxhash.New()
	_, _ = d.WriteString(string(w) + "\x00" + path + "\x00")
	_, _ = d.Write(body)
	for _, p := range parts {
		_, _ = d.WriteString("\x00" + p)
	}
	s := Subject{Request: Trait{Scope: ScopeRequest, Hash: d.Sum64()}}
	for _, p := range parts[:max(0, len(parts)-1)] {
		t := PartTrait(p)
		if !slices.Contains(s.Parts, t) {
			s.Parts = append(s.Parts, t)
		}
	}
	return s
}

// Start identifies one start of an endpoint, and thereby the crash that ends it.
type Start struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    slugname.Endpoint
	Incarnation int64
}

const (
	// crashRetention is how long a crash is remembered, and requestRetention how long it
	// counts against the whole request: no other request shares that, and the same one may
	// come again rarely.
	crashRetention, requestRetention = time.Minute, 10 * time.Minute
	// servedRetention is how long a response speaks for the parts of its prompt.
	servedRetention = 15 * time.Second
	// interruptionWindow is the longest time between an interrupted request and the news
	// that its endpoint has crashed. It covers the time after which the entry of a crashed
	// endpoint disappears.
	interruptionWindow = 6 * time.Second
	// silenceBeforeProbe is how long an endpoint must have been silent before a request
	// without an answer is a reason to probe it.
	silenceBeforeProbe = 500 * time.Millisecond
	// maxRecords and maxServed bound the traits that are remembered, and maxInterruptions
	// the interrupted requests of one start of an endpoint.
	maxRecords, maxServed, maxInterruptions = 2048, 8192, 256
	// pruneInterval is the time between removals of outdated state.
	pruneInterval = time.Second
)

// interruption is a request that an endpoint broke off or left without an answer.
type interruption struct {
	run *Run
	at  time.Time
	// unanswered is set if the endpoint did not break off the request: it had not answered
	// at that time. It may have ended, or still be at work.
	unanswered bool
}

// response is the latest response to requests with a part.
type response struct {
	at    time.Time
	count uint32
}

// Tracker tracks the traits of requests that were interrupted by crashes of the endpoints of
// one service. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	records map[Trait]*record
	// served holds the parts to which there was a response within servedRetention.
	served map[Trait]response
	// interruptions holds the requests that endpoints broke off recently.
	interruptions map[Start][]interruption
	// crashed holds the starts of endpoints that ended in a crash.
	crashed map[Start]time.Time
	// heard holds the times of the latest signs of life of endpoints, and answeredAt that of
	// the latest complete response of any endpoint.
	heard      map[Start]time.Time
	answeredAt time.Time
	prunedAt   time.Time
}

// New returns a Tracker that suspects nothing.
func New() *Tracker {
	return &Tracker{
		records: map[Trait]*record{}, served: map[Trait]response{}, interruptions: map[Start][]interruption{}, crashed: map[Start]time.Time{},
		heard: map[Start]time.Time{},
	}
}

// Run is a request that runs at an endpoint. It ends without a call if nothing can be
// learned from it.
type Run struct {
	tracker *Tracker
	start   Start
	subject Subject
	began   time.Time
}

// Begin returns a Run for a request that is about to be sent to an endpoint.
func (t *Tracker) Begin(e Start, s Subject, now time.Time) *Run {
	return &Run{t, e, s, now}
}

// Heard records a sign of life of the endpoint: the head of a response, or an event.
func (r *Run) Heard(now time.Time) {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordHeard(r.start, now)
}

// recordHeard implements Heard. The caller must hold t.mu.
func (t *Tracker) recordHeard(e Start, now time.Time) {
	t.heard[e] = now
	// The endpoint was only silent for a while.
	delete(t.crashed, e)
}

// Served records that the endpoint has completed the response. It clears all traits of the
// request.
func (r *Run) Served(now time.Time) {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordHeard(r.start, now)
	t.answeredAt = now
	for _, trait := range r.subject.Parts {
		if old := t.served[trait]; !old.at.IsZero() || len(t.served) < maxServed {
			t.served[trait] = response{now, old.count + 1}
		}
		t.clear(trait, r.began, now)
	}
	t.clear(r.subject.Request, r.began, now)
	t.prune(now)
}

// clear records a response in the record of a trait, if it has one. The caller must hold
// t.mu.
func (t *Tracker) clear(trait Trait, began, now time.Time) {
	if rec := t.records[trait]; rec != nil {
		rec.recordServed(began, now)
	}
}

// Interrupted records that the endpoint broke off the request. This counts against the
// request only if the endpoint turns out to have crashed.
func (r *Run) Interrupted(now time.Time) {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.crashed[r.start]; ok {
		t.blame(r, now, now)
		return
	}
	t.addInterruption(interruption{run: r, at: now})
	t.prune(now)
}

// Unanswered records that the endpoint has not answered the request so far, or not until it
// was canceled. This counts against the request only if the endpoint turns out to have ended
// without another sign of life. It reports whether the endpoint has been silent towards this
// process for silenceBeforeProbe, so that it is worth finding out.
func (r *Run) Unanswered(now time.Time) (silent bool) {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addInterruption(interruption{run: r, at: now, unanswered: true})
	t.prune(now)
	return now.Sub(t.heard[r.start]) >= silenceBeforeProbe
}

// AnsweredElsewhere records that the request was canceled at the endpoint because another one
// answered it first. That it was unanswered here then counts against nothing, even if the
// endpoint ends.
func (r *Run) AnsweredElsewhere() {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	list := slices.DeleteFunc(t.interruptions[r.start], func(i interruption) bool { return i.run == r && i.unanswered })
	if len(list) == 0 {
		delete(t.interruptions, r.start)
		return
	}
	t.interruptions[r.start] = list
}

// addInterruption adds an interruption. One that the endpoint broke off replaces an earlier
// one of the same run. The caller must hold t.mu.
func (t *Tracker) addInterruption(i interruption) {
	start := i.run.start
	list := t.interruptions[start]
	n := slices.IndexFunc(list, func(other interruption) bool { return other.run == i.run })
	switch {
	case n >= 0 && !i.unanswered:
		list[n] = i
	case n < 0 && len(list) < maxInterruptions:
		t.interruptions[start] = append(list, i)
	}
}

// Crashed records that an endpoint has crashed, and returns the number of requests that this
// interrupted. It returns false if the crash is known.
func (t *Tracker) Crashed(e Start, now time.Time) (interrupted int, isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recordCrash(e, now)
}

// Silent records that an endpoint takes no connection, and returns the same as Crashed. This
// counts as a crash only if another endpoint has answered this process since the endpoint
// left a request without an answer: otherwise the process may be cut off itself.
func (t *Tracker) Silent(e Start, now time.Time) (interrupted int, isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range t.interruptions[e] {
		if i.unanswered && t.answeredAt.After(i.at) && !t.heard[e].After(i.at) {
			return t.recordCrash(e, now)
		}
	}
	return 0, false
}

// Ended records that an endpoint has ended, possibly as planned. This is a crash only if the
// endpoint broke off requests shortly before, or left them without an answer; otherwise the
// result is as for a known crash.
func (t *Tracker) Ended(e Start, now time.Time) (interrupted int, isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range t.interruptions[e] {
		if t.counts(e, i, now) {
			return t.recordCrash(e, now)
		}
	}
	return 0, false
}

// counts reports whether an interruption is to be blamed on a crash of its endpoint. The
// caller must hold t.mu.
func (t *Tracker) counts(e Start, i interruption, now time.Time) bool {
	return now.Sub(i.at) <= interruptionWindow && (!i.unanswered || !t.heard[e].After(i.at))
}

// recordCrash implements Crashed. The caller must hold t.mu.
func (t *Tracker) recordCrash(e Start, now time.Time) (interrupted int, isNew bool) {
	if _, ok := t.crashed[e]; ok {
		return 0, false
	}
	t.crashed[e] = now
	for _, i := range t.interruptions[e] {
		if t.counts(e, i, now) {
			t.blame(i.run, i.at, now)
			interrupted++
		}
	}
	delete(t.interruptions, e)
	t.prune(now)
	return interrupted, true
}

// blame counts a crash against the traits of a request that it interrupted at a time. The
// caller must hold t.mu.
func (t *Tracker) blame(r *Run, at, now time.Time) {
	c := crash{request: uint32(r.subject.Request.Hash), began: r.began, at: at}
	for _, trait := range append([]Trait{r.subject.Request}, r.subject.Parts...) {
		if rec := t.record(trait, now); rec != nil {
			rec.addCrash(r.start, c)
			rec.runs++
		}
	}
}

// record returns the record of a trait and creates it if necessary. It returns nil if there
// are too many. The caller must hold t.mu.
func (t *Tracker) record(trait Trait, now time.Time) *record {
	rec := t.records[trait]
	if rec != nil {
		return rec
	}
	if len(t.records) >= maxRecords {
		t.evict(now)
	}
	if len(t.records) >= maxRecords {
		return nil
	}
	rec = newRecord(trait)
	if s := t.served[trait]; !s.at.IsZero() && now.Sub(s.at) <= servedRetention {
		rec.servedAt, rec.served = s.at, s.count
	}
	t.records[trait] = rec
	return rec
}

// prune removes outdated state. The caller must hold t.mu.
func (t *Tracker) prune(now time.Time) {
	if now.Sub(t.prunedAt) < pruneInterval {
		return
	}
	t.prunedAt = now
	for trait, s := range t.served {
		if now.Sub(s.at) > servedRetention {
			delete(t.served, trait)
		}
	}
	for e, at := range t.crashed {
		if now.Sub(at) > crashRetention {
			delete(t.crashed, e)
		}
	}
	for e, at := range t.heard {
		if now.Sub(at) > crashRetention {
			delete(t.heard, e)
		}
	}
	for e, list := range t.interruptions {
		if now.Sub(list[len(list)-1].at) > interruptionWindow {
			delete(t.interruptions, e)
		}
	}
	for trait, rec := range t.records {
		if rec.outdated(now) {
			delete(t.records, trait)
		}
	}
}

// evict removes the records of traits that are not quarantined and have only one crash. The
// caller must hold t.mu.
func (t *Tracker) evict(now time.Time) {
	for trait, rec := range t.records {
		if !rec.quarantined(now) && len(rec.crashes) <= 1 {
			delete(t.records, trait)
		}
	}
}

// Counts returns the number of traits with crashes and the number of quarantined traits.
func (t *Tracker) Counts(now time.Time) (suspected, quarantined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, rec := range t.records {
		if rec.quarantined(now) {
			quarantined++
		} else {
			suspected++
		}
	}
	return suspected, quarantined
}

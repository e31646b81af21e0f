package slugquarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxEntryCrashes bounds the crashes in one entry.
	maxEntryCrashes = 8
	// maxEntries bounds the entries that are sent at once.
	maxEntries = 64
	// maxAge bounds the ages that peers may report.
	maxAge = time.Hour
)

// EntryCrash is a crash as exchanged between processes.
type EntryCrash struct {
	_       struct{} `cbor:",toarray"`
	Start   Start
	Request uint32
	// BeganMs and InterruptedMs are the times since the request was sent and since it was
	// interrupted, in milliseconds.
	BeganMs, InterruptedMs uint32
}

// Entry is what a process knows about a trait, as exchanged between processes.
type Entry struct {
	_       struct{} `cbor:",toarray"`
	Trait   Trait
	Crashes []EntryCrash
	Runs    uint32
	Served  uint32
	// ServedMs is the time since the latest response in milliseconds plus one, or 0 if none
	// is known.
	ServedMs uint32
	// QuarantineMs is the remaining duration of the quarantine in milliseconds, or 0.
	QuarantineMs uint32
}

// Changed returns the entries that have changed since they were returned last, up to a
// bound.
func (t *Tracker) Changed(now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.entries(now, func(r *record) bool { return r.changed && r.worthSending(now) })
	for _, e := range out {
		t.records[e.Trait].changed = false
	}
	return out
}

// All returns the entries of all traits, up to a bound. Single crashes of requests are left
// out after crashRetention: most of these requests never come again.
func (t *Tracker) All(now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries(now, func(r *record) bool {
		return r.worthSending(now) && (r.quarantined(now) || len(r.crashes) > 1 || r.crashedSince(now.Add(-crashRetention)))
	})
}

// crashedSince reports whether there was a crash after a time.
func (r *record) crashedSince(at time.Time) bool {
	for _, c := range r.crashes {
		if c.at.After(at) {
			return true
		}
	}
	return false
}

// worthSending reports whether the trait may be a culprit, or a peer suspects that it is.
func (r *record) worthSending(now time.Time) bool {
	return r.reported || r.quarantined(now) || !r.servedLately(now) || now.Sub(r.servedAt) >= servedPartSilence
}

// entries returns the entries of the selected records, up to maxEntries: quarantined traits
// first, then those with most crashes. The caller must hold t.mu.
func (t *Tracker) entries(now time.Time, selected func(*record) bool) []Entry {
	var list []*record
	for _, rec := range t.records {
		if selected(rec) {
			list = append(list, rec)
		}
	}
	slices.SortFunc(list, func(a, b *record) int {
		return cmp.Or(b.until.Compare(a.until), cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.trait.Hash, b.trait.Hash))
	})
	out := make([]Entry, 0, min(len(list), maxEntries))
	for _, rec := range list[:min(len(list), maxEntries)] {
		out = append(out, rec.entry(now))
	}
	return out
}

// entry converts a record for peers.
func (r *record) entry(now time.Time) Entry {
	e := Entry{Trait: r.trait, Runs: r.runs, Served: r.served}
	for _, start := range r.newestCrashes(maxEntryCrashes) {
		c := r.crashes[start]
		e.Crashes = append(e.Crashes, EntryCrash{Start: start, Request: c.request, BeganMs: milliseconds(now.Sub(c.began)), InterruptedMs: milliseconds(now.Sub(c.at))})
	}
	if !r.servedAt.IsZero() {
		e.ServedMs = milliseconds(now.Sub(r.servedAt)) + 1
	}
	if r.quarantined(now) {
		e.QuarantineMs = milliseconds(r.until.Sub(now))
	}
	return e
}

// milliseconds converts a duration, which it limits to maxAge.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(0, d), maxAge).Milliseconds())
}

// Merge adds what a peer knows.
func (t *Tracker) Merge(entries []Entry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range entries[:min(len(entries), maxEntries)] {
		if rec := t.record(e.Trait, now); rec != nil {
			rec.merge(e, now)
		}
	}
	t.prune(now)
}

// merge adds what a peer knows about the trait. If this process knows of a later response,
// the entry counts as changed, so that the peer learns of it.
func (r *record) merge(e Entry, now time.Time) {
	ago := func(ms uint32) time.Time { return now.Add(-min(time.Duration(ms)*time.Millisecond, maxAge)) }
	if !r.reported {
		r.reported = true
		r.changed = r.changed || !r.servedAt.IsZero()
	}
	r.runs, r.served = max(r.runs, e.Runs), max(r.served, e.Served)
	// Crashes come first, so that a response clears the trait of them.
	for _, c := range e.Crashes {
		if at := ago(c.InterruptedMs); now.Sub(at) <= r.retention() {
			r.addCrash(c.Start, crash{request: c.Request, began: ago(c.BeganMs), at: at})
		}
	}
	if e.ServedMs > 0 {
		if at := ago(e.ServedMs - 1); at.After(r.servedAt.Add(clockTolerance)) {
			r.setServedAt(at)
		}
	}
	r.mergeQuarantine(e, now)
}

// clockTolerance is the difference below which two times that peers report count as equal.
// Ages are a little too small by the time that messages take.
const clockTolerance = 200 * time.Millisecond

// mergeQuarantine takes over the quarantine of a peer, or ends that of this process if there
// was a response after all crashes.
func (r *record) mergeQuarantine(e Entry, now time.Time) {
	crashes, _ := r.unexplained(nil)
	cleared := len(r.crashes) > 0 && crashes == 0
	switch {
	case cleared && r.quarantined(now):
		r.lift()
	case !cleared && e.QuarantineMs > 0:
		until := now.Add(min(time.Duration(e.QuarantineMs)*time.Millisecond, newQuarantine))
		if !r.quarantined(now) || until.After(r.until.Add(clockTolerance)) {
			r.until, r.changed = until, true
		}
	}
}

// Adopt takes over a verdict from the store, or its end if duration is 0.
func (t *Tracker) Adopt(trait Trait, duration time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if duration <= 0 {
		if rec := t.records[trait]; rec != nil && rec.stored {
			// Another process has seen a response.
			rec.setServedAt(now)
			rec.lift()
		}
		return
	}
	rec := t.record(trait, now)
	if rec == nil {
		return
	}
	rec.stored = true
	if until := now.Add(min(duration, newQuarantine)); until.After(rec.until) {
		rec.until = until
	}
}

// SetUnstored records that the store has lost the verdict on a trait.
func (t *Tracker) SetUnstored(trait Trait) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rec := t.records[trait]; rec != nil {
		rec.stored = false
	}
}

// Lifted reports whether the quarantine of a trait is known to have ended.
func (t *Tracker) Lifted(trait Trait, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.records[trait]
	return rec != nil && !rec.quarantined(now) && (!rec.servedAt.IsZero() || !rec.expiredAt.IsZero())
}

// Unstored returns the verdicts that were not read from the store yet.
func (t *Tracker) Unstored(now time.Time) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Verdict
	for _, rec := range t.records {
		if rec.quarantined(now) && !rec.stored {
			out = append(out, t.verdict(rec, now))
		}
	}
	return out
}

// Quarantined reports whether a trait is quarantined.
func (t *Tracker) Quarantined(trait Trait, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.records[trait]
	return rec != nil && rec.quarantined(now)
}

package slugquarantine

import (
	"cmp"
	"slices"
	"time"
)

// Verdict is the quarantine of a trait.
type Verdict struct {
	Trait Trait
	// For is the remaining duration.
	For time.Duration
	// Crashes are the crashes on which it rests, the newest first; none if the verdict was
	// read from the store.
	Crashes []Start
	// Requests is the number of different requests that these crashes interrupted.
	Requests int
	// SinceServed is the time since the latest response to a request with the trait, or 0 if
	// none is known.
	SinceServed time.Duration
}

// Find returns the verdict that applies to a request.
func (t *Tracker) Find(s Subject, now time.Time) (Verdict, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.records) == 0 {
		return Verdict{}, false
	}
	if rec := t.records[s.Request]; rec != nil && rec.quarantined(now) {
		return t.verdict(rec, now), true
	}
	for _, trait := range s.Parts {
		if rec := t.records[trait]; rec != nil && rec.quarantined(now) {
			return t.verdict(rec, now), true
		}
	}
	return Verdict{}, false
}

// Suspected reports whether a trait of the request has been interrupted by more than one
// crash without a response since.
func (t *Tracker) Suspected(s Subject, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, trait := range append([]Trait{s.Request}, s.Parts...) {
		rec := t.records[trait]
		if rec == nil || rec.servedLately(now) {
			continue
		}
		if crashes, _ := rec.unexplained(t.explained(now)); crashes > 1 {
			return true
		}
	}
	return false
}

// verdict returns the verdict of a quarantined trait. The caller must hold t.mu.
func (t *Tracker) verdict(rec *record, now time.Time) Verdict {
	v := Verdict{Trait: rec.trait, For: rec.until.Sub(now), Crashes: rec.newestCrashes(maxEntryCrashes)}
	_, v.Requests = rec.unexplained(nil)
	if !rec.servedAt.IsZero() {
		v.SinceServed = now.Sub(rec.servedAt)
	}
	return v
}

// Decide returns the traits that have to be quarantined from now on. It is called
// periodically.
func (t *Tracker) Decide(now time.Time) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	var out []Verdict
	explained := t.explained(now)
	for _, rec := range t.candidates(explained, now) {
		if !rec.due(explained, now) {
			rec.dueAt = time.Time{} // Explained by a trait that was quarantined before.
			continue
		}
		if rec.dueAt.IsZero() {
			rec.dueAt = now
		}
		if now.Sub(rec.dueAt) < confirmationDelay {
			// It precedes the others, which may be innocent beside it.
			rec.explain(explained)
			continue
		}
		rec.until = now.Add(newQuarantine)
		if rec.servedLately(now) && !rec.probation {
			rec.until = now.Add(servedQuarantine)
		}
		rec.changed = true
		rec.explain(explained)
		out = append(out, t.verdict(rec, now))
	}
	return out
}

// explain adds the crashes of a part to those that it explains.
func (r *record) explain(explained map[Start]Trait) {
	if r.trait.Scope != ScopePart {
		return
	}
	for e := range r.crashes {
		if _, ok := explained[e]; !ok {
			explained[e] = r.trait
		}
	}
}

// explained returns the crashes that quarantined parts explain. The caller must hold t.mu.
func (t *Tracker) explained(now time.Time) map[Start]Trait {
	out := map[Start]Trait{}
	for _, rec := range t.records {
		if rec.quarantined(now) {
			rec.explain(out)
		}
	}
	return out
}

// candidates returns the records of traits that have enough crashes, the most likely
// culprits first: parts that were served least, and among these the ones of which the
// fewest requests were interrupted. The caller must hold t.mu.
func (t *Tracker) candidates(explained map[Start]Trait, now time.Time) []*record {
	var out []*record
	for _, rec := range t.records {
		rec.expire(now)
		switch {
		case rec.quarantined(now):
		case rec.due(explained, now):
			out = append(out, rec)
		default:
			rec.dueAt = time.Time{}
		}
	}
	slices.SortFunc(out, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.trait.Scope, a.trait.Scope), cmp.Compare(a.recentlyServed(now), b.recentlyServed(now)),
			cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.runs, b.runs), cmp.Compare(a.trait.Hash, b.trait.Hash))
	})
	return out
}

// recentlyServed returns the number of responses, or 0 if the latest one is too old.
func (r *record) recentlyServed(now time.Time) uint32 {
	if !r.servedLately(now) {
		return 0
	}
	return r.served
}

func compareStarts(a, b Start) int {
	return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Incarnation, b.Incarnation))
}

package slugquarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// requestCrashes is the number of crashes after which a request is quarantined.
	requestCrashes = 3
	// partCrashes is the number of crashes after which a part of prompts is quarantined that
	// was not served lately. Below it, the parts of a request that is quarantined as a whole
	// stay usable.
	partCrashes = 4
	// servedPartCrashes is the number of crashes without a response in between after which a
	// part is quarantined that was served lately, and servedPartSilence the time without a
	// response that it takes as well.
	servedPartCrashes = 6
	servedPartSilence = 2 * time.Second
	// partRequests is the number of different requests that the crashes of a part need. With
	// fewer, the request itself may be the cause.
	partRequests = 2
	// confirmationDelay is the time in which responses and reports of other processes may
	// still clear a trait that has enough crashes.
	confirmationDelay = 400 * time.Millisecond
	// newQuarantine and servedQuarantine are how long a trait is quarantined that was not
	// served lately, and one that was.
	newQuarantine    = 10 * time.Minute
	servedQuarantine = 20 * time.Second
	// commonCauseWindow is the time within which crashes of different endpoints are attributed
	// to a common cause, such as a failing rack.
	commonCauseWindow = 150 * time.Millisecond
	// reportResolution is the resolution of the times that peers report.
	reportResolution = 2 * time.Millisecond
	// maxCrashes bounds the crashes that are remembered of a trait.
	maxCrashes = 32
)

// crash is one crash of an endpoint that interrupted a request with a trait.
type crash struct {
	// request is a part of the hash of the request.
	request uint32
	// began is when the request was sent, and at when it was interrupted.
	began, at time.Time
}

// record holds what is known about one trait.
type record struct {
	trait   Trait
	crashes map[Start]crash
	// runs is the number of interrupted requests with the trait at the process that lost
	// most.
	runs uint32
	// served is the number of recent responses at the process that gave most, and servedAt
	// the time of the latest one at any.
	served   uint32
	servedAt time.Time
	// dueAt is when the trait had enough crashes for a quarantine.
	dueAt time.Time
	// until is the end of the quarantine.
	until time.Time
	// probation is set after a quarantine has expired, which was at expiredAt. The next crash
	// after that renews it.
	probation bool
	expiredAt time.Time
	// stored is set if the quarantine was read from the store.
	stored bool
	// reported is set if a peer sent an entry of the trait.
	reported bool
	// changed is set if the entry of the trait has changed since it was sent to peers.
	changed bool
}

func newRecord(t Trait) *record { return &record{trait: t, crashes: map[Start]crash{}} }

// addCrash adds a crash unless it is known, or led to a quarantine that has expired: peers
// still report such crashes.
func (r *record) addCrash(e Start, c crash) {
	if _, known := r.crashes[e]; known || len(r.crashes) >= maxCrashes || !c.at.After(r.expiredAt) {
		return
	}
	r.crashes[e] = c
	r.changed = true
}

// recordServed records a response to a request that was sent at the given time. It ends a
// quarantine if a request that crashed an endpoint had been sent before that.
func (r *record) recordServed(began, now time.Time) {
	r.served++
	r.setServedAt(now)
	for _, c := range r.crashes {
		if began.After(c.began) {
			r.lift()
			return
		}
	}
}

// setServedAt records the time of a response. The entry of the trait changes only if the
// response clears it of a crash; peers need not know each response.
func (r *record) setServedAt(at time.Time) {
	before, _ := r.unexplained(nil)
	r.servedAt, r.probation = at, false
	if after, _ := r.unexplained(nil); after < before {
		r.changed = true
	}
}

// lift ends the quarantine. The crashes no longer count, because they precede a response.
func (r *record) lift() {
	if !r.until.IsZero() {
		r.changed = true
	}
	r.until, r.dueAt, r.stored, r.probation = time.Time{}, time.Time{}, false, false
}

// expire ends the quarantine after its time and puts the trait on probation.
func (r *record) expire(now time.Time) {
	if r.until.IsZero() || r.quarantined(now) {
		return
	}
	r.until, r.dueAt, r.stored, r.probation, r.expiredAt = time.Time{}, time.Time{}, false, true, now
	clear(r.crashes)
}

// quarantined reports whether requests with the trait are refused.
func (r *record) quarantined(now time.Time) bool { return now.Before(r.until) }

// unexplained returns the number of crashes since the last response that no quarantined part
// explains, and the number of different requests that they interrupted. Crashes at about the
// same time count once, because they have a common cause, unless a request was sent again
// after the crash before.
func (r *record) unexplained(explained map[Start]Trait) (crashes, requests int) {
	different := map[uint32]bool{}
	var list []crash
	for e, c := range r.crashes {
		if culprit, ok := explained[e]; ok && culprit != r.trait || !c.began.After(r.servedAt) {
			continue
		}
		list = append(list, c)
		different[c.request] = true
	}
	slices.SortFunc(list, func(a, b crash) int { return a.at.Compare(b.at) })
	var last time.Time
	for _, c := range list {
		sentAgain := r.trait.Scope == ScopeRequest && c.began.After(last.Add(-reportResolution))
		if sentAgain || c.at.Sub(last) >= commonCauseWindow {
			crashes++
			last = c.at
		}
	}
	return crashes, len(different)
}

// due reports whether the crashes are sufficient for a quarantine.
func (r *record) due(explained map[Start]Trait, now time.Time) bool {
	if len(r.crashes) < requestCrashes && !r.probation {
		return false
	}
	crashes, requests := r.unexplained(explained)
	switch {
	case r.probation:
		return crashes > 0
	case r.trait.Scope == ScopeRequest:
		return crashes >= requestCrashes
	case requests < partRequests:
		return false
	case r.servedLately(now):
		return crashes >= servedPartCrashes && now.Sub(r.servedAt) >= servedPartSilence
	}
	return crashes >= partCrashes
}

// servedLately reports whether there was a response within servedRetention.
func (r *record) servedLately(now time.Time) bool {
	return !r.servedAt.IsZero() && now.Sub(r.servedAt) <= servedRetention
}

// outdated removes old crashes and reports whether nothing remains to be remembered.
func (r *record) outdated(now time.Time) bool {
	if r.quarantined(now) {
		return false
	}
	r.expire(now)
	maps.DeleteFunc(r.crashes, func(_ Start, c crash) bool { return now.Sub(c.at) > r.retention() })
	return len(r.crashes) == 0 && !r.changed && !r.probation
}

// retention returns how long a crash is remembered.
func (r *record) retention() time.Duration {
	if r.trait.Scope == ScopeRequest {
		return requestRetention
	}
	return crashRetention
}

// newestCrashes returns up to n crashes, the newest first.
func (r *record) newestCrashes(n int) []Start {
	list := slices.SortedFunc(maps.Keys(r.crashes), func(a, b Start) int {
		if c := r.crashes[b].at.Compare(r.crashes[a].at); c != 0 {
			return c
		}
		return compareStarts(a, b)
	})
	return list[:min(n, len(list))]
}

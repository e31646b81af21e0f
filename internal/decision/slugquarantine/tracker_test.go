package slugquarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// start returns the n-th start of an endpoint.
func start(n int) Start { return Start{Endpoint: "i", Incarnation: int64(n)} }

// subject returns a request with its own last part.
func subject(n int, parts ...string) Subject {
	return NewSubject("hub", "/x", fmt.Append(nil, n), append(parts, fmt.Sprint("own-", n)))
}

// crashWith crashes the n-th start while it runs the given requests, n times crashSpacing
// after now.
func crashWith(t *Tracker, n int, now time.Time, subjects ...Subject) {
	now = now.Add(time.Duration(n) * crashSpacing)
	for _, s := range subjects {
		t.Begin(start(n), s, now.Add(-50*time.Millisecond)).Interrupted(now)
	}
	t.Crashed(start(n), now)
}

// crashSpacing is the time between crashes that have different causes.
const crashSpacing = commonCauseWindow + 50*time.Millisecond

// settleTime is later than all crashes of a test.
const settleTime = 4 * time.Second

// serve completes a request.
func serve(t *Tracker, now time.Time, s Subject) {
	t.Begin(start(0), s, now.Add(-20*time.Millisecond)).Served(now)
}

// settle decides, and again after the time in which traits may still be cleared.
func settle(t *Tracker, now time.Time) []Verdict {
	return append(t.Decide(now), t.Decide(now.Add(confirmationDelay))...)
}

// Guards against crashes that are not attributed to what the interrupted requests have in
// common, and against blame without sufficient evidence.
func TestDecide(t *testing.T) {
	for _, test := range []struct {
		name string
		play func(t *Tracker, now time.Time)
		want []Trait
	}{
		{"a part in four crashes", func(tr *Tracker, now time.Time) {
			for i := range partCrashes {
				crashWith(tr, i+1, now, subject(i, "aa", "bad"))
				serve(tr, now, subject(100+i, "aa", "s"))
			}
		}, subject(0, "bad").Parts},
		{"three crashes", func(tr *Tracker, now time.Time) {
			for i := range partCrashes - 1 {
				crashWith(tr, i+1, now, subject(i, "bad"))
			}
		}, nil},
		{"one request in three crashes", func(tr *Tracker, now time.Time) {
			for i := range requestCrashes {
				crashWith(tr, i+1, now, subject(7, "aa", "s"))
			}
		}, []Trait{subject(7, "aa", "s").Request}},
		{"one request in many crashes blames none of its parts", func(tr *Tracker, now time.Time) {
			for i := range 8 {
				crashWith(tr, i+1, now, subject(7, "aa", "s"))
			}
		}, []Trait{subject(7, "aa", "s").Request}},
		{"a shared part is served before the crashes", func(tr *Tracker, now time.Time) {
			serve(tr, now.Add(-time.Second), subject(50, "aa"))
			for i := range servedPartCrashes - 1 {
				crashWith(tr, i+1, now, subject(i, "aa"))
			}
		}, nil},
		{"a shared part is served after the crashes", func(tr *Tracker, now time.Time) {
			for i := range 12 {
				crashWith(tr, i+1, now, subject(i, "aa"))
			}
			serve(tr, now.Add(settleTime), subject(50, "aa"))
		}, nil},
		{"many endpoints crash at once", func(tr *Tracker, now time.Time) {
			for i := range 12 {
				crashWith(tr, i+1, now.Add(-time.Duration(i+1)*crashSpacing), subject(i, "aa"))
			}
		}, nil},
		{"a part that was served stops being served", func(tr *Tracker, now time.Time) {
			serve(tr, now.Add(-servedPartSilence-time.Second), subject(50, "aa"))
			for i := range servedPartCrashes {
				crashWith(tr, i+1, now, subject(i, "aa"))
			}
		}, subject(0, "aa").Parts},
		{"nothing was served yet", func(tr *Tracker, now time.Time) {
			for i := range partCrashes {
				crashWith(tr, i+1, now, subject(i, "aa", "bad"), subject(200+i, "aa", "s"), subject(300+i, "aa", "u"))
			}
		}, subject(0, "bad").Parts[:1]},
		{"broken attempts without a crash", func(tr *Tracker, now time.Time) {
			for i := range 20 {
				tr.Begin(start(i+1), subject(i, "bad"), now).Interrupted(now)
			}
		}, nil},
		{"attempts broken off after planned ends", func(tr *Tracker, now time.Time) {
			for i := range 20 {
				at := now.Add(time.Duration(i) * crashSpacing)
				tr.Ended(start(i+1), at)
				tr.Begin(start(i+1), subject(i, "bad"), at.Add(-time.Second)).Interrupted(at)
			}
		}, nil},
		{"entries that end after broken attempts", func(tr *Tracker, now time.Time) {
			for i := range partCrashes {
				at := now.Add(time.Duration(i) * crashSpacing)
				tr.Begin(start(i+1), subject(i, "bad"), at.Add(-time.Second)).Interrupted(at)
				tr.Ended(start(i+1), at.Add(time.Second))
			}
		}, subject(0, "bad").Parts},
		{"a crash long after the broken attempt", func(tr *Tracker, now time.Time) {
			for i := range 20 {
				tr.Begin(start(i+1), subject(i, "bad"), now).Interrupted(now.Add(-interruptionWindow - time.Second))
				tr.Crashed(start(i+1), now)
			}
		}, nil},
		{"broken attempts reported after the crash", func(tr *Tracker, now time.Time) {
			for i := range partCrashes {
				at := now.Add(time.Duration(i) * crashSpacing)
				tr.Crashed(start(i+1), at)
				tr.Begin(start(i+1), subject(i, "bad"), at.Add(-time.Second)).Interrupted(at)
			}
		}, subject(0, "bad").Parts},
	} {
		t.Run(test.name, func(t *testing.T) {
			tr, now := New(), time.Now()
			test.play(tr, now)
			var got []Trait
			for _, v := range settle(tr, now.Add(settleTime)) {
				got = append(got, v.Trait)
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// Guards against requests that are refused for a part that only their last, own one
// resembles, and against quarantined ones that pass.
func TestFind(t *testing.T) {
	tr, now := New(), time.Now()
	for i := range partCrashes {
		crashWith(tr, i+1, now, subject(i, "aa", "bad"))
		serve(tr, now, subject(100+i, "aa"))
	}
	settle(tr, now.Add(settleTime))
	now = now.Add(settleTime + time.Second)
	for _, test := range []struct {
		parts []string
		want  bool
	}{
		{[]string{"aa", "bad", "new"}, true}, {[]string{"bad", "new"}, true}, {[]string{"aa", "new"}, false}, {[]string{"aa", "bad"}, false}, {nil, false},
	} {
		_, found := tr.Find(NewSubject("other", "/y", nil, test.parts), now)
		assert.Equal(t, found, test.want, "%v", test.parts)
	}
}

// Guards against a quarantine that does not end: a response to a request that was sent after
// a crash ends it, and so does time, after which one crash is enough to renew it.
func TestQuarantineEnds(t *testing.T) {
	quarantine := func() (*Tracker, time.Time, Trait) {
		tr, now := New(), time.Now()
		for i := range partCrashes {
			crashWith(tr, i+1, now, subject(i, "p"))
		}
		assert.Equal(t, len(settle(tr, now.Add(settleTime))), 1)
		return tr, now.Add(settleTime + time.Second), subject(0, "p").Parts[0]
	}
	t.Run("response", func(t *testing.T) {
		tr, now, trait := quarantine()
		serve(tr, now, subject(50, "p"))
		assert.Assert(t, !tr.Quarantined(trait, now))
		assert.Equal(t, len(settle(tr, now)), 0)
	})
	t.Run("old crashes that a peer reports afterwards", func(t *testing.T) {
		tr, peer, now := New(), New(), time.Now()
		for i := range servedPartCrashes {
			crashWith(tr, i+1, now, subject(i, "p"))
		}
		serve(tr, now, subject(50, "p"))
		now = now.Add(settleTime)
		assert.Equal(t, len(settle(tr, now)), 1)
		peer.Merge(tr.All(now), now)
		now = now.Add(servedQuarantine + time.Second)
		assert.Equal(t, len(settle(tr, now)), 0)
		tr.Merge(peer.All(now), now)
		assert.Equal(t, len(settle(tr, now)), 0)
		assert.Assert(t, !tr.Quarantined(subject(0, "p").Parts[0], now))
	})
	t.Run("time", func(t *testing.T) {
		tr, now, trait := quarantine()
		now = now.Add(newQuarantine)
		assert.Equal(t, len(settle(tr, now)), 0)
		assert.Assert(t, !tr.Quarantined(trait, now))
		crashWith(tr, 5, now, subject(60, "p"))
		assert.Equal(t, len(settle(tr, now.Add(settleTime))), 1)
	})
}

// Guards against processes that disagree: whatever the order in which entries arrive, and
// however often, all processes quarantine the culprit and no other part, although each of
// them has seen one crash only and the responses were given by another one.
func TestTrackersAgree(t *testing.T) {
	now := time.Now()
	var trackers []*Tracker
	for i := range partCrashes {
		tr := New()
		crashWith(tr, i+1, now, subject(i, "aa", "bad"), subject(300+i, "aa", "s"))
		trackers = append(trackers, tr)
	}
	serving, late := New(), New()
	serve(serving, now.Add(settleTime), subject(200, "aa", "s"))
	trackers = append(trackers, serving)
	for round := range 3 {
		at := now.Add(settleTime + time.Duration(round+1)*20*time.Millisecond)
		for i := range trackers {
			for j := range trackers {
				trackers[j].Merge(trackers[i].All(at), at)
			}
		}
	}
	at := now.Add(settleTime + time.Second)
	for _, tr := range trackers {
		tr.Decide(at)
		tr.Decide(at.Add(confirmationDelay))
		assert.Assert(t, tr.Quarantined(subject(0, "bad").Parts[0], at.Add(time.Second)))
		assert.Assert(t, !tr.Quarantined(subject(0, "aa").Parts[0], at.Add(time.Second)))
		assert.Assert(t, !tr.Quarantined(subject(0, "s").Parts[0], at.Add(time.Second)))
	}
	// A process that comes back takes over the verdict with the first entry.
	late.Merge(trackers[0].All(at.Add(time.Second)), at.Add(time.Second))
	assert.Assert(t, late.Quarantined(subject(0, "bad").Parts[0], at.Add(2*time.Second)))
	// Without news, nothing more is sent.
	for range 5 {
		for _, tr := range trackers {
			tr.Changed(at.Add(2 * time.Second))
		}
	}
	for _, tr := range trackers {
		tr.Merge(trackers[0].All(at.Add(3*time.Second)), at.Add(3*time.Second))
		assert.Equal(t, len(tr.Changed(at.Add(3*time.Second))), 0)
	}
}

// Guards against a verdict of the store that is not taken over, or does not end with its
// object.
func TestAdopt(t *testing.T) {
	tr, now := New(), time.Now()
	trait := subject(0, "p").Parts[0]
	tr.Adopt(trait, time.Minute, now)
	assert.Assert(t, tr.Quarantined(trait, now))
	assert.Equal(t, len(tr.Unstored(now)), 0)
	tr.Adopt(trait, 0, now)
	assert.Assert(t, !tr.Quarantined(trait, now))
}

// Guards against state that grows without bound.
func TestStateIsBounded(t *testing.T) {
	tr, now := New(), time.Now()
	for i := range 3 * maxServed {
		serve(tr, now, subject(i, fmt.Sprint("s-", i)))
		tr.Begin(start(i+1), subject(i, fmt.Sprint("p-", i)), now).Interrupted(now)
		tr.Crashed(start(i+1), now)
	}
	assert.Assert(t, len(tr.records) <= maxRecords)
	assert.Assert(t, len(tr.served) <= maxServed)
	assert.Assert(t, len(tr.All(now)) <= maxEntries)
	later := now.Add(requestRetention + servedRetention + time.Second)
	for range maxRecords/maxEntries + 1 {
		tr.Changed(later)
	}
	tr.Decide(later)
	tr.Decide(later.Add(2 * pruneInterval))
	assert.Equal(t, len(tr.records)+len(tr.served)+len(tr.interruptions)+len(tr.crashed)+len(tr.heard), 0)
}

// Guards against endpoints that fall silent under a request without a crash, and against a
// crash for which a silence is taken that the endpoint, or this process, got over.
func TestSilent(t *testing.T) {
	s, other, now := subject(1, "p"), subject(2, "q"), time.Now()
	later := now.Add(time.Second)
	for _, test := range []struct {
		name string
		play func(t *Tracker, r *Run)
		want int
	}{
		{"others answer meanwhile", func(tr *Tracker, _ *Run) { serve(tr, later, other) }, 1},
		{"no other answers", func(*Tracker, *Run) {}, 0},
		{"others answered before", func(tr *Tracker, _ *Run) { serve(tr, now.Add(-time.Second), other) }, 0},
		{"it answers after all", func(tr *Tracker, r *Run) {
			serve(tr, later, other)
			r.Heard(later)
		}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			tr := New()
			r := tr.Begin(start(1), s, now.Add(-time.Second))
			assert.Assert(t, r.Unanswered(now))
			test.play(tr, r)
			interrupted, isNew := tr.Silent(start(1), later.Add(time.Second))
			assert.Equal(t, interrupted, test.want)
			assert.Equal(t, isNew, test.want > 0)
			if test.want > 0 {
				return
			}
			interrupted, _ = tr.Ended(start(1), later.Add(time.Second))
			want := 1
			if test.name == "it answers after all" {
				want = 0
			}
			assert.Equal(t, interrupted, want)
		})
	}
}

// Guards against a request that goes on crashing endpoints because its crashes do not add
// up: the next run began right after the crash before, under a retry, or long after it.
func TestCrashesOfARequestDoNotAddUp(t *testing.T) {
	poison := subject(7, "aa", "s")
	crash := func(tr *Tracker, n int, began, at time.Time) {
		tr.Begin(start(n), poison, began).Interrupted(at)
		tr.Crashed(start(n), at)
	}
	t.Run("in quick succession", func(t *testing.T) {
		tr, now := New(), time.Now()
		for i := range requestCrashes {
			at := now.Add(time.Duration(i) * 60 * time.Millisecond)
			crash(tr, i+1, at.Add(-40*time.Millisecond), at)
		}
		assert.Equal(t, len(settle(tr, now.Add(settleTime))), 1)
	})
	t.Run("at the same time", func(t *testing.T) {
		tr, now := New(), time.Now()
		for i := range 2 * requestCrashes {
			at := now.Add(time.Duration(i) * 10 * time.Millisecond)
			crash(tr, i+1, now.Add(-40*time.Millisecond), at)
		}
		assert.Equal(t, len(settle(tr, now.Add(settleTime))), 0)
	})
	t.Run("rarely", func(t *testing.T) {
		tr, now := New(), time.Now()
		for i := range requestCrashes {
			crash(tr, i+1, now.Add(-50*time.Millisecond), now)
			settle(tr, now.Add(time.Second))
			now = now.Add(100 * time.Second)
		}
		assert.Assert(t, tr.Quarantined(poison.Request, now))
	})
}

// Guards against peers that go on comparing crashes of requests that came once.
func TestOldSingleCrashIsNotCompared(t *testing.T) {
	tr, now := New(), time.Now()
	crashWith(tr, 1, now, subject(1, "p"))
	crashWith(tr, 2, now, subject(2, "q"))
	crashWith(tr, 3, now.Add(time.Second), subject(2, "q"))
	now = now.Add(crashRetention + 10*time.Second)
	tr.Decide(now)
	var compared []Trait
	for _, e := range tr.All(now) {
		compared = append(compared, e.Trait)
	}
	assert.DeepEqual(t, compared, []Trait{subject(2, "q").Request})
}

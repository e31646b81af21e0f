package slugwatcher

import (
	"slices"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

// Store stands for the store itself as the source of a watch.
const Store slugname.Process = ""

const (
	// LargeSystem is the number of hosts above which the followers of a watcher that lags behind
	// must not all ask the store at once.
	LargeSystem = 16
	// roundsBeforeStore is how often followers in a large system ask all watchers before they ask
	// the store. A store that forgets its history answers no watch for a second.
	roundsBeforeStore = 3
)

// Situation is what the choice of the next source depends on.
type Situation struct {
	// Failures is the number of calls that have failed since the last one that succeeded.
	Failures int
	// StoreFails is set if the store has just failed to answer this process.
	StoreFails bool
	// Hosts is the number of hosts in the system.
	Hosts int
	// Age is the time since the objects were last known to be complete. If it exceeds MaxAge,
	// followers in a large system ask the store, but not within StoreInterval(Hosts) after they
	// did so before, SinceStore ago. MaxAge 0 means never.
	Age, MaxAge, SinceStore time.Duration
}

// storeShare is the time between calls of followers to the store, for each host of the system.
const storeShare = 5 * time.Millisecond

// StoreInterval returns the shortest time between the calls of a follower to the store that are
// due to the age of its objects, so that all followers together make a bounded number.
func StoreInterval(hosts int) time.Duration { return time.Duration(hosts) * storeShare }

// tooOld reports whether the objects are so old that a follower asks the store.
func (s Situation) tooOld() bool {
	return s.MaxAge > 0 && s.Failures > 0 && s.Age > s.MaxAge && !s.StoreFails && s.SinceStore >= StoreInterval(s.Hosts)
}

// Next returns the source for the next call of a watch: the store, or the process that watches it.
// near and far are the result of Choose.
//
// A watcher that the store does not answer follows another watcher at once, so that its followers
// get changes without noticing. It asks the store again after a while, and by turns if the others
// don't answer either. A call that fails although the store answers, as one for changes that the
// store has forgotten, is followed by another to the store: other watchers have nothing newer.
//
// A follower asks the other watchers if its own fails. If they fail too, or have nothing newer, it
// asks the store before its objects are older than they may be.
func Next(self slugname.Process, near, far []slugname.Process, s Situation) slugname.Process {
	if slices.Contains(near, self) {
		others := slices.DeleteFunc(slices.Concat(near, far), func(p slugname.Process) bool { return p == self })
		askOthers := s.StoreFails && (s.Failures == 0 || s.Failures%2 == 1)
		if len(others) == 0 || !askOthers {
			return Store
		}
		return others[(s.Failures+1)/2%len(others)]
	}
	candidates := slices.Concat(near, []slugname.Process{Store}, far)
	if s.Hosts > LargeSystem {
		if s.tooOld() {
			return Store
		}
		candidates = append(slices.Repeat(slices.Concat(near, far), roundsBeforeStore), Store)
	}
	return candidates[s.Failures%len(candidates)]
}

package slughost

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugsettings"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugsilence"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugwatcher"
	"gotest.tools/v3/assert"
)

// replaySystem returns large and small processes in several data centres.
func replaySystem(hosts, dataCentres, large int) (out []slugwatcher.Candidate) {
	for i := range hosts {
		c := slugwatcher.Candidate{
			Process: slugname.Process(fmt.Sprint("p-", i)), DataCentre: slugname.DataCentre(fmt.Sprint("dc-", i%dataCentres)),
			Capacity: slugmember.Capacity{Cores: 0.2, LinkMbps: 10},
		}
		if i/dataCentres < large {
			c.Capacity = slugmember.Capacity{Cores: 0.8, LinkMbps: 200}
		}
		out = append(out, c)
	}
	return out
}

// search replays the search of a follower for the configuration: which processes it asks one after
// the other, until one has the newest version or the store is asked. It returns the age of the
// configuration then.
func search(s *slugsettings.Settings, self slugwatcher.Candidate, all []slugwatcher.Candidate, begin time.Duration, silent, behind func(slugname.Process) bool) (age time.Duration) {
	const roundTrip, longestBackoff = 5 * time.Millisecond, 400 * time.Millisecond
	w := &watchSharing{silence: slugsilence.New(time.Hour)}
	chosenNear, chosenFar := slugwatcher.Choose(self.Process, self.DataCentre, all)
	age = begin
	for failures := 0; ; failures++ {
		near, far := w.silentLast(chosenNear, chosenFar)
		source := slugwatcher.Next(self.Process, near, far, slugwatcher.Situation{
			Failures: failures, Hosts: len(all), Age: age, MaxAge: configMaxFollowerAge(s), SinceStore: time.Hour,
		})
		wait := peerFollowWait
		if failures > 0 {
			wait = 0
		}
		switch {
		case source == slugwatcher.Store || !silent(source) && !behind(source):
			return age + roundTrip
		case silent(source):
			w.silence.Failed(source)
			_, timeout := followTimes(wait, callLimit(age, configMaxFollowerAge(s)))
			age += timeout
		default:
			age += roundTrip
		}
		age += min(longestBackoff, 25*time.Millisecond<<failures) / 2
	}
}

// TestSilentWatchersDelayChange guards against followers that search for a sound source for longer
// than a change may take, in systems of up to 660 hosts, whatever share of the watchers is silent
// or behind. The searches are replayed without a network.
func TestSilentWatchersDelayChange(t *testing.T) {
	for _, tt := range []struct {
		hosts, dataCentres int
		apply              time.Duration
	}{{66, 3, 3 * time.Second}, {66, 3, 2 * time.Second}, {295, 5, 4 * time.Second}, {660, 8, 10 * time.Second}} {
		for _, share := range []int{1, 2, 3} {
			t.Run(fmt.Sprintf("%d hosts, %d of 3 watchers fail, %s", tt.hosts, share, tt.apply), func(t *testing.T) {
				settings := slugsettings.Defaults()
				settings.ConfigApply = tt.apply
				all := replaySystem(tt.hosts, tt.dataCentres, 3)
				failing := func(p slugname.Process) bool {
					position := slices.IndexFunc(all, func(c slugwatcher.Candidate) bool { return c.Process == p })
					return position/tt.dataCentres%3 < share
				}
				never := func(slugname.Process) bool { return false }
				var slowest time.Duration
				for _, self := range all[3*tt.dataCentres:] {
					for _, begin := range []time.Duration{0, configWait(settings)} {
						slowest = max(slowest, search(settings, self, all, begin, failing, never), search(settings, self, all, begin, never, failing))
					}
				}
				t.Logf("after %s at the last follower", slowest)
				assert.Assert(t, slowest < tt.apply, "after %s", slowest)
			})
		}
	}
}

// TestSoundPeerHasNoTimeToAnswer guards against a limit of a follow call that ends before a sound
// peer, which holds the call open, answers, and against calls that a peer does not hold open at all.
func TestSoundPeerHasNoTimeToAnswer(t *testing.T) {
	for _, apply := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 10 * time.Second} {
		settings := slugsettings.Defaults()
		settings.ConfigApply = apply
		for age := time.Duration(0); age < 2*apply; age += 10 * time.Millisecond {
			hold, timeout := followTimes(configWait(settings), callLimit(age, configMaxFollowerAge(settings)))
			assert.Assert(t, timeout-hold >= minCallLimit, "held for %s of %s at the age %s", hold, timeout, age)
			assert.Assert(t, hold >= minFollowHold, "held for %s at the age %s", hold, age)
		}
	}
}

// TestFollowersAskStoreAtBoundedRate guards against the followers of a large system that all ask
// the store at short intervals because no watcher has news.
func TestFollowersAskStoreAtBoundedRate(t *testing.T) {
	const perSecond = 200
	settings := slugsettings.Defaults()
	for _, hosts := range []int{66, 295, 660} {
		near := []slugname.Process{"w-0", "w-1"}
		situation := slugwatcher.Situation{Failures: 1, Hosts: hosts, Age: time.Minute, MaxAge: configMaxFollowerAge(settings)}
		interval := time.Second * time.Duration(hosts) / perSecond
		situation.SinceStore = interval - time.Millisecond
		assert.Assert(t, slugwatcher.Next("self", near, nil, situation) != slugwatcher.Store, "%d hosts", hosts)
		situation.SinceStore = interval
		assert.Assert(t, slugwatcher.Next("self", near, nil, situation) == slugwatcher.Store, "%d hosts", hosts)
	}
}

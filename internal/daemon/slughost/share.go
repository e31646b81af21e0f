package slughost

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugsettings"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugconfigfollower"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugevidence"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmirror"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugsilence"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugtakeup"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugwatcher"
)

const (
	// memberWatchWait is how long one watch call for the membership records waits. They
	// change only when processes start or end, which peers detect sooner by themselves.
	memberWatchWait = 5 * time.Second
	// peerFollowWait is how long a peer holds a follow call open. It adds to the age of
	// the configuration's confirmation.
	peerFollowWait = 500 * time.Millisecond
	// peerCallMargin is added to the wait of a follow call to get the timeout after which
	// a silent watcher is abandoned. It covers a handshake with a small host.
	peerCallMargin = 600 * time.Millisecond
	// peerAgeMargin is added to the wait of a watch call to the store to get the age at
	// which a watcher's data is too old, so that the process asks another source.
	peerAgeMargin = 600 * time.Millisecond
	// minCallLimit is the shortest time for a follow call, and what remains of a longer one after
	// the peer has held it open. It covers a busy connection to a sound host.
	minCallLimit = 300 * time.Millisecond
	// minFollowHold is the shortest time for which a peer is asked to hold a follow call open,
	// unless the call before has failed. It bounds the rate of calls to a peer without news.
	minFollowHold = 100 * time.Millisecond
	// sourceSilenceHold is how long a process that did not answer a follow call is asked last. It
	// is about the time until its peers notice that it has ended.
	sourceSilenceHold = 5 * time.Second
	// storeFailureHold is how long after a failed call to the store a process does not
	// watch on behalf of others.
	storeFailureHold = 5 * time.Second
	// storeRetryInterval is the time between calls to a store that does not answer this process,
	// while another watcher passes on the changes. If the store answers none of them, they follow
	// each other for that long before they notice its return.
	storeRetryInterval = 500 * time.Millisecond
	// configWaitFraction is how long one watch call for the configuration may wait, as a
	// fraction of the time within which a revoked key must stop working, and configWaitOfApply
	// of the time within which a configuration must be in effect.
	configWaitFraction, configWaitOfApply = 0.3, 0.35
	// configAgeOfApply is added to configWait to get the age at which a follower asks the store
	// for the configuration, as a fraction of the same time. The rest is left for a call to a
	// silent watcher before, and for the call to the store.
	configAgeOfApply = 0.3
)

// configWait returns how long one watch call for the configuration waits. A watcher that is
// silently cut off from the store passes nothing on for as long.
func configWait(s *slugsettings.Settings) time.Duration {
	return min(slugconfigfollower.DefaultWait, time.Duration(configWaitFraction*float64(s.Revoke)), time.Duration(configWaitOfApply*float64(s.ConfigApply)))
}

// configMaxFollowerAge returns the age of the configuration at which a follower asks the store.
func configMaxFollowerAge(s *slugsettings.Settings) time.Duration {
	return configWait(s) + time.Duration(configAgeOfApply*float64(s.ConfigApply))
}

// watchSharing lets a few processes watch the store, while the others follow those
// processes.
type watchSharing struct {
	host    *Host
	mirrors map[string]*slugmirror.Mirror
	// silence holds the processes that answered no follow call lately. Each watch learns from it
	// what the others have found.
	silence *slugsilence.Silence
	// lastWatch is when this process last watched the store as one of the chosen watchers, in
	// nanoseconds since the Unix epoch.
	lastWatch atomic.Int64
}

// watchedAt returns when this process last watched the store as one of the chosen watchers.
func (w *watchSharing) watchedAt() time.Time { return time.Unix(0, w.lastWatch.Load()) }

// newWatchSharing returns a watchSharing with an empty mirror for each watched prefix.
func newWatchSharing(h *Host) *watchSharing {
	w := &watchSharing{host: h, mirrors: map[string]*slugmirror.Mirror{}, silence: slugsilence.New(sourceSilenceHold)}
	for _, prefix := range []string{slugmember.Prefix, h.adapter.ConfigName, h.adapter.EntryPrefix, slugevidence.Prefix, slugtakeup.Prefix} {
		w.mirrors[prefix] = slugmirror.New()
	}
	return w
}

// Close ends the waiting calls of peers.
func (w *watchSharing) Close() {
	for _, m := range w.mirrors {
		m.Close()
	}
}

// SharedWatch returns how to share the watch of a prefix. wait is how long its calls to the
// store wait.
func (w *watchSharing) SharedWatch(prefix string, wait time.Duration) slugstore.SharedWatch {
	return w.SharedWatchWithin(prefix, func() time.Duration { return wait }, func() time.Duration { return 0 })
}

// SharedWatchWithin is SharedWatch with a wait that may change, for objects that must not be
// older than maxAge unless that is 0.
func (w *watchSharing) SharedWatchWithin(prefix string, wait, maxAge func() time.Duration) slugstore.SharedWatch {
	return slugstore.SharedWatch{NextSource: w.sourceChooser(prefix, wait, maxAge), OnUpdate: w.mirrors[prefix].Apply}
}

// Serve answers the follow call of a peer.
func (w *watchSharing) Serve(f slugpeer.Follow) *slugpeer.Changes {
	m := w.mirrors[f.Prefix]
	if m == nil {
		return &slugpeer.Changes{}
	}
	asked := slugclock.Now()
	changes := m.Follow(f.After, min(time.Duration(f.WaitMs)*time.Millisecond, peerFollowWait))
	return &slugpeer.Changes{
		Revision: changes.Revision, Complete: changes.Complete, Values: changes.Values,
		HeldMs: uint32(slugclock.Since(asked).Milliseconds()), AgeMs: ageMs(changes.CurrentAt),
	}
}

// ageMs returns the time since an instant in milliseconds, rounded up and at most one
// hour.
func ageMs(at slugclock.Instant) uint32 {
	const most = time.Hour
	return uint32((min(slugclock.Since(at), most) + time.Millisecond - 1) / time.Millisecond)
}

// sourceChooser returns the NextSource function for a watch whose calls wait for at most wait, and
// whose objects must not be older than maxAge unless that is 0.
func (w *watchSharing) sourceChooser(prefix string, wait, maxAge func() time.Duration) func(failures int, age time.Duration) *slugstore.Source {
	last := slugwatcher.Store
	var storeAsked slugclock.Instant
	return func(failures int, age time.Duration) *slugstore.Source {
		if failures == 0 {
			<-w.host.introducer.Done()
		}
		near, far := w.watchers()
		self := w.host.member.Self().Process
		if slices.Contains(near, self) {
			w.lastWatch.Store(time.Now().UnixNano())
		}
		oldest := maxAge()
		source := slugwatcher.Next(self, near, far, slugwatcher.Situation{
			Failures: failures, StoreFails: w.host.store.Failing(storeRetryInterval), Hosts: w.host.hostCount(),
			Age: age, MaxAge: oldest, SinceStore: slugclock.Since(storeAsked),
		})
		if source == slugwatcher.Store {
			storeAsked = slugclock.Now()
		}
		r, known := w.host.member.Record(source)
		if source != last {
			w.host.log.Emit(slugevent.WatchSourceChosen, slugevent.Fields{
				"prefix": prefix, "from": last, "to": source, "cores": r.Cores, "linkMbps": r.LinkMbps,
				"failures": failures, "ageMs": age.Milliseconds(), "storeFailingMs": w.host.store.FailingFor().Milliseconds(),
			})
			last = source
		}
		if !known {
			return nil
		}
		return w.source(r, wait()+peerAgeMargin, callLimit(age, oldest))
	}
}

// callLimit returns the longest time for a follow call, such that one to a silent watcher ends when
// the objects are as old as they may be; 0 means no such limit.
func callLimit(age, maxAge time.Duration) time.Duration {
	if maxAge == 0 {
		return 0
	}
	return max(maxAge-age, minCallLimit)
}

// followTimes returns how long a peer may hold a follow call open, and the time after which the call
// is given up. A limit shortens the hold too, so that a sound peer always has time to answer.
func followTimes(wait, callLimit time.Duration) (hold, timeout time.Duration) {
	hold = min(wait, peerFollowWait)
	if callLimit == 0 {
		return hold, hold + peerCallMargin
	}
	hold = min(hold, max(minFollowHold, callLimit-minCallLimit))
	return hold, min(hold+peerCallMargin, max(callLimit, hold+minCallLimit))
}

// watchers returns the processes that watch the store: near are those in this data centre,
// far those in others. Those that did not answer lately come last.
func (w *watchSharing) watchers() (near, far []slugname.Process) {
	var candidates []slugwatcher.Candidate
	for _, p := range w.host.livePeers() {
		candidates = append(candidates, slugwatcher.Candidate{Process: p.Process, DataCentre: p.Record.DataCentre, Failing: p.StoreUnavailable, Capacity: p.Record.Capacity})
	}
	self := w.host.member.Self()
	return w.silentLast(slugwatcher.Choose(self.Process, self.DataCentre, candidates))
}

// silentLast moves processes that did not answer lately to the end.
func (w *watchSharing) silentLast(near, far []slugname.Process) (soundNear, others []slugname.Process) {
	near, silentNear := w.silence.Split(near)
	far, silentFar := w.silence.Split(far)
	return near, slices.Concat(far, silentNear, silentFar)
}

// source returns a source that follows a process as long as the process's data is younger
// than limit. Its calls take callLimit at most, unless that is 0.
func (w *watchSharing) source(to slugmember.Record, limit, callLimit time.Duration) *slugstore.Source {
	return &slugstore.Source{Name: string(to.Process), Follow: func(ctx context.Context, prefix string, after slugstore.Version, wait time.Duration) (slugstore.Changes, error) {
		asked := slugclock.Now()
		hold, timeout := followTimes(wait, callLimit)
		changes, err := w.follow(ctx, to, slugpeer.Follow{Prefix: prefix, After: after, WaitMs: uint32(hold.Milliseconds())}, timeout, limit)
		w.observe(ctx, to.Process, err)
		if err != nil {
			w.host.log.Error(slugevent.WatchMoved, err, slugevent.Fields{"prefix": prefix, "process": to.Process, "after": after, "tookMs": slugclock.Since(asked).Milliseconds()})
			return changes, errors.Mark(err, slugstore.ErrSourceUnavailable)
		}
		return changes, nil
	}}
}

// observe records whether a process has answered a follow call. One that answers that it has
// nothing newer is not silent.
func (w *watchSharing) observe(ctx context.Context, p slugname.Process, err error) {
	switch {
	case err == nil || errors.Is(err, slugstore.ErrSourceBehind) || errors.Is(err, errNoData):
		w.silence.Answered(p)
	case ctx.Err() == nil:
		w.silence.Failed(p)
	}
}

// errNoData is returned by a process that has received no objects yet.
var errNoData = errors.New("peer has no data yet")

// follow asks a process for changes. It rejects an answer without changes if the process's
// data is older than limit.
func (w *watchSharing) follow(ctx context.Context, to slugmember.Record, f slugpeer.Follow, timeout, limit time.Duration) (slugstore.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	asked := slugclock.Now()
	answer, err := w.host.transport.Call(ctx, to, slugpeer.Message{Protocol: slugpeer.Protocol, Follow: &f})
	if err != nil {
		return slugstore.Changes{}, err
	}
	changes := answer.Changes
	if changes == nil || changes.Revision == 0 {
		return slugstore.Changes{}, errNoData
	}
	// The peer answered at this time or later.
	answered := asked.Add(time.Duration(changes.HeldMs) * time.Millisecond)
	age := time.Duration(changes.AgeMs) * time.Millisecond
	if age > limit && len(changes.Values) == 0 {
		return slugstore.Changes{}, errors.Mark(errors.Newf("peer has had no answer from the store for %s", age), slugstore.ErrSourceBehind)
	}
	return slugstore.Changes{
		Listing: slugstore.Listing{Values: changes.Values, Revision: changes.Revision}, Complete: changes.Complete, CurrentAt: answered.Add(-age),
	}, nil
}

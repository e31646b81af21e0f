package slughost

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmirror"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugnewest"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugwatcher"
)

const (
	// membersWait is how long one watch of the processes' records waits. They change
	// only as processes come and go, which peers notice sooner by themselves.
	membersWait = 5 * time.Second
	// peerWait is how long a peer holds a call that follows its knowledge. It is part
	// of how old word of the configuration gets.
	peerWait = 500 * time.Millisecond
	// peerSlack is how much longer than its wait such a call may take, a handshake with
	// a small host included. A watcher that went silent is left after both.
	peerSlack = 600 * time.Millisecond
	// ageSlack is how much older than one watch a watcher's knowledge may be before the
	// process asks elsewhere.
	ageSlack = 600 * time.Millisecond
	// storeLostFor is how long after a failed call a process does not watch for others.
	storeLostFor = 5 * time.Second
	// configWaitPart is the part of the time in which a withdrawn key must stop working
	// that one watch of the configuration may wait.
	configWaitPart = 0.3
)

// configWait returns how long one watch of the configuration waits.
func (h *Host) configWait() time.Duration {
	return min(slugnewest.DefaultWait, time.Duration(configWaitPart*float64(h.settings.Revoke)))
}

// sharedWatch lets few processes watch the store: the others follow them.
type sharedWatch struct {
	host    *Host
	mirrors map[string]*slugmirror.Mirror
}

func newSharedWatch(h *Host) *sharedWatch {
	w := &sharedWatch{host: h, mirrors: map[string]*slugmirror.Mirror{}}
	for _, prefix := range []string{slugmember.Prefix, h.adapter.ConfigName, h.adapter.EntryPrefix} {
		w.mirrors[prefix] = slugmirror.New()
	}
	return w
}

// Close ends the calls of peers that wait.
func (w *sharedWatch) Close() {
	for _, m := range w.mirrors {
		m.Close()
	}
}

// Sharing returns how a watch of a prefix is shared whose calls to the store wait for a
// time.
func (w *sharedWatch) Sharing(prefix string, wait time.Duration) slugstore.Sharing {
	return slugstore.Sharing{From: w.from(wait), Told: w.mirrors[prefix].Take}
}

// Serve answers a peer that follows this process.
func (w *sharedWatch) Serve(f slugpeer.Follow) *slugpeer.News {
	m := w.mirrors[f.Prefix]
	if m == nil {
		return &slugpeer.News{}
	}
	asked := slugclock.Now()
	n := m.Follow(f.After, min(time.Duration(f.WaitMs)*time.Millisecond, peerWait))
	return &slugpeer.News{
		Revision: n.Revision, Whole: n.Whole, Values: n.Values,
		HeldMs: uint32(slugclock.Since(asked).Milliseconds()), AgeMs: ageMs(n.Current),
	}
}

// ageMs returns the time since an instant, rounded up.
func ageMs(at slugclock.Instant) uint32 {
	const most = time.Hour
	return uint32((min(slugclock.Since(at), most) + time.Millisecond - 1) / time.Millisecond)
}

// from returns what chooses the source of a watch whose calls to the store wait for a
// time: the store for a process that watches, else a process that does. After failures
// comes the store itself, and then the watchers of other data centres.
func (w *sharedWatch) from(wait time.Duration) func(failures int) *slugstore.Source {
	return func(failures int) *slugstore.Source {
		near, far := w.watchers()
		if slices.Contains(near, w.host.member.Self().Process) {
			return nil
		}
		const store slugname.Process = ""
		turns := slices.Concat(near, []slugname.Process{store}, far)
		r, known := w.host.member.Record(turns[failures%len(turns)])
		if !known {
			return nil
		}
		return w.source(r, wait+ageSlack)
	}
}

// watchers returns the processes that watch, near this one and far.
func (w *sharedWatch) watchers() (near, far []slugname.Process) {
	var candidates []slugwatcher.Candidate
	for _, p := range w.host.live() {
		candidates = append(candidates, slugwatcher.Candidate{Process: p.Process, DataCentre: p.Record.DataCentre, Failing: p.StoreLost})
	}
	self := w.host.member.Self()
	return slugwatcher.Choose(self.Process, self.DataCentre, candidates)
}

// source returns a process as a source, as long as its knowledge is younger than a
// limit.
func (w *sharedWatch) source(to slugmember.Record, limit time.Duration) *slugstore.Source {
	return &slugstore.Source{Follow: func(ctx context.Context, prefix string, after slugstore.Version, wait time.Duration) (slugstore.News, error) {
		n, err := w.ask(ctx, to, slugpeer.Follow{Prefix: prefix, After: after}, min(wait, peerWait), limit)
		if err != nil {
			w.host.log.Error(slugevent.WatcherLeft, err, slugevent.Fields{"prefix": prefix, "process": to.Process, "after": after})
			return n, errors.Mark(err, slugstore.ErrSource)
		}
		return n, nil
	}}
}

// ask asks a process what is new, and takes the answer if its knowledge is younger than
// a limit or it tells something new.
func (w *sharedWatch) ask(ctx context.Context, to slugmember.Record, f slugpeer.Follow, wait, limit time.Duration) (slugstore.News, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+peerSlack)
	defer cancel()
	f.WaitMs = uint32(wait.Milliseconds())
	asked := slugclock.Now()
	answer, err := w.host.link.Call(ctx, to, slugpeer.Message{Protocol: slugpeer.Protocol, Follow: &f})
	if err != nil {
		return slugstore.News{}, err
	}
	n := answer.News
	if n == nil || n.Revision == 0 {
		return slugstore.News{}, errors.New("peer knows nothing yet")
	}
	// The peer answered no earlier than this.
	answered := asked.Add(time.Duration(n.HeldMs) * time.Millisecond)
	age := time.Duration(n.AgeMs) * time.Millisecond
	if age > limit && len(n.Values) == 0 {
		return slugstore.News{}, errors.Newf("peer has not heard from the store for %s", age)
	}
	return slugstore.News{
		Listing: slugstore.Listing{Values: n.Values, Revision: n.Revision}, Whole: n.Whole, Current: answered.Add(-age),
	}, nil
}

package slugstore

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
)

// List reads all objects whose names begin with prefix, in order of name.
func (s *Store) List(ctx context.Context, prefix string) ([]Object, error) {
	var l Listing
	err := s.retry(ctx, func() error {
		var err error
		l, err = s.list(ctx, prefix)
		return err
	})
	if err != nil {
		return nil, slugfault.Wrap(err, "list "+prefix, s.cfg.BaseURL)
	}
	return s.decodeAll(l.Values, decode)
}

func (s *Store) list(ctx context.Context, prefix string) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.count("list")
	l, err := s.cfg.Backend.List(ctx, prefix)
	s.answered(err)
	return l, err
}

// decoder reads an object's value.
type decoder func(name string, v Version, value []byte) (Object, error)

// decodeForeign takes the value of an object that this system did not write.
func decodeForeign(name string, v Version, value []byte) (Object, error) {
	return Object{Name: name, Version: v, Body: value}, nil
}

// decodeAll leaves out objects older than what was seen of them before.
func (s *Store) decodeAll(values []Value, f decoder) ([]Object, error) {
	objects := make([]Object, 0, len(values))
	for _, x := range values {
		if !s.advance(x.Name, x.Version) {
			continue
		}
		if x.Bytes == nil {
			objects = append(objects, Object{Name: x.Name, Version: x.Version})
			continue
		}
		o, err := f(x.Name, x.Version, x.Bytes)
		if err != nil {
			return nil, err
		}
		objects = append(objects, o)
	}
	return objects, nil
}

// Watcher says what is watched and who is told.
type Watcher struct {
	// Prefix selects the objects.
	Prefix string
	// Foreign tells that others write the objects, whose values have no change id.
	Foreign bool
	// Wait returns how long the next call may wait for a change; nil means
	// DefaultWait. A shorter wait tells sooner that the store still answers.
	Wait func() time.Duration
	// Gather is a pause after each change, in which further changes come together into
	// the next answer: each call counts.
	Gather time.Duration
	// Changed is called with the objects that are new or changed, at first with
	// all of them. A removed object has a nil Body. It is called without objects
	// when the store answered that nothing changed.
	Changed func([]Object)
	// Current is called before Changed with an instant at which the store had no
	// change beyond those that Changed is about to tell; it may be nil.
	Current func(slugclock.Instant)
	// Lost is called with each failed try; it may be nil.
	Lost func(error)
	Sharing
}

// Sharing lets few processes watch the store for all. The zero Sharing shares nothing.
type Sharing struct {
	// From returns the source to ask next, given the number of failed tries in a row;
	// nil, or a nil function, means the store itself.
	From func(failures int) *Source
	// Told is called with each answer before Changed; it may be nil.
	Told func(News)
}

// Source is another place that knows the objects, such as a process that watches them.
type Source struct {
	// Follow waits for changes after a version; version 0 asks for all objects.
	Follow func(ctx context.Context, prefix string, after Version, wait time.Duration) (News, error)
}

// News is an answer to a watch.
type News struct {
	Listing
	// Whole tells that the values are all objects, and not changes only.
	Whole bool
	// Current is an instant at which there was no change beyond Revision.
	Current slugclock.Instant
}

// DefaultWait is the longest wait of one watch call.
const DefaultWait = 30 * time.Second

// watch is the state of one Watch.
type watch struct {
	Watcher
	after  Version
	synced bool
	// known are the objects that exist as far as the watcher was told.
	known map[string]bool
	// failures is the number of failed tries in a row.
	failures int
	// current is the instant of the last answer.
	current slugclock.Instant
}

// leastWait is how long a call waits at least.
const leastWait = 200 * time.Millisecond

// wait returns how long the next call may wait, so that the answer to it comes that long
// after the instant of the last one. An answer that tells a change says only that
// nothing else had changed when it was asked for.
func (x *watch) wait() time.Duration {
	wait := DefaultWait
	if x.Wait != nil {
		wait = x.Wait()
	}
	return min(wait, max(wait-slugclock.Since(x.current), leastWait))
}

// Watch follows the objects under a prefix until ctx ends. When the store has
// dropped the changes since the last answer, it reads all objects again, and tells
// those that are gone as removed.
func (s *Store) Watch(ctx context.Context, w Watcher) error {
	x := &watch{Watcher: w, known: map[string]bool{}}
	for ctx.Err() == nil {
		objects, at, err := s.watchOnce(ctx, x)
		if err == nil {
			x.failures = 0
			if w.Current != nil {
				w.Current(at)
			}
			w.Changed(objects)
			if len(objects) > 0 && w.Gather > 0 {
				_ = slugbackoff.Sleep(ctx, w.Gather)
			}
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if w.Lost != nil {
			w.Lost(slugfault.Wrap(err, "watch "+w.Prefix, s.cfg.BaseURL))
		}
		_ = s.watches.Wait(ctx, x.failures)
		x.failures++
	}
	return nil
}

// watchSlack is how much longer than asked the answer to a watch may take. It bounds
// how long a connection that went silent goes unnoticed.
const watchSlack = 800 * time.Millisecond

// watchOnce makes one call. at is an instant at which the answer was the present
// state for certain.
func (s *Store) watchOnce(ctx context.Context, x *watch) (objects []Object, at slugclock.Instant, err error) {
	n, err := s.news(ctx, x)
	if err != nil {
		return nil, n.Current, err
	}
	if n.Revision < x.after {
		return nil, n.Current, errors.Wrapf(ErrStale, "revision %d after %d", n.Revision, x.after)
	}
	f := decode
	if x.Foreign {
		f = decodeForeign
	}
	objects, err = s.decodeAll(n.Values, f)
	x.after, x.current = n.Revision, n.Current
	if n.Whole {
		x.synced = true
		objects = x.relisted(n.Values, objects)
	} else {
		x.told(objects)
	}
	if x.Told != nil {
		x.Told(n)
	}
	return objects, n.Current, err
}

// news asks the store, or the source that stands in for it.
func (s *Store) news(ctx context.Context, x *watch) (News, error) {
	wait := x.wait()
	if x.failures > 0 {
		// A store that answers again is asked for what is new at once.
		wait = 0
	}
	var source *Source
	if x.From != nil && (x.synced || x.failures > 0) {
		// The first reading is the store's own, which is the newest.
		source = x.From(x.failures)
	}
	switch {
	case source != nil && x.synced:
		return source.Follow(ctx, x.Prefix, x.after, wait)
	case source != nil:
		return source.Follow(ctx, x.Prefix, 0, wait)
	case x.synced:
		return s.changes(ctx, x, wait)
	}
	n := News{Whole: true, Current: slugclock.Now()}
	var err error
	n.Listing, err = s.list(ctx, x.Prefix)
	return n, err
}

// changes waits for what is new in the store.
func (s *Store) changes(ctx context.Context, x *watch, wait time.Duration) (News, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	n := News{Current: slugclock.Now()}
	s.count("watch")
	var err error
	n.Listing, err = s.cfg.Backend.Watch(ctx, x.Prefix, x.after, wait)
	if errors.Is(err, ErrHistory) {
		x.synced = false
	}
	s.answered(err)
	if err == nil && len(n.Values) == 0 && slugclock.Since(n.Current) >= wait {
		// The store looked again at the end of the wait.
		n.Current = n.Current.Add(wait)
	}
	return n, err
}

// relisted returns the objects of a full list and the removal of those that it no
// longer has.
func (x *watch) relisted(values []Value, objects []Object) []Object {
	listed := make(map[string]bool, len(values))
	for _, v := range values {
		listed[v.Name] = true
	}
	for name := range x.known {
		if !listed[name] {
			objects = append(objects, Object{Name: name})
		}
	}
	x.known = listed
	return objects
}

// told notes which objects exist.
func (x *watch) told(objects []Object) {
	for _, o := range objects {
		if o.Body == nil {
			delete(x.known, o.Name)
		} else {
			x.known[o.Name] = true
		}
	}
}

// changeIDBytes is the length of a random change id before encoding.
const changeIDBytes = 12

// RandomChangeID returns a fresh random id.
func RandomChangeID() ChangeID {
	b := make([]byte, changeIDBytes)
	_, _ = rand.Read(b)
	return ChangeID(hex.EncodeToString(b))
}

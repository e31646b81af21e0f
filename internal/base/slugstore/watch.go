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
	if err == nil {
		s.answered()
	}
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
	// Gather returns a pause after each change, in which further changes come together
	// into the next answer: each call counts. nil means none.
	Gather func() time.Duration
	// Changed is called with the objects that are new or changed, at first with
	// all of them. A removed object has a nil Body. It is called without objects
	// when the store answered that nothing changed.
	Changed func([]Object)
	// Current is called before Changed with an instant at which the store had no
	// change beyond those that Changed is about to tell; it may be nil.
	Current func(slugclock.Instant)
	// Lost is called with each failed try; it may be nil.
	Lost func(error)
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
			if len(objects) > 0 && w.Gather != nil {
				_ = slugbackoff.Sleep(ctx, w.Gather())
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
	f := decode
	if x.Foreign {
		f = decodeForeign
	}
	at = slugclock.Now()
	if !x.synced {
		l, err := s.list(ctx, x.Prefix)
		if err != nil {
			return nil, at, err
		}
		x.synced, x.after = true, l.Revision
		objects, err = s.decodeAll(l.Values, f)
		return x.relisted(l.Values, objects), at, err
	}
	wait := DefaultWait
	if x.Wait != nil {
		wait = x.Wait()
	}
	if x.failures > 0 {
		// A store that answers again is asked for what is new at once.
		wait = 0
	}
	l, err := s.waitForChange(ctx, x, wait)
	if err != nil {
		return nil, at, err
	}
	if len(l.Values) == 0 && slugclock.Since(at) >= wait {
		// The store looked again at the end of the wait.
		at = at.Add(wait)
	}
	objects, err = s.decodeAll(l.Values, f)
	x.told(objects)
	return objects, at, err
}

func (s *Store) waitForChange(ctx context.Context, x *watch, wait time.Duration) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	s.count("watch")
	l, err := s.cfg.Backend.Watch(ctx, x.Prefix, x.after, wait)
	if errors.Is(err, ErrHistory) {
		x.synced = false
	}
	if err != nil {
		return l, err
	}
	if l.Revision < x.after {
		return l, errors.Wrapf(ErrStale, "revision %d", l.Revision)
	}
	s.answered()
	x.after = l.Revision
	return l, nil
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

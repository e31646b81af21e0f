// Package slugstore is the client of the platform's object store.
//
// Every write carries a change id inside the stored value. A write whose answer
// is lost, late or a conflict is settled by reading the object back: a value
// with our change id means that the write took effect. Reads that go backwards
// in version are refused.
//
// # Usage
//
//	s := slugstore.New(slugstore.Config{BaseURL: "http://127.0.0.1:7000", Do: client.Do})
//	o, err := s.Get(ctx, "config/head")
//	version, err := s.Put(ctx, "config/head", o.Version, head)
package slugstore

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
)

// Version is the version of a stored object; 0 means that there is none.
type Version uint64

// ChangeID identifies one write.
type ChangeID string

// Object is a stored value.
type Object struct {
	Name    string
	Version Version
	// Change identifies the write that made this version.
	Change ChangeID
	// Body is the value in JSON, nil when there is none.
	Body json.RawMessage
}

// Decode reads the body into v.
func (o Object) Decode(v any) error {
	return slugfault.Wrap(json.Unmarshal(o.Body, v), "decode object "+o.Name, "")
}

// envelope is what is stored.
type envelope struct {
	Change ChangeID        `json:"change"`
	Body   json.RawMessage `json:"body"`
}

// Errors of store calls.
var (
	// ErrConflict says that the object has another version than expected, made
	// by another write.
	ErrConflict = errors.New("object has another version")
	// ErrUnavailable says that the store gave no usable answer.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrUnknown says that a write may or may not have taken effect.
	ErrUnknown = errors.New("outcome of the write is unknown")
	// ErrStale says that a read was older than an earlier one.
	ErrStale = errors.New("read is older than an earlier one")
	// ErrSource says that a source other than the store gave no usable answer.
	ErrSource = errors.New("source does not tell what the store holds")
	// ErrHistory says that the store no longer has the changes since a version.
	ErrHistory = errors.New("changes since the version are gone")
)

// Times and limits of store calls.
const (
	// callTimeout bounds one call.
	callTimeout = 2 * time.Second
	// retryBase bounds the first delay between tries.
	retryBase = 25 * time.Millisecond
	// retryCap bounds every delay between tries.
	retryCap = time.Second
	// watchRetryCap bounds every delay between tries of a watch.
	watchRetryCap = 400 * time.Millisecond
	// retryRatio is the number of retries earned by a call.
	retryRatio = 0.5
)

// Config makes a Store.
type Config struct {
	// BaseURL is the address of the platform.
	BaseURL string
	// Do performs a request.
	Do func(*http.Request) (*http.Response, error)
	// Backend speaks the protocol of the store; nil means the product's own over
	// Do at BaseURL.
	Backend *Backend
	// NewChangeID returns a fresh id.
	NewChangeID func() ChangeID
	// Counts takes the number of calls by duty and kind; nil counts nowhere.
	Counts *expvar.Map
}

// Store is the client. Its methods may be called from many goroutines.
type Store struct {
	cfg  Config
	duty string
	*shared
}

// shared is the state of all clients of one process.
type shared struct {
	retries *slugbackoff.Backoff
	// watches spaces the tries of watches, which must find the store soon again.
	watches *slugbackoff.Backoff
	mu      sync.Mutex
	seen    map[string]Version
	// lastAnswer is the time of the last usable answer, and lastFailure that of the
	// last call without one.
	lastAnswer, lastFailure time.Time
}

// New returns a client.
func New(cfg Config) *Store {
	if cfg.NewChangeID == nil {
		cfg.NewChangeID = RandomChangeID
	}
	if cfg.Backend == nil {
		cfg.Backend = newHTTPBackend(cfg.BaseURL, cfg.Do)
	}
	return &Store{cfg: cfg, duty: "process", shared: &shared{
		retries: slugbackoff.New(slugbackoff.Config{Base: retryBase, Cap: retryCap, Ratio: retryRatio, Burst: 50}),
		watches: slugbackoff.New(slugbackoff.Config{Base: retryBase, Cap: watchRetryCap}),
		seen:    map[string]Version{},
	}}
}

// For returns a client whose calls are counted under a duty's name.
func (s *Store) For(duty string) *Store {
	c := *s
	c.duty = duty
	return &c
}

// Failing reports whether the last call got no usable answer, within a time.
func (s *Store) Failing(within time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastFailure.After(s.lastAnswer) && time.Since(s.lastFailure) < within
}

// Get reads an object. An object that does not exist has a nil Body and
// version 0. Errors: ErrUnavailable, ErrStale.
func (s *Store) Get(ctx context.Context, name string) (Object, error) {
	var o Object
	err := s.retry(ctx, func() error {
		var err error
		o, err = s.get(ctx, name)
		return err
	})
	return o, slugfault.Wrap(err, "get "+name, s.cfg.BaseURL)
}

func (s *Store) get(ctx context.Context, name string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.count("get")
	v, err := s.cfg.Backend.Get(ctx, name)
	s.answered(err)
	if err != nil {
		return Object{}, err
	}
	if !s.advance(name, v.Version) {
		return Object{}, errors.Wrapf(ErrStale, "version %d", v.Version)
	}
	if v.Bytes == nil {
		return Object{Name: name}, nil
	}
	return decode(name, v.Version, v.Bytes)
}

func decode(name string, v Version, body []byte) (Object, error) {
	var e envelope
	if err := json.Unmarshal(body, &e); err != nil {
		return Object{}, slugfault.Wrap(err, "decode object "+name, "")
	}
	return Object{Name: name, Version: v, Change: e.Change, Body: e.Body}, nil
}

// advance records a version and reports whether it is not older than before.
func (s *Store) advance(name string, v Version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v < s.seen[name] {
		return false
	}
	s.seen[name] = v
	return true
}

// Put writes body as the object's value if its version is still expected, which
// is 0 for a new object. It returns the new version. Errors: ErrConflict when
// another write came first, ErrUnknown when ctx ended before the outcome was
// known.
func (s *Store) Put(ctx context.Context, name string, expected Version, body any) (Version, error) {
	return s.PutChange(ctx, name, expected, body, s.cfg.NewChangeID())
}

// PutChange is Put with a change id of the caller's. A repeated call with the
// same id has one effect.
func (s *Store) PutChange(ctx context.Context, name string, expected Version, body any, id ChangeID) (Version, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return 0, slugfault.Wrap(err, "encode "+name, "")
	}
	value, err := json.Marshal(envelope{Change: id, Body: raw})
	if err != nil {
		return 0, slugfault.Wrap(err, "encode "+name, "")
	}
	return s.write(ctx, name, expected, value, id)
}

// Delete removes an object if its version is still expected.
func (s *Store) Delete(ctx context.Context, name string, expected Version) error {
	_, err := s.write(ctx, name, expected, nil, "")
	return err
}

func (s *Store) write(ctx context.Context, name string, expected Version, value []byte, id ChangeID) (Version, error) {
	var version Version
	sent := false
	err := s.retry(ctx, func() error {
		var err error
		version, err = s.writeOnce(ctx, name, expected, value)
		if err == nil {
			return nil
		}
		ambiguous := sent || !errors.Is(err, ErrConflict)
		sent = true
		if !ambiguous {
			return err
		}
		version, err = s.settle(ctx, name, expected, id, err)
		return err
	})
	if err != nil && !errors.Is(err, ErrConflict) {
		err = errors.Mark(err, ErrUnknown)
	}
	return version, slugfault.Wrap(err, "put "+name, s.cfg.BaseURL)
}

func (s *Store) writeOnce(ctx context.Context, name string, expected Version, value []byte) (Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.count("put")
	v, err := s.cfg.Backend.Write(ctx, name, expected, value)
	s.answered(err)
	if err != nil {
		return 0, err
	}
	s.advance(name, v)
	return v, nil
}

// settle reads an object back after a write without a clear answer.
func (s *Store) settle(ctx context.Context, name string, expected Version, id ChangeID, cause error) (Version, error) {
	o, err := s.get(ctx, name)
	if err != nil {
		return 0, err
	}
	if id != "" && o.Change == id {
		return o.Version, nil
	}
	if id == "" && o.Body == nil {
		return 0, nil
	}
	if o.Version != expected {
		return 0, errors.Wrapf(ErrConflict, "version %d", o.Version)
	}
	return 0, errors.Mark(cause, ErrUnavailable)
}

// retry calls f until it succeeds, fails for good or ctx ends.
func (s *Store) retry(ctx context.Context, f func() error) error {
	s.retries.First()
	for n := 0; ; n++ {
		err := f()
		if err == nil || errors.Is(err, ErrConflict) {
			return err
		}
		if ctx.Err() != nil || !s.retries.Allow() {
			return err
		}
		if s.retries.Wait(ctx, n) != nil {
			return err
		}
	}
}

// answered notes the outcome of a call.
func (s *Store) answered(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrHistory) {
		s.lastAnswer = time.Now()
	} else {
		s.lastFailure = time.Now()
	}
}

func (s *Store) count(kind string) {
	if s.cfg.Counts != nil {
		s.cfg.Counts.Add(fmt.Sprintf("%s.%s", s.duty, kind), 1)
	}
}

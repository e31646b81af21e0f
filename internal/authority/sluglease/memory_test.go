package sluglease

import (
	"context"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"gotest.tools/v3/assert"
)

// contents are the objects of a memoryStore at one moment.
type contents struct {
	at       time.Time
	revision uint64
	values   map[string]slugstore.Value
}

// memoryStore is a store that can be restored from a copy of its earlier contents.
type memoryStore struct {
	mu  sync.Mutex
	era slugstore.Era
	// history holds the contents after each write, oldest first.
	history   []contents
	downUntil time.Time
}

func newMemoryStore() *memoryStore {
	return &memoryStore{era: 1, history: []contents{{at: time.Now(), values: map[string]slugstore.Value{}}}}
}

// restore makes the store unavailable for down and then restores its contents from before
// age.
func (s *memoryStore) restore(down, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := time.Now().Add(-age)
	s.downUntil = time.Now().Add(down)
	time.AfterFunc(down, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.era++
		for len(s.history) > 1 && s.history[len(s.history)-1].at.After(copied) {
			s.history = s.history[:len(s.history)-1]
		}
	})
}

// current returns the contents with mu held.
func (s *memoryStore) current() contents { return s.history[len(s.history)-1] }

func (s *memoryStore) get(name string) slugstore.Value {
	if v, ok := s.current().values[name]; ok {
		v.Version = slugstore.NewVersion(s.era, v.Version.Revision())
		return v
	}
	return slugstore.Value{Name: name, Version: slugstore.NewVersion(s.era, 0)}
}

func (s *memoryStore) write(name string, expected slugstore.Version, value []byte) (slugstore.Version, error) {
	old := s.current()
	if old.values[name].Version.Revision() != expected.Revision() {
		return 0, slugstore.ErrConflict
	}
	next := contents{time.Now(), old.revision + 1, maps.Clone(old.values)}
	version := slugstore.NewVersion(s.era, next.revision)
	next.values[name] = slugstore.Value{Name: name, Version: version, Bytes: value}
	s.history = append(s.history, next)
	return version, nil
}

// unreliableLink is the connection of one candidate to a memoryStore.
type unreliableLink struct {
	store *memoryStore

	mu       sync.Mutex
	cutUntil time.Time
	delay    time.Duration
	lose     int
}

// call carries out f after the delay of the link. It is carried out even if the caller has
// given up by then.
func (l *unreliableLink) call(ctx context.Context, f func()) error {
	l.mu.Lock()
	cut, delay, lose := time.Now().Before(l.cutUntil), l.delay, l.lose > 0
	if lose {
		l.lose--
	}
	l.mu.Unlock()
	if cut {
		<-ctx.Done()
		return slugstore.ErrUnavailable
	}
	done := make(chan bool, 1)
	time.AfterFunc(delay, func() {
		l.store.mu.Lock()
		defer l.store.mu.Unlock()
		down := time.Now().Before(l.store.downUntil)
		if !down {
			f()
		}
		done <- !down
	})
	select {
	case <-ctx.Done():
		return slugstore.ErrUnavailable
	case ok := <-done:
		if !ok {
			return slugstore.ErrUnavailable
		}
	}
	if lose {
		<-ctx.Done()
		return slugstore.ErrUnavailable
	}
	return nil
}

// backend returns the store as the candidate reaches it.
func (l *unreliableLink) backend() *slugstore.Backend {
	return &slugstore.Backend{
		Get: func(ctx context.Context, name string) (slugstore.Value, error) {
			result := make(chan slugstore.Value, 1)
			if err := l.call(ctx, func() { result <- l.store.get(name) }); err != nil {
				return slugstore.Value{}, err
			}
			return <-result, nil
		},
		Write: func(ctx context.Context, name string, expected slugstore.Version, value []byte) (slugstore.Version, error) {
			type outcome struct {
				version slugstore.Version
				err     error
			}
			result := make(chan outcome, 1)
			if err := l.call(ctx, func() {
				v, err := l.store.write(name, expected, value)
				result <- outcome{v, err}
			}); err != nil {
				return 0, err
			}
			x := <-result
			return x.version, x.err
		},
	}
}

func (l *unreliableLink) setDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// TestHolderReturnsAfterItsLeaseIsGone guards against a process that never competes again
// for a duty whose lease it lost and that the restored store does not contain.
func TestHolderReturnsAfterItsLeaseIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		link := &unreliableLink{store: store}
		l := New(Config{
			Duty: "test", Self: "a-1", Host: "a", TTL: 3 * time.Second, Rank: func() int { return 0 }, Log: slugevent.Discard(),
			Store: slugstore.New(slugstore.Config{Backend: link.backend()}),
		})
		var fences []Fence
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = l.Run(ctx, func(ctx context.Context, g *Grant) error {
				fences = append(fences, g.Fence)
				<-ctx.Done()
				return nil
			})
		}()
		time.Sleep(10 * time.Second)
		store.restore(4*time.Second, 20*time.Second)
		time.Sleep(30 * time.Second)
		cancel()
		<-done
		assert.Equal(t, len(fences), 2, "%v", fences)
	})
}

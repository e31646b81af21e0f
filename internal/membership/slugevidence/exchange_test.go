package slugevidence

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugquarantine"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugknownfailures"
	"gotest.tools/v3/assert"
)

// objects is an in-memory store that all processes of a test watch.
type objects struct {
	mu       sync.Mutex
	values   map[string]slugstore.Value
	version  slugstore.Version
	writes   int
	watchers []*Exchange
}

// backend returns the backend of the store. While down reports true, writes fail.
func (o *objects) backend(down func() bool) *slugstore.Backend {
	return &slugstore.Backend{
		Get: func(_ context.Context, name string) (slugstore.Value, error) {
			if down() {
				return slugstore.Value{}, slugstore.ErrUnavailable
			}
			o.mu.Lock()
			defer o.mu.Unlock()
			return o.values[name], nil
		},
		Write: func(_ context.Context, name string, expected slugstore.Version, value []byte) (slugstore.Version, error) {
			if down() {
				return 0, slugstore.ErrUnavailable
			}
			o.mu.Lock()
			if o.values[name].Version != expected {
				o.mu.Unlock()
				return 0, slugstore.ErrConflict
			}
			o.version++
			o.writes++
			v := slugstore.Value{Name: name, Version: o.version, Bytes: value}
			o.values[name] = v
			if value == nil {
				delete(o.values, name)
			}
			o.mu.Unlock()
			o.notify(v)
			return v.Version, nil
		},
	}
}

// count returns the number of objects and of writes.
func (o *objects) count() (values, writes int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.values), o.writes
}

// notify passes a changed object to all processes.
func (o *objects) notify(v slugstore.Value) {
	object := decode(v)
	o.mu.Lock()
	watchers := slices.Clone(o.watchers)
	o.mu.Unlock()
	for _, x := range watchers {
		x.Apply([]slugstore.Object{object})
	}
}

// decode decodes a stored value.
func decode(v slugstore.Value) slugstore.Object {
	object := slugstore.Object{Name: v.Name, Version: v.Version}
	if v.Bytes != nil {
		// Values are stored as {"change":ID,"body":VALUE}.
		body := v.Bytes[len(`{"change":"`):]
		for i := range body {
			if string(body[i:min(len(body), i+8)]) == `"body":{` {
				object.Body = body[i+7 : len(body)-1]
				break
			}
		}
	}
	return object
}

// process is a process of a test.
type process struct {
	*Exchange
	set *slugquarantine.Set
	// down makes the process unable to write to the store, deaf unable to exchange messages.
	down, deaf atomic.Bool
}

// withProcesses runs test on n processes.
func withProcesses(t *testing.T, n int, test func(store *objects, all []*process)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := &objects{values: map[string]slugstore.Value{}}
		all := make([]*process, n)
		for i := range all {
			p := &process{set: slugquarantine.NewSet()}
			p.Exchange = New(Config{
				Trackers: p.set, Rank: func(string) int { return i }, Log: slugevent.Discard(),
				Store: slugstore.New(slugstore.Config{Backend: store.backend(func() bool { return p.down.Load() })}),
				Peers: func(k int) (out []slugmember.Record) {
					for j := range min(k, n-1) {
						out = append(out, slugmember.Record{Process: slugname.Process(fmt.Sprint((i + j + 1) % n))})
					}
					return out
				},
				Call: func(_ context.Context, to slugmember.Record, m slugpeer.Message) (slugpeer.Message, error) {
					var j int
					_, _ = fmt.Sscan(string(to.Process), &j)
					if all[j].deaf.Load() || p.deaf.Load() {
						return slugpeer.Message{}, errors.New("silent")
					}
					return slugpeer.Message{Evidence: all[j].Serve(m.Evidence, m.CompareEvidence)}, nil
				},
			})
			all[i] = p
			store.watchers = append(store.watchers, p.Exchange)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for _, p := range all {
			wg.Go(func() { _ = p.Run(ctx) })
		}
		test(store, all)
		cancel()
		wg.Wait()
	})
}

// part is the trait of the part that crashes endpoints.
var part = slugquarantine.PartTrait("bad")

// crash lets a process see the n-th crash.
func (p *process) crash(n int) {
	start := slugquarantine.Start{Endpoint: "i", Incarnation: int64(n)}
	t := p.set.Of("llm")
	s := slugquarantine.NewSubject("hub", "/x", fmt.Append(nil, n), []string{"bad", fmt.Sprint(n)})
	t.Begin(start, s, time.Now().Add(-time.Millisecond)).Interrupted(time.Now())
	t.Crashed(start, time.Now())
	time.Sleep(300 * time.Millisecond)
}

// quarantined returns the number of processes that refuse the part.
func quarantined(all []*process) (n int) {
	for _, p := range all {
		if p.set.Of("llm").Quarantined(part, time.Now()) {
			n++
		}
	}
	return n
}

// Guards against evidence that does not add up over processes, and against verdicts that
// reach only some of them or that each of them writes.
func TestVerdictReachesAllProcesses(t *testing.T) {
	withProcesses(t, 20, func(store *objects, all []*process) {
		for n := range 4 {
			all[n*5].crash(n)
		}
		time.Sleep(time.Second)
		assert.Equal(t, quarantined(all), 20)
		time.Sleep(5 * time.Second)
		values, writes := store.count()
		assert.Equal(t, values, 1)
		assert.Equal(t, writes, 1)
	})
}

// Guards against a process that never learns what it missed, from its peers or, if these
// cannot reach it, from the store.
func TestProcessThatMissedTheEvidence(t *testing.T) {
	for _, back := range []bool{true, false} {
		withProcesses(t, 5, func(store *objects, all []*process) {
			all[4].deaf.Store(true)
			if back {
				// It does not read the store.
				store.mu.Lock()
				store.watchers = store.watchers[:4]
				store.mu.Unlock()
			}
			for n := range 4 {
				all[n%4].crash(n)
			}
			time.Sleep(time.Second)
			if back {
				assert.Equal(t, quarantined(all), 4)
				all[4].deaf.Store(false)
				time.Sleep(3 * time.Second)
			}
			assert.Equal(t, quarantined(all), 5)
		})
	}
}

// Guards against a verdict that is not kept because the process that has to write it cannot.
func TestNextProcessWritesVerdict(t *testing.T) {
	withProcesses(t, 5, func(store *objects, all []*process) {
		all[0].down.Store(true)
		all[1].down.Store(true)
		for n := range 4 {
			all[0].crash(n)
		}
		time.Sleep(3 * time.Second)
		values, _ := store.count()
		assert.Equal(t, values, 1)
	})
}

// Guards against a verdict that outlasts a response to a request with the part, or that one
// process ends for itself only.
func TestResponseEndsVerdict(t *testing.T) {
	withProcesses(t, 5, func(store *objects, all []*process) {
		for n := range 4 {
			all[0].crash(n)
		}
		time.Sleep(2 * time.Second)
		assert.Equal(t, quarantined(all), 5)
		s := slugquarantine.NewSubject("hub", "/x", nil, []string{"bad", "own"})
		all[3].set.Of("llm").Begin(slugquarantine.Start{Endpoint: "j"}, s, time.Now()).Served(time.Now())
		time.Sleep(5 * time.Second)
		assert.Equal(t, quarantined(all), 0)
		values, _ := store.count()
		assert.Equal(t, values, 0)
	})
}

// Guards against an object that cannot be decoded and takes others with it.
func TestUnreadableVerdict(t *testing.T) {
	withProcesses(t, 1, func(_ *objects, all []*process) {
		until := time.Now().Add(time.Minute).UnixMilli()
		all[0].Apply([]slugstore.Object{
			{Name: Prefix + "a", Version: 1, Body: []byte(`{"hash":"x"}`)},
			{Name: Prefix + "b", Version: 2, Body: fmt.Appendf(nil, `{"service":"llm","scope":1,"hash":%d,"untilMs":%d}`, part.Hash, until)},
		})
		assert.Equal(t, quarantined(all), 1)
	})
}

// restore brings the store back from a copy with the given values, in era 1, and passes all
// of them to the processes, with the removal of the others.
func (o *objects) restore(c map[string]slugstore.Value) {
	o.mu.Lock()
	// An object of another kind shows the era.
	list := []slugstore.Object{{Name: "other", Version: slugstore.NewVersion(1, 1)}}
	for name := range o.values {
		if _, kept := c[name]; !kept {
			list = append(list, slugstore.Object{Name: name})
		}
	}
	o.version, o.values = slugstore.NewVersion(1, 1), map[string]slugstore.Value{}
	for name, v := range c {
		v.Version = slugstore.NewVersion(1, uint64(v.Version))
		o.version = max(o.version, v.Version)
		o.values[name] = v
		list = append(list, decode(v))
	}
	watchers := slices.Clone(o.watchers)
	o.mu.Unlock()
	for _, x := range watchers {
		x.Apply(list)
	}
}

// Guards against verdicts that processes unlearn because the copy from which the store was
// restored lacks them, and that nobody writes again.
func TestVerdictIsMissingInTheCopy(t *testing.T) {
	withProcesses(t, 5, func(store *objects, all []*process) {
		for n := range 4 {
			all[0].crash(n)
		}
		time.Sleep(2 * time.Second)
		store.restore(nil)
		time.Sleep(3 * time.Second)
		assert.Equal(t, quarantined(all), 5)
		values, writes := store.count()
		assert.Equal(t, values, 1)
		assert.Equal(t, writes, 2)
	})
}

// Guards against a verdict that has ended and comes back with the copy.
func TestVerdictHasEndedSinceTheCopy(t *testing.T) {
	slugknownfailures.Skip(t)
	withProcesses(t, 5, func(store *objects, all []*process) {
		for n := range 4 {
			all[0].crash(n)
		}
		time.Sleep(2 * time.Second)
		c := maps.Clone(store.values)
		assert.Equal(t, len(c), 1)
		s := slugquarantine.NewSubject("hub", "/x", nil, []string{"bad", "own"})
		all[3].set.Of("llm").Begin(slugquarantine.Start{Endpoint: "j"}, s, time.Now()).Served(time.Now())
		time.Sleep(5 * time.Second)
		assert.Equal(t, quarantined(all), 0)
		store.restore(c)
		assert.Equal(t, quarantined(all), 0)
		time.Sleep(3 * time.Second)
		assert.Equal(t, quarantined(all), 0)
		values, _ := store.count()
		assert.Equal(t, values, 0)
	})
}

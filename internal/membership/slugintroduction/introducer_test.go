package slugintroduction

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"gotest.tools/v3/assert"
)

// behaviour is how a peer answers a call, given the time since the start.
type behaviour func(ctx context.Context, since time.Duration) error

func answers(context.Context, time.Duration) error { return nil }

func isSilent(ctx context.Context, _ time.Duration) error {
	<-ctx.Done()
	return ctx.Err()
}

func refuses(context.Context, time.Duration) error { return errors.New("refused") }

// readsRecordAfter refuses calls until it has read the record of the caller.
func readsRecordAfter(d time.Duration) behaviour {
	return func(_ context.Context, since time.Duration) error {
		if since < d {
			return errors.New("unknown process")
		}
		return nil
	}
}

// rig runs an Introducer among peers.
type rig struct {
	*Introducer
	startedAt time.Time
	mu        sync.Mutex
	records   []slugmember.Record
	listed    bool
	peers     map[slugname.Process]behaviour
	calls     map[slugname.Process]int
}

// run starts an Introducer in the data centre dc, and f beside it, in virtual time.
func run(t *testing.T, f func(r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := &rig{startedAt: time.Now(), listed: true, peers: map[slugname.Process]behaviour{}, calls: map[slugname.Process]int{}}
		r.Introducer = New(Config{
			Self: slugmember.Record{Process: "self", Host: "self", DataCentre: "dc"}, Alive: func(slugname.Process) bool { return false },
			Listed: func() bool {
				r.mu.Lock()
				defer r.mu.Unlock()
				return r.listed
			},
			Records: func() []slugmember.Record {
				r.mu.Lock()
				defer r.mu.Unlock()
				return append([]slugmember.Record{{Process: "self", Host: "self", DataCentre: "dc"}}, r.records...)
			},
			Call: func(ctx context.Context, p slugmember.Record) error {
				r.mu.Lock()
				r.calls[p.Process]++
				answer := r.peers[p.Process]
				r.mu.Unlock()
				return answer(ctx, time.Since(r.startedAt))
			},
		})
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		f(r)
		wg.Go(func() { _ = r.Run(ctx) })
		<-r.Done()
		synctest.Wait()
	})
}

// add adds n peers that behave alike.
func (r *rig) add(name string, n int, b behaviour) {
	for i := range n {
		p := slugname.Process(fmt.Sprint(name, i))
		r.peers[p] = b
		r.records = append(r.records, slugmember.Record{Process: p, Host: slugname.Host(p), DataCentre: "dc"})
	}
}

// maxWait is the wait of one watch call for the endpoints, within which a change must be noticed.
const maxWait = time.Second

// TestWaitForIntroduction guards against a process that follows the store for itself although
// its peers would answer soon, and against one that waits for silent peers for long.
func TestWaitForIntroduction(t *testing.T) {
	tests := []struct {
		name  string
		setUp func(r *rig)
		least time.Duration
		most  time.Duration
	}{
		{"alone", func(*rig) {}, 0, 0},
		{"peers answer", func(r *rig) { r.add("a", 2, answers) }, 0, 0},
		{"peers know the process later", func(r *rig) { r.add("a", 3, readsRecordAfter(400*time.Millisecond)) }, 400 * time.Millisecond, 600 * time.Millisecond},
		{"one of three peers is silent", func(r *rig) { r.add("a", 2, answers); r.add("s", 1, isSilent) }, 0, 250 * time.Millisecond},
		{"all are silent", func(r *rig) { r.add("s", 200, isSilent) }, 0, maxWait},
		{"all refuse", func(r *rig) { r.add("d", 200, refuses) }, 0, maxWait},
		{"records are not read", func(r *rig) { r.listed = false }, 0, maxWait},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r *rig
			var waited time.Duration
			run(t, func(started *rig) {
				r = started
				tt.setUp(r)
				go func() {
					<-r.Done()
					waited = time.Since(r.startedAt)
				}()
			})
			assert.Assert(t, tt.least <= waited && waited <= tt.most, "waited %s", waited)
		})
	}
}

// TestFewAreCalled guards against introductions to all processes of a large system, to earlier
// processes of a host, and to processes of other data centres.
func TestFewAreCalled(t *testing.T) {
	var r *rig
	run(t, func(started *rig) {
		r = started
		r.add("a", 150, answers)
		r.add("far", 150, answers)
		for i := range r.records[150:] {
			r.records[150+i].DataCentre = "elsewhere"
		}
		for i := range 150 {
			earlier := r.records[i]
			earlier.Process, earlier.StartedAtMs = "earlier-"+earlier.Process, -1
			r.peers[earlier.Process] = answers
			r.records = append(r.records, earlier)
		}
	})
	assert.Assert(t, len(r.calls) > 2 && len(r.calls) <= 5+spares, "%d processes called", len(r.calls))
	for p, n := range r.calls {
		assert.Equal(t, n, 1)
		assert.Assert(t, p[:1] == "a", "%s called", p)
	}
}

// TestNewRecords guards against a process that is not introduced to watchers whose records
// appear later, and against one that calls the same processes again and again.
func TestNewRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := map[slugname.Process]int{}
		records := []slugmember.Record{{Process: "a", Host: "a"}}
		i := New(Config{
			Self: slugmember.Record{Process: "self", Host: "self"}, Alive: func(p slugname.Process) bool { return p == "alive" },
			Listed: func() bool { return true }, Records: func() []slugmember.Record { return records },
			Call: func(_ context.Context, p slugmember.Record) error {
				calls[p.Process]++
				return nil
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = i.Run(ctx) }()
		<-i.Done()
		synctest.Wait()
		records = append(records, slugmember.Record{Process: "b", Host: "b"}, slugmember.Record{Process: "alive", Host: "c"})
		for range 3 {
			i.RecordsChanged()
			synctest.Wait()
		}
		cancel()
		synctest.Wait()
		assert.DeepEqual(t, calls, map[slugname.Process]int{"a": 1, "b": 1})
	})
}

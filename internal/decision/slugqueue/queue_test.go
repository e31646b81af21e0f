package slugqueue

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"gotest.tools/v3/assert"
)

// TestWorkspacesShareByWeight guards against an unfair share: with both workspaces
// backlogged, requests start in proportion to the weights.
func TestWorkspacesShareByWeight(t *testing.T) {
	q := New(Config{MaxLength: 1000})
	now := time.Unix(0, 0)
	slots := 0
	started := map[slugname.Workspace]int{}
	for i := range 200 {
		for w, weight := range map[slugname.Workspace]int{"large": 3, "small": 1} {
			assert.NilError(t, q.Enqueue(&Ticket{
				Workspace: w, Weight: weight, Cost: 1, Deadline: now.Add(time.Hour + time.Duration(i)),
				TryStart: func() bool {
					if slots == 0 {
						return false
					}
					slots--
					started[w]++
					return true
				},
				OnEnd: func(error) {},
			}, now))
		}
	}
	slots = 80
	q.Dispatch(now)
	assert.Equal(t, started["large"], 60)
	assert.Equal(t, started["small"], 20)
}

// TestFullQueueShedsLargestWorkspace guards against one workspace filling the queue: a
// request of another workspace then displaces one of its requests.
func TestFullQueueShedsLargestWorkspace(t *testing.T) {
	q := New(Config{MaxLength: 10})
	now := time.Unix(0, 0)
	shed := 0
	enter := func(w slugname.Workspace) error {
		return q.Enqueue(&Ticket{Workspace: w, Cost: 1, Deadline: now.Add(time.Hour), TryStart: func() bool { return false }, OnEnd: func(err error) {
			assert.ErrorIs(t, err, ErrFull)
			shed++
		}}, now)
	}
	for range 10 {
		assert.NilError(t, enter("flood"))
	}
	assert.ErrorIs(t, enter("flood"), ErrFull)
	assert.NilError(t, enter("calm"))
	assert.Equal(t, shed, 1, "one request of the flooding workspace is shed")
	assert.Equal(t, q.Len(), 10)
}

// TestWaitOutcomes guards against a wrong result of Wait, and requests left in the
// queue, for every way in which a wait can end.
func TestWaitOutcomes(t *testing.T) {
	for _, tt := range []struct {
		name string
		set  func(*Ticket, context.CancelFunc)
		want error
	}{
		{"started", func(*Ticket, context.CancelFunc) {}, nil},
		{"deadline in the past", func(x *Ticket, _ context.CancelFunc) { x.Deadline = time.Now().Add(-1) }, ErrDeadline},
		{"deadline passes", func(x *Ticket, _ context.CancelFunc) { x.TryStart = func() bool { return false } }, ErrDeadline},
		{"authorization withdrawn", func(x *Ticket, _ context.CancelFunc) { x.Authorized = func() bool { return false } }, ErrUnauthorized},
		{"caller disconnects", func(x *Ticket, cancel context.CancelFunc) {
			x.TryStart = func() bool { return false }
			time.AfterFunc(time.Second, cancel)
		}, context.Canceled},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				q := New(Config{})
				ticket := &Ticket{Workspace: "w", Cost: 1, Deadline: time.Now().Add(time.Minute), TryStart: func() bool { return true }}
				tt.set(ticket, cancel)
				err := q.Wait(ctx, ticket)
				if tt.want == nil {
					assert.NilError(t, err)
				} else {
					assert.ErrorIs(t, err, tt.want)
				}
				assert.Equal(t, q.Len(), 0)
			})
		})
	}
}

func BenchmarkEnter(b *testing.B) {
	q := New(Config{MaxLength: 1 << 20})
	now := time.Unix(0, 0)
	for i := range 400 {
		w := slugname.Workspace(fmt.Sprintf("w-%d", i))
		_ = q.Enqueue(&Ticket{Workspace: w, Cost: 1, Deadline: now.Add(time.Hour), TryStart: func() bool { return false }, OnEnd: func(error) {}}, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		ticket := &Ticket{Workspace: "w-7", Cost: 1, Deadline: now.Add(time.Minute), TryStart: func() bool { return true }, OnEnd: func(error) {}}
		_ = q.Enqueue(ticket, now)
		q.Dispatch(now)
	}
}

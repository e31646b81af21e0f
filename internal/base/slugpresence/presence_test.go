package slugpresence

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestTimingSumsUp guards against a part of the time of a request that the log does not give.
func TestTimingSumsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		arrivedAt := time.Now()
		time.Sleep(300 * time.Millisecond)
		p := New(Config{
			ArrivedAt: func() time.Time { return arrivedAt },
			EndAge:    func() (time.Duration, bool) { return 90 * time.Millisecond, true },
		})
		assert.Equal(t, p.MarkRead(), arrivedAt)
		ctx := p.Context(t.Context())
		h := Handover{Address: "10.0.0.1:1", Through: "10.0.0.2:1", Purpose: "run", Cause: "retry", SeenAt: Of(ctx).SeenAt()}
		time.Sleep(20 * time.Millisecond)
		h.DecidedAt = time.Now()
		time.Sleep(500 * time.Millisecond)
		h.ConnectedAt = time.Now()
		failed := h
		time.Sleep(10 * time.Millisecond)
		h.WrittenAt = time.Now()
		Of(ctx).Record(h)
		Of(ctx).Record(failed)
		assert.DeepEqual(t, p.Timing(), Timing{QueuedMs: 300, EndMs: 90, Handovers: []HandoverTiming{
			{To: "10.0.0.1:1", Through: "10.0.0.2:1", Purpose: "run", Cause: "retry", AtMs: 320, ConnectMs: 500, WriteMs: 10, UnseenMs: 530},
			{To: "10.0.0.1:1", Through: "10.0.0.2:1", Purpose: "run", Cause: "retry", AtMs: 320, ConnectMs: 500, WriteMs: -1, UnseenMs: 520},
		}})
	})
}

// TestRequestWithoutCaller guards against a panic where a request has no caller.
func TestRequestWithoutCaller(t *testing.T) {
	p := Of(context.Background())
	assert.Assert(t, p == nil)
	p.Record(Handover{})
	assert.Assert(t, p.SeenAt().IsZero())
	assert.Assert(t, time.Since(p.MarkRead()) < time.Second)
	assert.DeepEqual(t, p.Timing(), Timing{EndMs: -1})
}

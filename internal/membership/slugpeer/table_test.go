package slugpeer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"gotest.tools/v3/assert"
)

// TestSilentPeersAreCalledRarely guards against a load of handshakes after many hosts were
// replaced: their records remain for a while, and each call to one of them costs a
// handshake.
func TestSilentPeersAreCalledRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		records := []slugmember.Record{{Process: "self"}, {Process: "live"}, {Process: "gone-1"}, {Process: "gone-2"}}
		calls := map[slugname.Process]int{}
		live := New(Config{Self: records[1], LastConfirmed: slugclock.Now, Peers: func() []slugmember.Record { return nil }})
		table := New(Config{
			Self: records[0], LastConfirmed: slugclock.Now, Peers: func() []slugmember.Record { return records },
			Interval: func() time.Duration { return 100 * time.Millisecond },
			Call: func(_ context.Context, to slugmember.Record, m Message) (Message, error) {
				calls[to.Process]++
				if to.Process == "live" {
					live.advanceHeartbeat()
					return live.Serve("self", m), nil
				}
				return Message{}, errors.New("silent")
			},
		})
		for range 200 {
			table.advanceHeartbeat()
			table.runRound(t.Context(), 3)
			time.Sleep(100 * time.Millisecond)
		}
		// In 20 s of rounds the live peer is called in each round and one silent peer once
		// a second. The first rounds call a silent peer each, because no process is known
		// to be alive yet.
		assert.Assert(t, calls["live"] >= 190, "%v", calls)
		assert.Assert(t, calls["gone-1"]+calls["gone-2"] <= 30, "%v", calls)
		assert.Assert(t, calls["gone-1"] > 0 && calls["gone-2"] > 0, "%v", calls)
	})
}

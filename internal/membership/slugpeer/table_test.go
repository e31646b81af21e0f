package slugpeer

import (
	"context"
	"fmt"
	"slices"
	"sync"
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
		var mu sync.Mutex
		calls := map[slugname.Process]int{}
		live := New(Config{Self: records[1], LastConfirmed: slugclock.Now, Peers: func() []slugmember.Record { return nil }})
		table := New(Config{
			Self: records[0], LastConfirmed: slugclock.Now, Peers: func() []slugmember.Record { return records },
			Interval: func() time.Duration { return 100 * time.Millisecond },
			Call: func(_ context.Context, to slugmember.Record, m Message) (Message, error) {
				mu.Lock()
				calls[to.Process]++
				mu.Unlock()
				if to.Process == "live" {
					live.advanceHeartbeat()
					return live.Serve("self", m), nil
				}
				return Message{}, errors.New("silent")
			},
		})
		// Until the live peer is found, each round calls a random one of the three.
		searching := 0
		for range 200 {
			table.advanceHeartbeat()
			table.runRound(t.Context(), 3)
			time.Sleep(100 * time.Millisecond)
			if calls["live"] == 0 {
				searching++
			}
		}
		assert.Assert(t, searching < 50, "%v", calls)
		// From then on the live peer is called in each round, and one silent peer once a
		// second. The first exchange may take a second call.
		assert.Assert(t, calls["live"] >= 200-searching, "%v", calls)
		assert.Assert(t, calls["gone-1"]+calls["gone-2"] <= searching+21, "%v", calls)
		assert.Assert(t, calls["gone-1"] > 0 && calls["gone-2"] > 0, "%v", calls)
	})
}

// TestUnchangedRowIsNotSent guards against traffic for rows that are the same as before, and
// against a change that does not spread.
func TestUnchangedRowIsNotSent(t *testing.T) {
	table := New(Config{Self: slugmember.Record{Process: "self"}, LastConfirmed: slugclock.Now})
	set := func(streams uint32) uint32 {
		table.Update(func(r *Row) { r.Loads = map[slugname.Endpoint]Load{"e": {Streams: streams}} })
		return table.rows[table.self].version
	}
	first := set(1)
	assert.Equal(t, set(1), first)
	assert.Equal(t, set(2), first+1)
	assert.Equal(t, table.Self().Loads["e"].Streams, uint32(2))
}

// TestNeighboursAreFew guards against connections to all hosts of a large system, against
// rows that mostly leave their data centre, and against neighbours that do not connect the
// whole system.
func TestNeighboursAreFew(t *testing.T) {
	const hosts, rounds = 295, 60
	records := make([]slugmember.Record, hosts)
	for i := range records {
		records[i] = slugmember.Record{Process: slugname.Process(fmt.Sprintf("p-%03d", i)), DataCentre: slugname.DataCentre(fmt.Sprint("dc-", i%5))}
	}
	edges := map[slugname.Process]map[slugname.Process]bool{}
	far := 0
	for _, self := range records {
		table := New(Config{Self: self, LastConfirmed: slugclock.Now, Fanout: 3})
		edges[self.Process] = map[slugname.Process]bool{}
		alive := slices.DeleteFunc(slices.Clone(records), func(r slugmember.Record) bool { return r.Process == self.Process })
		for range rounds {
			chosen := table.choosePeers(alive, 3)
			assert.Assert(t, len(chosen) >= 2)
			for _, r := range chosen {
				edges[self.Process][r.Process] = true
				if r.DataCentre != self.DataCentre {
					far++
				}
			}
		}
		assert.Assert(t, len(edges[self.Process]) <= nearNeighbours+farNeighbours)
	}
	assert.Assert(t, far < hosts*rounds, "%d calls to other data centres", far)
	reached, frontier := map[slugname.Process]bool{"p-000": true}, []slugname.Process{"p-000"}
	for steps := 0; len(frontier) > 0; steps++ {
		assert.Assert(t, steps <= 6, "the system is too wide")
		var next []slugname.Process
		for from, to := range edges {
			// Rows travel in both directions of a call.
			for p := range to {
				for _, pair := range [][2]slugname.Process{{from, p}, {p, from}} {
					if slices.Contains(frontier, pair[0]) && !reached[pair[1]] {
						reached[pair[1]] = true
						next = append(next, pair[1])
					}
				}
			}
		}
		frontier = next
	}
	assert.Equal(t, len(reached), hosts)
}

// TestSilentPeerUsesUpFetch guards against a fetch of the configuration that waits for one silent
// peer after the other until its time is over, while another one would answer.
func TestSilentPeerUsesUpFetch(t *testing.T) {
	for _, answering := range []slugname.Process{"p-1", "p-5"} {
		synctest.Test(t, func(t *testing.T) {
			records := []slugmember.Record{{Process: "self"}}
			for i := range 6 {
				records = append(records, slugmember.Record{Process: slugname.Process(fmt.Sprint("p-", i))})
			}
			table := New(Config{
				Self: records[0], LastConfirmed: slugclock.Now, Peers: func() []slugmember.Record { return records },
				Call: func(ctx context.Context, to slugmember.Record, _ Message) (Message, error) {
					if to.Process == answering {
						return Message{Bundle: []byte("8")}, ctx.Err()
					}
					<-ctx.Done()
					return Message{}, ctx.Err()
				},
			})
			for _, r := range records[1:] {
				table.mergeRow(VersionedRow{Version: 1, Row: Row{Process: r.Process, Revision: 8}}, time.Now())
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			bundle, from, err := table.FetchBundle(ctx, 8)
			assert.NilError(t, err)
			assert.Equal(t, string(bundle), "8")
			assert.Equal(t, from, answering)
		})
	}
}

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
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"gotest.tools/v3/assert"
)

// TestOlderRevisionIsConfirmed guards against peers that take the confirmation of a revision that
// has just taken effect for one of the revision before, which may still have a revoked key.
func TestOlderRevisionIsConfirmed(t *testing.T) {
	revision := slugconfig.Revision(7)
	table := New(Config{Self: slugmember.Record{Process: "self"}, Revision: func() slugconfig.Revision { return revision }, LastConfirmed: func() slugclock.Instant {
		revision = 8
		return slugclock.Now()
	}})
	table.Update(func(r *Row) { r.Revision = 7 })
	before := table.rows[table.self].version
	table.advanceHeartbeat()
	assert.Equal(t, table.Self().Revision, slugconfig.Revision(8))
	assert.Equal(t, table.rows[table.self].version, before+1)
}

// cluster is a set of tables that call each other directly.
type cluster map[slugname.Process]*Table

// start adds the table of a process that runs on a host.
func (c cluster) start(p slugname.Process, host slugname.Host) *Table {
	t := New(Config{
		Self: slugmember.Record{Process: p, Host: host}, LastConfirmed: slugclock.Now, Peers: func() []slugmember.Record { return nil },
		Call: func(_ context.Context, to slugmember.Record, m Message) (Message, error) {
			if c[to.Process] == nil {
				return Message{}, errors.New("not running")
			}
			return c[to.Process].Serve(p, m), nil
		},
	})
	t.advanceHeartbeat()
	c[p] = t
	return t
}

// exchange lets a process exchange rows with another one.
func (c cluster) exchange(t *testing.T, from, to slugname.Process) {
	t.Helper()
	assert.NilError(t, c[from].Exchange(t.Context(), slugmember.Record{Process: to}))
}

// TestReplacedProcessCountsAsAlive guards against processes that are taken for alive, and so are
// chosen for tasks, after another one runs in their place.
func TestReplacedProcessCountsAsAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := cluster{}
		observer := c.start("a-1", "a")
		c.start("b-1", "b")
		c.exchange(t, "a-1", "b-1")
		assert.Assert(t, observer.Alive("b-1"))
		delete(c, "b-1")
		time.Sleep(500 * time.Millisecond)
		c.start("b-2", "b")
		c.exchange(t, "b-2", "a-1")
		assert.Assert(t, observer.Alive("b-2"))
		assert.Assert(t, !observer.Alive("b-1"), "a process counts as alive beside its successor")
		for _, s := range observer.Statuses() {
			assert.Check(t, s.Alive == (s.Process != "b-1"), "%s", s.Process)
		}
	})
}

// TestRowOfDeadProcessMakesItAlive guards against processes that have ended and are taken for
// alive by a new one, because it has just learned of them.
func TestRowOfDeadProcessMakesItAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := cluster{}
		observer := c.start("a-1", "a")
		c.start("b-1", "b")
		c.exchange(t, "a-1", "b-1")
		delete(c, "b-1")
		time.Sleep(20 * time.Second)
		observer.advanceHeartbeat()
		assert.Assert(t, !observer.Alive("b-1"))
		added := c.start("c-1", "c")
		c.exchange(t, "c-1", "a-1")
		assert.Assert(t, added.Alive("a-1"))
		assert.Assert(t, !added.Alive("b-1"), "a process that was silent for 20 s counts as alive")
	})
}

package slugmember

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"gotest.tools/v3/assert"
)

// newMember returns a Member with a store that holds only the value written last.
func newMember() *Member {
	var value slugstore.Value
	revision := uint64(100)
	return New(Config{Self: Record{Process: "a", Host: "host-a"}, Store: slugstore.New(slugstore.Config{Backend: &slugstore.Backend{
		Get: func(context.Context, string) (slugstore.Value, error) { return value, nil },
		Write: func(_ context.Context, name string, expected slugstore.Version, b []byte) (slugstore.Version, error) {
			if expected != value.Version {
				return 0, slugstore.ErrConflict
			}
			revision++
			value = slugstore.Value{Name: name, Version: slugstore.NewVersion(1, revision), Bytes: b}
			return value.Version, nil
		},
	}})})
}

// stored returns the stored record of a process, or a missing one for version 0.
func stored(p slugname.Process, v slugstore.Version) slugstore.Object {
	o := slugstore.Object{Name: Prefix + string(p), Version: v}
	if v != 0 {
		o.Body, _ = json.Marshal(Record{Process: p})
	}
	return o
}

// known returns the names of the known processes.
func known(m *Member) string {
	out := ""
	for _, r := range m.Records() {
		out += string(r.Process)
	}
	return out
}

// lost reports whether the record of the process has to be published again.
func lost(m *Member) bool {
	select {
	case <-m.Lost():
		return true
	default:
		return false
	}
}

// TestRecordIsMissingInTheCopy guards against processes that become unknown to others
// because the copy from which the store was restored lacks their records: they write them
// again, and are known in the meantime.
func TestRecordIsMissingInTheCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMember()
		assert.NilError(t, m.Publish(t.Context()))
		m.changed([]slugstore.Object{stored("a", slugstore.NewVersion(1, 101)), stored("b", slugstore.NewVersion(1, 90)), stored("c", slugstore.NewVersion(1, 95))})
		assert.Assert(t, !lost(m))
		m.changed([]slugstore.Object{stored("b", slugstore.NewVersion(2, 90)), stored("a", 0), stored("c", 0)})
		assert.Assert(t, lost(m))
		assert.Equal(t, known(m), "abc")
		time.Sleep(time.Second)
		m.changed([]slugstore.Object{stored("c", slugstore.NewVersion(2, 91))})
		time.Sleep(2 * missingGrace)
		m.changed(nil)
		assert.Equal(t, known(m), "abc")
	})
}

// TestProcessEndedBeforeRestore guards against processes that are kept for good although
// they never write their records again.
func TestProcessEndedBeforeRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMember()
		m.changed([]slugstore.Object{stored("a", slugstore.NewVersion(1, 80)), stored("c", slugstore.NewVersion(1, 95))})
		m.changed([]slugstore.Object{stored("a", slugstore.NewVersion(2, 80)), stored("c", 0)})
		assert.Equal(t, known(m), "ac")
		time.Sleep(missingGrace)
		m.changed(nil)
		assert.Equal(t, known(m), "a")
	})
}

// TestRecordIsRemovedByAnother guards against a process that stays unknown after another one
// took it for ended, and against one that publishes its record again while it leaves.
func TestRecordIsRemovedByAnother(t *testing.T) {
	m := newMember()
	assert.NilError(t, m.Publish(t.Context()))
	m.changed([]slugstore.Object{{Name: Prefix + "a", Version: slugstore.NewVersion(1, 120)}})
	assert.Assert(t, lost(m))
	assert.NilError(t, m.Publish(t.Context()), "a record that exists is replaced")
	assert.NilError(t, m.Withdraw(t.Context()))
	m.changed([]slugstore.Object{{Name: Prefix + "a", Version: slugstore.NewVersion(1, 130)}})
	assert.Assert(t, !lost(m))
}

// Guards against a process that never appears in the lists of the others, because the store
// was restored between the write of its record and its first list.
func TestRecordIsLostBeforeFirstList(t *testing.T) {
	era := slugstore.Era(1)
	other := slugstore.Value{Name: Prefix + "other", Bytes: []byte(`{"change":"x","body":{"process":"other"}}`)}
	for _, values := range [][]slugstore.Value{nil, {other}} {
		era = 1
		s := slugstore.New(slugstore.Config{Backend: &slugstore.Backend{
			Era: func() (slugstore.Era, bool) { return era, true },
			Write: func(context.Context, string, slugstore.Version, []byte) (slugstore.Version, error) {
				return slugstore.NewVersion(era, 10), nil
			},
			List: func(context.Context, string) (slugstore.Listing, error) {
				for i := range values {
					values[i].Version = slugstore.NewVersion(era, 4)
				}
				return slugstore.Listing{Revision: slugstore.NewVersion(era, 5), Values: values}, nil
			},
		}})
		m := New(Config{Self: Record{Process: "a", Host: "a"}, Store: s})
		assert.NilError(t, m.Publish(t.Context()))
		era = 2
		objects, err := s.List(t.Context(), Prefix)
		assert.NilError(t, err)
		m.apply(objects, time.Now())
		select {
		case <-m.Lost():
		default:
			t.Errorf("the record is not written again after a list of %d others", len(values))
		}
	}
}

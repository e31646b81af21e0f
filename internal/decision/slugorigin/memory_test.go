package slugorigin

import (
	"fmt"
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"gotest.tools/v3/assert"
)

// limit is how long a stream may last in the tests.
const limit = 5 * time.Second

// Guards against a stream whose version is forgotten while it may be taken up, that peers are
// not told of or twice, or that is remembered for another service.
func TestOrigins(t *testing.T) {
	m, peer, now := New(), New(), time.Now()
	k := NewKey("llm", "id-1")
	m.Record(k, "v1", now.Add(limit), now)
	list := m.Unshared(now.Add(time.Second))
	assert.Equal(t, len(list), 1)
	assert.Equal(t, len(m.Unshared(now.Add(time.Second))), 0)
	peer.Merge(list, now.Add(time.Second))
	for _, x := range []*Memory{m, peer} {
		v, ok := x.Find(k, now.Add(limit-time.Millisecond))
		assert.Assert(t, ok && v == "v1")
		_, ok = x.Find(k, now.Add(limit))
		assert.Assert(t, !ok)
		_, ok = x.Find(NewKey("other", "id-1"), now)
		assert.Assert(t, !ok)
	}
	assert.Equal(t, len(peer.Unshared(now)), 0, "peers do not pass on what they were told")
}

// Guards against a version that left while its streams can still be taken up, and against a
// process that takes the versions that it has seen for all, although it has just started.
func TestObserved(t *testing.T) {
	m, now := New(), time.Now()
	assert.Assert(t, !m.Observed("llm", limit, now).Complete)
	m.Observe("llm", []slugname.SoftwareVersion{"v2", "v1"}, now)
	for after, want := range map[time.Duration]Observation{
		0:                    {Versions: []slugname.SoftwareVersion{"v1", "v2"}},
		limit:                {Versions: []slugname.SoftwareVersion{"v1", "v2"}, Complete: true},
		limit + time.Second:  {Versions: []slugname.SoftwareVersion{"v2"}, Complete: true},
		time.Hour + limit*10: {Complete: true},
	} {
		if after > 0 && after <= limit+time.Second {
			m.Observe("llm", []slugname.SoftwareVersion{"v2"}, now.Add(after))
		}
		assert.DeepEqual(t, m.Observed("llm", limit, now.Add(after)), want)
	}
}

// Guards against peers that are told of each stream although there is one version, and that
// are not told from the moment at which there are two.
func TestMixed(t *testing.T) {
	m, now := New(), time.Now()
	m.Observe("llm", []slugname.SoftwareVersion{"v1"}, now)
	assert.Assert(t, m.Mixed(limit, now), "the process has just started")
	now = now.Add(limit)
	m.Observe("llm", []slugname.SoftwareVersion{"v1"}, now)
	assert.Assert(t, !m.Mixed(limit, now))
	m.Observe("llm", []slugname.SoftwareVersion{"v1", "v2"}, now)
	m.Observe("desk", []slugname.SoftwareVersion{"v7"}, now)
	assert.Assert(t, m.Mixed(limit, now))
	assert.Assert(t, !m.Mixed(limit, now.Add(limit+time.Second)))
}

// Guards against state that grows without bound.
func TestStateIsBounded(t *testing.T) {
	m, now := New(), time.Now()
	for i := range 2 * maxOrigins {
		m.Record(NewKey("llm", fmt.Sprint(i)), "v1", now.Add(limit), now)
	}
	assert.Equal(t, len(m.origins), maxOrigins)
	m.Record(NewKey("llm", "last"), "v1", now.Add(3*limit), now.Add(2*limit))
	assert.Equal(t, len(m.origins), 1)
	assert.Equal(t, len(m.unshared), 1)
}

package slugregistry

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	crdberrors "github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugbuffer"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// decode parses the entries of the tests.
func decode(o slugstore.Object) (Endpoint, error) {
	e := Endpoint{Name: nameOf(o)}
	var s struct {
		Service slugname.Service
		Leaving bool
		Born    Incarnation
	}
	if err := json.Unmarshal(o.Body, &s); err != nil {
		return e, err
	}
	if s.Service == "" {
		return e, errors.New("no service")
	}
	e.Service, e.Leaving, e.Incarnation = s.Service, s.Leaving, s.Born
	return e, nil
}

// newRegistry returns an empty Registry.
func newRegistry() *Registry {
	return New(Config{Decode: decode, Log: slugevent.Discard()})
}

// entry returns an entry with a JSON body, or a removed entry if body is empty.
func entry(name, body string) slugstore.Object {
	o := slugstore.Object{Name: "servers/" + name}
	if body != "" {
		o.Body = json.RawMessage(body)
	}
	return o
}

// names returns the names of the endpoints of a service, each followed by a space.
func names(r *Registry, s slugname.Service) string {
	out := ""
	for _, e := range r.Endpoints(s) {
		out += string(e.Name) + " "
	}
	return out
}

// TestApplyUpdatesEntries guards against stale service lists when entries are added, move
// to another service, or are removed.
func TestApplyUpdatesEntries(t *testing.T) {
	r := newRegistry()
	assert.Assert(t, !r.Synced())
	r.Apply([]slugstore.Object{entry("b", `{"service":"x"}`), entry("a", `{"service":"x"}`), entry("c", `{"service":"y"}`)})
	assert.Assert(t, r.Synced())
	assert.Equal(t, names(r, "x"), "a b ")
	r.Apply([]slugstore.Object{entry("a", `{"service":"y"}`)})
	assert.Equal(t, names(r, "x"), "b ")
	assert.Equal(t, names(r, "y"), "a c ")
	r.Apply([]slugstore.Object{entry("b", "")})
	assert.Equal(t, names(r, "x"), "")
	assert.DeepEqual(t, r.Services(), []slugname.Service{"y"})
}

// TestUnreadableEntriesAreNotEndpoints guards against routing requests to an endpoint
// whose entry cannot be parsed, whether it was known before or is new.
func TestUnreadableEntriesAreNotEndpoints(t *testing.T) {
	for _, bad := range []string{`{`, `{}`, `7`, `{"service":3}`, `null`} {
		r := newRegistry()
		r.Apply([]slugstore.Object{entry("a", `{"service":"x"}`), entry("b", `{"service":"x"}`)})
		r.Apply([]slugstore.Object{entry("a", bad), entry("c", bad)})
		assert.Equal(t, names(r, "x"), "b ", "%s", bad)
	}
}

// TestUnreadableEntryIsLoggedOnce guards against a log that an entry of another writer fills
// each time it is listed or written again.
func TestUnreadableEntryIsLoggedOnce(t *testing.T) {
	var log slugbuffer.Buffer
	r := New(Config{Decode: decode, Log: slugevent.New(&log, logrus.InfoLevel, "")})
	lines := func() int {
		return strings.Count(log.String(), fmt.Sprintf(`"event":%d`, slugevent.EndpointUnreadable))
	}
	for range 5 {
		r.Apply([]slugstore.Object{entry("a", `{}`), entry("b", `{"service":"x"}`)})
	}
	assert.Equal(t, lines(), 1)
	r.Apply([]slugstore.Object{entry("a", `{"service":"x"}`)})
	assert.Equal(t, names(r, "x"), "a b ")
	r.Apply([]slugstore.Object{entry("a", `{}`)})
	assert.Equal(t, lines(), 2, "an entry that became unreadable again is logged again")
	r.Apply([]slugstore.Object{entry("a", "")})
	r.Apply([]slugstore.Object{entry("a", `{}`)})
	assert.Equal(t, lines(), 3, "a new entry under the same name is logged")
}

// TestUnreadableEntryIsNoCrash guards against requests that are suspected of having crashed
// an endpoint whose entry another writer replaced.
func TestUnreadableEntryIsNoCrash(t *testing.T) {
	var ended []slugname.Endpoint
	r := New(Config{Decode: decode, Log: slugevent.Discard(), Ended: func(e Endpoint) { ended = append(ended, e.Name) }})
	r.Apply([]slugstore.Object{entry("a", `{"service":"x"}`), entry("b", `{"service":"x"}`)})
	r.Apply([]slugstore.Object{entry("a", `{}`), entry("b", "")})
	assert.DeepEqual(t, ended, []slugname.Endpoint{"b"})
}

// TestOutageGivesGraceToMissingEntries guards against dropping healthy endpoints whose
// entries expired during an outage of the store. Endpoints that were leaving get no grace
// period, and neither do entries that disappear later.
func TestOutageGivesGraceToMissingEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry()
		r.Apply([]slugstore.Object{entry("a", `{"service":"x"}`), entry("b", `{"service":"x"}`), entry("c", `{"service":"x","leaving":true}`)})
		r.WatchFailed(nil)
		time.Sleep(time.Second)
		r.Apply([]slugstore.Object{entry("a", ""), entry("b", ""), entry("c", "")})
		assert.Equal(t, names(r, "x"), "a b ", "a leaving endpoint gets no grace period")
		time.Sleep(time.Second)
		r.Apply([]slugstore.Object{entry("a", `{"service":"x"}`)})
		time.Sleep(2 * time.Second)
		r.RemoveExpired()
		assert.Equal(t, names(r, "x"), "a ")
		r.Apply([]slugstore.Object{entry("a", "")})
		assert.Equal(t, names(r, "x"), "", "after the grace period a removed entry removes the endpoint at once")
	})
}

// TestRemovalWhileCutOffIsImmediate guards against a grace period for endpoints that left
// while only this host was cut off from the store: their entries did not expire in an
// outage, since the store answered the other hosts.
func TestRemovalWhileCutOffIsImmediate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(Config{Decode: decode, StoreAnswersOthers: func() bool { return true }, Log: slugevent.Discard()})
		r.Apply([]slugstore.Object{entry("a", `{"service":"x"}`)})
		r.WatchFailed(nil)
		time.Sleep(time.Second)
		r.Apply([]slugstore.Object{entry("a", "")})
		assert.Equal(t, names(r, "x"), "")
	})
}

// TestRemovalAfterRecoveryIsImmediate guards against a grace period for an endpoint that
// leaves seconds after the store has recovered: only removals reported right after the
// recovery may be caused by the outage.
func TestRemovalAfterRecoveryIsImmediate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry()
		r.Apply([]slugstore.Object{entry("a", `{"service":"x"}`)})
		r.WatchFailed(nil)
		r.Apply(nil)
		time.Sleep(4 * time.Second)
		r.Apply([]slugstore.Object{entry("a", "")})
		assert.Equal(t, names(r, "x"), "")
	})
}

// TestSettled guards against orders that are based on an incomplete set of endpoints:
// after an outage, expired entries may still be written again.
func TestSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry()
		assert.Assert(t, !r.Settled(), "the store has not been read yet")
		r.Apply(nil)
		assert.Assert(t, r.Settled())
		r.WatchFailed(nil)
		assert.Assert(t, !r.Settled(), "the store does not answer")
		time.Sleep(time.Second)
		r.Apply(nil)
		assert.Assert(t, !r.Settled(), "expired entries may still be written again")
		time.Sleep(reregistrationGrace)
		assert.Assert(t, r.Settled())
	})
}

// TestEnded guards against missed and false ends: only a new incarnation, or the removal, of
// an endpoint that was not leaving counts, and it names the incarnation that ended.
func TestEnded(t *testing.T) {
	for _, c := range []struct {
		name, before, after string
		want                int
	}{
		{"new incarnation", `{"service":"x","born":1}`, `{"service":"x","born":2}`, 1},
		{"new incarnation after leaving", `{"service":"x","born":1,"leaving":true}`, `{"service":"x","born":2}`, 0},
		{"change within one incarnation", `{"service":"x","born":1}`, `{"service":"y","born":1}`, 0},
		{"removal", `{"service":"x","born":1}`, "", 1},
		{"removal after leaving", `{"service":"x","born":1,"leaving":true}`, "", 0},
	} {
		var ended []Endpoint
		r := New(Config{Decode: decode, Ended: func(e Endpoint) { ended = append(ended, e) }, Log: slugevent.Discard()})
		r.Apply([]slugstore.Object{entry("a", c.before)})
		assert.Equal(t, len(ended), 0, c.name)
		after := slugstore.Object{Name: entry("a", c.before).Name}
		if c.after != "" {
			after = entry("a", c.after)
		}
		r.Apply([]slugstore.Object{after})
		assert.Equal(t, len(ended), c.want, c.name)
		for _, e := range ended {
			assert.Equal(t, e.Incarnation, Incarnation(1), c.name)
		}
	}
}

// TestFailedPeerDelaysRemoval guards against an endpoint that stays on the list although its entry
// is gone, because a peer that watches the store for others has failed. Only a peer that says that
// it has no response from the store shows an outage.
func TestFailedPeerDelaysRemoval(t *testing.T) {
	failed := crdberrors.Mark(errors.New("deadline exceeded"), slugstore.ErrSourceUnavailable)
	for _, test := range []struct {
		name string
		err  error
		want string
	}{
		{"peer is silent", failed, ""},
		{"peer lags behind this process", crdberrors.Mark(slugstore.ErrStale, slugstore.ErrSourceUnavailable), ""},
		{"peer has no response from the store", crdberrors.Mark(failed, slugstore.ErrSourceBehind), "a "},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRegistry()
				r.Apply([]slugstore.Object{entry("a", `{"service":"s"}`)})
				r.WatchFailed(test.err)
				time.Sleep(100 * time.Millisecond)
				r.Apply(nil)
				r.Apply([]slugstore.Object{entry("a", "")})
				assert.Equal(t, names(r, "s"), test.want)
			})
		})
	}
}

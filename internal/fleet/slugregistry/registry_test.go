package slugregistry

import (
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"gotest.tools/v3/assert"
)

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

func registry() *Registry {
	return New(Config{Decode: decode, Log: slugevent.Discard()})
}

func entry(name, body string) slugstore.Object {
	o := slugstore.Object{Name: "servers/" + name}
	if body != "" {
		o.Body = json.RawMessage(body)
	}
	return o
}

func names(r *Registry, s slugname.Service) string {
	out := ""
	for _, e := range r.Endpoints(s) {
		out += string(e.Name) + " "
	}
	return out
}

func TestTake(t *testing.T) {
	r := registry()
	assert.Assert(t, !r.Synced())
	r.Take([]slugstore.Object{entry("b", `{"service":"x"}`), entry("a", `{"service":"x"}`), entry("c", `{"service":"y"}`)})
	assert.Assert(t, r.Synced())
	assert.Equal(t, names(r, "x"), "a b ")
	r.Take([]slugstore.Object{entry("a", `{"service":"y"}`)})
	assert.Equal(t, names(r, "x"), "b ")
	assert.Equal(t, names(r, "y"), "a c ")
	r.Take([]slugstore.Object{entry("b", "")})
	assert.Equal(t, names(r, "x"), "")
	assert.DeepEqual(t, r.Services(), []slugname.Service{"y"})
}

func TestUnreadableEntriesNameNoEndpoint(t *testing.T) {
	for _, bad := range []string{`{`, `{}`, `7`, `{"service":3}`, `null`} {
		r := registry()
		r.Take([]slugstore.Object{entry("a", `{"service":"x"}`), entry("b", `{"service":"x"}`)})
		r.Take([]slugstore.Object{entry("a", bad), entry("c", bad)})
		assert.Equal(t, names(r, "x"), "b ", "%s", bad)
	}
}

func TestEntriesThatLapsedWithTheStoreMayComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := registry()
		r.Take([]slugstore.Object{entry("a", `{"service":"x"}`), entry("b", `{"service":"x"}`), entry("c", `{"service":"x","leaving":true}`)})
		r.Lost(nil)
		time.Sleep(time.Second)
		r.Take([]slugstore.Object{entry("a", ""), entry("b", ""), entry("c", "")})
		assert.Equal(t, names(r, "x"), "a b ", "an endpoint that was leaving is gone")
		time.Sleep(time.Second)
		r.Take([]slugstore.Object{entry("a", `{"service":"x"}`)})
		time.Sleep(2 * time.Second)
		r.Sweep()
		assert.Equal(t, names(r, "x"), "a ")
		r.Take([]slugstore.Object{entry("a", "")})
		assert.Equal(t, names(r, "x"), "", "after the outage an entry's end is the endpoint's")
	})
}

// TestEntriesGoneWhileThisProcessWasCutOff replays a host that was cut off from a store
// which served the others: what left meanwhile is gone, without a grace.
func TestEntriesGoneWhileThisProcessWasCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(Config{Decode: decode, OthersHear: func() bool { return true }, Log: slugevent.Discard()})
		r.Take([]slugstore.Object{entry("a", `{"service":"x"}`)})
		r.Lost(nil)
		time.Sleep(time.Second)
		r.Take([]slugstore.Object{entry("a", "")})
		assert.Equal(t, names(r, "x"), "")
	})
}

// TestEntriesGoneSoonAfterAnOutage replays an endpoint that left four seconds after the
// store had come back.
func TestEntriesGoneSoonAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := registry()
		r.Take([]slugstore.Object{entry("a", `{"service":"x"}`)})
		r.Lost(nil)
		r.Take(nil)
		time.Sleep(4 * time.Second)
		r.Take([]slugstore.Object{entry("a", "")})
		assert.Equal(t, names(r, "x"), "")
	})
}

// TestSettled holds what orders wait for: after an outage entries that lapsed may still
// come back.
func TestSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := registry()
		assert.Assert(t, !r.Settled(), "nothing was read yet")
		r.Take(nil)
		assert.Assert(t, r.Settled())
		r.Lost(nil)
		assert.Assert(t, !r.Settled(), "the store is away")
		time.Sleep(time.Second)
		r.Take(nil)
		assert.Assert(t, !r.Settled(), "entries may come back")
		time.Sleep(absenceGrace)
		assert.Assert(t, r.Settled())
	})
}

func TestRestarted(t *testing.T) {
	for _, c := range []struct {
		name, before, after string
		want                int
	}{
		{"a new start", `{"service":"x","born":1}`, `{"service":"x","born":2}`, 1},
		{"a new start after a leave", `{"service":"x","born":1,"leaving":true}`, `{"service":"x","born":2}`, 0},
		{"a change of the same start", `{"service":"x","born":1}`, `{"service":"y","born":1}`, 0},
	} {
		restarted := 0
		r := New(Config{Decode: decode, Restarted: func(slugname.Endpoint) { restarted++ }, Log: slugevent.Discard()})
		r.Take([]slugstore.Object{entry("a", c.before)})
		assert.Equal(t, restarted, 0, c.name)
		r.Take([]slugstore.Object{entry("a", c.after)})
		assert.Equal(t, restarted, c.want, c.name)
	}
}

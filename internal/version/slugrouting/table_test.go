package slugrouting

import (
	"testing"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"gotest.tools/v3/assert"
)

func newTestTable() *Table {
	urgent := 0
	return New(Source{
		Version: 3,
		Routes: []*Route{
			{Name: "all", Host: "a.example", Prefix: "/", Targets: []Target{{"plain", 1}}, Priority: 4},
			{Name: "reviews", Host: "a.example", Prefix: "/reviews/", Targets: []Target{{"llm", 90}, {"llm-2", 10}}},
		},
		Services:   []*Service{{Name: "llm"}},
		Workspaces: []*Workspace{{Name: "hub", Keys: []slugconfig.KeyHash{slugconfig.HashKey("k1")}, Priority: &urgent}},
	})
}

// Guards against requests routed to a shorter prefix, or to a route of another host.
func TestMatchPrefersLongestPrefix(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/reviews/1", "reviews"},
		{"A.example:8080", "/reviews/1", "reviews"},
		{"a.example", "/reviews", "all"},
		{"b.example", "/reviews/1", ""},
	} {
		got := ""
		if r := newTestTable().Match(c.host, c.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, c.want, "%s%s", c.host, c.path)
	}
}

// Guards against a distribution of requests that ignores the targets' weights.
func TestPickByWeight(t *testing.T) {
	r := newTestTable().Match("a.example", "/reviews/1")
	for x, want := range map[float64]slugname.Service{0: "llm", 0.89: "llm", 0.91: "llm-2", 1: "llm-2"} {
		assert.Equal(t, r.Pick(x), want, "%v", x)
	}
}

// Guards against accepting unknown keys, and ignoring the priority of a workspace.
func TestAuthenticate(t *testing.T) {
	x := newTestTable()
	w, ok := x.Authenticate("k1")
	assert.Assert(t, ok)
	assert.Equal(t, w.Name, slugname.Workspace("hub"))
	_, ok = x.Authenticate("k2")
	assert.Assert(t, !ok)
	assert.Assert(t, x.HasKey("hub", slugconfig.HashKey("k1")))
	assert.Assert(t, !x.HasKey("other", slugconfig.HashKey("k1")))
	assert.Equal(t, x.Match("a.example", "/x").PriorityFor(w), 0)
	assert.Equal(t, x.Match("a.example", "/x").PriorityFor(nil), 4)
}

// Guards against repeating requests that must run at most once.
func TestIdempotent(t *testing.T) {
	for _, c := range []struct {
		kind      Kind
		resumable bool
		want      bool
	}{{Safe, false, true}, {Unsafe, true, false}, {Stream, false, false}, {Stream, true, true}} {
		r := Route{Kind: c.kind, Resumable: c.resumable}
		assert.Equal(t, r.Idempotent(), c.want, "%v", c)
	}
}

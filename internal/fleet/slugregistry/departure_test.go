package slugregistry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"gotest.tools/v3/assert"
)

// Entries of the tests.
const (
	ready1   = `{"service":"x","born":1}`
	ready2   = `{"service":"x","born":2}`
	leaving1 = `{"service":"x","born":1,"leaving":true}`
)

// usable returns the names of the endpoints of a service that take requests.
func usable(r *Registry) string {
	out := ""
	for _, e := range r.Endpoints("x") {
		if !e.Leaving {
			out += string(e.Name)
		}
	}
	return out
}

// TestCopyBringsBackDepartedEndpoints guards against requests to endpoints that were seen
// leaving or gone, because the copy from which the store was restored has them as ready, and
// against endpoints that stay out although they have started or registered again.
func TestCopyBringsBackDepartedEndpoints(t *testing.T) {
	for _, c := range []struct {
		name, before, last, copied string
		// afterwards is written after the restore, unless it is empty; "-" removes the entry.
		afterwards               string
		atOnce, written, settled string
	}{
		{"leaving", ready1, leaving1, ready1, "", "", "", ""},
		{"leaving, which it says again", ready1, leaving1, ready1, leaving1, "", "", ""},
		{"leaving, started again", ready1, leaving1, ready1, ready2, "", "a", "a"},
		{"left", leaving1, "-", ready1, "-", "", "", ""},
		{"left, and the copy is kept", leaving1, "-", ready1, "", "", "", ""},
		{"gone", ready1, "-", ready1, "-", "", "", ""},
		{"gone, registered again", ready1, "-", ready1, `{"service":"x","born":1,"slots":9}`, "", "a", "a"},
		{"gone, alive, writes nothing new", ready1, "-", ready1, "", "", "", "a"},
		{"gone, started again before the copy", ready1, "-", ready2, "", "a", "a", "a"},
		{"started again since", ready1, ready2, ready1, ready2, "a", "a", "a"},
		{"started again since, never back", ready1, ready2, ready1, "", "a", "a", ""},
		{"unchanged", ready1, ready1, ready1, "", "a", "a", "a"},
		{"missing in the copy", "-", ready1, "-", ready1, "a", "a", "a"},
		{"missing in the copy, never back", "-", ready1, "-", "", "a", "a", ""},
		{"without a start time, leaving", `{"service":"x"}`, `{"service":"x","leaving":true}`, `{"service":"x"}`, `{"service":"x","leaving":true}`, "", "", ""},
		{"without a start time, left", `{"service":"x"}`, "-", `{"service":"x"}`, "-", "", "", ""},
	} {
		synctest.Test(t, func(t *testing.T) {
			var era slugstore.Era
			r := New(Config{Decode: decode, Era: func() slugstore.Era { return era }, Log: slugevent.Discard()})
			revision := uint64(100)
			write := func(body string) {
				if body == "" {
					return
				}
				revision++
				o := entry("a", map[bool]string{false: body}[body == "-"])
				if body != "-" || revision > 102 {
					o.Version = slugstore.NewVersion(era, revision)
				}
				r.Apply([]slugstore.Object{o})
			}
			write(c.before)
			write(c.last)
			time.Sleep(time.Second)
			era, revision = 1, 50
			o := entry("a", map[bool]string{false: c.copied}[c.copied == "-"])
			if c.copied != "-" {
				o.Version = slugstore.NewVersion(era, revision)
			}
			r.Apply([]slugstore.Object{o})
			assert.Equal(t, usable(r), c.atOnce, "%s: at once", c.name)
			assert.Assert(t, !r.Settled(), c.name)
			time.Sleep(time.Second)
			write(c.afterwards)
			assert.Equal(t, usable(r), c.written, "%s: after the write", c.name)
			time.Sleep(2 * copiedEntryDelay)
			r.RemoveExpired()
			assert.Equal(t, usable(r), c.settled, "%s: settled", c.name)
		})
	}
}

// TestDeparturesAreForgotten guards against a map that grows with every endpoint that ever
// left.
func TestDeparturesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry()
		r.Apply([]slugstore.Object{entry("a", ready1)})
		r.Apply([]slugstore.Object{entry("a", leaving1)})
		r.Apply([]slugstore.Object{entry("a", "")})
		assert.Equal(t, len(r.departures), 1)
		time.Sleep(departureTTL)
		r.RemoveExpired()
		assert.Equal(t, len(r.departures), 0)
	})
}

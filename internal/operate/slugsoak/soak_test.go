package slugsoak

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/operate/slugcheck"
	"github.com/sassafraslug/sassafraslug/internal/operate/slugschedule"
	"gotest.tools/v3/assert"
)

var moment = time.Date(2026, 1, 1, 0, 0, 5, 0, time.UTC)

// play breaks a promise at seed 2 only, and writes a log.
func play(_ context.Context, s slugschedule.Schedule, dir string) (*slugcheck.Observation, error) {
	o := &slugcheck.Observation{Attempts: []slugcheck.Attempt{{ID: "r-0", Work: "r", Kind: slugcheck.Safe, Status: 200, Signed: true, Body: "answer to r-0", End: slugcheck.Complete, EndedAt: moment}}}
	if s.Seed == 2 {
		o.Attempts[0].Body = "answer to s-0"
		o.Arrivals = []slugcheck.Arrival{{ID: "r-0", Endpoint: "i-7"}}
	}
	return o, os.WriteFile(filepath.Join(dir, "host-0.log"), []byte(`{"time":"2026-01-01T00:00:04Z","request":"r-0"}`+"\n"), 0o600)
}

// Guards against a failing seed without its schedule and lines, and against logs of seeds that
// broke nothing.
func TestRun(t *testing.T) {
	dir := t.TempDir()
	var out bytes.Buffer
	shape := slugschedule.Shape{Hosts: 3, Endpoints: 12, Duration: 5 * time.Second}
	r, err := New(Config{First: 1, Seeds: 3, Shape: shape, Logs: dir, Play: play, Out: &out}).Run(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(r.Seeds), 3)
	assert.Equal(t, r.Broken(), 1)
	assert.Equal(t, r.Seeds[1].Broken[0].Promise, slugcheck.Mixed)
	schedule := slugschedule.New(2, shape).String()
	assert.Assert(t, strings.Contains(out.String(), schedule), "%s", out.String())
	for file, wants := range map[string][]string{
		"broken.txt": {schedule, "MIXED r-0", "attempt r-0 at host 0", "received by i-7"}, "around-1.txt": {"MIXED r-0", `host-0 {"time":"2026-01-01T00:00:04Z"`},
	} {
		b, err := os.ReadFile(filepath.Join(dir, "seed-2", file))
		assert.NilError(t, err)
		for _, want := range wants {
			assert.Assert(t, strings.Contains(string(b), want), "%s: %s", file, b)
		}
	}
	left, err := os.ReadDir(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(left), 1)
}

// A seed that could not be played must not count as held.
func TestRunFails(t *testing.T) {
	want := errors.New("no port")
	r, err := New(Config{Seeds: 2, Logs: t.TempDir(), Out: &bytes.Buffer{}, Play: func(context.Context, slugschedule.Schedule, string) (*slugcheck.Observation, error) { return nil, want }}).Run(t.Context())
	assert.ErrorIs(t, err, want)
	assert.Equal(t, len(r.Seeds), 0)
}

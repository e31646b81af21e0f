package slugmergedlog

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against lines of a failure that are missing or out of order: a stack has no time of
// its own, and the logs of two processes interleave.
func TestAround(t *testing.T) {
	dir := t.TempDir()
	var files []string
	for name, text := range map[string]string{
		"host-0.log": `{"time":"2026-01-01T00:00:01Z","n":1}` + "\n" + `{"time":"2026-01-01T00:00:09.5Z","n":2}` + "\npanic: x\n",
		"host-1.log": `{"time":"2026-01-01T00:00:09Z","n":3}` + "\n" + `{"time":"2026-01-01T00:00:11Z","n":4}` + "\n" + `{"time":"2026-01-01T00:00:13Z","n":5}` + "\n",
	} {
		files = append(files, filepath.Join(dir, name))
		assert.NilError(t, os.WriteFile(files[len(files)-1], []byte(text), 0o600))
	}
	lines, err := Around(files, time.Date(2026, 1, 1, 0, 0, 10, 0, time.UTC), 2*time.Second)
	assert.NilError(t, err)
	var got []string
	for _, l := range lines {
		got = append(got, l.String())
	}
	assert.DeepEqual(t, got, []string{
		`host-1 {"time":"2026-01-01T00:00:09Z","n":3}`, `host-0 {"time":"2026-01-01T00:00:09.5Z","n":2}`, "host-0 panic: x",
		`host-1 {"time":"2026-01-01T00:00:11Z","n":4}`,
	})
	_, err = Around([]string{filepath.Join(dir, "nowhere")}, time.Time{}, 0)
	assert.ErrorIs(t, err, os.ErrNotExist)
}

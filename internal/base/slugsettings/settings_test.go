package slugsettings

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func loader(env map[string]string) *Loader {
	l := New(Gate)
	l.Environment = func(name string) (string, bool) {
		v, ok := env[name]
		return v, ok
	}
	return l
}

func file(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "host.ini")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const names = "[host]\nname = host-1\ndataCentre = dc-1\nregion = north\n"

func TestLoad(t *testing.T) {
	l := loader(map[string]string{"SASSAFRASLUG_CALLERS_QUEUE_LENGTH": "12"})
	s, err := l.Load(file(t, names+"[callers]\nqueueLength = 7\nanswerAge = 4s\n"))
	assert.NilError(t, err)
	assert.Equal(t, s.QueueLength, int64(12))
	origins := map[string]string{}
	for _, e := range l.Effective() {
		origins[e.Name()] = e.Origin
	}
	assert.Equal(t, origins["callers.queueLength"], "environment")
	assert.Equal(t, origins["callers.answerAge"], "file")
	assert.Equal(t, origins["callers.progress"], "default")
	assert.Equal(t, s.CallersAdvertise, s.CallersListen)
}

func TestLoadReportsEveryProblem(t *testing.T) {
	_, err := loader(nil).Load(file(t, `[host]
name = Host_1
dataCentre = dc-1
region = north
[callers]
listen = nowhere
maxBodyBytes = -1
answerAge = soon
colour = blue
tlsKey = key.pem
[usage]
window = 1500ms
[operators]
listen = 10.1.2.3:8081
[log]
level = loud
`))
	golden.Assert(t, err.Error()+"\n", "problems.golden")
}

func TestManual(t *testing.T) {
	var b bytes.Buffer
	b.WriteString("# Settings\n\nThe daemons read an INI file (`--settings FILE`). An environment variable goes before the file, and a flag such as `--callers.listen` before both. `sassafraslug settings show FILE` prints the effective values and where each comes from. This page is made from the code by `go test ./internal/base/slugsettings -update`, and a test holds it to the code.\n")
	Manual(&b)
	golden.Assert(t, b.String(), "../../../../docs/SETTINGS.md")
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte(names))
	f.Add([]byte("[callers]\nlisten=1\n=\n[[["))
	f.Fuzz(func(_ *testing.T, b []byte) {
		if x, err := Parse(b); err == nil {
			_, _ = loader(nil).apply(x)
		}
	})
}

package slugprocess

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// shell returns a process that runs a script.
func shell(t *testing.T, script string) (*Process, string) {
	t.Helper()
	output := filepath.Join(t.TempDir(), "output")
	p := New(Config{Name: "shell", Program: "/bin/sh", Args: []string{"-c", script}, Output: output})
	t.Cleanup(func() { assert.NilError(t, p.Kill()) })
	assert.NilError(t, p.Start())
	return p, output
}

// alive reports whether a process exists.
func alive(pid PID) bool { return syscall.Kill(int(pid), 0) == nil }

// waitFor waits until the output contains s.
func waitFor(t *testing.T, output, s string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		b, err := os.ReadFile(output)
		if err == nil && strings.Contains(string(b), s) {
			return poll.Success()
		}
		return poll.Continue("no %q in %q: %v", s, b, err)
	}, poll.WithTimeout(10*time.Second))
}

// A process that ends by itself must be on record, with status 0 as well.
func TestExits(t *testing.T) {
	for script, want := range map[string]string{
		"exit 0": "ended with exit status 0", "exit 3": "ended with exit status 3", "kill -SEGV $$": "ended with signal: segmentation fault",
	} {
		p, _ := shell(t, script)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if len(p.Exits()) == 1 {
				return poll.Success()
			}
			return poll.Continue("%s runs", script)
		}, poll.WithTimeout(10*time.Second))
		assert.Assert(t, strings.HasPrefix(p.Exits()[0].Detail, want), "%s", p.Exits()[0].Detail)
		assert.Equal(t, p.PID(), PID(0))
	}
}

// An end that a signal of the soak caused must not count, unless the status tells of a fault.
func TestSignals(t *testing.T) {
	p, output := shell(t, "trap 'exit 0' TERM; echo up; while :; do sleep 0.05; done")
	pid := p.PID()
	assert.Assert(t, alive(pid))
	waitFor(t, output, "up")
	assert.ErrorIs(t, p.Start(), ErrRunning)
	killed, err := p.Terminate(10 * time.Second)
	assert.NilError(t, err)
	assert.Assert(t, !killed && !alive(pid))
	assert.NilError(t, p.Start())
	pid = p.PID()
	assert.NilError(t, p.Signal(syscall.SIGSTOP))
	assert.NilError(t, p.Kill())
	assert.Assert(t, !alive(pid))
	assert.Equal(t, len(p.Exits()), 0)

	p, output = shell(t, "trap 'exit 4' TERM; echo up; while :; do sleep 0.05; done")
	waitFor(t, output, "up")
	_, err = p.Terminate(10 * time.Second)
	assert.NilError(t, err)
	assert.Equal(t, p.Exits()[0].Detail, "ended after SIGTERM with exit status 4")
}

// A process that ignores SIGTERM must be killed after the grace time.
func TestGrace(t *testing.T) {
	p, output := shell(t, "trap '' TERM; echo up; while :; do sleep 0.05; done")
	pid := p.PID()
	waitFor(t, output, "up")
	killed, err := p.Terminate(100 * time.Millisecond)
	assert.NilError(t, err)
	assert.Assert(t, killed && !alive(pid))
}

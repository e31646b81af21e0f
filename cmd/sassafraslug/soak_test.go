package main

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// build builds this program and the host program into a directory.
func build(t *testing.T) (dir string) {
	t.Helper()
	dir = t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir+"/", "../sassafraslug", "../sassafraslug-host").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return dir
}

// Guards against host processes that outlive a soak that is interrupted, or killed while some
// of them are stopped.
func TestInterruptedSoakLeavesNoProcess(t *testing.T) {
	dir := build(t)
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGKILL} {
		soak := exec.Command(filepath.Join(dir, "sassafraslug"), "soak", "--duration", "60s", "--logs", t.TempDir())
		output, err := soak.StdoutPipe()
		assert.NilError(t, err)
		soak.Stderr = soak.Stdout
		assert.NilError(t, soak.Start())
		lines := bufio.NewReader(output)
		var hosts []int
		for len(hosts) < 3 {
			line, err := lines.ReadString('\n')
			assert.NilError(t, err, "%q", line)
			_, number, ok := strings.Cut(strings.TrimSpace(line), " as process ")
			assert.Assert(t, ok, "%q", line)
			pid, err := strconv.Atoi(number)
			assert.NilError(t, err)
			hosts = append(hosts, pid)
		}
		assert.NilError(t, syscall.Kill(hosts[1], syscall.SIGSTOP))
		time.Sleep(time.Second)
		assert.NilError(t, soak.Process.Signal(signal))
		rest, err := io.ReadAll(lines)
		assert.NilError(t, err)
		assert.Assert(t, soak.Wait() != nil, "%s: exit status 0: %s", signal, rest)
		for _, pid := range hosts {
			// The kernel ends a process shortly after its parent was killed, and what is left
			// until it is reaped runs nothing.
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				status, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
				if err != nil || strings.Contains(string(status), ") Z ") {
					return poll.Success()
				}
				return poll.Continue("%s: process %d runs: %s", signal, pid, status)
			}, poll.WithTimeout(5*time.Second))
		}
	}
}

// Guards against a soak that cannot start and counts as held.
func TestSoakErrors(t *testing.T) {
	for _, args := range [][]string{
		{"soak", "--hosts", "0"}, {"soak", "--seeds", "0"}, {"soak", "--duration", "1s"}, {"soak", "--hosts", "61"}, {"soak", "--host-program", "nowhere"},
	} {
		code, _, errOut := runCLI(args...)
		assert.Equal(t, code, exitUsage, "%v: %s", args, errOut)
	}
	code, _, errOut := runCLI("soak", "--host-program", "/bin/false", "--logs", t.TempDir())
	assert.Equal(t, code, exitFailed)
	assert.Assert(t, strings.Contains(errOut, "host 0 ended with exit status 1 before it was ready"), "%s", errOut)
}

// Package slugprocess runs a program as a process that is started again under the same name,
// signals it by its ID and notices when it ends by itself. It touches no process that it did
// not start, and the kernel ends its process when this one dies.
//
// # Usage
//
//	p := slugprocess.New(slugprocess.Config{Name: "host-0", Program: path, Args: args, Output: "host-0.log"})
//	err := p.Start()
//	p.Terminate(8 * time.Second)
//	p.Kill()
package slugprocess

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// PID identifies a process on this machine.
type PID int

// Config configures a Process.
type Config struct {
	Name    string
	Program string
	Args    []string
	// Output is the file to which standard output and standard error are appended.
	Output string
}

// Exit is an end that no signal of this package explains.
type Exit struct {
	At     time.Time
	Detail string
}

// run is one run of the program.
type run struct {
	cmd *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
	// terminated and killed say which signals were sent.
	terminated, killed bool
}

// Process is a program that runs at most once at a time.
type Process struct {
	cfg Config

	mu      sync.Mutex
	current *run
	exits   []Exit
}

// New returns a Process that does not run yet.
func New(cfg Config) *Process { return &Process{cfg: cfg} }

// ErrRunning means that the process runs already.
var ErrRunning = errors.New("process runs already")

// Start starts the program.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil {
		return ErrRunning
	}
	output, err := os.OpenFile(p.cfg.Output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrapf(err, "start %s", p.cfg.Name)
	}
	defer func() { _ = output.Close() }()
	r := &run{cmd: exec.Command(p.cfg.Program, p.cfg.Args...), done: make(chan struct{})}
	r.cmd.Stdout, r.cmd.Stderr = output, output
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.cfg.Name)
	}
	p.current = r
	go p.await(r)
	return nil
}

// await records the end of a run.
func (p *Process) await(r *run) {
	err := r.cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case r.killed, r.terminated && err == nil:
	case r.terminated:
		p.exits = append(p.exits, Exit{time.Now(), fmt.Sprintf("ended after SIGTERM with %s", err)})
	case err == nil:
		p.exits = append(p.exits, Exit{time.Now(), "ended with exit status 0"})
	default:
		p.exits = append(p.exits, Exit{time.Now(), fmt.Sprintf("ended with %s", err)})
	}
	p.current = nil
	close(r.done)
}

// PID returns the ID of the process, or 0 if it doesn't run.
func (p *Process) PID() PID {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		return 0
	}
	return PID(p.current.cmd.Process.Pid)
}

// PeakMemory returns the largest resident memory of the process so far in bytes, or 0 if it
// doesn't run.
func (p *Process) PeakMemory() (int64, error) {
	pid := p.PID()
	if pid == 0 {
		return 0, nil
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
		return 0, nil // It has just ended.
	}
	if err != nil {
		return 0, errors.Wrapf(err, "read the memory of %s", p.cfg.Name)
	}
	for line := range strings.Lines(string(b)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			return n << 10, errors.Wrapf(err, "read the memory of %s", p.cfg.Name)
		}
	}
	return 0, nil // A process that has ended and was not waited for has no memory.
}

// Exits returns the ends that no signal explains.
func (p *Process) Exits() []Exit {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Exit(nil), p.exits...)
}

// Signal sends a signal that does not end the process. It does nothing if the process doesn't
// run.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		return nil
	}
	return p.current.signal(s)
}

// signal sends a signal. The process may have ended without being awaited yet.
func (r *run) signal(s syscall.Signal) error {
	if err := r.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return errors.Wrapf(err, "send %s", s)
	}
	return nil
}

// Terminate sends SIGTERM, and SIGKILL if the process has not ended after grace. It returns
// whether SIGKILL was needed when the process has ended.
func (p *Process) Terminate(grace time.Duration) (killed bool, err error) {
	p.mu.Lock()
	r := p.current
	if r == nil {
		p.mu.Unlock()
		return false, nil
	}
	// One SIGTERM begins the shutdown.
	if !r.terminated {
		r.terminated = true
		err = r.signal(syscall.SIGTERM)
	}
	p.mu.Unlock()
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-r.done:
		return false, err
	case <-timer.C:
		return true, errors.CombineErrors(err, p.kill(r))
	}
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() error {
	p.mu.Lock()
	r := p.current
	p.mu.Unlock()
	if r == nil {
		return nil
	}
	return p.kill(r)
}

func (p *Process) kill(r *run) error {
	p.mu.Lock()
	r.killed = true
	err := r.signal(syscall.SIGKILL)
	p.mu.Unlock()
	if err == nil {
		<-r.done
	}
	return err
}

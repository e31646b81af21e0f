//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sassafraslug/sassafraslug/platform/slugstandin"
)

const (
	// memoryMB and descriptors are those of the machines of the small deployment.
	memoryMB    = 284
	descriptors = 4100
	// readyTimeout is the time in which all hosts must be ready.
	readyTimeout = 20 * time.Second
	// stability is bounds.stability_ms.
	stability = 3 * time.Second
)

// rig is a small system: the project's host program in separate processes, beside stand-ins for
// the platform and its servers.
type rig struct {
	dir     string
	store   *slugstandin.Store
	duties  *slugstandin.DutyAPI
	hosts   []*host
	closers []func()

	mu     sync.Mutex
	record *os.File
	begun  time.Time
}

// host is one machine with its host process.
type host struct {
	name, ip string
	settings string
	log      string
	ports    map[string]int

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// expected is set before a signal of this program ends the process.
	expected bool
	// ended says how the process ended by itself; empty if it did not.
	ended string
}

// newRig starts the platform's stand-ins. The record is written to the given file.
func newRig(record string, configuration map[string]any) (*rig, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	r := &rig{dir: dir, store: slugstandin.NewStore(), duties: &slugstandin.DutyAPI{}, begun: time.Now()}
	if r.record, err = os.Create(record); err != nil {
		return nil, err
	}
	r.store.Put("config", "main", configuration)
	return r, nil
}

// note writes a line to the record and to standard output.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
	fmt.Print(line)
	_, _ = r.record.WriteString(line)
}

// serve serves a stand-in on a free port of the loopback interface.
func (r *rig) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	r.closers = append(r.closers, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// freePort returns a port that is free for TCP and UDP.
func freePort(ip string) (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, port))
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port on %s", ip)
}

// startHosts starts n host processes and waits until they are ready.
func (r *rig) startHosts(n int) error {
	store, err := r.serve(r.store)
	if err != nil {
		return err
	}
	duties, err := r.serve(r.duties)
	if err != nil {
		return err
	}
	for i := range n {
		// Each machine has an address of its own, as on the platform.
		h := &host{name: fmt.Sprintf("front-%d", i), ip: fmt.Sprintf("127.%d.%d.%d", 2+os.Getpid()%120, os.Getpid()/120%250, i+1), ports: map[string]int{}}
		if err := h.choosePorts(); err != nil {
			return err
		}
		h.settings, h.log = filepath.Join(r.dir, h.name+".ini"), filepath.Join(r.dir, h.name+".log")
		if err := h.writeSettings(store, duties); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
		r.hosts = append(r.hosts, h)
	}
	deadline := time.Now().Add(readyTimeout)
	for _, h := range r.hosts {
		for !h.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", h.name, readyTimeout)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	r.note("%d hosts are ready", n)
	return nil
}

// choosePorts chooses a free port for each of the host's listeners.
func (h *host) choosePorts() error {
	taken := map[int]bool{}
	for _, p := range []string{"front", "ready", "directory", "peers", "metrics"} {
		for h.ports[p] == 0 || taken[h.ports[p]] {
			port, err := freePort(h.ip)
			if err != nil {
				return err
			}
			h.ports[p] = port
		}
		taken[h.ports[p]] = true
	}
	return nil
}

func (h *host) address(port string) string { return fmt.Sprintf("%s:%d", h.ip, h.ports[port]) }

// writeSettings fills in the template of the deploy file, as the platform does.
func (h *host) writeSettings(store, duties string) error {
	b, err := os.ReadFile("platform/host.ini")
	if err != nil {
		return err
	}
	text := strings.NewReplacer(
		"{{node_name}}", h.name, "{{zone}}", zone, "{{region}}", "north", "{{platform.address}}", store, "{{cloud.address}}", duties,
		"{{listen.front}}", h.address("front"), "{{listen.ready}}", h.address("ready"), "{{listen.directory}}", h.address("directory"),
		"{{ip}}", h.ip, "{{internal_ports.0}}", strconv.Itoa(h.ports["peers"]), "{{internal_ports.1}}", strconv.Itoa(h.ports["metrics"]),
		"{{#bootstrap}}true{{/bootstrap}}{{^bootstrap}}false{{/bootstrap}}", "true",
		"{{bounds.report_window_s}}", "5", "{{bounds.revoke_ms}}", "5000", "{{bounds.config_apply_ms}}", "2000", "{{bounds.drain_ms}}", "2000",
		"{{bounds.grace_s}}", "8", "{{bounds.stability_ms}}", "3000", "{{bounds.budget_window_s}}", "10", "{{bounds.retry_budget_ratio}}", "0.2",
		"{{bounds.retry_budget_extra}}", "54", "{{bounds.usage_late_s}}", "10",
	).Replace(string(b))
	if strings.Contains(text, "{{") {
		return fmt.Errorf("platform/host.ini: a placeholder is not filled in")
	}
	text += fmt.Sprintf("\n[limits]\nmemoryMegabytes = %d\ndescriptors = %d\n", memoryMB, descriptors)
	return os.WriteFile(h.settings, []byte(text), 0o644)
}

// start starts the program as the deploy file does.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	output, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	cmd := exec.Command("target/sassafraslug-host")
	cmd.Env = []string{"SASSAFRASLUG_NODE_FILE=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.done, h.expected, h.ended = cmd, make(chan struct{}), false, ""
	go h.await(cmd, h.done)
	return nil
}

func (h *host) await(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.expected {
		h.ended = fmt.Sprint("ended by itself: ", err)
	}
	close(done)
}

// kill ends the process at once.
func (h *host) kill() {
	h.mu.Lock()
	h.expected = true
	// The process may have ended already.
	_ = h.cmd.Process.Kill()
	h.mu.Unlock()
	<-h.done
}

// endedByItself returns how the process ended without a signal, or an empty text.
func (h *host) endedByItself() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended
}

// memory returns the resident memory of the process in MB, as the platform sees it.
func (h *host) memory() float64 {
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	for s := bufio.NewScanner(f); s.Scan(); {
		if text, ok := strings.CutPrefix(s.Text(), "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(text)[0], 64)
			return kb * 1024 / 1e6
		}
	}
	return 0
}

// ready asks for the readiness of the host, as the platform does.
func (h *host) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.address("ready")+"/-/ready", nil)
	if err != nil {
		return false
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// close ends all processes and stand-ins, and removes the temporary folder.
func (r *rig) close() {
	for _, h := range r.hosts {
		h.kill()
	}
	for _, c := range r.closers {
		c()
	}
	_ = os.RemoveAll(r.dir)
	_ = r.record.Close()
}

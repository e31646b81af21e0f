//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sassafraslug/sassafraslug/platform/slugstandin"
)

const (
	// hostProgram and hostTemplate are those of deploy/system.toml.
	hostProgram  = "target/sassafraslug-host"
	hostTemplate = "platform/host.ini"
	// routeHost is the host name of all routes, and apiKey the key of the only tenant.
	routeHost  = "ficu95.example"
	apiKey     = "3fexd9dnn2ctnfzs989a"
	tenantName = "hule930"
	zone       = "hu-central-a"
	// readyTimeout is the time in which all hosts must be ready.
	readyTimeout = 20 * time.Second
)

// bounds are the bounds of the small site files, as the platform fills them in.
var bounds = map[string]string{
	"revoke_ms": "5000", "config_apply_ms": "2000", "drain_ms": "2000", "grace_s": "8", "stability_ms": "3000",
	"budget_window_s": "10", "retry_budget_ratio": "0.2", "retry_budget_extra": "54", "usage_late_s": "10", "report_window_s": "5",
}

// rig is a small deployment: hosts as processes, and stand-ins of everything around them.
type rig struct {
	dir    string
	store  *slugstandin.Store
	duties *slugstandin.DutyAPI
	hosts  []*host
	rec    *recorder
	begin  time.Time

	// zones are the zones in which the hosts are, in turn; empty means one.
	zones []string

	mu      sync.Mutex
	closers []func()
}

// host is one process of the system.
type host struct {
	name, settings, log           string
	callers, ready, lookup, peers string
	metrics                       string
	fields                        map[string]string

	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	expected bool
	// exits are the times at which the process ended by itself.
	exits []string
}

// newRig starts the store and the API for duties.
func newRig() (*rig, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	g := &rig{dir: dir, store: slugstandin.NewStore(), duties: &slugstandin.DutyAPI{}, rec: &recorder{}, begin: time.Now()}
	g.closers = append(g.closers, func() { _ = os.RemoveAll(dir) })
	return g, nil
}

// serve serves a handler on a free port of the loopback interface.
func (g *rig) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), g.serveOn(l, h)
}

func (g *rig) serveOn(l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closers = append(g.closers, func() { _ = s.Close() })
	return nil
}

// freePorts returns n ports that were free for both TCP and UDP.
func freePorts(n int) ([]string, error) {
	var out []string
	for len(out) < n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		u, err := net.ListenPacket("udp", l.Addr().String())
		if err != nil {
			continue
		}
		defer func() { _ = u.Close() }()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// startHosts starts n hosts. storeAddress returns the address at which a host reaches the
// store.
func (g *rig) startHosts(n int, storeAddress func(int) string) error {
	duties, err := g.serve(g.duties)
	if err != nil {
		return err
	}
	ports, err := freePorts(5 * n)
	if err != nil {
		return err
	}
	for i := range n {
		p := ports[5*i : 5*i+5]
		h := &host{name: fmt.Sprintf("front-%s-%d", zone, i+1), callers: p[0], ready: p[1], lookup: p[2], peers: p[3], metrics: p[4]}
		h.settings, h.log = filepath.Join(g.dir, h.name+".ini"), filepath.Join(g.dir, h.name+".log")
		h.fields = map[string]string{
			"node_name": h.name, "zone": g.zoneOf(i), "region": "hu-central", "platform.address": storeAddress(i), "listen.front": h.callers,
			"listen.ready": h.ready, "listen.directory": h.lookup, "cloud.address": duties, "ip": "127.0.0.1",
			"internal_ports.0": port(h.peers), "internal_ports.1": port(h.metrics),
		}
		for k, v := range bounds {
			h.fields["bounds."+k] = v
		}
		g.hosts = append(g.hosts, h)
		if err := h.writeSettings(true); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	return g.awaitReady()
}

func (g *rig) zoneOf(i int) string {
	if len(g.zones) == 0 {
		return zone
	}
	return g.zones[i%len(g.zones)]
}

func port(address string) string {
	_, p, _ := net.SplitHostPort(address)
	return p
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#bootstrap\}\}(.*?)\{\{/bootstrap\}\}\{\{\^bootstrap\}\}(.*?)\{\{/bootstrap\}\}`)
	optional    = regexp.MustCompile(`\{\{#([a-z_.0-9]+)\}\}(.*)\{\{/[a-z_.0-9]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// writeSettings fills in the template of the deploy file.
func (h *host) writeSettings(bootstrap bool) error {
	b, err := os.ReadFile(hostTemplate)
	if err != nil {
		return err
	}
	which := "$2"
	if bootstrap {
		which = "$1"
	}
	var missing []string
	text := optional.ReplaceAllStringFunc(section.ReplaceAllString(string(b), which), func(s string) string {
		m := optional.FindStringSubmatch(s)
		if _, ok := h.fields[m[1]]; !ok {
			return ""
		}
		return m[2]
	})
	text = placeholder.ReplaceAllStringFunc(text, func(s string) string {
		v, ok := h.fields[strings.Trim(s, "{}")]
		if !ok {
			missing = append(missing, s)
		}
		return v
	})
	if len(missing) > 0 {
		return fmt.Errorf("template has unknown fields %v", missing)
	}
	return os.WriteFile(h.settings, []byte(text), 0o644)
}

// start starts the process.
func (h *host) start() error {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(hostProgram)
	cmd.Env = []string{"SASSAFRASLUG_NODE_FILE=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.done, h.expected = cmd, done, false
	h.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		h.mu.Lock()
		if !h.expected {
			h.exits = append(h.exits, fmt.Sprintf("%s ended by itself: %v", h.name, err))
		}
		h.mu.Unlock()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process. end states that it is expected to end.
func (h *host) signal(s syscall.Signal, end bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expected = h.expected || end
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// wait waits until the process has ended.
func (h *host) wait() {
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	if done != nil {
		<-done
	}
}

// kill kills the process and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL, true)
	h.wait()
}

// restart starts the process again, as not the first start of the system.
func (h *host) restart() error {
	if err := h.writeSettings(false); err != nil {
		return err
	}
	return h.start()
}

func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + h.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *rig) awaitReady() error {
	until := time.Now().Add(readyTimeout)
	for _, h := range g.hosts {
		for !h.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes and stand-ins.
func (g *rig) close() {
	for _, h := range g.hosts {
		h.signal(syscall.SIGCONT, false)
		h.kill()
	}
	for i := len(g.closers) - 1; i >= 0; i-- {
		g.closers[i]()
	}
}

// exits returns the processes that ended by themselves.
func (g *rig) exits() (out []string) {
	for _, h := range g.hosts {
		h.mu.Lock()
		out = append(out, h.exits...)
		h.mu.Unlock()
	}
	return out
}

// logged returns the lines in the logs of all hosts that contain a text.
func (g *rig) logged(text string) (out []string) {
	for _, h := range g.hosts {
		b, _ := os.ReadFile(h.log)
		for line := range strings.Lines(string(b)) {
			if strings.Contains(line, text) {
				out = append(out, h.name+": "+strings.TrimSpace(line))
			}
		}
	}
	return out
}

// at returns the time since the start of the rig in seconds.
func (g *rig) at(t time.Time) float64 { return t.Sub(g.begin).Seconds() }

// note writes a line to the record.
func (g *rig) note(format string, args ...any) {
	g.rec.add(fmt.Sprintf("%8.3f %s", g.at(time.Now()), fmt.Sprintf(format, args...)))
}

// recorder collects the lines of record.txt.
type recorder struct {
	mu    sync.Mutex
	lines []string
}

func (r *recorder) add(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

func (r *recorder) write(file string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(file, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

// route describes one route of the configuration.
type route struct {
	prefix, kind, service string
	timeoutMs, attempts   int
	resumable             bool
}

// configuration returns a configuration in the form of PROTOCOL.md, without scaling, so that
// the system orders no replicas. The services named in engines have model engines.
func configuration(version int, routes []route, engines ...string) map[string]any {
	var list []any
	services := map[string]bool{}
	for i, r := range routes {
		list = append(list, map[string]any{
			"name": "r-" + strconv.Itoa(i), "host": routeHost, "path_prefix": r.prefix, "kind": r.kind, "timeout_ms": r.timeoutMs,
			"target_latency_ms": 600, "priority": 1, "service": r.service, "max_attempts": r.attempts, "public": false,
			"sticky_sessions": r.kind == "stream", "resumable": r.resumable, "target_gap_ms": 400,
		})
		services[r.service] = slices.Contains(engines, r.service)
	}
	var serviceList []any
	for name, engine := range services {
		s := map[string]any{"name": name, "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false}
		if engine {
			s["engine"] = map[string]any{"slots": 64, "kv_capacity_tokens": 462671, "kv_token_bytes": 18432, "link_mbps": 740000.0, "stride": 13, "most": 12, "kv_hold_s": 5.0, "switch_s": 3.0}
		}
		serviceList = append(serviceList, s)
	}
	return map[string]any{
		"version": version, "routes": list, "services": serviceList,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenantName, "api_keys": []string{apiKey}, "priority": 1}},
	}
}

// writeJSON writes a JSON response.
func writeJSON(w http.ResponseWriter, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

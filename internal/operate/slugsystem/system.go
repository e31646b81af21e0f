// Package slugsystem runs a complete system in one operating system process: the stand-ins,
// and a gate and a control process on each of several hosts. They are connected over
// loopback sockets, or over an in-memory network. The demo, the benchmarks and the system
// tests use it.
//
// # Usage
//
//	s, err := slugsystem.New(ctx, slugsystem.Config{Hosts: 9, Manifest: m})
//	defer s.Close()
//	err = s.Replace(ctx, s.Hosts()[0])
package slugsystem

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/authority/sluglease"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugsettings"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugcontrol"
	"github.com/sassafraslug/sassafraslug/internal/daemon/sluggate"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugnetwork"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugoperatorapi"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugengine"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugenvironment"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugmesh"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugplatform"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
	"github.com/sirupsen/logrus"
)

// Config configures a System.
type Config struct {
	Hosts int
	// Manifest is applied at the start. Hosts are spread over its data centres.
	Manifest *slugmanifest.Manifest
	// Engine configures the stand-ins for engines.
	Engine slugengine.Config
	// UncheckedEvery makes every n-th engine ignore fences; 0 means none.
	UncheckedEvery int
	// Platform configures the stand-in for the platform.
	Platform slugplatform.Config
	// Log receives the logs of all processes; nil discards them.
	Log io.Writer
	// OnStep is called between the steps of every duty's work; it may be nil.
	OnStep func(h slugname.Host, d sluglease.Duty, step string)
	// Mesh is an in-memory network; nil means loopback sockets.
	Mesh *slugmesh.Mesh
	// Settings changes the settings of a host before it starts; it may be nil.
	Settings func(*slugsettings.Settings)
}

// Host is a host with its gate and control processes.
type Host struct {
	Name        slugname.Host
	DataCentre  slugname.DataCentre
	Gate        *sluggate.Gate
	Control     *slugcontrol.Control
	stopGate    context.CancelFunc
	stopControl context.CancelFunc
	processes   sync.WaitGroup
	mu          sync.Mutex
	runErr      error
}

// System is a running system.
type System struct {
	cfg      Config
	Standins *slugenvironment.Environment

	mu    sync.Mutex
	hosts []*Host
	// killed holds the hosts whose processes may still be ending.
	killed         []*Host
	lastHostNumber int
}

const (
	// startTimeout limits the start of a host.
	startTimeout = 20 * time.Second
	// pollInterval is the interval at which conditions of the start are checked.
	pollInterval = 50 * time.Millisecond
)

// New starts a system, applies its manifest, and waits until the endpoints are there and the
// gates know each other. After an error, the caller closes the returned System unless it is
// nil.
func New(ctx context.Context, cfg Config) (*System, error) {
	models := map[string]string{}
	for _, s := range cfg.Manifest.Services {
		models[string(s.Name)] = string(s.Model)
	}
	s := &System{cfg: cfg}
	standins, err := slugenvironment.New(slugenvironment.Config{
		Listen: "127.0.0.1:0", Models: models, Engine: cfg.Engine, UncheckedEvery: cfg.UncheckedEvery,
		Platform: cfg.Platform, ListenOn: s.listenFunc(),
	})
	if err != nil {
		return nil, err
	}
	s.Standins = standins
	for range cfg.Hosts {
		if _, err := s.Add(ctx); err != nil {
			return s, err
		}
	}
	return s, s.applyInitialManifest(ctx)
}

// applyInitialManifest applies the manifest and waits until it is served.
func (s *System) applyInitialManifest(ctx context.Context) error {
	if _, err := s.Apply(ctx, s.cfg.Manifest, 0); err != nil {
		return err
	}
	if err := s.WaitForEndpoints(ctx); err != nil {
		return err
	}
	return s.waitForGates(ctx)
}

// waitForGates waits until the lookups of every gate return all gates.
func (s *System) waitForGates(ctx context.Context) error {
	hosts := s.Hosts()
	for _, h := range hosts {
		for missing := missingGates(h, hosts); len(missing) > 0; missing = missingGates(h, hosts) {
			if err := slugbackoff.Sleep(ctx, pollInterval); err != nil {
				return slugfault.Wrap(err, fmt.Sprintf("wait until the lookups of %s return the gates of %s", h.Name, missing), "")
			}
		}
	}
	return nil
}

// missingGates returns the hosts whose gates the lookups of a host lack.
func missingGates(h *Host, hosts []*Host) (missing []slugname.Host) {
	known := h.Gate.KnownGates()
	for _, other := range hosts {
		if !slices.Contains(known, callersAddress(other)) {
			missing = append(missing, other.Name)
		}
	}
	return missing
}

// callersAddress returns the address at which a host's gate takes callers.
func callersAddress(h *Host) string {
	callers, _ := h.Gate.Addresses()
	return callers
}

// Add starts a new host.
func (s *System) Add(ctx context.Context) (*Host, error) {
	s.mu.Lock()
	s.lastHostNumber++
	number := s.lastHostNumber
	s.mu.Unlock()
	dcs := s.cfg.Manifest.DataCentres
	dc := dcs[number%len(dcs)]
	h := &Host{Name: slugname.Host(fmt.Sprintf("host-%d", number)), DataCentre: dc.Name}
	s.Standins.Platform.SetHost(slugplatform.Host{Name: string(h.Name), DataCentre: string(dc.Name), State: slugplatform.HostLive})
	if err := s.startHost(ctx, h, dc.Region); err != nil {
		return h, slugfault.Wrap(err, "start host", string(h.Name))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append(s.hosts, h)
	return h, nil
}

func (s *System) hostSettings(h *Host, region slugname.Region) *slugsettings.Settings {
	settings := slugsettings.Defaults()
	settings.Host, settings.DataCentre, settings.Region = h.Name, h.DataCentre, region
	settings.PlatformAddress = "http://" + s.Standins.Address()
	settings.CallersListen, settings.CallersAdvertise = "127.0.0.1:0", "127.0.0.1:0"
	settings.OperatorsListen, settings.OperatorsAdvertise = "127.0.0.1:0", "127.0.0.1:0"
	settings.PeersListen, settings.PeersAdvertise = "127.0.0.1:0", "127.0.0.1:0"
	if s.cfg.Settings != nil {
		s.cfg.Settings(settings)
	}
	return settings
}

func (s *System) hostLog(h *Host, kind string) *slugevent.Log {
	if s.cfg.Log == nil {
		return slugevent.Discard()
	}
	return slugevent.New(s.cfg.Log, logrus.InfoLevel, string(h.Name)+"-"+kind)
}

func (s *System) startHost(ctx context.Context, h *Host, region slugname.Region) error {
	settings := s.hostSettings(h, region)
	h.Gate = sluggate.New(settings, s.Network(string(h.Name)), s.hostLog(h, "gate"))
	h.Control = slugcontrol.New(settings, s.Network(string(h.Name)), s.hostLog(h, "control"))
	if s.cfg.OnStep != nil {
		h.Control.OnStep = func(d sluglease.Duty, step string) { s.cfg.OnStep(h.Name, d, step) }
	}
	h.stopGate = h.startProcess(h.Gate.Run)
	h.stopControl = h.startProcess(h.Control.Run)
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, started := range []<-chan struct{}{h.Gate.Started(), h.Control.Started()} {
		select {
		case <-started:
		case <-ctx.Done():
			return errors.CombineErrors(ctx.Err(), h.Err())
		}
	}
	return nil
}

// startProcess runs a gate or control process in the background until the returned function
// is called.
func (h *Host) startProcess(f func(context.Context) error) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	h.processes.Go(func() {
		if err := f(ctx); err != nil {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.runErr = errors.CombineErrors(h.runErr, err)
		}
	})
	return cancel
}

// Err returns the errors of the host's processes, or nil.
func (h *Host) Err() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runErr
}

// Shutdown shuts the host's processes down gracefully and waits until they have ended.
func (h *Host) Shutdown() error {
	h.stopGate()
	h.stopControl()
	h.processes.Wait()
	return h.Err()
}

// Hosts returns the running hosts.
func (s *System) Hosts() []*Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Host(nil), s.hosts...)
}

// Replace starts a new host, marks h as leaving and shuts it down gracefully.
func (s *System) Replace(ctx context.Context, h *Host) error {
	if _, err := s.Add(ctx); err != nil {
		return err
	}
	s.Standins.Platform.SetHost(slugplatform.Host{Name: string(h.Name), DataCentre: string(h.DataCentre), State: slugplatform.HostLeaving})
	return s.Remove(h)
}

// Remove shuts a host down gracefully and removes it from the platform's host list.
func (s *System) Remove(h *Host) error {
	err := h.Shutdown()
	s.removeHost(h)
	return err
}

// Kill aborts a host's processes and removes the host from the platform's host list.
func (s *System) Kill(h *Host) {
	h.Control.Abort()
	h.Gate.Abort()
	s.mu.Lock()
	s.killed = append(s.killed, h)
	s.mu.Unlock()
	s.removeHost(h)
}

func (s *System) removeHost(h *Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, x := range s.hosts {
		if x == h {
			s.hosts = append(s.hosts[:i], s.hosts[i+1:]...)
			break
		}
	}
	s.Standins.Platform.RemoveHost(string(h.Name))
}

// GateAddresses returns the callers' addresses of the gates of all running hosts.
func (s *System) GateAddresses() []string {
	var out []string
	for _, h := range s.Hosts() {
		callers, _ := h.Gate.Addresses()
		out = append(out, callers)
	}
	return out
}

// OperatorClient returns a client of the control process of the first running host.
func (s *System) OperatorClient() *slugoperatorapi.Client {
	return s.OperatorClientOf(s.Hosts()[0])
}

// OperatorClientOf returns a client of a host's control process.
func (s *System) OperatorClientOf(h *Host) *slugoperatorapi.Client {
	return slugoperatorapi.New(slugoperatorapi.Config{Address: h.Control.Address(), Dial: s.Network("operator").Dial})
}

// Network returns the network as the named host sees it.
func (s *System) Network(host string) *slugnetwork.Network {
	if s.cfg.Mesh != nil {
		return s.cfg.Mesh.Host(host)
	}
	return slugnetwork.New()
}

// listenFunc returns the listen function of the stand-ins, or nil for the operating system's.
func (s *System) listenFunc() func(host, address string) (net.Listener, error) {
	if s.cfg.Mesh == nil {
		return nil
	}
	return func(host, address string) (net.Listener, error) { return s.cfg.Mesh.Host(host).Listen("tcp", address) }
}

// Apply applies a manifest on top of the base revision.
func (s *System) Apply(ctx context.Context, m *slugmanifest.Manifest, base slugconfig.Revision) (slugoperatorapi.Change, error) {
	b, err := json.Marshal(m)
	if err != nil {
		return slugoperatorapi.Change{}, err
	}
	return s.OperatorClient().Apply(ctx, b, base, slugstore.RandomChangeID())
}

// WaitForEndpoints waits until every gate can reach the minimum number of endpoints of
// every service.
func (s *System) WaitForEndpoints(ctx context.Context) error {
	for {
		missing := s.missingEndpoints()
		if missing == "" {
			return nil
		}
		if err := slugbackoff.Sleep(ctx, pollInterval); err != nil {
			return slugfault.Wrap(err, "wait for endpoints of "+missing, "")
		}
	}
}

// missingEndpoints names a service and a host whose gate has too few endpoints of it. It
// returns an empty string if there is none.
func (s *System) missingEndpoints() string {
	for _, service := range s.cfg.Manifest.Services {
		minimum := 0
		for _, r := range service.Replicas {
			minimum += r.Min
		}
		for _, h := range s.Hosts() {
			if h.Gate.Endpoints(service.Name) < minimum {
				return fmt.Sprintf("%s at %s", service.Name, h.Name)
			}
		}
	}
	return ""
}

// Close aborts all processes, waits until they have ended, and closes the stand-ins.
func (s *System) Close() {
	hosts := append(s.Hosts(), s.killed...)
	for _, h := range hosts {
		h.Control.Abort()
		h.Gate.Abort()
	}
	for _, h := range hosts {
		h.processes.Wait()
	}
	_ = s.Standins.Close()
}

// Package slugsystem runs a whole system in one process: the stand-ins, and a gate
// and a control process on each of several hosts, all on loopback addresses over
// real connections. The demo, the benchmarks and the tests over sockets use it.
//
// # Usage
//
//	s, err := slugsystem.New(slugsystem.Config{Hosts: 9, DataCentres: 3, Manifest: m})
//	defer s.Close()
//	err = s.Replace(2)
package slugsystem

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
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
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugoperate"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugengine"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugmesh"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugplatform"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugstand"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
	"github.com/sirupsen/logrus"
)

// Config makes a System.
type Config struct {
	Hosts int
	// Manifest is applied at the start.
	Manifest *slugmanifest.Manifest
	// Engine is the configuration of the engines.
	Engine slugengine.Config
	// UncheckedEvery makes every n-th engine ignore fences.
	UncheckedEvery int
	// Platform is the configuration of the platform.
	Platform slugplatform.Config
	// Log takes the log lines of all processes; nil drops them.
	Log io.Writer
	// OnStep is called between the steps of every duty's work; it may be nil.
	OnStep func(h slugname.Host, d sluglease.Duty, step string)
	// Mesh takes the place of the operating system's network; nil uses that.
	Mesh *slugmesh.Mesh
	// Settings changes the settings of a host; nil keeps them.
	Settings func(*slugsettings.Settings)
}

// Host is one host with its two processes.
type Host struct {
	Name       slugname.Host
	DataCentre slugname.DataCentre
	Gate       *sluggate.Gate
	Control    *slugcontrol.Control
	stopGate   context.CancelFunc
	stopControl  context.CancelFunc
	processes      sync.WaitGroup
	mu         sync.Mutex
	runErr     error
}

// System is a running system.
type System struct {
	cfg   Config
	Standins *slugstand.Stand

	mu    sync.Mutex
	hosts []*Host
	// killed are hosts whose processes may not have ended yet.
	killed []*Host
	lastHostNumber   int
}

const (
	// startTimeout bounds the start of a host.
	startTimeout = 20 * time.Second
	// pollInterval is the time between looks while waiting.
	pollInterval = 50 * time.Millisecond
)

// New starts a system and applies its manifest.
func New(ctx context.Context, cfg Config) (*System, error) {
	models := map[string]string{}
	for _, s := range cfg.Manifest.Services {
		models[string(s.Name)] = string(s.Model)
	}
	s := &System{cfg: cfg}
	stand, err := slugstand.New(slugstand.Config{
		Listen: "127.0.0.1:0", Models: models, Engine: cfg.Engine, UncheckedEvery: cfg.UncheckedEvery,
		Platform: cfg.Platform, ListenOn: s.listenFunc(),
	})
	if err != nil {
		return nil, err
	}
	s.Standins = stand
	for range cfg.Hosts {
		if _, err := s.Add(ctx); err != nil {
			return s, err
		}
	}
	return s, s.applyInitialManifest(ctx)
}

// applyInitialManifest applies the manifest and waits for endpoints.
func (s *System) applyInitialManifest(ctx context.Context) error {
	if _, err := s.Apply(ctx, s.cfg.Manifest, 0); err != nil {
		return err
	}
	return s.WaitForEndpoints(ctx)
}

// Add starts one more host.
func (s *System) Add(ctx context.Context) (*Host, error) {
	s.mu.Lock()
	s.lastHostNumber++
	n := s.lastHostNumber
	s.mu.Unlock()
	dcs := s.cfg.Manifest.DataCentres
	dc := dcs[n%len(dcs)]
	h := &Host{Name: slugname.Host(fmt.Sprintf("host-%d", n)), DataCentre: dc.Name}
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
	x := slugsettings.Defaults()
	x.Host, x.DataCentre, x.Region = h.Name, h.DataCentre, region
	x.PlatformAddress = "http://" + s.Standins.Address()
	x.CallersListen, x.CallersAdvertise = "127.0.0.1:0", "127.0.0.1:0"
	x.OperatorsListen, x.OperatorsAdvertise = "127.0.0.1:0", "127.0.0.1:0"
	x.PeersListen, x.PeersAdvertise = "127.0.0.1:0", "127.0.0.1:0"
	if s.cfg.Settings != nil {
		s.cfg.Settings(x)
	}
	return x
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

// startProcess runs a daemon until the returned function is called.
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

// Err returns how the host's processes failed.
func (h *Host) Err() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runErr
}

// Shutdown ends a host gracefully and waits until it has ended.
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

// Replace starts a new host and ends one gracefully.
func (s *System) Replace(ctx context.Context, h *Host) error {
	if _, err := s.Add(ctx); err != nil {
		return err
	}
	s.Standins.Platform.SetHost(slugplatform.Host{Name: string(h.Name), DataCentre: string(h.DataCentre), State: slugplatform.HostLeaving})
	return s.Remove(h)
}

// Remove ends a host gracefully.
func (s *System) Remove(h *Host) error {
	err := h.Shutdown()
	s.removeHost(h)
	return err
}

// Kill ends a host's processes at once.
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

// GateAddresses returns the callers' addresses of the running hosts.
func (s *System) GateAddresses() []string {
	var out []string
	for _, h := range s.Hosts() {
		callers, _ := h.Gate.Addresses()
		out = append(out, callers)
	}
	return out
}

// OperatorClient returns a client of the first running control process.
func (s *System) OperatorClient() *slugoperate.Client {
	return s.OperatorClientOf(s.Hosts()[0])
}

// OperatorClientOf returns a client of a host's control process.
func (s *System) OperatorClientOf(h *Host) *slugoperate.Client {
	return slugoperate.New(slugoperate.Config{Address: h.Control.Address(), Dial: s.Network("operator").Dial})
}

// Network returns a host's way to the others.
func (s *System) Network(host string) *slugnetwork.Network {
	if s.cfg.Mesh != nil {
		return s.cfg.Mesh.Host(host)
	}
	return slugnetwork.New()
}

// listenFunc returns how the stand-ins listen.
func (s *System) listenFunc() func(host, address string) (net.Listener, error) {
	if s.cfg.Mesh == nil {
		return nil
	}
	return func(host, address string) (net.Listener, error) { return s.cfg.Mesh.Host(host).Listen("tcp", address) }
}

// Apply applies a manifest on a base.
func (s *System) Apply(ctx context.Context, m *slugmanifest.Manifest, base slugconfig.Revision) (slugoperate.Change, error) {
	b, err := json.Marshal(m)
	if err != nil {
		return slugoperate.Change{}, err
	}
	return s.OperatorClient().Apply(ctx, b, base, slugstore.RandomChangeID())
}

// WaitForEndpoints waits until every gate can send to the least number of endpoints
// of every service.
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

// missingEndpoints returns a service that some gate has too few endpoints of.
func (s *System) missingEndpoints() string {
	for _, x := range s.cfg.Manifest.Services {
		want := 0
		for _, r := range x.Replicas {
			want += r.Min
		}
		for _, h := range s.Hosts() {
			if h.Gate.Endpoints(x.Name) < want {
				return fmt.Sprintf("%s at %s", x.Name, h.Name)
			}
		}
	}
	return ""
}

// Close ends everything at once.
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

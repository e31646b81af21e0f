// Package slugstand serves all stand-ins on loopback addresses: the platform, and
// the endpoints that are ordered from it.
//
// # Usage
//
//	s, err := slugstand.New(slugstand.Config{Listen: "127.0.0.1:7000", Models: models})
//	defer s.Close()
package slugstand

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugengine"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugplain"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugplatform"
)

// Config makes a Stand.
type Config struct {
	// Listen is the address of the platform.
	Listen string
	// Models maps engine services to their models.
	Models map[string]string
	// Engine is the configuration of every engine, less its name and model.
	Engine slugengine.Config
	// Platform is the configuration of the platform, less how it starts endpoints.
	Platform slugplatform.Config
	// UncheckedEvery makes every n-th engine ignore fences; 0 makes none.
	UncheckedEvery int
	// ListenOn opens the listener of a host: "platform" or an endpoint's name. Nil
	// opens TCP listeners on loopback addresses.
	ListenOn func(host, address string) (net.Listener, error)
}

// endpoint is a running endpoint.
type endpoint struct {
	address string
	server  *http.Server
	cancel  context.CancelFunc
	engine  *slugengine.Engine
	plain   *slugplain.Service
}

// Stand holds the running stand-ins.
type Stand struct {
	cfg      Config
	Platform *slugplatform.Platform
	address  string
	server   *http.Server

	mu        sync.Mutex
	endpoints map[string]*endpoint
	launched  int
}

// New starts the platform.
func New(cfg Config) (*Stand, error) {
	if cfg.ListenOn == nil {
		cfg.ListenOn = func(_, address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	s := &Stand{cfg: cfg, endpoints: map[string]*endpoint{}}
	p := cfg.Platform
	p.Launch, p.Stop = s.launch, s.stop
	s.Platform = slugplatform.New(p)
	var err error
	s.server, s.address, err = s.serve("platform", cfg.Listen, s.handler())
	return s, err
}

// Address returns the address of the platform.
func (s *Stand) Address() string { return s.address }

// serve serves a handler on an address of a host.
func (s *Stand) serve(host, address string, h http.Handler) (*http.Server, string, error) {
	l, err := s.cfg.ListenOn(host, address)
	if err != nil {
		return nil, "", slugfault.Wrap(err, "listen", address)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	return server, l.Addr().String(), nil
}

// handler adds switches for faults to the platform.
func (s *Stand) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", s.Platform.Handler())
	mux.HandleFunc("POST /standin/crash", func(w http.ResponseWriter, r *http.Request) {
		if e := s.Engine(r.URL.Query().Get("endpoint")); e != nil {
			e.Crash()
			return
		}
		http.Error(w, "no such engine", http.StatusNotFound)
	})
	mux.HandleFunc("POST /standin/reclaim", func(_ http.ResponseWriter, r *http.Request) {
		s.Platform.Reclaim(r.URL.Query().Get("dataCentre"), 5*time.Second)
	})
	mux.HandleFunc("POST /standin/hosts", func(_ http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		s.Platform.SetHost(slugplatform.Host{Name: q.Get("name"), DataCentre: q.Get("dataCentre"), State: slugplatform.HostState(q.Get("state"))})
	})
	return mux
}

// launch starts an endpoint that was ordered.
func (s *Stand) launch(e slugplatform.Endpoint) (string, error) {
	x := &endpoint{}
	ctx, cancel := context.WithCancel(context.Background())
	x.cancel = cancel
	handler := s.newHandler(ctx, e, x)
	var address string
	var err error
	if x.server, address, err = s.serve(e.Name, "127.0.0.1:0", handler); err != nil {
		cancel()
		return "", err
	}
	x.address = address
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints[e.Name] = x
	return address, nil
}

func (s *Stand) newHandler(ctx context.Context, e slugplatform.Endpoint, x *endpoint) http.Handler {
	if e.Kind != "engine" {
		x.plain = slugplain.New(e.Name)
		return x.plain.Handler()
	}
	cfg := s.cfg.Engine
	cfg.Name, cfg.Model = e.Name, s.cfg.Models[e.Service]
	s.mu.Lock()
	s.launched++
	cfg.ChecksFences = s.cfg.UncheckedEvery == 0 || s.launched%s.cfg.UncheckedEvery != 0
	s.mu.Unlock()
	x.engine = slugengine.New(cfg)
	go x.engine.Run(ctx)
	return x.engine.Handler()
}

// stop ends an endpoint.
func (s *Stand) stop(e slugplatform.Endpoint) {
	s.mu.Lock()
	x := s.endpoints[e.Name]
	delete(s.endpoints, e.Name)
	s.mu.Unlock()
	if x != nil {
		x.cancel()
		_ = x.server.Close()
	}
}

// Engine returns a running engine, or nil.
func (s *Stand) Engine(name string) *slugengine.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x := s.endpoints[name]; x != nil {
		return x.engine
	}
	return nil
}

// Addresses returns the addresses of all running endpoints.
func (s *Stand) Addresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, x := range s.endpoints {
		out = append(out, x.address)
	}
	return out
}

// Engines returns all running engines by name.
func (s *Stand) Engines() map[string]*slugengine.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]*slugengine.Engine{}
	for n, x := range s.endpoints {
		if x.engine != nil {
			out[n] = x.engine
		}
	}
	return out
}

// Plains returns all running plain services by name.
func (s *Stand) Plains() map[string]*slugplain.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]*slugplain.Service{}
	for n, x := range s.endpoints {
		if x.plain != nil {
			out[n] = x.plain
		}
	}
	return out
}

// Close ends everything.
func (s *Stand) Close() error {
	err := s.server.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.endpoints {
		x.cancel()
		err = errors.CombineErrors(err, x.server.Close())
	}
	return err
}

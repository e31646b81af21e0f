// Package slugenvironment runs the fake platform and the fake endpoints that are ordered
// from it, each on its own listener; by default these are on loopback addresses.
//
// # Usage
//
//	env, err := slugenvironment.New(slugenvironment.Config{Listen: "127.0.0.1:7000", Models: models})
//	defer env.Close()
package slugenvironment

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

// Config configures an Environment.
type Config struct {
	// Listen is the address on which the platform listens.
	Listen string
	// Models maps the name of each engine service to the model that it serves.
	Models map[string]string
	// Engine is the configuration of every engine. Name, Model and ChecksFences are set
	// for each engine.
	Engine slugengine.Config
	// Platform is the configuration of the platform. Launch and Stop are set by New.
	Platform slugplatform.Config
	// UncheckedEvery makes every n-th launched engine ignore fences. With 0, all engines
	// check them.
	UncheckedEvery int
	// ListenOn opens the listener of the platform, under the name "platform", or of an
	// endpoint, under the name of the endpoint. If nil, TCP listeners are used.
	ListenOn func(name, address string) (net.Listener, error)
}

// endpoint is a running endpoint. Either engine or plain is set.
type endpoint struct {
	address string
	server  *http.Server
	cancel  context.CancelFunc
	engine  *slugengine.Engine
	plain   *slugplain.Service
}

// Environment is a running fake platform with its endpoints.
type Environment struct {
	cfg      Config
	Platform *slugplatform.Platform
	address  string
	server   *http.Server

	mu        sync.Mutex
	endpoints map[string]*endpoint
	// launched is the number of engines launched so far.
	launched int
}

// New starts a platform without endpoints.
func New(cfg Config) (*Environment, error) {
	if cfg.ListenOn == nil {
		cfg.ListenOn = func(_, address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	env := &Environment{cfg: cfg, endpoints: map[string]*endpoint{}}
	platformConfig := cfg.Platform
	platformConfig.Launch, platformConfig.Stop = env.launch, env.stop
	env.Platform = slugplatform.New(platformConfig)
	var err error
	env.server, env.address, err = env.serve("platform", cfg.Listen, env.handler())
	return env, err
}

// Address returns the address on which the platform listens.
func (env *Environment) Address() string { return env.address }

// serve starts an HTTP server for h on a listener that ListenOn opens, and returns the
// server with the address of the listener.
func (env *Environment) serve(listenerName, address string, h http.Handler) (*http.Server, string, error) {
	l, err := env.cfg.ListenOn(listenerName, address)
	if err != nil {
		return nil, "", slugfault.Wrap(err, "listen", address)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	return server, l.Addr().String(), nil
}

// handler returns the handler of the platform, extended by routes that inject faults:
// crash an engine, reclaim the cheap endpoints of a data centre with a notice period of
// 5 s, and change the host list.
func (env *Environment) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", env.Platform.Handler())
	mux.HandleFunc("POST /standin/crash", func(w http.ResponseWriter, r *http.Request) {
		if e := env.Engine(r.URL.Query().Get("endpoint")); e != nil {
			e.Crash()
			return
		}
		http.Error(w, "no engine with the name in parameter endpoint is running", http.StatusNotFound)
	})
	mux.HandleFunc("POST /standin/reclaim", func(_ http.ResponseWriter, r *http.Request) {
		env.Platform.Reclaim(r.URL.Query().Get("dataCentre"), 5*time.Second)
	})
	mux.HandleFunc("POST /standin/hosts", func(_ http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		env.Platform.SetHost(slugplatform.Host{Name: q.Get("name"), DataCentre: q.Get("dataCentre"), State: slugplatform.HostState(q.Get("state"))})
	})
	return mux
}

// launch starts an ordered endpoint and returns its address.
func (env *Environment) launch(e slugplatform.Endpoint) (string, error) {
	running := &endpoint{}
	ctx, cancel := context.WithCancel(context.Background())
	running.cancel = cancel
	handler := env.newEndpoint(ctx, e, running)
	var address string
	var err error
	if running.server, address, err = env.serve(e.Name, "127.0.0.1:0", handler); err != nil {
		cancel()
		return "", err
	}
	running.address = address
	env.mu.Lock()
	defer env.mu.Unlock()
	env.endpoints[e.Name] = running
	return address, nil
}

// newEndpoint creates the fake engine or plain service of an endpoint, sets it in running
// and returns its HTTP handler. An engine runs until ctx ends.
func (env *Environment) newEndpoint(ctx context.Context, e slugplatform.Endpoint, running *endpoint) http.Handler {
	if e.Kind != "engine" {
		running.plain = slugplain.New(e.Name)
		return running.plain.Handler()
	}
	cfg := env.cfg.Engine
	cfg.Name, cfg.Model = e.Name, env.cfg.Models[e.Service]
	env.mu.Lock()
	env.launched++
	cfg.ChecksFences = env.cfg.UncheckedEvery == 0 || env.launched%env.cfg.UncheckedEvery != 0
	env.mu.Unlock()
	running.engine = slugengine.New(cfg)
	go running.engine.Run(ctx)
	return running.engine.Handler()
}

// stop shuts down a released or reclaimed endpoint.
func (env *Environment) stop(e slugplatform.Endpoint) {
	env.mu.Lock()
	running := env.endpoints[e.Name]
	delete(env.endpoints, e.Name)
	env.mu.Unlock()
	if running != nil {
		running.cancel()
		_ = running.server.Close()
	}
}

// Engine returns the running engine with the given name, or nil if there is none.
func (env *Environment) Engine(name string) *slugengine.Engine {
	env.mu.Lock()
	defer env.mu.Unlock()
	if running := env.endpoints[name]; running != nil {
		return running.engine
	}
	return nil
}

// Addresses returns the addresses of all running endpoints.
func (env *Environment) Addresses() []string {
	env.mu.Lock()
	defer env.mu.Unlock()
	var out []string
	for _, x := range env.endpoints {
		out = append(out, x.address)
	}
	return out
}

// Engines returns the running engines by name.
func (env *Environment) Engines() map[string]*slugengine.Engine {
	env.mu.Lock()
	defer env.mu.Unlock()
	out := map[string]*slugengine.Engine{}
	for n, x := range env.endpoints {
		if x.engine != nil {
			out[n] = x.engine
		}
	}
	return out
}

// PlainServices returns the running plain services by name.
func (env *Environment) PlainServices() map[string]*slugplain.Service {
	env.mu.Lock()
	defer env.mu.Unlock()
	out := map[string]*slugplain.Service{}
	for n, x := range env.endpoints {
		if x.plain != nil {
			out[n] = x.plain
		}
	}
	return out
}

// Close shuts down the platform and all endpoints.
func (env *Environment) Close() error {
	err := env.server.Close()
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, x := range env.endpoints {
		x.cancel()
		err = errors.CombineErrors(err, x.server.Close())
	}
	return err
}

// Package slugrouting builds the lookup table of routes, services and keys that is used to
// process requests, from one version of the configuration.
//
// A Table is immutable, so that a request uses the same version throughout.
//
// # Usage
//
//	t := slugrouting.New(slugrouting.Source{Version: 7, Routes: routes, Workspaces: workspaces})
//	route := t.Match("example.org", "/reviews/17")
//	w, ok := t.Authenticate(key)
package slugrouting

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
)

// Kind defines whether the requests of a route may be repeated.
type Kind string

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered by a stream of events. They run at most once unless
	// the route is resumable.
	Stream Kind = "stream"
)

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service slugname.Service
	Weight  float64
}

// Route defines how requests with a host name and a path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout limits how long a request may wait for its response; 0 means no limit.
	Timeout time.Duration
	// Objective is the target time for a whole response, or for the first event of a
	// stream.
	Objective time.Duration
	// Gap is the target for the longest pause between two events of a stream.
	Gap time.Duration
	// Patience is how long callers wait for the first event of a stream, or for the next one;
	// 0 means until the timeout.
	Patience time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// Targets are the services that receive the requests. There is at least one.
	Targets []Target
	// MaxAttempts is the maximum number of endpoints that one request may be sent to.
	MaxAttempts int
	// Open routes can be called without a key.
	Open bool
	// Resumable streams may be continued at another endpoint.
	Resumable bool
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Pick returns the service for a random number x in [0, 1), in proportion to the targets'
// weights.
func (r *Route) Pick(x float64) slugname.Service {
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	x *= sum
	for _, t := range r.Targets {
		if x -= t.Weight; x < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// CacheTokens is the KV cache size of one engine in tokens.
	CacheTokens int
	// BytesPerToken is the size of one token in the KV cache.
	BytesPerToken float64
	// LinkMbps is the bandwidth for transferring KV cache between engines, in Mbit/s.
	LinkMbps float64
	// HandleTTL is how long the KV cache of a processed prompt is kept for the engine that
	// fetches it.
	HandleTTL time.Duration
	// SwitchTime is how long an engine takes to change its role.
	SwitchTime time.Duration
	// MaxEventReaders is the maximum number of clients that may wait for an engine's
	// cache events at once.
	MaxEventReaders int
}

// TransferPerToken returns the time that the KV cache of one token takes over a link, or 0
// if the bandwidth is unknown.
func (e Engine) TransferPerToken() time.Duration {
	if e.LinkMbps <= 0 {
		return 0
	}
	const bitsPerByte = 8
	return time.Duration(e.BytesPerToken * bitsPerByte / e.LinkMbps * float64(time.Microsecond))
}

// Scaling defines the limits and costs of ordering endpoints of a service.
type Scaling struct {
	// Min and Max limit the number of endpoints in each data centre.
	Min, Max int
	// BootTime is how long a new endpoint takes until it can serve requests.
	BootTime time.Duration
	// CheapPrice is the price of a reclaimable endpoint as a fraction of the regular
	// price; 0 means that there are none.
	CheapPrice float64
	// Prices are the prices of an endpoint in each data centre.
	Prices map[slugname.DataCentre]float64
}

// Service is a group of endpoints that answer the same requests.
type Service struct {
	Name slugname.Service
	// HealthPath is the path of the endpoints' health check.
	HealthPath string
	// MaxConnections is the maximum number of connections that one endpoint accepts from
	// all clients together.
	MaxConnections int
	// Engine is set for services of model engines.
	Engine *Engine
	// Scaling is set for services whose endpoints can be ordered.
	Scaling *Scaling
}

// Limits limit the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Workspace is a customer.
type Workspace struct {
	Name slugname.Workspace
	// Keys are the hashes of the customer's keys.
	Keys []slugconfig.KeyHash
	// Priority overrides the priority of the route if it is not nil.
	Priority *int
	// Quota limits the requests of the workspace at all hosts together; nil means that there is
	// no limit.
	Quota *Quota
}

// Quota limits the requests of a workspace.
type Quota struct {
	// Rate is what the workspace may use per second, and Burst what it may use at once, both in
	// requests or, if Tokens is set, in tokens.
	Rate, Burst float64
	Tokens      bool
	// PlainTokens is the cost in tokens of a request that doesn't state its tokens.
	PlainTokens float64
}

// Cost returns the cost of a request that states the given number of tokens, 0 if it states
// none.
func (q *Quota) Cost(tokens int) float64 {
	switch {
	case !q.Tokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return q.PlainTokens
}

// Source contains the configuration from which a Table is built.
type Source struct {
	Version    slugconfig.Revision
	Routes     []*Route
	Services   []*Service
	Workspaces []*Workspace
	Limits     Limits
}

// Table is one version of the configuration with its indexes.
type Table struct {
	Source
	routesByHost map[string][]*Route
	services     map[slugname.Service]*Service
	keys         map[slugconfig.KeyHash]*Workspace
	workspaces   map[slugname.Workspace]*Workspace
}

// New builds the Table of a configuration version.
func New(s Source) *Table {
	t := &Table{
		Source: s, routesByHost: map[string][]*Route{}, services: map[slugname.Service]*Service{},
		keys: map[slugconfig.KeyHash]*Workspace{}, workspaces: map[slugname.Workspace]*Workspace{},
	}
	for _, r := range s.Routes {
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, x := range s.Services {
		t.services[x.Name] = x
	}
	for _, w := range s.Workspaces {
		t.workspaces[w.Name] = w
		for _, k := range w.Keys {
			t.keys[k] = w
		}
	}
	return t
}

// Match returns the route of a host name with the longest prefix of path, or nil if there
// is none. A prefix may end within a path segment. host may include a port.
func (t *Table) Match(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(n slugname.Service) *Service { return t.services[n] }

// Authenticate returns the workspace that has a key.
func (t *Table) Authenticate(key string) (*Workspace, bool) {
	w, ok := t.keys[slugconfig.HashKey(key)]
	return w, ok
}

// HasKey reports whether a workspace has the key with the given hash.
func (t *Table) HasKey(w slugname.Workspace, k slugconfig.KeyHash) bool {
	x := t.keys[k]
	return x != nil && x.Name == w
}

// PriorityFor returns the priority of a workspace's requests on the route; 0 is the
// highest. w is nil for requests without a key.
func (r *Route) PriorityFor(w *Workspace) int {
	if w != nil && w.Priority != nil {
		return *w.Priority
	}
	return r.Priority
}

// Package slugrouting compiles the routes, services and keys of one configuration
// version into what the request path reads.
//
// A Table never changes, so that a request reads one version throughout.
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

// Kind says what may be repeated on a route.
type Kind string

// The kinds.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered by a series of events. They run at most once
	// unless the route is resumable.
	Stream Kind = "stream"
)

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service slugname.Service
	Weight  float64
}

// Route says where requests of a host name and a path go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is how long a request may be kept waiting; 0 means no bound.
	Timeout time.Duration
	// Objective is the time for a whole answer, or for the first event of a stream.
	Objective time.Duration
	// Gap is the longest pause between events of a stream that is still on time.
	Gap time.Duration
	// Priority is the urgency, 0 first.
	Priority int
	// Targets are the services, at least one.
	Targets []Target
	// Attempts is the number of endpoints that one request may be sent to.
	Attempts int
	// Open routes need no key.
	Open bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Pick returns the service for a number from 0 up to 1, by the targets' weights.
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
	// Slots is the number of requests that run at once.
	Slots int
	// CacheTokens is the KV cache of one engine in tokens.
	CacheTokens int
	// BytesPerToken is the size of a token in the KV cache.
	BytesPerToken float64
	// LinkMbps is the bandwidth for moving KV cache.
	LinkMbps float64
	// HandleLife is how long the cache of a processed prompt is kept for its taker.
	HandleLife time.Duration
	// SwitchTime is how long a change of role takes.
	SwitchTime time.Duration
	// MostEventReaders is the number of waiting readers of cache events.
	MostEventReaders int
}

// Scaling says how many endpoints of a service may be ordered.
type Scaling struct {
	// Min and Max bound the endpoints in each data centre.
	Min, Max int
	// Boot is how long a new endpoint takes to serve.
	Boot time.Duration
	// CheapPrice is the price of a reclaimable endpoint as a part of the full one; 0
	// means that there are none.
	CheapPrice float64
	// Prices are the prices of the data centres.
	Prices map[slugname.DataCentre]float64
}

// Service is a group of endpoints.
type Service struct {
	Name slugname.Service
	// HealthPath answers whether an endpoint is healthy.
	HealthPath string
	// MaxConnections is what one endpoint accepts from all callers together.
	MaxConnections int
	// Engine is set for services of model engines.
	Engine *Engine
	// Scaling is set for services whose endpoints can be ordered.
	Scaling *Scaling
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Workspace is a customer with its keys.
type Workspace struct {
	Name slugname.Workspace
	// Keys are the hashes of its keys.
	Keys []slugconfig.KeyHash
	// Priority replaces the route's; nil means the route's own.
	Priority *int
}

// Source is what a Table is made of.
type Source struct {
	Version    slugconfig.Revision
	Routes     []*Route
	Services   []*Service
	Workspaces []*Workspace
	Limits     Limits
}

// Table is one version of the configuration.
type Table struct {
	Source
	hosts      map[string][]*Route
	services   map[slugname.Service]*Service
	keys       map[slugconfig.KeyHash]*Workspace
	workspaces map[slugname.Workspace]*Workspace
}

// New compiles a version.
func New(s Source) *Table {
	t := &Table{
		Source: s, hosts: map[string][]*Route{}, services: map[slugname.Service]*Service{},
		keys: map[slugconfig.KeyHash]*Workspace{}, workspaces: map[slugname.Workspace]*Workspace{},
	}
	for _, r := range s.Routes {
		h := strings.ToLower(r.Host)
		t.hosts[h] = append(t.hosts[h], r)
	}
	for _, routes := range t.hosts {
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

// Match returns the route of a host name and a path, nil when there is none.
func (t *Table) Match(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service, nil when there is none of that name.
func (t *Table) Service(n slugname.Service) *Service { return t.services[n] }

// Authenticate returns the workspace of a key.
func (t *Table) Authenticate(key string) (*Workspace, bool) {
	w, ok := t.keys[slugconfig.HashKey(key)]
	return w, ok
}

// Holds reports whether a workspace still has a key.
func (t *Table) Holds(w slugname.Workspace, k slugconfig.KeyHash) bool {
	x := t.keys[k]
	return x != nil && x.Name == w
}

// PriorityFor returns the urgency of a workspace's request on a route, 0 first.
func (r *Route) PriorityFor(w *Workspace) int {
	if w != nil && w.Priority != nil {
		return *w.Priority
	}
	return r.Priority
}

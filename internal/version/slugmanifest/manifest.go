// Package slugmanifest defines the manifest that operators' pipelines generate:
// services, workspaces, keys, rules, data centres and budgets.
//
// Decoding is strict. Check reports every error of a manifest in one run, each
// with its path, its value and the reason.
//
// # Usage
//
//	m, problems := slugmanifest.Decode(data)
//	if len(problems) > 0 {
//		return problems
//	}
package slugmanifest

import (
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

// Manifest is the whole configuration of the system.
type Manifest struct {
	// Services are the groups of endpoints that calls are routed to.
	Services []Service `json:"services"`
	// Workspaces are the tenants.
	Workspaces []Workspace `json:"workspaces"`
	// Rules say which workspace may use which model or plain service.
	Rules []Rule `json:"rules"`
	// DataCentres are the places where endpoints can be ordered.
	DataCentres []DataCentre `json:"dataCentres"`
	// Budget bounds what endpoint ordering may spend.
	Budget Budget `json:"budget"`
}

// ServiceKind tells engines from plain servers.
type ServiceKind string

// The kinds of services.
const (
	// KindEngine is a service whose endpoints run a model.
	KindEngine ServiceKind = "engine"
	// KindPlain is a service whose endpoints answer any HTTP call.
	KindPlain ServiceKind = "plain"
)

// Service is a group of endpoints that answer the same calls.
type Service struct {
	Name slugname.Service `json:"name"`
	Kind ServiceKind      `json:"kind"`
	// Model is the model of an engine service.
	Model slugname.Model `json:"model,omitempty"`
	// Version is the version of the model's weights.
	Version string `json:"version,omitempty"`
	// Adapters are loaded beside the model.
	Adapters []string `json:"adapters,omitempty"`
	// Replicas are the wanted endpoints per data centre.
	Replicas []Replicas `json:"replicas"`
	// Objectives are the service levels.
	Objectives Objectives `json:"objectives"`
	// Routes are the calls of a plain service. A path takes the longest prefix.
	Routes []Route `json:"routes,omitempty"`
}

// Replicas bounds the endpoints of a service in one data centre.
type Replicas struct {
	DataCentre slugname.DataCentre `json:"dataCentre"`
	Min        int                 `json:"min"`
	Max        int                 `json:"max"`
}

// Objectives are the service levels of a service, in milliseconds.
type Objectives struct {
	FirstTokenMs    int `json:"firstTokenMs,omitempty"`
	BetweenTokensMs int `json:"betweenTokensMs,omitempty"`
	CompletionMs    int `json:"completionMs,omitempty"`
	// Share is the part of requests that must meet the objectives, 0 to 1.
	Share float64 `json:"share"`
}

// Route is one call of a plain service.
type Route struct {
	// Path is the prefix of the request path, beginning with a slash.
	Path string `json:"path"`
	// Methods are the HTTP methods of the route; empty means all.
	Methods []string `json:"methods,omitempty"`
	// Idempotent calls may be sent again after a failure.
	Idempotent bool `json:"idempotent,omitempty"`
	// Open routes need no key.
	Open bool `json:"open,omitempty"`
}

// Class is the urgency of a request.
type Class string

// The classes, from the most urgent to the least.
const (
	ClassInteractive Class = "interactive"
	ClassStandard    Class = "standard"
	ClassBatch       Class = "batch"
)

// Classes lists all classes.
var Classes = []Class{ClassInteractive, ClassStandard, ClassBatch}

// Valid reports whether c is one of the classes.
func (c Class) Valid() bool {
	return c == ClassInteractive || c == ClassStandard || c == ClassBatch
}

// Workspace is a tenant.
type Workspace struct {
	Name slugname.Workspace `json:"name"`
	// Weight is the workspace's part when capacity is short.
	Weight int `json:"weight"`
	// Limits bound the workspace's use over all hosts.
	Limits Limits `json:"limits"`
	// Classes are the classes that callers may ask for; empty means all.
	Classes []Class `json:"classes,omitempty"`
	// Keys authenticate the callers.
	Keys []Key `json:"keys"`
}

// Limits bound a workspace's use over all hosts. Zero means no limit.
type Limits struct {
	RequestsPerSecond int `json:"requestsPerSecond,omitempty"`
	Concurrent        int `json:"concurrent,omitempty"`
}

// Key is the hash of a key; the key itself is never stored.
type Key struct {
	// Label tells keys apart in reports.
	Label string `json:"label"`
	// SHA256 is the hash of the key in lower-case hexadecimal digits.
	SHA256 string `json:"sha256"`
}

// Rule lets one workspace use models and plain services.
type Rule struct {
	Workspace slugname.Workspace `json:"workspace"`
	Models    []slugname.Model   `json:"models,omitempty"`
	Services  []slugname.Service `json:"services,omitempty"`
}

// DataCentre is a place where endpoints can be ordered.
type DataCentre struct {
	Name   slugname.DataCentre `json:"name"`
	Region slugname.Region     `json:"region"`
	// Offers are the kinds of endpoints to be had.
	Offers []Offer `json:"offers"`
}

// Offer is one kind of endpoint that a data centre sells.
type Offer struct {
	Kind ServiceKind `json:"kind"`
	// CentsPerHour is the price of one endpoint.
	CentsPerHour int `json:"centsPerHour"`
	// Cheap endpoints can be reclaimed at any time.
	Cheap bool `json:"cheap,omitempty"`
}

// Budget bounds spending.
type Budget struct {
	// CentsPerHour is the greatest sum of prices at one time; zero means none.
	CentsPerHour int `json:"centsPerHour,omitempty"`
}

// Package slugmanifest defines the manifest, which operators' pipelines generate to
// configure the system: services, workspaces, keys, rules, data centres and the budget.
//
// Decoding rejects unknown fields. Check reports all errors of a manifest at once, each
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
	// Workspaces are the customers.
	Workspaces []Workspace `json:"workspaces"`
	// Rules define which models and plain services a workspace may use.
	Rules []Rule `json:"rules"`
	// DataCentres are the locations where endpoints can be ordered.
	DataCentres []DataCentre `json:"dataCentres"`
	// Budget limits the cost of ordered endpoints.
	Budget Budget `json:"budget"`
}

// ServiceKind is the kind of a service's endpoints.
type ServiceKind string

// The kinds of services.
const (
	// KindEngine is a service whose endpoints run a model.
	KindEngine ServiceKind = "engine"
	// KindPlain is a service whose endpoints answer arbitrary HTTP calls.
	KindPlain ServiceKind = "plain"
)

// Service is a group of endpoints that answer the same calls.
type Service struct {
	Name slugname.Service `json:"name"`
	Kind ServiceKind      `json:"kind"`
	// Model is the model that an engine service runs.
	Model slugname.Model `json:"model,omitempty"`
	// Version is the version of the model's weights.
	Version string `json:"version,omitempty"`
	// Adapters are loaded in addition to the model.
	Adapters []string `json:"adapters,omitempty"`
	// Replicas limit the number of endpoints in each data centre.
	Replicas []Replicas `json:"replicas"`
	// Objectives are the service level objectives.
	Objectives Objectives `json:"objectives"`
	// Routes are the calls of a plain service. A call uses the route with the longest
	// matching path.
	Routes []Route `json:"routes,omitempty"`
}

// Replicas limits the number of endpoints of a service in one data centre.
type Replicas struct {
	DataCentre slugname.DataCentre `json:"dataCentre"`
	Min        int                 `json:"min"`
	Max        int                 `json:"max"`
}

// Objectives are the service level objectives of a service.
type Objectives struct {
	FirstTokenMs    int `json:"firstTokenMs,omitempty"`
	BetweenTokensMs int `json:"betweenTokensMs,omitempty"`
	CompletionMs    int `json:"completionMs,omitempty"`
	// Share is the fraction of requests that must meet the objectives, between 0 and 1.
	Share float64 `json:"share"`
}

// Route is one call of a plain service.
type Route struct {
	// Path is the prefix of the request path, starting with a slash.
	Path string `json:"path"`
	// Methods are the HTTP methods of the route; empty means all.
	Methods []string `json:"methods,omitempty"`
	// Idempotent calls may be retried after a failure.
	Idempotent bool `json:"idempotent,omitempty"`
	// Open routes can be called without a key.
	Open bool `json:"open,omitempty"`
}

// Class is the priority class of a request.
type Class string

// The priority classes, from the highest to the lowest.
const (
	ClassInteractive Class = "interactive"
	ClassStandard    Class = "standard"
	ClassBatch       Class = "batch"
)

// Classes lists all classes in order of priority.
var Classes = []Class{ClassInteractive, ClassStandard, ClassBatch}

// Valid reports whether c is one of the classes.
func (c Class) Valid() bool {
	return c == ClassInteractive || c == ClassStandard || c == ClassBatch
}

// Workspace is a customer.
type Workspace struct {
	Name slugname.Workspace `json:"name"`
	// Weight is the workspace's relative share when capacity is insufficient.
	Weight int `json:"weight"`
	// Limits limit the workspace's usage across all hosts.
	Limits Limits `json:"limits"`
	// Classes are the classes that callers may request; empty means all.
	Classes []Class `json:"classes,omitempty"`
	// Keys authenticate the callers.
	Keys []Key `json:"keys"`
}

// Limits limit the usage of a workspace across all hosts. Zero means no limit.
type Limits struct {
	RequestsPerSecond int `json:"requestsPerSecond,omitempty"`
	Concurrent        int `json:"concurrent,omitempty"`
}

// Key contains the hash of a key. The key itself is never stored.
type Key struct {
	// Label identifies the key in reports.
	Label string `json:"label"`
	// SHA256 is the hash of the key in lower-case hexadecimal digits.
	SHA256 string `json:"sha256"`
}

// Rule allows a workspace to use models and plain services.
type Rule struct {
	Workspace slugname.Workspace `json:"workspace"`
	Models    []slugname.Model   `json:"models,omitempty"`
	Services  []slugname.Service `json:"services,omitempty"`
}

// DataCentre is a location where endpoints can be ordered.
type DataCentre struct {
	Name   slugname.DataCentre `json:"name"`
	Region slugname.Region     `json:"region"`
	// Offers are the kinds of endpoints that can be ordered.
	Offers []Offer `json:"offers"`
}

// Offer is a kind of endpoint that a data centre offers.
type Offer struct {
	Kind ServiceKind `json:"kind"`
	// CentsPerHour is the price of one endpoint per hour.
	CentsPerHour int `json:"centsPerHour"`
	// Cheap endpoints can be reclaimed by the provider at any time.
	Cheap bool `json:"cheap,omitempty"`
}

// Budget limits spending.
type Budget struct {
	// CentsPerHour is the maximum total price of all endpoints at any time; zero means no
	// limit.
	CentsPerHour int `json:"centsPerHour,omitempty"`
}

package slughost

import (
	"context"
	"net/http"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/authority/sluglease"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/fleet/slugregistry"
	"github.com/sassafraslug/sassafraslug/internal/request/slugdispatch"
	"github.com/sassafraslug/sassafraslug/internal/version/slugrouting"
)

// Do performs a request.
type Do func(*http.Request) (*http.Response, error)

// Adapter is how the host speaks with one kind of platform. Its functions translate
// and decide nothing.
type Adapter struct {
	// Store makes the backend of the store at an address.
	Store func(address string, do Do) *slugstore.Backend
	// ConfigName is the object that holds the configuration; DecodeConfig reads it.
	ConfigName   string
	DecodeConfig func([]byte) (*slugrouting.Table, error)
	// EntryPrefix begins the names of endpoints' entries; DecodeEntry reads one.
	EntryPrefix string
	DecodeEntry func(slugstore.Object) (slugregistry.Endpoint, error)
	// Codec translates for endpoints.
	Codec slugdispatch.Codec
	// Handlers makes what answers callers and the platform.
	Handlers func(Ingress) Handlers
	// SetRole orders an endpoint to change its role.
	SetRole func(ctx context.Context, do Do, e slugregistry.Endpoint, r slugplan.Role, by Holder) error
	// OrderEndpoints orders a number of endpoints.
	OrderEndpoints func(ctx context.Context, do Do, address string, o EndpointOrder, by Holder) error
	// ReportUsage reports the requests of an accounting window.
	ReportUsage func(ctx context.Context, do Do, address string, window int64, counts map[slugname.Workspace]uint32, by Holder) error
}

// Holder is the holder of a duty, as endpoints and interfaces are told.
type Holder struct {
	Host  slugname.Host
	Fence sluglease.Fence
}

// EndpointOrder is the number of endpoints that a service is to have in a data centre.
type EndpointOrder struct {
	Service    slugname.Service
	DataCentre slugname.DataCentre
	Count      int
	// Cheap endpoints may be reclaimed. They are counted apart from the others.
	Cheap bool
}

// Ingress is what the handlers need of the host.
type Ingress struct {
	DataCentre slugname.DataCentre
	Serve      func(context.Context, *slugdispatch.Call, http.ResponseWriter) error
	// Addresses returns the hosts for a caller in a data centre, and how long the
	// answer may be kept.
	Addresses func(slugname.DataCentre) ([]string, time.Duration)
	Ready     func() bool
	// Leaving reports whether callers must go elsewhere.
	Leaving      func() bool
	MaxBodyBytes func() int64
}

// Handlers answer callers and the platform.
type Handlers struct {
	Requests http.HandlerFunc
	Lookups  http.HandlerFunc
	Ready    http.HandlerFunc
}

package slughost

import (
	"context"
	"net/http"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/authority/slugcommand"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/fleet/slugcachefeed"
	"github.com/sassafraslug/sassafraslug/internal/fleet/slugregistry"
	"github.com/sassafraslug/sassafraslug/internal/request/slugdispatch"
	"github.com/sassafraslug/sassafraslug/internal/version/slugrouting"
)

// Adapter is how the host speaks with one kind of platform. Its functions translate
// and decide nothing.
type Adapter struct {
	// Store makes the backend of the store at an address.
	Store func(address string, do slugcommand.Do) *slugstore.Backend
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
	// CacheEvents waits for what an engine tells of the prompt parts that it keeps.
	CacheEvents func(ctx context.Context, do slugcommand.Do, address string, since int64, wait time.Duration) (slugcachefeed.Page, error)
	// Commands are what the holder of a duty sends.
	Commands slugcommand.Commands
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

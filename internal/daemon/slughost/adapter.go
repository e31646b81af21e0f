package slughost

import (
	"context"
	"net/http"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/authority/slugcommand"
	"github.com/sassafraslug/sassafraslug/internal/base/slugmemory"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/fleet/slugcachefeed"
	"github.com/sassafraslug/sassafraslug/internal/fleet/slugregistry"
	"github.com/sassafraslug/sassafraslug/internal/request/slugdispatch"
	"github.com/sassafraslug/sassafraslug/internal/version/slugrouting"
)

// Adapter translates between the host and one kind of platform. Its functions convert data
// and contain no policy.
type Adapter struct {
	// Store returns the store backend at an address.
	Store func(address string, do slugcommand.Do) *slugstore.Backend
	// ConfigName is the name of the object with the configuration; DecodeConfig decodes
	// it.
	ConfigName   string
	DecodeConfig func([]byte) (*slugrouting.Table, error)
	// EntryPrefix is the name prefix of the endpoints' registry entries; DecodeEntry
	// decodes one.
	EntryPrefix string
	DecodeEntry func(slugstore.Object) (slugregistry.Endpoint, error)
	// Codec encodes requests to endpoints and decodes their responses.
	Codec slugdispatch.Codec
	// Handlers returns the HTTP handlers for callers and for the platform.
	Handlers func(Ingress) Handlers
	// CacheEvents waits for changes to the prompt parts in an engine's cache that follow the
	// position since. It releases the memory for the response.
	CacheEvents func(ctx context.Context, do slugcommand.Do, hold *slugmemory.Hold, address string, since int64, wait time.Duration) (slugcachefeed.Page, error)
	// Commands are the commands that the holder of a duty sends to the platform and
	// to engines.
	Commands slugcommand.Commands
}

// Ingress holds what the handlers use of the host.
type Ingress struct {
	DataCentre slugname.DataCentre
	Serve      func(context.Context, *slugdispatch.Call, http.ResponseWriter) error
	// Addresses returns the hosts for a caller in a data centre, and how long the caller
	// may cache them.
	Addresses func(slugname.DataCentre) ([]string, time.Duration)
	Ready     func() bool
	// Leaving reports whether the host is shutting down, so that callers must use other
	// hosts.
	Leaving      func() bool
	MaxBodyBytes func() int64
	// Memory is the budget for request bodies.
	Memory *slugmemory.Budget
}

// Handlers are the HTTP handlers for callers and for the platform.
type Handlers struct {
	Requests http.HandlerFunc
	Lookups  http.HandlerFunc
	Ready    http.HandlerFunc
}

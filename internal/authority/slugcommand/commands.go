// Package slugcommand names what the holder of a duty sends to engines and to the
// platform's interfaces. The adapter of a platform provides the functions.
//
// # Usage
//
//	err := commands.SetRole(ctx, do, order, holder)
package slugcommand

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/authority/sluglease"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// Errors of commands.
var (
	// ErrNone says that no endpoints of that kind are to be had now.
	ErrNone = errors.New("no endpoints are available")
	// ErrBusy says that an engine carries out another order, or has accepted others.
	ErrBusy = errors.New("engine is busy with another order")
	// ErrRefused says that the command was refused for good.
	ErrRefused = errors.New("command refused")
)

// Do performs a request.
type Do func(*http.Request) (*http.Response, error)

// Holder is the holder of a duty, as engines and interfaces are told.
type Holder struct {
	Host  slugname.Host
	Fence sluglease.Fence
}

// Channel is what the holder of a duty sends its commands through.
type Channel struct {
	// Host is this process's.
	Host     slugname.Host
	Commands Commands
	// Address is that of the interface for the duty's calls.
	Address string
	// Do sends a command as long as the right lasts.
	Do func(*sluglease.Right) Do
}

// By returns the holder of a right, as engines and interfaces are told.
func (c Channel) By(right *sluglease.Right) Holder { return Holder{c.Host, right.Fence} }

// Report is what an engine says of the orders that it has accepted.
type Report struct {
	Role slugplan.Role
	// Busy tells that an order is being carried out.
	Busy bool
	// Orders is the number of orders accepted since its start.
	Orders int64
}

// RoleOrder tells an engine to change its role.
type RoleOrder struct {
	Endpoint slugname.Endpoint
	Address  string
	Role     slugplan.Role
	// Expected is the number of orders that the engine must have accepted so far, so
	// that an order which comes late has no effect.
	Expected int64
}

// EndpointOrder is the number of endpoints that a service is to have in a data centre.
type EndpointOrder struct {
	Service    slugname.Service
	DataCentre slugname.DataCentre
	Count      int
	// Cheap endpoints may be reclaimed. They are counted apart from the others.
	Cheap bool
}

// Commands are the functions of a platform.
type Commands struct {
	// Report asks an engine.
	Report func(ctx context.Context, do Do, address string) (Report, error)
	// SetRole orders an engine to change its role.
	SetRole func(ctx context.Context, do Do, o RoleOrder, by Holder) error
	// OrderEndpoints orders a number of endpoints from the interface at an address.
	OrderEndpoints func(ctx context.Context, do Do, address string, o EndpointOrder, by Holder) error
	// ReportUsage reports the requests of an accounting window.
	ReportUsage func(ctx context.Context, do Do, address string, window int64, counts map[slugname.Workspace]uint32, by Holder) error
}

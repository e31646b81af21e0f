// Package slugcommand defines the commands that the holder of a duty sends to engines
// and to the platform's APIs. A platform adapter implements them.
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

// Errors returned by commands.
var (
	// ErrNoEndpoints reports that no endpoints of the requested kind are available now.
	ErrNoEndpoints = errors.New("no endpoints are available")
	// ErrBusy reports that an engine is executing another order or has accepted orders
	// that the sender did not expect.
	ErrBusy = errors.New("engine is busy with another order")
	// ErrRefused reports that the command was rejected permanently and must not be
	// retried.
	ErrRefused = errors.New("command refused")
)

// Do sends an HTTP request.
type Do func(*http.Request) (*http.Response, error)

// Holder identifies the holder of a duty to engines and platform APIs.
type Holder struct {
	Host  slugname.Host
	Fence sluglease.Fence
}

// Channel is how the holder of a duty sends commands.
type Channel struct {
	// Host is the host of this process.
	Host     slugname.Host
	Commands Commands
	// Address is the address of the platform API that serves the duty.
	Address string
	// Do returns a function that sends requests while the lease is held.
	Do func(*sluglease.Grant) Do
}

// HolderOf returns the Holder that identifies this process and the fence of its lease.
func (c Channel) HolderOf(grant *sluglease.Grant) Holder { return Holder{c.Host, grant.Fence} }

// OrderStatus is the order status of an engine.
type OrderStatus struct {
	Role slugplan.Role
	// Busy reports whether an order is being executed.
	Busy bool
	// AcceptedOrders is the number of orders that the engine has accepted since it started.
	AcceptedOrders int64
	// Incarnation is the start that the engine stated, 0 if none.
	Incarnation int64
}

// RoleOrder asks an engine to change its role.
type RoleOrder struct {
	Endpoint slugname.Endpoint
	Address  string
	Role     slugplan.Role
	// ExpectedOrders is the number of orders that the engine must have accepted so far. An
	// order that arrives after a later one no longer matches and is rejected.
	ExpectedOrders int64
}

// EndpointOrder sets the number of endpoints of a service in a data centre.
type EndpointOrder struct {
	Service    slugname.Service
	DataCentre slugname.DataCentre
	Count      int
	// Cheap selects endpoints that the platform may reclaim. They are counted separately
	// from regular ones.
	Cheap bool
}

// Commands are the functions that a platform adapter provides.
type Commands struct {
	// OrderStatus reads the order status of an engine.
	OrderStatus func(ctx context.Context, do Do, address string) (OrderStatus, error)
	// SetRole asks an engine to change its role.
	SetRole func(ctx context.Context, do Do, order RoleOrder, by Holder) error
	// OrderEndpoints sets a number of endpoints through the API at address.
	OrderEndpoints func(ctx context.Context, do Do, address string, order EndpointOrder, by Holder) error
	// ReportUsage reports the request counts of an accounting window.
	ReportUsage func(ctx context.Context, do Do, address string, window int64, counts map[slugname.Workspace]uint32, by Holder) error
}

// Package slugnetwork is a host's way to all other hosts: how it listens, dials and
// exchanges messages with peers. Tests put an in-memory network in its place.
//
// # Usage
//
//	n := slugnetwork.New()
//	l, err := n.Listen("tcp", "127.0.0.1:0")
package slugnetwork

import (
	"context"
	"net"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/connection/sluglink"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

// Network is a host's way to all other hosts.
type Network struct {
	// Listen takes connections.
	Listen func(network, address string) (net.Listener, error)
	// Dial opens connections that end when sent bytes stay unacknowledged.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialReset opens connections that drop unsent bytes when they are closed.
	DialReset func(ctx context.Context, network, address string) (net.Conn, error)
	// Peers listens for messages of other processes.
	Peers func(address string, log *slugevent.Log) (slugpeer.Carrier, error)
}

// resetUserTimeout is how long the bytes of an order may stay unacknowledged.
const resetUserTimeout = 2 * time.Second

// New returns the network of the operating system.
func New() *Network {
	return &Network{
		Listen:    net.Listen,
		Dial:      slugsend.NewDialer(slugsend.UserTimeout).DialContext,
		DialReset: slugsend.NewResetDialer(resetUserTimeout).DialContext,
		Peers: func(address string, log *slugevent.Log) (slugpeer.Carrier, error) {
			l, err := sluglink.New(sluglink.Config{Address: address, Log: log})
			if err != nil {
				return slugpeer.Carrier{}, err
			}
			return l.Carrier(), nil
		},
	}
}

// DialWithin returns Dial with a limit of its own. An HTTP client goes on dialling when
// the request that began it has ended.
func (n *Network) DialWithin(limit time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		return n.Dial(ctx, network, address)
	}
}

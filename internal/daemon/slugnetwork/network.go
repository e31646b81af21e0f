// Package slugnetwork provides a host's network functions: listening, dialing and
// exchanging messages with peers. Tests replace it with an in-memory network.
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
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugtransport"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

// Network holds the functions through which a host reaches other hosts.
type Network struct {
	// Listen opens a listener.
	Listen func(network, address string) (net.Listener, error)
	// Dial opens a connection that fails when sent data stays unacknowledged for too long.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialReset opens a connection that discards unsent data when it is closed.
	DialReset func(ctx context.Context, network, address string) (net.Conn, error)
	// Peers opens the transport for messages between processes.
	Peers func(address string, log *slugevent.Log) (slugpeer.Transport, error)
}

// resetUserTimeout is how long data sent over a DialReset connection may stay
// unacknowledged.
const resetUserTimeout = 2 * time.Second

// New returns the Network of the operating system.
func New() *Network {
	return &Network{
		Listen:    net.Listen,
		Dial:      slugsend.NewDialer(slugsend.UserTimeout).DialContext,
		DialReset: slugsend.NewResetDialer(resetUserTimeout).DialContext,
		Peers: func(address string, log *slugevent.Log) (slugpeer.Transport, error) {
			t, err := slugtransport.New(slugtransport.Config{Address: address, Log: log})
			if err != nil {
				return slugpeer.Transport{}, err
			}
			return t.PeerTransport(), nil
		},
	}
}

// DialWithin returns Dial with a timeout. It is meant for HTTP clients, which keep
// dialing after the request that started the dial has ended.
func (n *Network) DialWithin(limit time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		return n.Dial(ctx, network, address)
	}
}

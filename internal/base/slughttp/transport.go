// Package slughttp creates the transports of HTTP clients.
//
// # Usage
//
//	client := &http.Client{Transport: slughttp.NewTransport(network.Dial)}
package slughttp

import (
	"context"
	"net"
	"net/http"

	"github.com/sassafraslug/sassafraslug/internal/base/slugsocket"
)

// maxHeaderBytes limits the size of the headers of a response. net/http allows 10 MB, which
// a faulty server can make a process hold for each of its connections.
const maxHeaderBytes = 64 << 10

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a transport that limits the size of response headers. dial may be nil.
func NewTransport(dial Dial) *http.Transport {
	if dial == nil {
		dial = dialTCP
	}
	return &http.Transport{DialContext: dial, MaxResponseHeaderBytes: maxHeaderBytes}
}

// dialTCP opens a TCP connection.
func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := slugsocket.Dial(ctx, &net.Dialer{}, network, address)
	if err != nil {
		return nil, err
	}
	return c, nil
}

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
)

// maxHeaderBytes limits the size of the headers of a response. net/http allows 10 MB, which
// a faulty server can make a process hold for each of its connections.
const maxHeaderBytes = 64 << 10

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a transport that limits the size of response headers.
func NewTransport(dial Dial) *http.Transport {
	return &http.Transport{DialContext: dial, MaxResponseHeaderBytes: maxHeaderBytes}
}

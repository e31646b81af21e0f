// Package slughttp creates the transports of HTTP clients. They decide what is a response, before
// anything else reads it.
//
// # Usage
//
//	client := &http.Client{Transport: slughttp.NewTransport(network.Dial)}
package slughttp

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugsocket"
)

// maxHeaderBytes limits the size of the headers of a response. net/http allows 10 MB, which
// a faulty server can make a process hold for each of its connections.
const maxHeaderBytes = 64 << 10

// ErrUnrequested means that a response began before its request was written.
var ErrUnrequested = errors.New("response began before the request")

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Transport is an http.Transport that takes nothing for a response but what slugresponse does. A
// malformed response fails the request and ends its connection.
type Transport struct {
	*http.Transport
	dial Dial
}

// NewTransport returns a Transport that limits the size of response headers. dial may be nil.
func NewTransport(dial Dial) *Transport {
	if dial == nil {
		dial = dialTCP
	}
	t := &Transport{dial: dial}
	t.Transport = &http.Transport{DialContext: t.dialPlain, DialTLSContext: t.dialTLS, MaxResponseHeaderBytes: maxHeaderBytes}
	return t
}

// dialPlain opens a connection without TLS.
func (t *Transport) dialPlain(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := t.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// dialTLS opens a connection with TLS, below which heads can't be checked.
func (t *Transport) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := t.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	cfg := t.TLSClientConfig.Clone()
	if cfg == nil {
		cfg = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	if cfg.ServerName == "" {
		if cfg.ServerName, _, err = net.SplitHostPort(address); err != nil {
			return nil, errors.CombineErrors(err, c.Close())
		}
	}
	secured := tls.Client(c, cfg)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, errors.CombineErrors(err, c.Close())
	}
	return &conn{Conn: secured}, nil
}

// dialTCP opens a TCP connection.
func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := slugsocket.Dial(ctx, &net.Dialer{}, network, address)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// exchange is a request that has a connection.
type exchange struct {
	conn     *conn
	response *response
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var latest atomic.Pointer[exchange]
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*conn); ok {
			latest.Store(&exchange{c, c.expectResponse()})
		}
	}})
	resp, err := t.Transport.RoundTrip(r.WithContext(ctx))
	e := latest.Load()
	switch {
	case err != nil && e != nil:
		// The error of net/http may be that of a part of the head.
		return nil, errors.CombineErrors(e.conn.refused(), err)
	case err != nil:
		return nil, err
	case e == nil || !e.conn.headComplete(e.response):
		return nil, errors.CombineErrors(ErrUnrequested, abort(resp, e))
	case len(resp.TransferEncoding) > 0:
		resp.Body = &chunkedBody{ReadCloser: resp.Body, resp: resp, conn: e.conn}
	}
	return resp, nil
}

// abort ends the connection of a response.
func abort(resp *http.Response, e *exchange) error {
	var err error
	if e != nil {
		err = e.conn.Close()
	}
	return errors.CombineErrors(err, resp.Body.Close())
}

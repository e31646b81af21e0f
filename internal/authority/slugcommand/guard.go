package slugcommand

import (
	"context"
	"net"
	"net/http"
)

// Guarded returns a Do whose connections refuse to write once allowed fails. The check
// stands right before the bytes leave: a process that was suspended after it had
// decided to send finds out there. Every command has a connection of its own.
func Guarded(dial func(ctx context.Context, network, address string) (net.Conn, error), allowed func() error) Do {
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return guardedConn{c, allowed}, nil
		},
	}
	return (&http.Client{Transport: transport}).Do
}

// guardedConn checks before each write.
type guardedConn struct {
	net.Conn
	allowed func() error
}

// Write writes if that is still allowed.
func (c guardedConn) Write(b []byte) (int, error) {
	if err := c.allowed(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

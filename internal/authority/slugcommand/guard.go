package slugcommand

import (
	"context"
	"net"
	"net/http"

	"github.com/sassafraslug/sassafraslug/internal/base/slughttp"
)

// Guarded returns a Do whose connections call check before every write; if check fails,
// so does the write. A process that was suspended after it decided to send is thus
// stopped before any bytes leave. Every command uses its own connection.
func Guarded(dial func(ctx context.Context, network, address string) (net.Conn, error), check func() error) Do {
	transport := slughttp.NewTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return guardedConn{c, check}, nil
	})
	transport.DisableKeepAlives = true
	return (&http.Client{Transport: transport}).Do
}

// guardedConn is a connection that calls check before each write.
type guardedConn struct {
	net.Conn
	check func() error
}

// Write writes b unless check fails.
func (c guardedConn) Write(b []byte) (int, error) {
	if err := c.check(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

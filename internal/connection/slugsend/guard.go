package slugsend

import (
	"context"
	"net"
	"sync/atomic"
)

// guardedConn is a connection to an endpoint that asks whether the next request may be written
// right before its first byte is.
type guardedConn struct {
	net.Conn
	// guard is called before the next write, which fails with its error; nil means that none is set.
	guard atomic.Pointer[func() error]
}

// guardDial returns a dial function whose connections are guardedConns.
func guardDial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: c}, nil
	}
}

// setGuard sets the function that is called before the next write on a connection of a Sender.
func setGuard(c net.Conn, f func() error) {
	for {
		switch outer := c.(type) {
		case *guardedConn:
			outer.guard.Store(&f)
			return
		case interface{ NetConn() net.Conn }:
			c = outer.NetConn()
		default:
			panic("connection without a guard")
		}
	}
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	if f := c.guard.Swap(nil); f != nil {
		if err := (*f)(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// NetConn returns the connection below.
func (c *guardedConn) NetConn() net.Conn { return c.Conn }

package slugsend

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugsocket"
	"golang.org/x/sys/unix"
)

// UserTimeout is the default TCP_USER_TIMEOUT: how long sent data may stay
// unacknowledged before the kernel closes the connection.
const UserTimeout = 5 * time.Second

// Dialer opens TCP connections whose reads tell a reset from the end of the connection.
type Dialer struct {
	dialer *net.Dialer
	// resets is set if closing a connection resets it.
	resets bool
}

// NewDialer returns a Dialer that sets TCP_USER_TIMEOUT on its connections, and uses
// the same duration for keep-alive probes. Closing one of its connections discards what the peer has
// not acknowledged: a request that was given up is not delivered when the path or the peer goes on.
func NewDialer(userTimeout time.Duration) *Dialer {
	return &Dialer{dialer: &net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: userTimeout,
		Control: func(_, _ string, c syscall.RawConn) error {
			var optErr error
			err := c.Control(func(fd uintptr) {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optErr
		},
	}}
}

// NewResetDialer returns a Dialer like NewDialer. Closing one of its connections sends a TCP
// reset and discards unsent data, so that the kernel does not deliver it after the close.
func NewResetDialer(userTimeout time.Duration) *Dialer {
	d := NewDialer(userTimeout)
	d.resets = true
	return d
}

// DialContext opens a connection. Its signature suits http.Transport.DialContext.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := slugsocket.Dial(ctx, d.dialer, network, address)
	switch {
	case err != nil:
		return nil, err
	case d.resets:
		return resetConn{c}, nil
	}
	return discardConn{c}, nil
}

// discardConn is a TCP connection whose unacknowledged data are discarded when it is closed.
type discardConn struct{ *slugsocket.Conn }

// Close implements net.Conn.
func (c discardConn) Close() error { return c.Discard() }

// resetConn is a TCP connection that is closed by a reset.
type resetConn struct{ *slugsocket.Conn }

// Close discards unsent data and resets the connection.
func (c resetConn) Close() error { return c.Reset() }

package slugsend

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// UserTimeout is the default TCP_USER_TIMEOUT: how long sent data may stay
// unacknowledged before the kernel closes the connection.
const UserTimeout = 5 * time.Second

// NewDialer returns a dialer that sets TCP_USER_TIMEOUT on its connections, and uses
// the same duration for keep-alive probes.
func NewDialer(userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
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
	}
}

// ResetDialer opens connections whose Close sends a TCP reset and discards unsent
// data, so that the kernel does not deliver it after the close.
type ResetDialer struct {
	dialer *net.Dialer
}

// NewResetDialer returns a ResetDialer whose connections use the given TCP_USER_TIMEOUT.
func NewResetDialer(userTimeout time.Duration) *ResetDialer {
	return &ResetDialer{dialer: NewDialer(userTimeout)}
}

// DialContext opens a connection. Its signature suits http.Transport.DialContext.
func (d *ResetDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		return resetConn{tcp}, nil
	}
	return c, nil
}

// resetConn is a TCP connection that is closed by a reset.
type resetConn struct{ *net.TCPConn }

// Close discards unsent data and resets the connection.
func (c resetConn) Close() error {
	return errors.CombineErrors(c.SetLinger(0), c.TCPConn.Close())
}

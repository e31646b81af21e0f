package slugsend

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// UserTimeout is how long sent bytes may stay unacknowledged before the kernel
// gives a connection up.
const UserTimeout = 5 * time.Second

// NewDialer returns a dialer whose connections end when sent bytes stay
// unacknowledged for the timeout.
func NewDialer(userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: userTimeout,
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}

// ResetDialer opens connections that are reset when they are closed, so that the
// kernel does not deliver their unsent bytes later.
type ResetDialer struct {
	dialer *net.Dialer
}

// NewResetDialer returns a ResetDialer with a bound on unacknowledged bytes.
func NewResetDialer(userTimeout time.Duration) *ResetDialer {
	return &ResetDialer{dialer: NewDialer(userTimeout)}
}

// DialContext opens a connection.
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

// resetConn is reset when it is closed, which drops unsent bytes.
type resetConn struct{ *net.TCPConn }

// Close resets the connection.
func (c resetConn) Close() error {
	return errors.CombineErrors(c.SetLinger(0), c.TCPConn.Close())
}

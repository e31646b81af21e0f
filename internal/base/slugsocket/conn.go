// Package slugsocket distinguishes a TCP connection that the peer has ended from one that was
// reset.
//
// Linux reports the failure of a connection to one call only. If that is a Write, a Read in
// another goroutine returns io.EOF afterwards, as if the peer had ended the connection. A response
// with neither a length nor chunks then looks complete where it was broken off.
//
// # Usage
//
//	conn, err := slugsocket.Dial(ctx, &net.Dialer{}, "tcp", address)
//	_, err = io.ReadAll(conn) // fails unless the peer has ended the connection
package slugsocket

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// stateClosed is the state of a socket whose connection was reset or given up by the kernel. A
// socket whose peer has ended the connection is in another state as long as it is open.
const stateClosed = unix.BPF_TCP_CLOSE

// Conn is a TCP connection whose Read returns io.EOF only after the peer has ended it.
type Conn struct {
	net.Conn
	tcp *net.TCPConn
	// writing is held by Write until it has recorded its error.
	writing sync.Mutex
	// failure is the first error by which the kernel reported that the connection failed.
	failure atomic.Pointer[syscall.Errno]
}

// New returns a Conn for a connection, which must not be read or written otherwise.
func New(c *net.TCPConn) *Conn { return &Conn{Conn: c, tcp: c} }

// Dial opens a connection with a dialer.
func Dial(ctx context.Context, d *net.Dialer, network, address string) (*Conn, error) {
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil, errors.CombineErrors(net.UnknownNetworkError(network), c.Close())
	}
	return New(tcp), nil
}

// Reset closes the connection by a TCP reset and discards unsent data.
func (c *Conn) Reset() error {
	return errors.CombineErrors(c.tcp.SetLinger(0), c.tcp.Close())
}

// Discard closes the connection. If the peer has not acknowledged all that was written, it does so by
// a reset, and the kernel delivers nothing of that any more.
func (c *Conn) Discard() error {
	if n, err := Unacknowledged(c.tcp); err == nil && n > 0 {
		return c.Reset()
	}
	return c.tcp.Close()
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		c.record(err)
		return n, err
	}
	if failure := c.failureAtEnd(); failure != nil {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: *failure}
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	c.record(err)
	return n, err
}

// record records an error by which the kernel reports that the connection failed. EPIPE is not
// one: it is the error of a write after the peer had ended the connection, or after the failure
// was reported.
func (c *Conn) record(err error) {
	var errno syscall.Errno
	if err != nil && errors.As(err, &errno) && errno != syscall.EPIPE {
		c.failure.CompareAndSwap(nil, &errno)
	}
}

// failureAtEnd returns the failure behind an end that was read, or nil if the peer has ended the
// connection. A write that got the failure may not have recorded it yet. It returns at once when
// the socket is closed, and is waited for only then: a peer may end its direction and let a write
// wait.
func (c *Conn) failureAtEnd() *syscall.Errno {
	if c.closed() {
		c.writing.Lock()
		defer c.writing.Unlock()
	}
	return c.failure.Load()
}

// closed reports whether the socket is closed, by a failure or by this process.
func (c *Conn) closed() bool {
	info, err := tcpInfo(c.tcp)
	if errors.Is(err, net.ErrClosed) {
		return true
	}
	return err == nil && info.State == stateClosed
}

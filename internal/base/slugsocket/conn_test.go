package slugsocket

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// message is what a peer sends before its connection ends.
const message = "beginning"

// heldConn is a connection whose Write returns an error only after another call has returned one.
type heldConn struct {
	*net.TCPConn
	// failed is closed when the kernel has returned an error to Write, and ended when it has
	// returned one to Read.
	failed, ended chan struct{}
}

func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if err != nil {
		close(c.ended)
	}
	return n, err
}

func (c *heldConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if err != nil {
		close(c.failed)
		<-c.ended
		// A Read that does not wait for this call returns meanwhile.
		time.Sleep(100 * time.Millisecond)
	}
	return n, err
}

// connect returns a connection to a peer, and the peer's end.
func connect(t *testing.T) (c *Conn, peer *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	c, err = Dial(t.Context(), &net.Dialer{}, "tcp", l.Addr().String())
	assert.NilError(t, err)
	server, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = c.Close()
		_ = server.Close()
	})
	assert.NilError(t, c.SetDeadline(time.Now().Add(30*time.Second)))
	return c, server.(*net.TCPConn)
}

// reset resets a connection and waits until the other end has received that.
func reset(t *testing.T, c *Conn, peer *net.TCPConn) {
	t.Helper()
	assert.NilError(t, peer.SetLinger(0))
	assert.NilError(t, peer.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.closed() {
			return poll.Success()
		}
		return poll.Continue("the connection is not reset")
	}, poll.WithDelay(time.Millisecond))
}

// readMessage reads the message and returns the error that follows it.
func readMessage(t *testing.T, c *Conn) error {
	t.Helper()
	b, err := io.ReadAll(io.LimitReader(c, int64(len(message))))
	assert.NilError(t, err)
	assert.Equal(t, string(b), message)
	n, err := c.Read(make([]byte, 1))
	assert.Equal(t, n, 0)
	return err
}

// TestResetReportedToWriteEndsRead guards against a reset that a Write gets from the kernel, and
// after which a Read returns the end of the connection.
func TestResetReportedToWriteEndsRead(t *testing.T) {
	c, peer := connect(t)
	_, err := io.WriteString(peer, message)
	assert.NilError(t, err)
	reset(t, c, peer)
	_, err = c.Write([]byte("x"))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	assert.Assert(t, errors.Is(readMessage(t, c), syscall.ECONNRESET))
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "a later Read: %v", err)
}

// TestReadOvertakesWriteThatGotReset guards against a Read that returns the end of the connection
// before a Write beside it has recorded the reset.
func TestReadOvertakesWriteThatGotReset(t *testing.T) {
	c, peer := connect(t)
	_, err := io.WriteString(peer, message)
	assert.NilError(t, err)
	reset(t, c, peer)
	held := &heldConn{c.tcp, make(chan struct{}), make(chan struct{})}
	c.Conn = held
	written := make(chan error)
	go func() {
		_, err := c.Write([]byte("x"))
		written <- err
	}()
	<-held.failed
	assert.Assert(t, errors.Is(readMessage(t, c), syscall.ECONNRESET))
	assert.Assert(t, errors.Is(<-written, syscall.ECONNRESET))
}

// TestResetReportedToReadIsForgotten guards against a Read that returns the end of the connection
// after an earlier one got the reset.
func TestResetReportedToReadIsForgotten(t *testing.T) {
	c, peer := connect(t)
	_, err := io.WriteString(peer, message)
	assert.NilError(t, err)
	reset(t, c, peer)
	assert.Assert(t, errors.Is(readMessage(t, c), syscall.ECONNRESET))
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// TestEndWaitsForWrite guards against a Read that waits for a Write beside it although the peer
// has ended its direction, which may let that Write wait for long.
func TestEndWaitsForWrite(t *testing.T) {
	c, peer := connect(t)
	written := make(chan error)
	go func() {
		_, err := c.Write(make([]byte, 64<<20))
		written <- err
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !c.writing.TryLock() {
			return poll.Success()
		}
		c.writing.Unlock()
		return poll.Continue("the write has not begun")
	}, poll.WithDelay(time.Millisecond))
	_, err := io.WriteString(peer, message)
	assert.NilError(t, err)
	assert.NilError(t, peer.CloseWrite())
	assert.Assert(t, errors.Is(readMessage(t, c), io.EOF))
	select {
	case err := <-written:
		t.Fatalf("the write did not wait: %v", err)
	default:
	}
	assert.NilError(t, c.Close())
	assert.Assert(t, errors.Is(<-written, net.ErrClosed))
}

// TestEndIsTakenForReset guards against a message that the peer has ended, and that counts as
// broken off because the peer resets the connection afterwards with bytes unread.
func TestEndIsTakenForReset(t *testing.T) {
	for _, write := range []bool{false, true} {
		c, peer := connect(t)
		_, err := io.WriteString(peer, message)
		assert.NilError(t, err)
		assert.NilError(t, peer.CloseWrite())
		reset(t, c, peer)
		if write {
			_, err = c.Write([]byte("x"))
			assert.Assert(t, errors.Is(err, syscall.EPIPE), "%v", err)
		}
		assert.Assert(t, errors.Is(readMessage(t, c), io.EOF), "after a write: %t", write)
	}
}

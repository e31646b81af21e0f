package slugsend

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugknownfailures"
	"gotest.tools/v3/assert"
)

// connectTo opens a connection with NewDialer to a peer, and returns both ends.
func connectTo(t *testing.T) (c net.Conn, peer *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	c, err = NewDialer(UserTimeout).DialContext(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	server, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = c.Close()
		_ = server.Close()
	})
	return c, server.(*net.TCPConn)
}

// TestBytesAreDeliveredAfterClose guards against a request that was given up, and whose bytes the
// kernel still delivers when the endpoint or the path to it goes on.
func TestBytesAreDeliveredAfterClose(t *testing.T) {
	slugknownfailures.Skip(t)
	c, peer := connectTo(t)
	assert.NilError(t, c.SetWriteDeadline(time.Now().Add(500*time.Millisecond)))
	written, err := io.Copy(c, zeros{})
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	assert.NilError(t, c.Close())
	read, err := io.Copy(io.Discard, peer)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%d of %d bytes arrived, and then %v", read, written, err)
	assert.Assert(t, read < written, "all %d bytes arrived", read)
}

// TestCloseResetsQuietConnection guards against a reset that discards a response which the peer has
// not read, or that looks like a failure to it, although all bytes of this side have arrived.
func TestCloseResetsQuietConnection(t *testing.T) {
	c, peer := connectTo(t)
	_, err := io.WriteString(c, "whole request")
	assert.NilError(t, err)
	b := make([]byte, len("whole request"))
	_, err = io.ReadFull(peer, b)
	assert.NilError(t, err)
	time.Sleep(100 * time.Millisecond)
	assert.NilError(t, c.Close())
	_, err = peer.Read(b)
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
}

// zeros is a reader without end.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

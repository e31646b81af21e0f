package slugtransport

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

const (
	// byteStreamMark is the first byte of a byte stream. Messages begin with a CBOR map, whose
	// first byte is another one.
	byteStreamMark = 0x00
	// abortedCode is the QUIC error code of an aborted stream.
	abortedCode quic.StreamErrorCode = 2
)

// stream is a byte stream on a connection between two processes.
type stream struct {
	*quic.Stream
	conn *quic.Conn
	// ended is set once CloseWrite was called.
	ended atomic.Bool
}

func newStream(conn *quic.Conn, s *quic.Stream) *stream { return &stream{Stream: s, conn: conn} }

// LocalAddr implements net.Conn.
func (s *stream) LocalAddr() net.Addr { return s.conn.LocalAddr() }

// RemoteAddr implements net.Conn.
func (s *stream) RemoteAddr() net.Addr { return s.conn.RemoteAddr() }

// CloseWrite implements slugpeer.Stream. It must not be called during a Write.
func (s *stream) CloseWrite() error {
	s.ended.Store(true)
	return s.Stream.Close()
}

// Close implements net.Conn. Unless CloseWrite was called before, it aborts the stream.
func (s *stream) Close() error {
	s.CancelRead(abortedCode)
	if !s.ended.Load() {
		s.CancelWrite(abortedCode)
	}
	return nil
}

// Abort implements slugpeer.Stream.
func (s *stream) Abort() {
	s.CancelRead(abortedCode)
	s.CancelWrite(abortedCode)
}

// SetStreams sets the function that handles the byte streams of peers. It must be called before
// Serve.
func (t *Transport) SetStreams(f func(slugname.Process, slugpeer.Stream)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.streams = f
}

// serveBytes passes a byte stream to the function that handles it.
func (t *Transport) serveBytes(s *stream, from slugname.Process) {
	t.mu.Lock()
	f := t.streams
	t.mu.Unlock()
	if f == nil {
		s.Abort()
		return
	}
	_ = s.SetDeadline(time.Time{})
	f(from, s)
}

// Open opens a byte stream to a process.
func (t *Transport) Open(ctx context.Context, to slugmember.Record) (slugpeer.Stream, error) {
	c, err := t.connection(ctx, to)
	if err != nil {
		return nil, slugfault.Wrap(err, "connect to peer", to.PeerAddress)
	}
	s, err := c.OpenStreamSync(ctx)
	if err != nil {
		return nil, slugfault.Wrap(err, "open stream to peer", to.PeerAddress)
	}
	if _, err := s.Write([]byte{byteStreamMark}); err != nil {
		return nil, slugfault.Wrap(err, "open stream to peer", to.PeerAddress)
	}
	return newStream(c.Conn, s), nil
}

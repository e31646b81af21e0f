package slugserve

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
)

// listener accepts connections that record what was read and when they were closed.
type listener struct {
	net.Listener
	log *slugevent.Log
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, log: l.log}, nil
}

// connection is an accepted connection.
type connection struct {
	net.Conn
	log *slugevent.Log

	mu sync.Mutex
	// unanswered is set while bytes have been read since the last write.
	unanswered bool
	// readErr is the error of the last failed read.
	readErr error
	// closedAt is when this process closed the connection, zero while it is open.
	closedAt time.Time
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.unanswered = true
	}
	if err != nil && c.closedAt.IsZero() {
		c.readErr = err
	}
	return n, err
}

// Write implements net.Conn.
func (c *connection) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.unanswered = false
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// CloseWrite closes the writing side, if the underlying connection supports it.
func (c *connection) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. It logs the loss of a request unless the peer left first.
func (c *connection) Close() error {
	c.mu.Lock()
	first := c.closedAt.IsZero()
	if first {
		c.closedAt = time.Now()
	}
	peerLeft := c.readErr != nil && !errors.Is(c.readErr, os.ErrDeadlineExceeded)
	lost := first && c.unanswered && !peerLeft
	c.mu.Unlock()
	if lost {
		c.log.Emit(slugevent.ConnectionUnanswered, slugevent.Fields{"caller": c.RemoteAddr().String()})
	}
	return c.Conn.Close()
}

// closedFor returns how long ago this process closed the connection, and false if it is
// open.
func (c *connection) closedFor() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.closedAt), !c.closedAt.IsZero()
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// withConnection implements http.Server.ConnContext.
func withConnection(ctx context.Context, nc net.Conn) context.Context {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	return context.WithValue(ctx, connectionKey{}, nc)
}

// serveHTTP logs requests whose connection is closed before they are handled.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connectionKey{}).(*connection); ok {
		if age, closed := c.closedFor(); closed {
			s.cfg.Log.Emit(slugevent.RequestAfterClose, slugevent.Fields{"caller": r.RemoteAddr, "path": r.URL.Path, "closedMs": age.Milliseconds()})
		}
	}
	s.cfg.Handler.ServeHTTP(w, r)
}

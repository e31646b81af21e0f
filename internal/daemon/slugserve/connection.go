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

// listener accepts connections that the server tracks.
type listener struct {
	net.Listener
	server *Server
	once   sync.Once
}

// Close closes the listener, once.
func (l *listener) Close() error {
	var err error
	l.once.Do(func() { err = l.Listener.Close() })
	return err
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: nc, server: l.server, quietSince: time.Now()}
	if !l.server.track(c) {
		_ = nc.Close()
		return nil, net.ErrClosed
	}
	return c, nil
}

// phase is what a connection is in the middle of.
type phase int

const (
	// phaseNew means that no part of a request was read yet.
	phaseNew phase = iota
	// phaseRequest means that part of a request was read, or that it is being answered.
	phaseRequest
	// phaseIdle means that the last request was answered, and no part of the next one was
	// read.
	phaseIdle
)

// connection is an accepted connection. Reading the first bytes of a request and closing the
// connection as idle exclude each other: either the connection is not idle anymore, or the
// bytes are dropped and the request is never handled.
type connection struct {
	net.Conn
	server *Server

	mu    sync.Mutex
	phase phase
	// quietSince is when the connection was accepted, or when its last request was answered.
	quietSince time.Time
	// http2 is set on HTTP/2 connections, which are told to close instead of being closed
	// as idle.
	http2 bool
	// idleTimer closes the connection at the idle timeout.
	idleTimer *time.Timer
	// unanswered is set while bytes have been read since the last write.
	unanswered bool
	// readErr is the error of the last failed read.
	readErr error
	// closedAt is when this process closed the connection, zero while it is open.
	closedAt time.Time
}

// Read implements net.Conn. It drops what it has read if the connection was closed
// meanwhile.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closedAt.IsZero() {
		if n > 0 {
			c.server.cfg.Log.Emit(slugevent.RequestAfterClose, slugevent.Fields{"caller": c.RemoteAddr().String(), "bytes": n, "closedMs": time.Since(c.closedAt).Milliseconds()})
		}
		return 0, net.ErrClosed
	}
	if err != nil {
		c.readErr = err
	}
	if n > 0 {
		c.unanswered = true
		c.beginRequest()
	}
	return n, err
}

// beginRequest notes that bytes were read; c.mu is held.
func (c *connection) beginRequest() {
	switch {
	case c.phase == phaseNew && c.server.cfg.Certificate != "":
		// The bytes may belong to the TLS handshake.
		c.quietSince = time.Now()
	case c.phase == phaseIdle:
		c.idleTimer.Stop()
		// The deadline holds until net/http has enough bytes to set its own.
		_ = c.SetReadDeadline(time.Now().Add(headerTimeout))
		c.phase = phaseRequest
	default:
		c.phase = phaseRequest
	}
}

// beginHandling reports whether the connection is open, so that a request that was read on
// it may be handled.
func (c *connection) beginHandling() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closedAt.IsZero() {
		return false
	}
	c.phase = phaseRequest
	return true
}

// endRequest makes the connection idle after a response, unless part of the next request was
// read already.
func (c *connection) endRequest() {
	c.mu.Lock()
	if c.unanswered || c.http2 || !c.closedAt.IsZero() {
		c.mu.Unlock()
		return
	}
	c.phase, c.quietSince = phaseIdle, time.Now()
	if c.idleTimer == nil {
		c.idleTimer = time.AfterFunc(idleTimeout, func() { c.closeIdle(idleTimeout) })
	} else {
		c.idleTimer.Reset(idleTimeout)
	}
	c.mu.Unlock()
	if c.server.shuttingDown.Load() {
		c.closeIdle(0)
	}
}

// closeIdle closes the connection if it has been idle for at least the given time. A new
// connection gets newConnectionTimeout for its first request.
func (c *connection) closeIdle(idle time.Duration) {
	c.mu.Lock()
	if c.phase == phaseNew {
		idle = max(idle, newConnectionTimeout)
	}
	if c.phase == phaseRequest || c.http2 || !c.closedAt.IsZero() || time.Since(c.quietSince) < idle {
		c.mu.Unlock()
		return
	}
	c.closedAt = time.Now()
	c.mu.Unlock()
	c.server.forget(c)
	// The peer notices the end of the connection in any case.
	_ = c.Conn.Close()
}

// setHTTP2 notes that the connection speaks HTTP/2.
func (c *connection) setHTTP2() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.http2 = true
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
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
	peerLeft := c.readErr != nil && !errors.Is(c.readErr, os.ErrDeadlineExceeded)
	lost := first && c.unanswered && c.phase == phaseRequest && !c.http2 && !peerLeft
	c.mu.Unlock()
	if lost {
		c.server.cfg.Log.Emit(slugevent.ConnectionUnanswered, slugevent.Fields{"caller": c.RemoteAddr().String()})
	}
	c.server.forget(c)
	return c.Conn.Close()
}

// closedFor returns how long ago this process closed the connection.
func (c *connection) closedFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.closedAt)
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// withConnection implements http.Server.ConnContext.
func withConnection(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, trackedConnection(nc))
}

// trackedConnection returns the connection below a connection of net/http.
func trackedConnection(nc net.Conn) *connection {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	return nc.(*connection)
}

// connectionOf returns the connection of a request, or of an HTTP/2 connection.
func connectionOf(ctx context.Context) *connection {
	return ctx.Value(connectionKey{}).(*connection)
}

// connStateChanged implements http.Server.ConnState.
func connStateChanged(nc net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		trackedConnection(nc).endRequest()
	}
}

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

// Accept waits for the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &connection{Conn: nc, server: l.server, quietSince: time.Now()}
		c.hold = l.server.cfg.HeadMemory.HoldOf(smallHead)
		if l.server.cfg.Certificate != "" {
			c.counter.Opaque()
		}
		room, err := l.server.track(c)
		if err != nil {
			_ = nc.Close()
			return nil, err
		}
		if room {
			return c, nil
		}
		l.server.refuseConnection(c)
	}
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
	// as idle. streams is the number of their requests that are being handled.
	// http2Counted is set while the server counts the connection as one.
	http2, http2Counted bool
	streams             int
	// idleTimer closes the connection at the idle timeout idleFor.
	idleTimer *time.Timer
	idleFor   time.Duration
	// unanswered is set while bytes have been read since the last write.
	unanswered bool
	// readAt is when bytes were last read, readBytes the number of all bytes that were read, and
	// handled that number at the beginning of the last read.
	readAt             time.Time
	readBytes, handled int64
	// readErr is the error of the last failed read, and endNoticed is set once the caller was found
	// to have ended its direction.
	readErr    error
	endNoticed bool
	// closedAt is when this process closed the connection, zero while it is open.
	closedAt time.Time
	intake
	background
}

// Read implements net.Conn. It drops what it has read if the connection was closed
// meanwhile, or if the head that it belongs to is refused.
func (c *connection) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.refusal != nil && !c.handling {
		defer c.mu.Unlock()
		return 0, c.refuse()
	}
	c.handled = c.readBytes
	beside := c.inBackground(p)
	n := 0
	if !beside {
		n = c.takeAhead(p)
	}
	c.mu.Unlock()
	var err error
	switch {
	case beside:
		err = c.readBackground(p)
	case n == 0:
		n, err = c.Conn.Read(p)
	}
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
		c.noteStall(err)
	}
	if n > 0 {
		c.readAt = time.Now()
		c.readBytes += int64(n)
		c.unanswered = true
		c.beginRequest()
		c.take(p[:n])
		if c.refusal != nil && !c.handling {
			return 0, c.refuse()
		}
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
		_ = c.Conn.SetReadDeadline(time.Now().Add(headerTimeout))
		c.phase = phaseRequest
	default:
		c.phase = phaseRequest
	}
}

// beginHandling reports whether the connection is open, so that a request that was read on
// it may be handled, and whether it speaks HTTP/2. interim is set if its caller accepts interim
// responses.
func (c *connection) beginHandling(interim bool) (http2, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closedAt.IsZero() {
		return false, false
	}
	c.phase = phaseRequest
	if c.http2 {
		c.streams++
	} else {
		c.handling = true
		c.interim = interim
	}
	return c.http2, true
}

// endStream notes that a request on an HTTP/2 connection is over.
func (c *connection) endStream() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams--; c.streams == 0 {
		c.quietSince = time.Now()
	}
}

// endRequest makes the connection idle after a response, unless part of the next request was
// read already.
func (c *connection) endRequest() {
	c.mu.Lock()
	if c.http2 || !c.closedAt.IsZero() {
		c.mu.Unlock()
		return
	}
	c.endIntake()
	if c.unanswered || len(c.ahead) > 0 {
		c.mu.Unlock()
		return
	}
	c.phase, c.quietSince = phaseIdle, time.Now()
	c.idleFor = c.server.limits().IdleTimeout
	if c.idleTimer == nil {
		c.idleTimer = time.AfterFunc(c.idleFor, c.closeAtTimeout)
	} else {
		c.idleTimer.Reset(c.idleFor)
	}
	c.mu.Unlock()
	if c.server.shuttingDown.Load() {
		c.closeIdle(0)
	}
}

// closeAtTimeout closes the connection if it has been idle for the idle timeout.
func (c *connection) closeAtTimeout() {
	c.mu.Lock()
	d := c.idleFor
	c.mu.Unlock()
	c.closeIdle(d)
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

// setHTTP2 notes that the connection speaks HTTP/2, and whether it is counted as such.
func (c *connection) setHTTP2(counted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.http2, c.http2Counted = true, counted
	c.counter.Opaque()
	c.hold.Release()
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
	c.abortBackground()
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
	c.hold.Release()
	peerLeft := c.readErr != nil && !errors.Is(c.readErr, os.ErrDeadlineExceeded)
	lost := first && c.unanswered && c.phase == phaseRequest && !c.http2 && !peerLeft
	linger := first && c.lingers
	c.mu.Unlock()
	if linger {
		go c.linger()
		return nil
	}
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

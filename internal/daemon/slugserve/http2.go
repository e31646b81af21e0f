package slugserve

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"golang.org/x/net/http2"
)

const (
	// http2Window is what a caller may send on an HTTP/2 connection before it is read, which is
	// the least that the protocol allows. The default of the library is 1 MiB.
	http2Window = 65535
	// http2Frame and http2Table are the sizes of frames and of the tables for headers, which
	// are the defaults of the protocol. With the window and both in each direction, a connection
	// takes up to 106 KB beside the heads of its requests.
	http2Frame, http2Table = 16 << 10, 4 << 10
	// minHeaderList is the least size of a header list that is allowed, for which HTTP/2 counts
	// 32 bytes for each field beside its name and value.
	minHeaderList = 32 << 10
	// fieldList is what the fields of an ordinary head count beside their names and values.
	fieldList = 8 << 10
)

// http2Servers serves HTTP/2 connections. Connections that begin after a change of the idle
// timeout get another server of the library, which takes the timeout only once.
type http2Servers struct {
	// owner tells all HTTP/2 connections to close when it is shut down, and does nothing else.
	owner   *http.Server
	streams uint32

	mu    sync.Mutex
	idle  time.Duration
	serve map[string]func(*http.Server, *tls.Conn, http.Handler)
}

// configureHTTP2 makes a server speak HTTP/2.
func (s *Server) configureHTTP2() error {
	x := &http2Servers{owner: &http.Server{}, streams: maxStreamsPerConnection}
	if n := s.cfg.Bounds.Streams; n > 0 {
		x.streams = uint32(n)
	}
	if err := x.configure(s.limits().IdleTimeout); err != nil {
		return err
	}
	s.http2 = x.owner
	s.server.TLSNextProto = map[string]func(*http.Server, *tls.Conn, http.Handler){}
	for protocol := range x.serve {
		s.server.TLSNextProto[protocol] = func(_ *http.Server, tc *tls.Conn, h http.Handler) {
			// net/http passes the context of the connection in this way.
			b, ok := h.(interface{ BaseContext() context.Context })
			if ok && !s.beginHTTP2(connectionOf(b.BaseContext())) {
				return // net/http closes the connection.
			}
			limits := s.limits()
			if serve := x.server(protocol, limits.IdleTimeout); serve != nil {
				serve(s.streamServer(limits), tc, h)
			}
		}
	}
	return nil
}

// beginHTTP2 notes that a connection speaks HTTP/2, and reports whether there is room for it.
func (s *Server) beginHTTP2(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.makeRoomHTTP2() {
		s.refused(&s.counts.refusedConnections, slugevent.ConnectionsExhausted, c, tooManyConnections)
		return false
	}
	// A connection that was closed meanwhile is not tracked anymore.
	_, tracked := s.connections[c]
	c.setHTTP2(tracked)
	if tracked {
		s.counts.http2.Add(1)
	}
	return true
}

// streamServer returns the settings of an HTTP/2 connection.
func (s *Server) streamServer(l Limits) *http.Server {
	return &http.Server{
		Handler: s.server.Handler, ConnState: s.server.ConnState, ErrorLog: s.server.ErrorLog, TLSConfig: s.server.TLSConfig,
		MaxHeaderBytes: max(l.HeaderBytes+fieldList, minHeaderList), IdleTimeout: l.IdleTimeout,
	}
}

// server returns the function that serves a connection with the given idle timeout, or nil if
// there is none.
func (x *http2Servers) server(protocol string, idle time.Duration) func(*http.Server, *tls.Conn, http.Handler) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if idle != x.idle {
		// The server before goes on if this fails, which depends on the TLS configuration alone.
		if err := x.configure(idle); err != nil {
			return x.serve[protocol]
		}
	}
	return x.serve[protocol]
}

// configure makes the library serve new connections with the given idle timeout.
func (x *http2Servers) configure(idle time.Duration) error {
	cfg := &http2.Server{
		MaxConcurrentStreams: x.streams, IdleTimeout: idle,
		MaxUploadBufferPerConnection: http2Window, MaxUploadBufferPerStream: http2Window,
		MaxReadFrameSize: http2Frame, MaxDecoderHeaderTableSize: http2Table, MaxEncoderHeaderTableSize: http2Table,
	}
	if err := http2.ConfigureServer(x.owner, cfg); err != nil {
		return err
	}
	x.idle, x.serve = idle, x.owner.TLSNextProto
	x.owner.TLSNextProto = nil
	return nil
}

// Package slugserve implements an HTTP server with size, time and connection limits,
// certificate reloading and graceful shutdown.
//
// It closes idle connections itself. http.Server takes a connection for idle until the
// whole header of the next request was read, so that its Shutdown and SetKeepAlivesEnabled
// close connections whose next request is arriving; that request would be handled without
// a response, or dropped after it was read.
//
// It bounds what callers take of the process, whatever they send: it counts the memory of heads
// before net/http keeps them, bounds connections and requests, and ends connections on which a
// head, a body or a response makes no progress.
//
// # Usage
//
//	s, err := slugserve.New(slugserve.Config{Address: "127.0.0.1:8080", Handler: mux})
//	g.Go(func() error { return s.Serve(ctx) })
//	...
//	err = s.Shutdown(ctx)
package slugserve

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	stdlog "log"
	"maps"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/base/slugmemory"
)

const (
	// headerTimeout is the default of Limits.HeaderTimeout, and the time in which the first byte
	// must arrive on a new connection.
	headerTimeout = 10 * time.Second
	// idleTimeout is the default of Limits.IdleTimeout.
	idleTimeout = 2 * time.Minute
	// maxIdleTimeout is longer than any idle timeout, so that net/http closes no connection that
	// is idle. maxHeadBytes is longer than any head that Limits allow, for the same reason.
	maxIdleTimeout = 365 * 24 * time.Hour
	maxHeadBytes   = 1 << 30
	// newConnectionTimeout is how long a shutdown waits for the first request on a new
	// connection. Callers connect only when they have a request to send.
	newConnectionTimeout = time.Second
	// idleCheckInterval is the time between attempts of a shutdown to close connections
	// that were new.
	idleCheckInterval = 100 * time.Millisecond
	// certificateCheckInterval is the time between checks whether the certificate file has
	// changed.
	certificateCheckInterval = 10 * time.Second
	// maxStreamsPerConnection is the default of Bounds.Streams.
	maxStreamsPerConnection = 100
	// defaultMaxHeaderBytes is the default of Config.MaxHeaderBytes.
	defaultMaxHeaderBytes = 32 << 10
)

// Config configures a Server.
type Config struct {
	Address string
	Handler http.Handler
	// Certificate and Key are PEM files. TLS is disabled if Certificate is empty.
	Certificate string
	Key         string
	// MaxHeaderBytes limits the size of request headers unless Limits does; 0 means the default.
	MaxHeaderBytes int
	// MaxConnections limits the number of open connections, beyond which new ones wait; 0 means
	// no limit.
	MaxConnections int
	// Limits returns the limits that apply now, in which zero means the default; nil means the
	// defaults.
	Limits func() Limits
	// Bounds bound what all callers together take of the process.
	Bounds Bounds
	// HeadMemory is the budget for the heads of requests; nil means no limit.
	HeadMemory *slugmemory.Budget
	Log        *slugevent.Log
	// Listen opens the listener; nil means net.Listen.
	Listen func(network, address string) (net.Listener, error)
}

// Server is an HTTP server on one address.
type Server struct {
	cfg                Config
	listener           net.Listener
	server             *http.Server
	certificate        atomic.Pointer[tls.Certificate]
	certificateModTime time.Time

	// http2 only holds the HTTP/2 connections of server, so that they can be told to close
	// without the shutdown of server.
	http2 *http.Server

	counts counts

	shuttingDown atomic.Bool
	mu           sync.Mutex
	connections  map[*connection]struct{}
	// drained is closed when the server shuts down and has no connection.
	drained chan struct{}
}

// New loads the certificate, if there is one, and opens the listener.
func New(cfg Config) (*Server, error) {
	if cfg.MaxHeaderBytes == 0 {
		cfg.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if cfg.Listen == nil {
		cfg.Listen = net.Listen
	}
	s := &Server{cfg: cfg, connections: map[*connection]struct{}{}, drained: make(chan struct{})}
	if cfg.Certificate != "" {
		if err := s.loadCertificate(); err != nil {
			return nil, slugfault.Wrap(err, "load certificate", cfg.Certificate)
		}
	}
	var err error
	if s.listener, err = cfg.Listen("tcp", cfg.Address); err != nil {
		return nil, slugfault.Wrap(err, "listen", cfg.Address)
	}
	if cfg.MaxConnections > 0 {
		s.listener = newLimitedListener(s.listener, cfg.MaxConnections)
	}
	s.listener = &listener{Listener: s.listener, server: s}
	s.server = s.newHTTPServer()
	if err = s.configureHTTP2(); err != nil {
		return nil, errors.CombineErrors(slugfault.Wrap(err, "configure HTTP/2", cfg.Address), s.listener.Close())
	}
	return s, nil
}

func (s *Server) newHTTPServer() *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           http.HandlerFunc(s.serveHTTP),
		ConnContext:       withConnection,
		ConnState:         connStateChanged,
		ReadHeaderTimeout: headerTimeout,
		// Idle connections are closed by their own timer before this.
		IdleTimeout:    s.maxIdleTimeout(),
		MaxHeaderBytes: s.maxHeadBytes(),
		Protocols:      protocols,
		ErrorLog:       stdlog.New(io.Discard, "", 0),
		TLSConfig: &tls.Config{
			MinVersion: tls.VersionTLS12,
			GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
				return s.certificate.Load(), nil
			},
		},
	}
}

// maxHeadBytes returns the limit of net/http on heads. Heads that TLS hides from the count have
// no other one.
func (s *Server) maxHeadBytes() int {
	if s.cfg.Certificate != "" {
		return s.cfg.MaxHeaderBytes
	}
	return maxHeadBytes
}

// maxIdleTimeout returns the idle timeout of net/http. Where TLS hides what is read, it closes
// connections on which something arrived that is no request.
func (s *Server) maxIdleTimeout() time.Duration {
	if s.cfg.Certificate != "" {
		return idleTimeout + headerTimeout
	}
	return maxIdleTimeout
}

// Address returns the address of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve serves requests until Shutdown or Close is called. Cancelling ctx only stops the
// reloading of the certificate.
func (s *Server) Serve(ctx context.Context) error {
	var err error
	if s.cfg.Certificate != "" {
		go s.watchCertificate(ctx)
		err = s.server.ServeTLS(s.listener, "", "")
	} else {
		err = s.server.Serve(s.listener)
	}
	if errors.Is(err, http.ErrServerClosed) || s.shuttingDown.Load() {
		return nil
	}
	return slugfault.Wrap(err, "serve", s.Address())
}

// serveHTTP passes a request to the handler, unless its connection is closed.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	c := connectionOf(r.Context())
	http2, ok := c.beginHandling(r.ProtoAtLeast(1, 1))
	if !ok {
		s.cfg.Log.Emit(slugevent.RequestAfterClose, slugevent.Fields{"caller": r.RemoteAddr, "path": r.URL.Path, "closedMs": c.closedFor().Milliseconds()})
		panic(http.ErrAbortHandler)
	}
	if http2 {
		defer c.endStream()
	} else if c.refuseHandled(w) {
		return
	}
	end := s.admit(c, w, r)
	if end == nil {
		return
	}
	defer end()
	r = c.withPresence(r)
	tracked := &responseWriter{ResponseWriter: w, shuttingDown: s.shuttingDown.Load}
	defer s.handlePanic(tracked, r)
	if http2 {
		w, r = s.watchStream(c, w, r)
	} else {
		w = tracked
	}
	s.cfg.Handler.ServeHTTP(w, r)
}

// handlePanic logs a panic of the handler and answers the request with 500, without the header that
// the handler has set. If that is not possible anymore, it closes the connection, as
// http.ErrAbortHandler does.
func (s *Server) handlePanic(w *responseWriter, r *http.Request) {
	v := recover()
	if v == nil {
		return
	}
	if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		s.cfg.Log.Emit(slugevent.HandlerPanicked, slugevent.Fields{"path": r.URL.Path, "panic": fmt.Sprint(v), "stack": string(debug.Stack())})
		if r.ProtoMajor == 1 && !w.wroteHeader {
			clear(w.Header())
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
	}
	panic(http.ErrAbortHandler)
}

// Shutdown closes the listener and all idle connections, and waits until the requests on the
// other ones are answered or ctx is cancelled. A request of which any part was read is
// answered.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.beginShutdown()
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		for _, c := range s.openConnections() {
			c.closeIdle(0)
		}
		// An HTTP/2 connection that was in its handshake at the last attempt is told now.
		err = errors.CombineErrors(err, s.http2.Shutdown(context.Background()))
		select {
		case <-s.drained:
			return errors.CombineErrors(err, slugfault.Wrap(s.server.Close(), "shut down server", s.Address()))
		case <-ctx.Done():
			return slugfault.Wrap(ctx.Err(), "shut down server", s.Address())
		case <-ticker.C:
		}
	}
}

// ShutdownWithin shuts the server down like Shutdown, and closes what is left after d.
func (s *Server) ShutdownWithin(ctx context.Context, d time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	err := s.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return s.Close()
	}
	return err
}

// beginShutdown closes the listener and tells HTTP/2 callers to open no more streams.
func (s *Server) beginShutdown() error {
	s.mu.Lock()
	begun := s.shuttingDown.Swap(true)
	if !begun && len(s.connections) == 0 {
		close(s.drained)
	}
	s.mu.Unlock()
	if begun {
		return nil
	}
	err := s.listener.Close()
	// The server holds no listener and no connection, so this only sends GOAWAY.
	return errors.CombineErrors(err, s.http2.Shutdown(context.Background()))
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() error {
	return errors.CombineErrors(s.beginShutdown(), s.server.Close())
}

// track registers an accepted connection. It reports whether there is room for it, and fails if
// the server is shutting down.
func (s *Server) track(c *connection) (room bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shuttingDown.Load() {
		return false, net.ErrClosed
	}
	if !s.makeRoom() {
		return false, nil
	}
	s.connections[c] = struct{}{}
	return true, nil
}

// forget removes a closed connection.
func (s *Server) forget(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.connections[c]; !ok {
		return
	}
	s.remove(c)
	if s.shuttingDown.Load() && len(s.connections) == 0 {
		close(s.drained)
	}
}

// remove stops tracking a connection; s.mu is held.
func (s *Server) remove(c *connection) {
	delete(s.connections, c)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.http2Counted {
		c.http2Counted = false
		s.counts.http2.Add(-1)
	}
}

func (s *Server) openConnections() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.connections))
}

func (s *Server) loadCertificate() error {
	info, err := os.Stat(s.cfg.Certificate)
	if err != nil {
		return err
	}
	c, err := tls.LoadX509KeyPair(s.cfg.Certificate, s.cfg.Key)
	if err != nil {
		return err
	}
	s.certificate.Store(&c)
	s.certificateModTime = info.ModTime()
	return nil
}

// watchCertificate reloads the certificate when its file changes. It keeps the current
// certificate if the new one cannot be loaded.
func (s *Server) watchCertificate(ctx context.Context) {
	for slugbackoff.Sleep(ctx, certificateCheckInterval) == nil {
		info, err := os.Stat(s.cfg.Certificate)
		if err == nil && info.ModTime().Equal(s.certificateModTime) {
			continue
		}
		if err == nil {
			err = s.loadCertificate()
		}
		if err != nil {
			s.cfg.Log.Error(slugevent.CertificateUnusable, err, slugevent.Fields{"file": s.cfg.Certificate})
			continue
		}
		s.cfg.Log.Emit(slugevent.CertificateReloaded, slugevent.Fields{"file": s.cfg.Certificate})
	}
}

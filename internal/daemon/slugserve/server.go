// Package slugserve implements an HTTP server with size, time and connection limits,
// certificate reloading and graceful shutdown.
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
	"io"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"golang.org/x/net/netutil"
)

const (
	// headerTimeout limits the time to receive the headers of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 2 * time.Minute
	// certificateCheckInterval is the time between checks whether the certificate file has
	// changed.
	certificateCheckInterval = 10 * time.Second
	// maxStreamsPerConnection limits the concurrent requests on an HTTP/2 connection.
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
	// MaxHeaderBytes limits the size of request headers; 0 means the default.
	MaxHeaderBytes int
	// MaxConnections limits the number of open connections; 0 means no limit.
	MaxConnections int
	Log            *slugevent.Log
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
}

// New loads the certificate, if there is one, and opens the listener.
func New(cfg Config) (*Server, error) {
	if cfg.MaxHeaderBytes == 0 {
		cfg.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if cfg.Listen == nil {
		cfg.Listen = net.Listen
	}
	s := &Server{cfg: cfg}
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
		s.listener = netutil.LimitListener(s.listener, cfg.MaxConnections)
	}
	s.listener = &listener{s.listener, cfg.Log}
	s.server = s.newHTTPServer()
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
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.cfg.MaxHeaderBytes,
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreamsPerConnection},
		ErrorLog:          stdlog.New(io.Discard, "", 0),
		TLSConfig: &tls.Config{
			MinVersion: tls.VersionTLS12,
			GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
				return s.certificate.Load(), nil
			},
		},
	}
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
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return slugfault.Wrap(err, "serve", s.Address())
}

// DisableKeepAlives makes clients open new connections for further requests.
func (s *Server) DisableKeepAlives() { s.server.SetKeepAlivesEnabled(false) }

// Shutdown closes the listener and waits until all running requests have finished or ctx
// is cancelled.
func (s *Server) Shutdown(ctx context.Context) error {
	return slugfault.Wrap(s.server.Shutdown(ctx), "shut down server", s.Address())
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() error { return s.server.Close() }

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

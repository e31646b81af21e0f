// Package slugserve serves HTTP with limits, reloads its certificate, and ends
// without cutting a request.
//
// # Usage
//
//	s, err := slugserve.New(slugserve.Config{Address: "127.0.0.1:8080", Handler: mux})
//	g.Go(func() error { return s.Serve(ctx) })
//	...
//	err = s.Finish(ctx)
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
	// headerTimeout bounds the time to receive the headers of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout ends connections without requests.
	idleTimeout = 2 * time.Minute
	// certificateCheckInterval is the time between looks at the certificate's files.
	certificateCheckInterval = 10 * time.Second
	// maxStreamsPerConnection bounds the requests of one HTTP/2 connection.
	maxStreamsPerConnection = 100
	// defaultMaxHeaderBytes bounds the headers of a request.
	defaultMaxHeaderBytes = 32 << 10
)

// Config makes a Server.
type Config struct {
	Address string
	Handler http.Handler
	// Certificate and Key are files in PEM; empty means no TLS.
	Certificate string
	Key         string
	// MaxHeaderBytes bounds the headers of a request.
	MaxHeaderBytes int
	// MaxConnections bounds the open connections; 0 means no bound.
	MaxConnections int
	Log            *slugevent.Log
	// Listen opens the listener; nil means net.Listen.
	Listen func(network, address string) (net.Listener, error)
}

// Server serves HTTP on one address.
type Server struct {
	cfg                Config
	listener           net.Listener
	server             *http.Server
	certificate        atomic.Pointer[tls.Certificate]
	certificateModTime time.Time
}

// New listens on the address.
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
	s.server = s.newHTTPServer()
	return s, nil
}

func (s *Server) newHTTPServer() *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           s.cfg.Handler,
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

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve serves until Finish or Close is called. The context ends the reloading of
// the certificate only.
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

// DisableKeepAlives makes callers open no more requests on present connections.
func (s *Server) DisableKeepAlives() { s.server.SetKeepAlivesEnabled(false) }

// Shutdown closes the listener and waits until all requests have ended.
func (s *Server) Shutdown(ctx context.Context) error {
	return slugfault.Wrap(s.server.Shutdown(ctx), "finish requests", s.Address())
}

// Close ends all connections at once.
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

// watchCertificate loads the certificate again when its file has changed.
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

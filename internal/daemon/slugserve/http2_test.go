package slugserve

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// writeCertificate writes a self-signed certificate and its key.
func writeCertificate(t *testing.T) (certificate, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(private)
	assert.NilError(t, err)
	dir := t.TempDir()
	write := func(name, kind string, bytes []byte) string {
		file := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: bytes}), 0o600))
		return file
	}
	return write("cert.pem", "CERTIFICATE", der), write("key.pem", "EC PRIVATE KEY", keyDER)
}

// TestHTTP2ShutdownIsGraceful guards against HTTP/2 callers that are not told of a shutdown,
// and against streams that are cut by it.
func TestHTTP2ShutdownIsGraceful(t *testing.T) {
	for _, encrypted := range []bool{false, true} {
		name, scheme := "unencrypted", "http://"
		cfg := Config{Address: "127.0.0.1:0", Log: slugevent.New(io.Discard, logrus.InfoLevel, "test")}
		if encrypted {
			name, scheme = "TLS", "https://"
			cfg.Certificate, cfg.Key = writeCertificate(t)
		}
		t.Run(name, func(t *testing.T) {
			started, release := make(chan struct{}), make(chan struct{})
			cfg.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				assert.Check(t, r.ProtoMajor == 2, "protocol %s", r.Proto)
				if r.URL.Path == "/slow" {
					close(started)
					<-release
				}
				_, _ = io.WriteString(w, "ok")
			})
			s, err := New(cfg)
			assert.NilError(t, err)
			served := make(chan error, 1)
			go func() { served <- s.Serve(t.Context()) }()
			get := newHTTP2Caller(scheme + s.Address())
			_, err = get("/quick")
			assert.NilError(t, err)
			_, err = newHTTP2Caller(scheme + s.Address())("/idle")
			assert.NilError(t, err)
			slow := make(chan error, 1)
			go func() {
				body, err := get("/slow")
				assert.Check(t, err != nil || body == "ok")
				slow <- err
			}()
			<-started
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			down := make(chan error, 1)
			go func() { down <- s.Shutdown(ctx) }()
			// Callers that were told of the shutdown open a new connection, which is refused.
			for err == nil && ctx.Err() == nil {
				time.Sleep(time.Millisecond)
				_, err = get("/quick")
			}
			assert.ErrorContains(t, err, "connection refused")
			close(release)
			assert.NilError(t, <-slow)
			assert.NilError(t, <-down)
			assert.NilError(t, <-served)
		})
	}
}

// newHTTP2Caller returns a function that gets a path of a server over one connection.
func newHTTP2Caller(base string) func(path string) (string, error) {
	protocols := &http.Protocols{}
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	return func(path string) (string, error) {
		resp, err := client.Get(base + path)
		if err != nil {
			return "", err
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		return string(body), err
	}
}

// pausedConn sends the first bytes, and the rest after release is closed.
type pausedConn struct {
	net.Conn
	begun   bool
	paused  chan struct{}
	release chan struct{}
}

func (c *pausedConn) Write(p []byte) (int, error) {
	if c.begun {
		return c.Conn.Write(p)
	}
	c.begun = true
	const first = 10
	if _, err := c.Conn.Write(p[:first]); err != nil {
		return 0, err
	}
	close(c.paused)
	<-c.release
	n, err := c.Conn.Write(p[first:])
	return first + n, err
}

// A connection whose preface arrives while the server shuts down is not told to close, so that
// the shutdown waits for its requests until the end.
func TestHTTP2ConnectionBegunBesideShutdownIsToldToClose(t *testing.T) {
	s, err := New(Config{Address: "127.0.0.1:0", Log: slugevent.Discard(), Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(t.Context()) }()
	conn := &pausedConn{paused: make(chan struct{}), release: make(chan struct{})}
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	var dialled atomic.Int32
	transport := &http.Transport{Protocols: protocols, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		if dialled.Add(1) > 1 {
			return nil, net.ErrClosed
		}
		nc, err := (&net.Dialer{}).DialContext(ctx, network, address)
		conn.Conn = nc
		return conn, err
	}}
	defer transport.CloseIdleConnections()
	ended := make(chan int, 1)
	go func() {
		n := 0
		for ; n < 100; n++ {
			resp, err := (&http.Client{Transport: transport}).Get("http://" + s.Address() + "/x")
			if err != nil {
				break
			}
			_ = resp.Body.Close()
			time.Sleep(50 * time.Millisecond)
		}
		ended <- n
	}()
	<-conn.paused
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	down := make(chan error, 1)
	go func() { down <- s.Shutdown(ctx) }()
	for !s.shuttingDown.Load() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	close(conn.release)
	assert.NilError(t, <-down, "the connection was not told to close")
	assert.Assert(t, <-ended < 100)
	assert.NilError(t, <-served)
}

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

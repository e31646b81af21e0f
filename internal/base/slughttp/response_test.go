package slughttp

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugresponse"
	"gotest.tools/v3/assert"
)

// serve returns a client and a server that writes the result of respond to each request.
func serve(t *testing.T, respond func(n int64) string) (client *http.Client, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				for in := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if _, err := io.WriteString(c, respond(requests.Add(1))); err != nil {
						return
					}
				}
			}()
		}
	}()
	transport := NewTransport(func(ctx context.Context, _, _ string) (net.Conn, error) {
		return dialTCP(ctx, "tcp", l.Addr().String())
	})
	client = &http.Client{Transport: transport, Timeout: 20 * time.Second}
	t.Cleanup(client.CloseIdleConnections)
	return client, requests
}

// get sends a request and returns the body of the response.
func get(client *http.Client) (string, error) {
	resp, err := client.Get("http://a/")
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// TestMalformedHeadRepeatsRequest guards against a malformed head after which net/http sends a
// request again by itself, since the connection has served another one before.
func TestMalformedHeadRepeatsRequest(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, malformed := range []string{"HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n", "\x00\x01", "\n"} {
		client, requests := serve(t, func(n int64) string {
			if n == 2 {
				return malformed
			}
			return sound
		})
		body, err := get(client)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
		_, err = get(client)
		assert.Assert(t, errors.Is(err, slugresponse.ErrMalformed), "%q: %v", malformed, err)
		assert.Equal(t, requests.Load(), int64(2), "%q", malformed)
		body, err = get(client)
		assert.NilError(t, err, "the next connection")
		assert.Equal(t, body, "ok")
	}
}

// TestBytesBeforeRequestAreItsHead guards against a head that was read before its request had the
// connection, and that is taken for the head of the response.
func TestBytesBeforeRequestAreItsHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	for _, early := range []bool{false, true} {
		client, server := net.Pipe()
		c := &conn{Conn: client}
		var r *response
		if !early {
			r = c.expectResponse()
		}
		go func() { _, _ = io.WriteString(server, head) }()
		_, err := io.ReadFull(c, make([]byte, len(head)))
		assert.NilError(t, err)
		if early {
			r = c.expectResponse()
		}
		assert.Equal(t, c.headComplete(r), !early)
		assert.NilError(t, c.Close())
	}
}

// TestResponseWithoutBodyIsRefused guards against a response without a body that is refused because
// the next request has got its connection before the head is looked at.
func TestResponseWithoutBodyIsRefused(t *testing.T) {
	client, requests := serve(t, func(int64) string { return "HTTP/1.1 204 No Content\r\n\r\n" })
	const callers, each = 16, 250
	failures := make(chan error, callers*each)
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for range each {
				if _, err := get(client); err != nil {
					failures <- err
				}
			}
		})
	}
	running.Wait()
	if n := len(failures); n > 0 {
		t.Fatalf("%d of %d requests failed, the first with: %v", n, callers*each, <-failures)
	}
	assert.Equal(t, requests.Load(), int64(callers*each))
}

// TestResponseAnswersNextRequest guards against a response that arrives after its request was given
// another one, and that is taken for the response to the next request.
func TestResponseAnswersNextRequest(t *testing.T) {
	const head = "HTTP/1.1 204 x\r\n\r\n"
	client, server := net.Pipe()
	defer func() { _ = client.Close() }()
	c := &conn{Conn: client}
	go func() { _, _ = io.WriteString(server, head+head) }()
	_, err := io.ReadFull(c, make([]byte, len(head)))
	assert.NilError(t, err)
	first := c.expectResponse()
	next := c.expectResponse()
	n, err := c.Read(make([]byte, len(head)))
	assert.NilError(t, err)
	assert.Equal(t, n, 1, "net/http sends the request again")
	_, err = c.Read(make([]byte, len(head)))
	assert.Assert(t, errors.Is(err, ErrUnrequested), "%v", err)
	assert.Assert(t, !c.headComplete(first) && !c.headComplete(next))
}

// TestResponseOverTLS guards against responses of an https server that are refused, or that are not
// checked.
func TestResponseOverTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/sound" {
			_, _ = io.WriteString(w, "ok")
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if !assert.Check(t, err) {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n")
		_ = c.Close()
	}))
	defer server.Close()
	transport := NewTransport(nil)
	_, err := (&http.Client{Transport: transport}).Get(server.URL + "/sound")
	var unknown x509.UnknownAuthorityError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	transport.TLSClientConfig = &tls.Config{RootCAs: roots}
	client := &http.Client{Transport: transport}
	for range 2 {
		resp, err := client.Get(server.URL + "/sound")
		assert.NilError(t, err)
		b, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(b), "ok")
		assert.NilError(t, resp.Body.Close())
	}
	_, err = client.Get(server.URL + "/malformed")
	assert.ErrorIs(t, err, slugresponse.ErrMalformed)
}

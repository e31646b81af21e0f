package slugsend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugresponse"
	"gotest.tools/v3/assert"
)

// newClosingServer starts a server that answers GET requests. It counts all other
// requests as executed and closes their connection without an answer.
func newClosingServer(t *testing.T) (address string, executed *atomic.Int64) {
	t.Helper()
	executed = &atomic.Int64{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	answered := &atomic.Int64{}
	s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodGet {
			answered.Add(1)
			return
		}
		executed.Add(1)
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = c.Close()
		}
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String(), executed
}

// Guards against executing an unrepeatable request twice: net/http by itself resends a
// request with an Idempotency-Key header if a reused connection fails.
func TestSendDoesNotRepeatUnrepeatableRequest(t *testing.T) {
	for _, body := range []string{"", "{}"} {
		address, executed := newClosingServer(t)
		s := New(Config{})
		resp, _, err := s.Send(t.Context(), Request{Method: http.MethodGet, URL: "http://" + address + "/", Repeatable: true})
		assert.NilError(t, err)
		_ = resp.Body.Close()
		_, sent, err := s.Send(t.Context(), Request{
			Method: http.MethodPost, URL: "http://" + address + "/", Body: []byte(body),
			Header: http.Header{"Idempotency-Key": {"k"}},
		})
		assert.Assert(t, err != nil)
		assert.Assert(t, sent)
		assert.Equal(t, executed.Load(), int64(1))
	}
}

// Guards against reporting a request as possibly sent although no connection was opened.
func TestSendReportsUnsentWhenDialFails(t *testing.T) {
	s := New(Config{Dial: func(context.Context, string, string) (net.Conn, error) { return nil, io.ErrUnexpectedEOF }})
	_, sent, err := s.Send(t.Context(), Request{Method: http.MethodPost, URL: "http://127.0.0.1:1/"})
	assert.ErrorContains(t, err, "send request (127.0.0.1:1)")
	assert.Assert(t, !sent)
}

// Guards against an earlier refusal that arrives on a reused connection and is taken for
// the refusal of the request just sent.
func TestOldRefusalOnReusedConnection(t *testing.T) {
	for _, tt := range []struct {
		name          string
		ids           []string
		fresh, reused Refusal
	}{
		{"its own ID", []string{"own"}, CertainRefusal, CertainRefusal},
		{"no ID", nil, CertainRefusal, DoubtfulRefusal},
		{"another ID", []string{"other"}, DoubtfulRefusal, DoubtfulRefusal},
		{"two IDs", []string{"own", "other"}, DoubtfulRefusal, DoubtfulRefusal},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(NotRunHeader, "1")
				w.Header()[RequestIDHeader] = tt.ids
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			defer s.Close()
			sender := New(Config{})
			defer sender.CloseIdle()
			for i, want := range []Refusal{tt.fresh, tt.reused} {
				e, err := sender.Open(t.Context(), Request{Method: http.MethodGet, URL: s.URL, Repeatable: true})
				assert.NilError(t, err)
				assert.Equal(t, e.Reused, i > 0)
				assert.Equal(t, e.Refusal("own"), want)
				_ = e.Response.Body.Close()
			}
		})
	}
}

// TestSendReturnsMalformedResponse guards against a response that is none and that callers of gates
// and hosts get, and against one that says that its request was not sent.
func TestSendReturnsMalformedResponse(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		requests := &atomic.Int64{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			requests.Add(1)
			c, _, err := http.NewResponseController(w).Hijack()
			if !assert.Check(t, err) {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n")
			_ = c.Close()
		}))
		resp, sent, err := New(Config{}).Send(t.Context(), Request{Method: http.MethodPost, URL: server.URL, Repeatable: repeatable})
		server.Close()
		assert.ErrorIs(t, err, slugresponse.ErrMalformed)
		assert.Assert(t, resp == nil && sent)
		assert.Equal(t, requests.Load(), int64(1))
	}
}

package slugserve

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// pipeListener accepts the server ends of connections in memory.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddr{} }

type pipeAddr struct{}

func (pipeAddr) Network() string { return "pipe" }
func (pipeAddr) String() string  { return "pipe" }

// connect opens a connection. wrap replaces its server end unless it is nil.
func (l *pipeListener) connect(wrap func(net.Conn) net.Conn) (net.Conn, error) {
	client, server := net.Pipe()
	if wrap != nil {
		server = wrap(server)
	}
	select {
	case l.accepted <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// testServer is a running Server on connections in memory.
type testServer struct {
	*Server
	t        *testing.T
	listener *pipeListener
	log      *strings.Builder
	served   chan error
	// handled is the number of requests whose body the handler has read.
	handled atomic.Int32
}

// startServer starts a server within a synctest bubble. Its handler reads the body and calls
// respond, or writes "ok" if that is nil.
func startServer(t *testing.T, respond http.HandlerFunc) *testServer {
	t.Helper()
	return startServerWith(t, Config{}, respond)
}

// startServerWith does the same with limits.
func startServerWith(t *testing.T, cfg Config, respond http.HandlerFunc) *testServer {
	t.Helper()
	s := &testServer{t: t, listener: newPipeListener(), log: &strings.Builder{}, served: make(chan error, 1)}
	handler := func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		s.handled.Add(1)
		if respond != nil {
			respond(w, r)
			return
		}
		_, _ = io.WriteString(w, "ok")
	}
	var err error
	cfg.Handler, cfg.Log = http.HandlerFunc(handler), slugevent.New(s.log, logrus.InfoLevel, "test")
	cfg.Listen = func(string, string) (net.Listener, error) { return s.listener, nil }
	s.Server, err = New(cfg)
	assert.NilError(t, err)
	go func() { s.served <- s.Serve(t.Context()) }()
	t.Cleanup(func() {
		_ = s.Close()
		assert.NilError(t, <-s.served)
	})
	return s
}

// caller is the client end of a connection.
type caller struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func (s *testServer) connect(wrap func(net.Conn) net.Conn) *caller {
	s.t.Helper()
	c, err := s.listener.connect(wrap)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	return &caller{c, s.t, bufio.NewReader(c)}
}

// send writes bytes, and fails the test if the server does not read them.
func (c *caller) send(text string) {
	c.t.Helper()
	assert.NilError(c.t, c.SetWriteDeadline(time.Now().Add(time.Second)))
	_, err := io.WriteString(c, text)
	assert.NilError(c.t, err)
}

// answer reads a response with its body, within a minute.
func (c *caller) answer() (*http.Response, error) {
	_ = c.SetReadDeadline(time.Now().Add(time.Minute))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.ReadAll(resp.Body)
	return resp, err
}

// exchange sends a request and requires a response that keeps the connection open.
func (c *caller) exchange() {
	c.t.Helper()
	c.send(wholeRequest)
	resp, err := c.answer()
	assert.NilError(c.t, err)
	assert.Equal(c.t, resp.StatusCode, http.StatusOK)
	assert.Assert(c.t, !resp.Close)
	synctest.Wait()
}

const wholeRequest = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"

// requireAnswer requires a complete response that ends the connection.
func (c *caller) requireAnswer() {
	c.t.Helper()
	resp, err := c.answer()
	assert.NilError(c.t, err, "the request got no response")
	assert.Equal(c.t, resp.StatusCode, http.StatusOK)
	assert.Assert(c.t, resp.Close, "the response must announce that the connection closes")
}

// requireClosed requires that the connection ends without a byte within d.
func (c *caller) requireClosed(d time.Duration) {
	c.t.Helper()
	// The deadline of a pipe can't be set once its other end is closed.
	_ = c.SetReadDeadline(time.Now().Add(d))
	rest, err := io.ReadAll(c.r)
	assert.NilError(c.t, err)
	assert.Equal(c.t, string(rest), "")
}

// shutDown starts a shutdown with a grace period and returns its result.
func (s *testServer) shutDown(grace time.Duration) <-chan error {
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(s.t.Context(), grace)
		defer cancel()
		done <- s.Shutdown(ctx)
	}()
	synctest.Wait()
	return done
}

// lateConn delivers the bytes of a read only once the connection is closed, after armed is
// set.
type lateConn struct {
	net.Conn
	armed  atomic.Bool
	closed chan struct{}
	once   sync.Once
}

func (c *lateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.armed.Load() {
		<-c.closed
	}
	return n, err
}

func (c *lateConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// TestRequestReadAsConnectionClosesIsNotHandled guards against requests that are passed on
// although their connection was closed as idle while they were being read.
func TestRequestReadAsConnectionClosesIsNotHandled(t *testing.T) {
	for name, closeIdle := range map[string]func(*testServer) <-chan error{
		"shutdown": func(s *testServer) <-chan error { return s.shutDown(time.Second) },
		"idle timeout": func(s *testServer) <-chan error {
			time.Sleep(idleTimeout + headerTimeout + time.Second)
			return s.shutDown(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startServer(t, nil)
				conn := &lateConn{closed: make(chan struct{})}
				c := s.connect(func(server net.Conn) net.Conn {
					conn.Conn = server
					return conn
				})
				c.exchange()
				conn.armed.Store(true)
				c.send(wholeRequest)
				done := closeIdle(s)
				assert.NilError(t, <-done)
				assert.Equal(t, s.handled.Load(), int32(1), "a request was handled on a closed connection")
				assert.Assert(t, strings.Contains(s.log.String(), fmt.Sprintf(`"event":%d`, slugevent.RequestAfterClose)))
				c.requireClosed(time.Second)
			})
		})
	}
}

// TestPartlyReadRequestIsAnsweredAtShutdown guards against requests that are lost because
// their header was read only in part when the shutdown began.
func TestPartlyReadRequestIsAnsweredAtShutdown(t *testing.T) {
	const body = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
	for name, part := range map[string]int{"first byte": 1, "half of the header": 20, "half of the body": len(body) - 2} {
		for _, kept := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, kept %t", name, kept), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := startServer(t, nil)
					c := s.connect(nil)
					if kept {
						c.exchange()
					}
					c.send(body[:part])
					done := s.shutDown(10 * time.Second)
					time.Sleep(3 * time.Second)
					c.send(body[part:])
					c.requireAnswer()
					assert.NilError(t, <-done)
				})
			})
		}
	}
}

// TestIdleTimeoutSparesPartlyReadRequest guards against a request that is lost because its
// connection reaches the idle timeout while it arrives.
func TestIdleTimeoutSparesPartlyReadRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t, nil)
		c := s.connect(nil)
		c.exchange()
		time.Sleep(idleTimeout - time.Second)
		c.send(wholeRequest[:1])
		time.Sleep(2 * time.Second)
		c.send(wholeRequest[1:])
		resp, err := c.answer()
		assert.NilError(t, err, "the request got no response")
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		synctest.Wait()
		time.Sleep(idleTimeout + time.Second)
		c.requireClosed(time.Second)
	})
}

// TestSlowRequestsDoNotKeepConnections guards against connections that stay open forever
// because part of a request was read.
func TestSlowRequestsDoNotKeepConnections(t *testing.T) {
	for _, kept := range []bool{true, false} {
		for _, part := range []int{0, 1, 20} {
			t.Run(fmt.Sprintf("kept %t, %d bytes", kept, part), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := startServer(t, nil)
					c := s.connect(nil)
					if kept {
						c.exchange()
					}
					c.send(wholeRequest[:part])
					limit := headerTimeout
					if kept && part == 0 {
						limit = idleTimeout
					}
					// net/http may refuse the incomplete request before it closes the connection.
					_ = c.SetReadDeadline(time.Now().Add(limit + time.Second))
					_, err := io.ReadAll(c.r)
					assert.NilError(t, err, "the connection is still open")
				})
			})
		}
	}
}

// TestShutdownClosesIdleConnections guards against a shutdown that waits for connections
// without a request.
func TestShutdownClosesIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t, nil)
		c := s.connect(nil)
		c.exchange()
		began := time.Now()
		done := s.shutDown(10 * time.Second)
		c.requireClosed(0)
		assert.NilError(t, <-done)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// TestNewConnectionIsAnsweredAtShutdown guards against a caller that connects just before
// the listener closes and whose first request is lost, and against a silent connection
// that uses up the grace period.
func TestNewConnectionIsAnsweredAtShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t, nil)
		quick, silent := s.connect(nil), s.connect(nil)
		began := time.Now()
		done := s.shutDown(10 * time.Second)
		time.Sleep(newConnectionTimeout / 2)
		quick.send(wholeRequest)
		quick.requireAnswer()
		silent.requireClosed(newConnectionTimeout)
		assert.NilError(t, <-done)
		assert.Assert(t, time.Since(began) < 2*newConnectionTimeout)
	})
}

// TestSlowBodyEndsWithGracePeriod guards against a shutdown that hangs on a body that does
// not arrive, and against a request that is handled after it.
func TestSlowBodyEndsWithGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t, nil)
		c := s.connect(nil)
		c.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo")
		began := time.Now()
		assert.ErrorIs(t, <-s.shutDown(5*time.Second), context.DeadlineExceeded)
		assert.Equal(t, time.Since(began), 5*time.Second)
		assert.NilError(t, s.Close())
		c.requireClosed(time.Second)
		synctest.Wait()
		assert.Equal(t, s.handled.Load(), int32(0))
		assert.Assert(t, strings.Contains(s.log.String(), fmt.Sprintf(`"event":%d`, slugevent.ConnectionUnanswered)))
	})
}

// TestRunningResponseAnnouncesClose guards against callers that are not told that the
// connection closes, because their request began before the shutdown.
func TestRunningResponseAnnouncesClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(2 * time.Second)
			_, _ = io.WriteString(w, "ok")
		})
		c := s.connect(nil)
		c.send(wholeRequest)
		time.Sleep(time.Second)
		done := s.shutDown(10 * time.Second)
		c.requireAnswer()
		assert.NilError(t, <-done)
	})
}

// TestStreamIsCompletedAtShutdown guards against a response that began before the shutdown
// and is cut by it, or whose connection stays open afterwards.
func TestStreamIsCompletedAtShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			ctrl := http.NewResponseController(w)
			for range 4 {
				_, _ = io.WriteString(w, "part")
				_ = ctrl.Flush()
				time.Sleep(time.Second)
			}
		})
		c := s.connect(nil)
		c.send(wholeRequest)
		resp, err := http.ReadResponse(c.r, nil)
		assert.NilError(t, err)
		done := s.shutDown(10 * time.Second)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), strings.Repeat("part", 4))
		c.requireClosed(time.Second)
		assert.NilError(t, <-done)
	})
}

// TestHandledRequestsAreAnsweredAtShutdown guards against requests that are handled and lost
// in a shutdown, with callers that repeat requests on kept connections.
func TestHandledRequestsAreAnsweredAtShutdown(t *testing.T) {
	for range 20 {
		var handled, answered sync.Map
		s, err := New(Config{
			Address: "127.0.0.1:0", Log: slugevent.New(io.Discard, logrus.InfoLevel, "test"),
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				handled.Store(r.URL.Path, true)
				_, _ = io.WriteString(w, "ok")
			}),
		})
		assert.NilError(t, err)
		served := make(chan error, 1)
		go func() { served <- s.Serve(t.Context()) }()
		var callers sync.WaitGroup
		for i := range 16 {
			callers.Go(func() { repeatRequests(s.Address(), i, &answered) })
		}
		time.Sleep(20 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		assert.NilError(t, s.Shutdown(ctx))
		cancel()
		assert.NilError(t, <-served)
		callers.Wait()
		handled.Range(func(path, _ any) bool {
			_, ok := answered.Load(path)
			assert.Check(t, ok, "%s was handled, but not answered", path)
			return true
		})
	}
}

// repeatRequests sends requests on one connection until it ends, and stores the paths of
// those that were answered.
func repeatRequests(address string, caller int, answered *sync.Map) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for i := 0; ; i++ {
		path := fmt.Sprintf("/%d/%d", caller, i)
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path); err != nil {
			return
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(resp.Body); err != nil {
			return
		}
		answered.Store(path, true)
		if resp.Close {
			return
		}
	}
}

// TestPanicOfHandlerIsAnswered guards against a request that is closed without a response, and
// without a log line that tells why, because its handler panicked.
func TestPanicOfHandlerIsAnswered(t *testing.T) {
	for _, written := range []string{"", "part"} {
		synctest.Test(t, func(t *testing.T) {
			s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
				if written != "" {
					_, _ = io.WriteString(w, written)
					_ = http.NewResponseController(w).Flush()
				}
				panic("fault in a handler")
			})
			c := s.connect(nil)
			c.send(wholeRequest)
			resp, err := c.answer()
			if written == "" {
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusInternalServerError)
				assert.Assert(t, resp.Close)
			} else {
				assert.Assert(t, err != nil, "a response that broke off looks complete")
			}
			assert.Assert(t, strings.Contains(s.log.String(), "fault in a handler") && strings.Contains(s.log.String(), "server_test.go"), s.log.String())
		})
	}
}

// TestPanicKeepsHeaderOfResponse guards against a 500 with the header of the response that a handler
// had begun, such as the signature of an endpoint or the length of another body.
func TestPanicKeepsHeaderOfResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Signature", "signed")
			w.Header().Set("Content-Length", "24")
			panic("fault in a handler")
		})
		c := s.connect(nil)
		c.send(wholeRequest)
		resp, err := c.answer()
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusInternalServerError)
		assert.Equal(t, resp.Header.Get("X-Signature"), "")
		assert.Equal(t, resp.ContentLength, int64(0))
	})
}

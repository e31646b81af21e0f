package slugserve

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugpresence"
	"gotest.tools/v3/assert"
)

// startOnSocket starts a server on a TCP port. Its handler, called with the path of a request,
// responds when the request ends or the path is released, and says then whether its caller has left.
func startOnSocket(t *testing.T) (address string, release chan struct{}, ended chan bool) {
	t.Helper()
	release, ended = make(chan struct{}), make(chan bool, 10)
	s, err := New(Config{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-release:
		}
		ended <- r.Context().Err() != nil || slugpresence.Of(r.Context()).Left(r.Context())
		_, _ = io.WriteString(w, r.URL.Path)
	})})
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- s.Serve(context.Background()) }()
	t.Cleanup(func() {
		assert.NilError(t, s.Close())
		assert.NilError(t, <-done)
	})
	return s.Address(), release, ended
}

// dialSocket connects to a server and sends a text.
func dialSocket(t *testing.T, address, text string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	assert.NilError(t, err)
	return c.(*net.TCPConn)
}

// leftWithin returns whether a request ended because its caller has left, or fails.
func leftWithin(t *testing.T, ended <-chan bool, d time.Duration) bool {
	t.Helper()
	select {
	case left := <-ended:
		return left
	case <-time.After(d):
		t.Fatalf("the request goes on after %s", d)
		return false
	}
}

const getOne = "GET /one HTTP/1.1\r\nHost: h\r\n\r\n"

// TestHalfClosedCallerThatLeavesIsNotNoticed guards against a request that goes on after a caller that
// had ended its direction has closed the connection, of which nothing more arrives.
func TestHalfClosedCallerThatLeavesIsNotNoticed(t *testing.T) {
	address, _, ended := startOnSocket(t)
	c := dialSocket(t, address, getOne)
	assert.NilError(t, c.CloseWrite())
	select {
	case left := <-ended:
		t.Fatalf("the request ended, left: %t", left)
	case <-time.After(700 * time.Millisecond):
	}
	assert.NilError(t, c.Close())
	assert.Assert(t, leftWithin(t, ended, 500*time.Millisecond))
}

// TestHalfClosedCallerGetsResponses guards against the loss of a response to a caller that has ended
// its direction behind two requests.
func TestHalfClosedCallerGetsResponses(t *testing.T) {
	address, release, ended := startOnSocket(t)
	c := dialSocket(t, address, getOne+strings.Replace(getOne, "one", "two", 1))
	assert.NilError(t, c.CloseWrite())
	r := bufio.NewReader(c)
	for _, path := range []string{"/one", "/two"} {
		release <- struct{}{}
		assert.Assert(t, !leftWithin(t, ended, time.Second), path)
		resp, err := http.ReadResponse(r, nil)
		for err == nil && resp.StatusCode == http.StatusContinue {
			resp, err = http.ReadResponse(r, nil)
		}
		assert.NilError(t, err)
		b, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(b), path)
	}
	_, err := r.ReadByte()
	assert.Equal(t, err, io.EOF)
}

// TestCallerThatCannotBeAskedIsNotNoticed guards against a request of HTTP/1.0, whose callers know no
// interim responses, that goes on after its caller has left, and against such a response to a caller
// that waits.
func TestCallerThatCannotBeAskedIsNotNoticed(t *testing.T) {
	address, release, ended := startOnSocket(t)
	c := dialSocket(t, address, strings.Replace(getOne, "1.1", "1.0", 1))
	assert.NilError(t, c.Close())
	assert.Assert(t, leftWithin(t, ended, 500*time.Millisecond))
	c = dialSocket(t, address, getOne)
	time.Sleep(50 * time.Millisecond)
	release <- struct{}{}
	assert.Assert(t, !leftWithin(t, ended, time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// TestCallerLeavesBehindRequestsThatArrivedEarly guards against a request that goes on after its
// caller has left, because the end lies behind the bytes of other requests.
func TestCallerLeavesBehindRequestsThatArrivedEarly(t *testing.T) {
	for _, early := range []int{1, 10, 1000} {
		address, _, ended := startOnSocket(t)
		c := dialSocket(t, address, getOne)
		time.Sleep(20 * time.Millisecond)
		_, err := io.WriteString(c, strings.Repeat(getOne, early))
		assert.NilError(t, err)
		time.Sleep(20 * time.Millisecond)
		assert.NilError(t, c.Close())
		assert.Assert(t, leftWithin(t, ended, 500*time.Millisecond), "%d requests arrived early", early)
	}
}

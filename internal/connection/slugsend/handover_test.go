package slugsend

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugpresence"
	"gotest.tools/v3/assert"
)

// slowDial returns a Dial that calls during while it opens a connection.
func slowDial(during func()) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		during()
		return NewDialer(UserTimeout).DialContext(ctx, network, address)
	}
}

// countingServer answers requests, and counts them and the connections. It calls during before each
// answer.
func countingServer(t *testing.T, during func()) (url string, requests, conns *atomic.Int64) {
	t.Helper()
	requests, conns = &atomic.Int64{}, &atomic.Int64{}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		during()
		_, _ = w.Write([]byte(r.Header.Get("X-Left")))
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return s.URL, requests, conns
}

// TestRequestIsWrittenAfterWaitForConnection guards against a request whose caller leaves, or whose
// time passes, while it waits for a connection, and that is written nevertheless.
func TestRequestIsWrittenAfterWaitForConnection(t *testing.T) {
	url, requests, _ := countingServer(t, func() {})
	for _, repeatable := range []bool{false, true} {
		var left, late atomic.Bool
		presence := slugpresence.New(slugpresence.Config{ArrivedAt: time.Now, Left: func(context.Context) bool { return left.Load() }})
		ctx, cancel := context.WithCancel(presence.Context(t.Context()))
		for _, test := range []struct {
			name   string
			during func()
			want   error
		}{
			{"the caller leaves", func() { left.Store(true) }, ErrCallerLeft},
			{"the time passes", func() { late.Store(true) }, ErrTimeOver},
			{"the request is canceled", cancel, context.Canceled},
		} {
			left.Store(false)
			late.Store(false)
			s := New(Config{Dial: slowDial(test.during)})
			e, err := s.Open(ctx, Request{Method: http.MethodPost, URL: url, Header: http.Header{}, Repeatable: repeatable, CheckTime: func() error {
				if late.Load() {
					return ErrTimeOver
				}
				return nil
			}})
			assert.Assert(t, errors.Is(err, test.want), "%s: %v", test.name, err)
			assert.Assert(t, !e.Sent, test.name)
		}
		cancel()
		assert.Equal(t, len(presence.Timing().Handovers), 0)
	}
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, requests.Load(), int64(0))
}

// TestRequestIsWrittenLongAfterItHasConnection guards against a request whose caller leaves, or whose
// time passes, while the goroutine that is to write it waits for a processor.
func TestRequestIsWrittenLongAfterItHasConnection(t *testing.T) {
	url, requests, _ := countingServer(t, func() {})
	s := New(Config{})
	for _, repeatable := range []bool{false, true} {
		for _, want := range []error{ErrCallerLeft, ErrTimeOver, context.Canceled} {
			// A connection that is kept serves the repeatable requests.
			resp, _, err := s.Send(t.Context(), Request{Method: http.MethodGet, URL: url, Repeatable: true})
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			before := requests.Load()
			var left, late bool
			presence := slugpresence.New(slugpresence.Config{ArrivedAt: time.Now, Left: func(context.Context) bool { return left }})
			ctx, cancel := context.WithCancel(presence.Context(t.Context()))
			e, err := s.Open(ctx, Request{
				Method: http.MethodGet, URL: url, Repeatable: repeatable,
				CheckTime: func() error {
					if late {
						return ErrTimeOver
					}
					return nil
				},
				Connected: func() {
					left, late = errors.Is(want, ErrCallerLeft), errors.Is(want, ErrTimeOver)
					if !left && !late {
						cancel()
					}
				},
			})
			cancel()
			assert.Assert(t, errors.Is(err, want), "%v", err)
			assert.Assert(t, !e.Sent)
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, requests.Load(), before, "repeatable: %t, %v", repeatable, want)
			assert.Equal(t, len(presence.Timing().Handovers), 0)
		}
	}
}

// TestCallerLeavesDuringLook guards against a request whose caller leaves, or whose time passes, while
// the goroutine that looks at it is held up.
func TestCallerLeavesDuringLook(t *testing.T) {
	for _, want := range []error{ErrCallerLeft, ErrTimeOver} {
		url, requests, _ := countingServer(t, func() {})
		var left, late bool
		looks := 0
		presence := slugpresence.New(slugpresence.Config{ArrivedAt: time.Now, Left: func(context.Context) bool {
			seen := left
			if looks++; looks == 2 { // The first look is before the request has a connection.
				left, late = errors.Is(want, ErrCallerLeft), errors.Is(want, ErrTimeOver)
				time.Sleep(50 * time.Millisecond)
			}
			return seen
		}})
		e, err := New(Config{}).Open(presence.Context(t.Context()), Request{Method: http.MethodGet, URL: url, CheckTime: func() error {
			if late {
				return ErrTimeOver
			}
			return nil
		}})
		assert.Assert(t, errors.Is(err, want), "%v", err)
		assert.Assert(t, !e.Sent)
		assert.Equal(t, requests.Load(), int64(0))
	}
}

// TestCallerOfCanceledAttemptCountsAsLeft guards against a caller that counts as gone, so that its
// answer is cut, because one of several attempts for it is canceled during the look at it.
func TestCallerOfCanceledAttemptCountsAsLeft(t *testing.T) {
	url, requests, _ := countingServer(t, func() {})
	wentOn := errors.New("another attempt went on")
	for canceledAt := 1; canceledAt <= 2; canceledAt++ {
		ctx, cancel := context.WithCancelCause(t.Context())
		looks := 0
		presence := slugpresence.New(slugpresence.Config{ArrivedAt: time.Now, Left: func(ctx context.Context) bool {
			if looks++; looks == canceledAt {
				cancel(wentOn)
			}
			return ctx.Err() != nil // That of a stream of HTTP/2 ends when its caller leaves.
		}})
		e, err := New(Config{}).Open(presence.Context(ctx), Request{Method: http.MethodGet, URL: url})
		assert.Assert(t, errors.Is(err, wentOn) && !errors.Is(err, ErrCallerLeft), "%v", err)
		assert.Assert(t, !e.Sent)
		assert.Equal(t, requests.Load(), int64(0))
	}
}

// TestSlowLooksEnd guards against a request that is never written because each look is slow.
func TestSlowLooksEnd(t *testing.T) {
	url, requests, _ := countingServer(t, func() {})
	presence := slugpresence.New(slugpresence.Config{ArrivedAt: time.Now, Left: func(context.Context) bool {
		time.Sleep(2 * maxLookTime)
		return false
	}})
	e, err := New(Config{}).Open(presence.Context(t.Context()), Request{Method: http.MethodGet, URL: url})
	assert.NilError(t, err)
	assert.NilError(t, e.Response.Body.Close())
	assert.Equal(t, requests.Load(), int64(1))
}

// TestDeadlineOfContextIsOverButNotNoticed guards against a request that is written after the
// deadline of its context, whose timer has not run yet.
func TestDeadlineOfContextIsOverButNotNoticed(t *testing.T) {
	url, requests, _ := countingServer(t, func() {})
	e, err := New(Config{}).Open(lateContext{t.Context()}, Request{Method: http.MethodGet, URL: url})
	assert.Assert(t, errors.Is(err, ErrTimeOver), "%v", err)
	assert.Assert(t, !e.Sent)
	assert.Equal(t, requests.Load(), int64(0))
}

// lateContext is a context whose deadline has passed and that has not ended.
type lateContext struct{ context.Context }

// Deadline implements context.Context.
func (lateContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Second), true }

// TestRefusedRequestUsesUpConnections guards against a request that must not be written, and for
// which net/http takes one idle connection after another.
func TestRefusedRequestUsesUpConnections(t *testing.T) {
	var arriving sync.WaitGroup
	url, requests, conns := countingServer(t, func() {
		arriving.Done()
		arriving.Wait()
	})
	s := New(Config{})
	open := func(ctx context.Context, checkTime func() error) error {
		e, err := s.Open(ctx, Request{Method: http.MethodGet, URL: url, Repeatable: true, CheckTime: checkTime})
		if err == nil {
			_ = e.Response.Body.Close()
		}
		return err
	}
	const kept = 5
	arriving.Add(kept)
	done := make(chan error, kept)
	for range kept {
		go func() { done <- open(t.Context(), nil) }()
	}
	for range kept {
		assert.NilError(t, <-done)
	}
	assert.Equal(t, conns.Load(), int64(kept))
	taken, checks := 0, 0
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		assert.Check(t, i.Reused)
		taken++
	}})
	err := open(ctx, func() error {
		if checks++; checks == 1 {
			return nil // It has no connection yet.
		}
		return ErrTimeOver
	})
	assert.Assert(t, errors.Is(err, ErrTimeOver), "%v", err)
	assert.Equal(t, taken, 1)
	assert.Equal(t, checks, 2)
	assert.Equal(t, conns.Load(), int64(kept), "a connection was opened anew")
	assert.Equal(t, requests.Load(), int64(kept))
}

// TestHeaderStatesTimeBeforeConnection guards against a header that states what was left of the
// time before the request had a connection, and against a handover that is not recorded.
func TestHeaderStatesTimeBeforeConnection(t *testing.T) {
	url, _, _ := countingServer(t, func() {})
	presence := slugpresence.New(slugpresence.Config{ArrivedAt: time.Now})
	presence.MarkRead()
	s := New(Config{Dial: slowDial(func() { time.Sleep(100 * time.Millisecond) })})
	e, err := s.Open(presence.Context(t.Context()), Request{
		Method: http.MethodGet, URL: url, Header: http.Header{"X-Left": {"before"}}, Purpose: "run", Cause: "first",
		SetRemaining: func(h http.Header) { h.Set("X-Left", "after") },
	})
	assert.NilError(t, err)
	b := make([]byte, 16)
	n, _ := e.Response.Body.Read(b)
	assert.Equal(t, string(b[:n]), "after")
	assert.NilError(t, e.Response.Body.Close())
	handovers := presence.Timing().Handovers
	assert.Equal(t, len(handovers), 1)
	h := handovers[0]
	assert.Assert(t, h.To == strings.TrimPrefix(url, "http://") && h.Purpose == "run" && h.Cause == "first" && h.ConnectMs >= 90 && h.WriteMs >= 0, "%+v", h)
}

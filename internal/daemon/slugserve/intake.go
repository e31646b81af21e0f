package slugserve

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slughead"
	"github.com/sassafraslug/sassafraslug/internal/base/slugmemory"
)

const (
	// smallHead is the memory that every head gets, even if the budget for heads is exhausted.
	// An ordinary head of 20 lines and 1 KB counts 7 KB.
	smallHead slugmemory.Bytes = 12 << 10
	// refusedRetryAfter is the mean delay after which callers may return that were refused for
	// lack of memory, connections or requests.
	refusedRetryAfter = time.Second
	// lingerTimeout and lingerBytes bound what is read of a caller whose head was refused.
	// Closing the connection with bytes unread resets it, so that the caller may not see the
	// response. The time is that of net/http.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
	// refusalWriteTimeout bounds the time for writing a refusal, which fits into the send buffer
	// of a caller that has read its earlier responses.
	refusalWriteTimeout = 100 * time.Millisecond
)

// errRefused means that the head of a request was refused.
var errRefused = errors.New("head refused")

// intake follows what a connection reads, without keeping it. It is guarded by the connection's
// mutex.
type intake struct {
	counter slughead.Counter
	// hold is the memory of the head that is being read, or whose request is being handled.
	hold *slugmemory.Hold
	// handling is set from the end of a head until its response is complete.
	handling bool
	// refusal is why the head that is being read is refused.
	refusal *headRefusal
	// lingers is set when the response to a refused head was written.
	lingers bool
	// headSince is when the first byte of the head was read, or when the request before it was
	// answered if that was later.
	headSince time.Time
	// bodySince is when the first part of the body was awaited, and bodyBytes the bytes read
	// since then.
	bodySince time.Time
	bodyBytes int
	// readStalled and writeStalled are set when the body or the response was found to make no
	// progress, after which the connection ends.
	readStalled, writeStalled bool
	// aborted is set while net/http makes a read return at once by a deadline in the past.
	aborted bool
}

// headRefusal is the response to a head that is refused.
type headRefusal struct {
	status int
	event  slugevent.Event
	cause  string
}

// take counts bytes that were read; c.mu is held.
func (c *connection) take(p []byte) {
	if c.counter.IsOpaque() {
		return
	}
	wasHead, wasBody := c.counter.InHead(), c.counter.InBody()
	added := c.counter.Feed(p)
	switch limit := c.server.limits().HeaderBytes; {
	case added.Longest > limit:
		c.refusal = &headRefusal{http.StatusRequestHeaderFieldsTooLarge, slugevent.HeadTooLong, fmt.Sprintf("head of more than %d bytes", limit)}
	case added.Bytes > 0:
		if err := c.hold.Grow(added.Cost()); err != nil {
			c.refusal = &headRefusal{http.StatusServiceUnavailable, slugevent.HeadMemoryExhausted, err.Error()}
		}
	}
	if c.counter.InHead() && !wasHead {
		c.headSince = time.Now()
	}
	switch {
	case !c.counter.InBody():
	case !wasBody:
		c.bodySince, c.bodyBytes = time.Now(), 0
	default:
		c.bodyBytes += len(p)
	}
	if !wasHead && !wasBody && !c.counter.InHead() && !c.counter.InBody() {
		return
	}
	if c.handling {
		c.applyDeadline(time.Time{})
	} else {
		// net/http removes the deadline when it has parsed the head.
		c.applyDeadline(time.Now().Add(headerTimeout))
	}
}

// endIntake forgets the request that was answered; c.mu is held.
func (c *connection) endIntake() {
	c.handling, c.responding, c.provenAt = false, false, time.Time{}
	c.counter.EndRequest()
	c.hold.Release()
	if !c.counter.InHead() && !c.counter.InBody() {
		return
	}
	c.headSince = time.Now()
	if err := c.hold.Grow(c.counter.Cost()); err != nil && c.refusal == nil {
		c.refusal = &headRefusal{http.StatusServiceUnavailable, slugevent.HeadMemoryExhausted, err.Error()}
	}
}

// SetReadDeadline implements net.Conn. While a head or a body is being read, the deadline for
// that holds instead of t, unless t is past.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = !t.IsZero() && !t.After(time.Now())
	if c.aborted {
		c.abortBackground()
		return c.Conn.SetReadDeadline(t)
	}
	return c.setDeadline(t)
}

// applyDeadline sets the deadline for what is being read, or t if nothing is; c.mu is held.
func (c *connection) applyDeadline(t time.Time) {
	if !c.aborted {
		// An error shows at the next read.
		_ = c.setDeadline(t)
	}
}

func (c *connection) setDeadline(t time.Time) error {
	switch {
	case c.counter.InBody() && c.server.cfg.Bounds.BodyStall > 0, c.counter.InHead() && !c.handling:
		t = c.cutAt()
	}
	return c.Conn.SetReadDeadline(t)
}

// cutAt returns when the connection is closed unless more of its head or body arrives.
func (c *connection) cutAt() time.Time {
	if c.counter.InBody() {
		return c.bodySince.Add(c.server.cfg.Bounds.bodyTime(c.bodyBytes))
	}
	return c.headSince.Add(c.server.limits().HeaderTimeout)
}

// noteStall notes that a body did not arrive in time; c.mu is held.
func (c *connection) noteStall(err error) {
	if !c.aborted && !c.readStalled && c.counter.InBody() && errors.Is(err, os.ErrDeadlineExceeded) {
		c.readStalled = true
		c.server.refused(&c.server.counts.stalledReads, slugevent.CallerStalled, c, fmt.Sprintf("body incomplete after %s", time.Since(c.bodySince)))
	}
}

// refuse writes the response to a head that is refused, of which no part was handled, and
// returns the error with which net/http closes the connection. c.mu is held, except while it
// writes: new connections wait for the mutex.
func (c *connection) refuse() error {
	err := &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errRefused}
	if c.lingers {
		return err
	}
	c.lingers, c.unanswered = true, false
	c.hold.Release()
	refusal := c.refusal
	c.mu.Unlock()
	c.server.refused(refusal.count(&c.server.counts), refusal.event, c, refusal.cause)
	writeRefusal(c.Conn, refusal.status)
	c.mu.Lock()
	return err
}

// refuseHandled answers a request whose head was refused after net/http had it in its buffer. It
// reports whether there was one.
func (c *connection) refuseHandled(w http.ResponseWriter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counter.IsOpaque() && c.server.cfg.Certificate == "" {
		// The preface of HTTP/2 was not complete, so that nothing would be counted from now on.
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusHTTPVersionNotSupported)
		return true
	}
	if c.refusal == nil {
		return false
	}
	c.server.refused(c.refusal.count(&c.server.counts), c.refusal.event, c, c.refusal.cause)
	if c.refusal.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter())
	}
	w.Header().Set("Connection", "close")
	w.WriteHeader(c.refusal.status)
	return true
}

// count returns the counter of refusals of this kind.
func (r *headRefusal) count(c *counts) *counter {
	if r.status == http.StatusServiceUnavailable {
		return &c.refusedMemory
	}
	return &c.refusedLong
}

// writeRefusal writes a response without a body that ends its connection.
func writeRefusal(conn net.Conn, status int) {
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: " + retryAfter() + "\r\n"
	}
	// The caller may have left.
	_ = conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), retry)
}

// retryAfter returns a random delay for the header Retry-After, in seconds.
func retryAfter() string {
	return fmt.Sprintf("%.3f", (refusedRetryAfter/2 + rand.N(refusedRetryAfter)).Seconds())
}

// linger closes a connection after a refusal, once the caller has had time to read it.
func (c *connection) linger() {
	_ = c.CloseWrite()
	// The connection is closed in any case.
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	c.server.forget(c)
	_ = c.Conn.Close()
}

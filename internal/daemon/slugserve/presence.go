package slugserve

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugpresence"
	"github.com/sassafraslug/sassafraslug/internal/base/slugsocket"
)

const (
	// catchUpTimeout bounds the wait for what has arrived on an HTTP/2 connection to be read.
	catchUpTimeout = 100 * time.Millisecond
	// catchUpInterval is the time between looks at what was read.
	catchUpInterval = time.Millisecond
)

// withPresence returns a request whose context tells of its caller.
func (c *connection) withPresence(r *http.Request) *http.Request {
	p := slugpresence.New(slugpresence.Config{ArrivedAt: c.arrivedAt, Left: c.left, EndAge: c.endAge})
	return r.WithContext(p.Context(r.Context()))
}

// arrivedAt returns when the last bytes that were read arrived. Requests on one connection may
// arrive beside each other, so that the bytes that the kernel received last may not have been read
// yet.
func (c *connection) arrivedAt() time.Time {
	c.mu.Lock()
	at := c.readAt
	c.mu.Unlock()
	if s, err := slugsocket.StateOf(c.Conn); err == nil {
		if arrived := time.Now().Add(-s.DataAge); arrived.Before(at) {
			at = arrived
		}
	}
	return at
}

// endAge returns how long ago the caller ended the connection, as far as the kernel tells. It looks
// only if the end was noticed.
func (c *connection) endAge() (time.Duration, bool) {
	c.mu.Lock()
	noticed := c.endNoticed || c.readErr != nil
	c.mu.Unlock()
	if !noticed {
		return 0, false
	}
	s, err := slugsocket.StateOf(c.Conn)
	if err != nil || !s.Ended {
		return 0, false
	}
	return s.SegmentAge, true
}

// left reports whether the caller of a request has left, though the end of its connection, or of
// its HTTP/2 stream, may not have been read. The context of the request ends with that of a stream.
func (c *connection) left(ctx context.Context) bool {
	s, err := slugsocket.StateOf(c.Conn)
	switch {
	case err != nil:
		return errors.Is(err, net.ErrClosed)
	case s.Closed:
		return true
	case s.Ended:
		c.mu.Lock()
		c.endNoticed = true
		c.mu.Unlock()
		return !c.reads(ctx.Done()) || ctx.Err() != nil
	}
	c.catchUp(ctx, s.Received)
	return ctx.Err() != nil
}

// catchUp waits until what has arrived on an HTTP/2 connection so far was read and handled: that
// many bytes, or 0 if the kernel does not tell.
func (c *connection) catchUp(ctx context.Context, received int64) {
	c.mu.Lock()
	http2, read := c.http2, c.readBytes
	c.mu.Unlock()
	if !http2 {
		return
	}
	if received == 0 {
		// Bytes that are being read just now are missed.
		unread, err := slugsocket.Unread(c.Conn)
		if err != nil {
			return
		}
		received = read + int64(unread)
	}
	for until := time.Now().Add(catchUpTimeout); c.handledBytes() < received && time.Now().Before(until); {
		if slugbackoff.Sleep(ctx, catchUpInterval) != nil {
			return
		}
	}
}

// handledBytes returns the number of bytes that were read and, on an HTTP/2 connection, handled:
// the library reads again only when it has handled the frames that it has read.
func (c *connection) handledBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handled
}

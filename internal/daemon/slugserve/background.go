package slugserve

import (
	"io"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugsocket"
)

const (
	// maxAhead bounds the bytes that are read of further requests while one is being handled. It is
	// the size of the buffer of net/http.
	maxAhead = 4 << 10
	// endCheckInterval is the time between looks at a connection whose end cannot be read, because
	// too many bytes arrived before it or because it was read already.
	endCheckInterval = 250 * time.Millisecond
	// proofTimeout bounds the time in which a caller that has ended its direction has to
	// acknowledge an interim response, and minProofWait is the least time between two looks.
	proofTimeout = 300 * time.Millisecond
	minProofWait = 2 * time.Millisecond
	// proofAge is how long a proof holds that a caller still reads. It is shorter than
	// endCheckInterval.
	proofAge = 200 * time.Millisecond
	// proofWriteTimeout bounds the write of an interim response, which finds the send buffer of the
	// connection empty but for earlier responses.
	proofWriteTimeout = 100 * time.Millisecond
)

// interimResponse asks for an acknowledgement of a caller. Every HTTP/1.1 client accepts it before
// the response, whether or not it expects it.
const interimResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// background follows a connection while a request on it is being handled. Apart from proving, the
// connection's mutex guards it.
type background struct {
	// ahead holds the bytes of further requests that were read meanwhile.
	ahead []byte
	// abort is closed to make a background read return; nil if there is none.
	abort chan struct{}
	// interim is set if the caller accepts interim responses, and responding once a part of the
	// response was written.
	interim, responding bool
	// proving is held while a caller that has ended its direction is asked for an acknowledgement,
	// and provenAt is when it has last given one.
	proving  sync.Mutex
	provenAt time.Time
}

// inBackground reports whether a read is that of net/http beside a handler, which is to notice the
// end of the connection. It has a buffer of one byte, and net/http would not read on behind that. c.mu
// is held.
func (c *connection) inBackground(p []byte) bool {
	return len(p) == 1 && !c.counter.IsOpaque() && c.counter.InRequest()
}

// takeAhead returns bytes that were read in the background; c.mu is held.
func (c *connection) takeAhead(p []byte) int {
	n := copy(p, c.ahead)
	if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
		c.ahead = nil
	}
	return n
}

// readBackground waits until the caller has left or net/http makes it return, and returns the error
// that tells which. p is the buffer of net/http.
func (c *connection) readBackground(p []byte) error {
	abort := make(chan struct{})
	c.mu.Lock()
	if c.aborted || !c.closedAt.IsZero() {
		c.mu.Unlock()
		return os.ErrDeadlineExceeded
	}
	c.abort = abort
	c.mu.Unlock()
	for {
		n, err := c.Conn.Read(p[:min(len(p), c.roomAhead())])
		if n > 0 {
			c.mu.Lock()
			c.ahead, c.readAt = append(c.ahead, p[:n]...), time.Now()
			c.mu.Unlock()
			// Most connections have nothing to read here, and need no buffer of their own.
			p = make([]byte, maxAhead)
		}
		switch {
		case errors.Is(err, io.EOF), err == nil && c.roomAhead() == 0:
			return c.awaitEnd(abort)
		case err != nil:
			return err
		}
	}
}

// roomAhead returns the number of bytes that may be read ahead.
func (c *connection) roomAhead() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maxAhead - len(c.ahead)
}

// abortBackground makes a background read return; c.mu is held.
func (c *connection) abortBackground() {
	if c.abort != nil {
		close(c.abort)
		c.abort = nil
	}
}

// awaitEnd waits until a caller has left whose end is not read any more, or abort is closed.
func (c *connection) awaitEnd(abort <-chan struct{}) error {
	for {
		s, err := slugsocket.StateOf(c.Conn)
		switch {
		case err != nil:
			return io.EOF
		case s.Closed:
			return syscall.ECONNRESET
		case s.Ended && !c.reads(abort):
			return io.EOF
		}
		select {
		case <-abort:
			return os.ErrDeadlineExceeded
		case <-time.After(endCheckInterval):
		}
	}
}

// reads reports whether a caller that has ended its direction still reads. Only data show that: the
// kernel of a caller that has closed its connection answers them by a reset. Before the response, an
// interim one serves; after that, what was found before holds. It returns early when done is closed.
func (c *connection) reads(done <-chan struct{}) bool {
	c.proving.Lock()
	defer c.proving.Unlock()
	begun := time.Now()
	sent := false
	for wait := minProofWait; time.Since(begun) < proofTimeout; wait *= 2 {
		if !sent {
			proven, err := c.sendInterim()
			if err == nil && proven {
				return true
			}
			if err != nil && !errors.Is(err, errNotHandled) {
				return false
			}
			sent = err == nil
		}
		s, err := slugsocket.StateOf(c.Conn)
		if err != nil || s.Closed {
			return false
		}
		if left, err := slugsocket.Unacknowledged(c.Conn); sent && (err != nil || left == 0) {
			c.prove(err == nil)
			return err == nil
		}
		select {
		case <-done:
			return true
		case <-time.After(max(wait, s.RoundTrip)):
		}
	}
	return false
}

// errNotHandled means that the request has been read, and that its handler has not begun yet.
// errUnprovable means that the caller cannot be asked for an acknowledgement.
var (
	errNotHandled = errors.New("request is not handled yet")
	errUnprovable = errors.New("no interim response may be sent")
)

// sendInterim sends an interim response, unless the caller is already proven to read.
func (c *connection) sendInterim() (proven bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.counter.IsOpaque() || !c.closedAt.IsZero():
		return false, errUnprovable
	case !c.provenAt.IsZero() && (c.responding || time.Since(c.provenAt) < proofAge):
		return true, nil
	case !c.handling:
		return false, errNotHandled
	case c.responding || !c.interim:
		return false, errUnprovable
	}
	// An error shows at the write.
	_ = c.SetWriteDeadline(time.Now().Add(proofWriteTimeout))
	_, err = io.WriteString(c.Conn, interimResponse)
	if err != nil {
		// A part of it may have been written.
		c.writeStalled = true
		return false, err
	}
	return false, c.SetWriteDeadline(time.Time{})
}

// prove records whether the caller was found to read.
func (c *connection) prove(reads bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reads {
		c.provenAt = time.Now()
	}
}

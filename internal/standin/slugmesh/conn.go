package slugmesh

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// windowBytes is how much may be under way in one direction.
const windowBytes = 64 << 10

// half is one direction of a connection.
type half struct {
	mesh     *Mesh
	from, to string

	mu     sync.Mutex
	cond   *sync.Cond
	data   []byte
	ended  bool
	reset  bool
	silent bool
	// dead is set when the reader went away.
	dead bool
}

func newHalf(m *Mesh, from, to string) *half {
	h := &half{mesh: m, from: from, to: to}
	h.cond = sync.NewCond(&h.mu)
	return h
}

func (h *half) wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cond.Broadcast()
}

func (h *half) silence() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silent = true
	h.cond.Broadcast()
}

// blocked reports whether nothing arrives now; h.mu is held.
func (h *half) blocked() bool {
	if h.silent {
		return true
	}
	cut, _ := h.mesh.cut(h.from, h.to)
	return cut
}

// read waits for bytes, the end or the deadline.
func (h *half) read(b []byte, expired func() bool) (int, error) {
	for {
		h.mu.Lock()
		blocked := h.blocked()
		if expired() {
			h.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		if h.dead {
			h.mu.Unlock()
			return 0, net.ErrClosed
		}
		if !blocked {
			if h.reset {
				h.mu.Unlock()
				return 0, io.ErrUnexpectedEOF
			}
			if len(h.data) > 0 {
				n := copy(b, h.data)
				h.data = h.data[n:]
				h.cond.Broadcast()
				h.mu.Unlock()
				return n, nil
			}
			if h.ended {
				h.mu.Unlock()
				return 0, io.EOF
			}
		}
		h.cond.Wait()
		h.mu.Unlock()
	}
}

// write puts bytes under way.
func (h *half) write(b []byte, expired func() bool) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	written := 0
	for written < len(b) {
		switch {
		case expired():
			return written, os.ErrDeadlineExceeded
		case h.dead || h.ended:
			return written, io.ErrClosedPipe
		case h.silent:
			return len(b), nil
		case len(h.data) < windowBytes:
			n := min(len(b)-written, windowBytes-len(h.data))
			h.data = append(h.data, b[written:written+n]...)
			written += n
			h.cond.Broadcast()
		default:
			h.cond.Wait()
		}
	}
	return written, nil
}

// end ends the direction. A reset drops the bytes that have not arrived.
func (h *half) end(reset bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if reset && h.blocked() {
		h.data = nil
		h.reset = true
	}
	h.ended = true
	h.cond.Broadcast()
}

// abandon tells the writer that nobody reads.
func (h *half) abandon() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dead = true
	h.cond.Broadcast()
}

// conn is one end of a connection.
type conn struct {
	mesh          *Mesh
	local, remote string
	address       string
	in, out       *half
	reset         bool

	mu            sync.Mutex
	readDeadline  time.Time
	writeDeadline time.Time
	timers        []*time.Timer
	closed        bool
}

func (m *Mesh) newPair(from string, l *listener, reset bool) (*conn, *conn) {
	there, back := newHalf(m, from, l.host), newHalf(m, l.host, from)
	a := &conn{mesh: m, local: from, remote: l.host, address: l.address, in: back, out: there, reset: reset}
	b := &conn{mesh: m, local: l.host, remote: from, address: l.address, in: there, out: back}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[a], m.conns[b] = true, true
	return a, b
}

func (c *conn) expired(deadline *time.Time) func() bool {
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.closed || !deadline.IsZero() && !time.Now().Before(*deadline)
	}
}

// Read reads bytes that have arrived.
func (c *conn) Read(b []byte) (int, error) { return c.in.read(b, c.expired(&c.readDeadline)) }

// Write sends bytes.
func (c *conn) Write(b []byte) (int, error) { return c.out.write(b, c.expired(&c.writeDeadline)) }

// Close closes both directions.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	for _, t := range c.timers {
		t.Stop()
	}
	c.mu.Unlock()
	c.out.end(c.reset)
	c.in.abandon()
	c.mesh.mu.Lock()
	defer c.mesh.mu.Unlock()
	delete(c.mesh.conns, c)
	return nil
}

// LocalAddr returns the address of the listener.
func (c *conn) LocalAddr() net.Addr { return address(c.address) }

// RemoteAddr returns the address of the listener.
func (c *conn) RemoteAddr() net.Addr { return address(c.address) }

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline sets when reads end.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.set(&c.readDeadline, t, c.in)
	return nil
}

// SetWriteDeadline sets when writes end.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.set(&c.writeDeadline, t, c.out)
	return nil
}

func (c *conn) set(deadline *time.Time, t time.Time, h *half) {
	c.mu.Lock()
	*deadline = t
	if !t.IsZero() && !c.closed {
		c.timers = append(c.timers, time.AfterFunc(time.Until(t), h.wake))
		if len(c.timers) > 8 {
			c.timers[0].Stop()
			c.timers = c.timers[1:]
		}
	}
	c.mu.Unlock()
	h.wake()
}

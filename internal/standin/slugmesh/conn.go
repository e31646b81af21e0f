package slugmesh

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugsocket"
)

// windowBytes limits the bytes in flight in one direction of a connection.
const windowBytes = 64 << 10

// direction is one direction of a connection, with its bytes in flight.
type direction struct {
	mesh     *Mesh
	from, to string

	mu           sync.Mutex
	cond         *sync.Cond
	data         []byte
	writerClosed bool
	// reset is set when the writer closed while delivery was blocked, and the bytes in
	// flight were dropped.
	reset bool
	// stalled is set when the connection was stalled by Mesh.StallConnections.
	stalled bool
	// readerClosed is set when the reading end was closed.
	readerClosed bool
}

func newDirection(m *Mesh, from, to string) *direction {
	d := &direction{mesh: m, from: from, to: to}
	d.cond = sync.NewCond(&d.mu)
	return d
}

func (d *direction) wake() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cond.Broadcast()
}

func (d *direction) stall() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stalled = true
	d.cond.Broadcast()
}

// blocked reports whether delivery is stalled by StallConnections or by a partition; d.mu is
// held.
func (d *direction) blocked() bool {
	if d.stalled {
		return true
	}
	partitioned, _ := d.mesh.partitioned(d.from, d.to)
	return partitioned
}

// read waits until bytes are delivered, the writer closes, the connection is reset, or
// expired returns true.
func (d *direction) read(b []byte, expired func() bool) (int, error) {
	for {
		d.mu.Lock()
		blocked := d.blocked()
		if expired() {
			d.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		if d.readerClosed {
			d.mu.Unlock()
			return 0, net.ErrClosed
		}
		if !blocked {
			if d.reset {
				d.mu.Unlock()
				return 0, io.ErrUnexpectedEOF
			}
			if len(d.data) > 0 {
				n := copy(b, d.data)
				d.data = d.data[n:]
				d.cond.Broadcast()
				d.mu.Unlock()
				return n, nil
			}
			if d.writerClosed {
				d.mu.Unlock()
				return 0, io.EOF
			}
		}
		d.cond.Wait()
		d.mu.Unlock()
	}
}

// write queues bytes for delivery and waits while the window is full. After stall it
// discards bytes and reports them as written.
func (d *direction) write(b []byte, expired func() bool) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	written := 0
	for written < len(b) {
		switch {
		case expired():
			return written, os.ErrDeadlineExceeded
		case d.readerClosed || d.writerClosed:
			return written, io.ErrClosedPipe
		case d.stalled:
			return len(b), nil
		case len(d.data) < windowBytes:
			n := min(len(b)-written, windowBytes-len(d.data))
			d.data = append(d.data, b[written:written+n]...)
			written += n
			d.cond.Broadcast()
		default:
			d.cond.Wait()
		}
	}
	return written, nil
}

// closeWriter closes the writing end. The bytes in flight are still delivered, unless
// reset is set and delivery is blocked: then they are dropped, and the reader gets an
// error instead of the end of the stream.
func (d *direction) closeWriter(reset bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if reset && d.blocked() {
		d.data = nil
		d.reset = true
	}
	d.writerClosed = true
	d.cond.Broadcast()
}

// abort drops the bytes in flight, and makes reads fail.
func (d *direction) abort() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.data, d.reset, d.writerClosed = nil, true, true
	d.cond.Broadcast()
}

// closeReader closes the reading end, after which writes fail.
func (d *direction) closeReader() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readerClosed = true
	d.cond.Broadcast()
}

// conn implements net.Conn for one end of a connection.
type conn struct {
	mesh          *Mesh
	local, remote string
	// address is the address of the listener.
	address string
	in, out *direction
	// resetOnClose is set for connections opened by DialReset.
	resetOnClose bool

	mu            sync.Mutex
	readDeadline  time.Time
	writeDeadline time.Time
	timers        []*time.Timer
	closed        bool
}

// newConnPair returns the client end and the server end of a new connection. The client
// end is reset on Close if resetOnClose is set.
func (m *Mesh) newConnPair(from string, l *listener, resetOnClose bool) (*conn, *conn) {
	outbound, inbound := newDirection(m, from, l.host), newDirection(m, l.host, from)
	client := &conn{mesh: m, local: from, remote: l.host, address: l.address, in: inbound, out: outbound, resetOnClose: resetOnClose}
	server := &conn{mesh: m, local: l.host, remote: from, address: l.address, in: outbound, out: inbound}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[client], m.conns[server] = true, true
	return client, server
}

// expiredOrClosed returns a function that reports whether the deadline has passed or this
// end of the connection was closed.
func (c *conn) expiredOrClosed(deadline *time.Time) func() bool {
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.closed || !deadline.IsZero() && !time.Now().Before(*deadline)
	}
}

// Read reads delivered bytes; it waits for the first.
func (c *conn) Read(b []byte) (int, error) { return c.in.read(b, c.expiredOrClosed(&c.readDeadline)) }

// Write sends bytes to the other end; it waits while the window is full.
func (c *conn) Write(b []byte) (int, error) {
	return c.out.write(b, c.expiredOrClosed(&c.writeDeadline))
}

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
	c.out.closeWriter(c.resetOnClose)
	c.in.closeReader()
	c.mesh.mu.Lock()
	defer c.mesh.mu.Unlock()
	delete(c.mesh.conns, c)
	return nil
}

// CloseWrite ends the bytes that are sent. The other end still reads all of them.
func (c *conn) CloseWrite() error {
	c.out.closeWriter(false)
	return nil
}

// Abort closes the connection; the other end gets an error instead of the end of the stream.
func (c *conn) Abort() {
	c.out.abort()
	_ = c.Close()
}

// State implements slugsocket.Stateful.
func (c *conn) State() (slugsocket.State, error) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return slugsocket.State{}, net.ErrClosed
	}
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	delivered := !c.in.blocked()
	return slugsocket.State{Ended: delivered && c.in.writerClosed && !c.in.reset, Closed: delivered && c.in.reset}, nil
}

// LocalAddr returns the address of the listener, at both ends of the connection.
func (c *conn) LocalAddr() net.Addr { return address(c.address) }

// RemoteAddr returns the address of the listener, at both ends of the connection.
func (c *conn) RemoteAddr() net.Addr { return address(c.address) }

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline sets the deadline of reads; zero means none.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.setDeadline(&c.readDeadline, t, c.in)
	return nil
}

// SetWriteDeadline sets the deadline of writes; zero means none.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.setDeadline(&c.writeDeadline, t, c.out)
	return nil
}

// setDeadline sets a deadline and wakes the calls that wait on d now and at that time.
// Only the last 8 timers of the connection are kept; older ones usually belong to
// deadlines that were replaced.
func (c *conn) setDeadline(deadline *time.Time, t time.Time, d *direction) {
	c.mu.Lock()
	*deadline = t
	if !t.IsZero() && !c.closed {
		c.timers = append(c.timers, time.AfterFunc(time.Until(t), d.wake))
		if len(c.timers) > 8 {
			c.timers[0].Stop()
			c.timers = c.timers[1:]
		}
	}
	c.mu.Unlock()
	d.wake()
}

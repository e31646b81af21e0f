// Package slugfaultproxy forwards TCP connections and injects faults into them: silence in one
// or both directions, delay and resets. Silence loses nothing: held bytes, and the end of a
// connection, are delivered when it is over, as after an outage of a network.
//
// # Usage
//
//	p, err := slugfaultproxy.New("127.0.0.1:8080", backend, rand.Float64)
//	p.Hold(slugfaultproxy.Both, time.Second, 1)
//	p.Delay(100*time.Millisecond, time.Second, 1)
//	p.Reset(time.Second, 0.3)
//	p.Close()
package slugfaultproxy

import (
	"net"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugsocket"
)

// Directions names the directions of connections that a fault affects.
type Directions struct {
	// Outward is the direction from the client to the server, Inward the opposite one.
	Outward, Inward bool
}

// Both affects both directions.
var Both = Directions{Outward: true, Inward: true}

// Break is a connection that the proxy has reset.
type Break struct {
	// Connection is the address from which the proxy called the server.
	Connection string
	At         time.Time
}

// Receipt is a read of the bytes that a client sent.
type Receipt struct {
	// Connection is the address from which the proxy called the server.
	Connection string
	// ArrivedAt is when the bytes had reached the socket at the latest, and ReadAt when the proxy had
	// read them, which is later if it was short of processor time.
	ArrivedAt, ReadAt time.Time
}

// Proxy forwards the connections of one address to another one.
type Proxy struct {
	listener net.Listener
	target   string
	// random returns a number in [0, 1), which decides whether a fault affects a connection.
	random func() float64
	wg     sync.WaitGroup

	mu       sync.Mutex
	links    map[*link]struct{}
	active   []fault
	breaks   []Break
	receipts []Receipt
	closed   bool
}

// fault is a fault that affects new connections as well until it ends.
type fault struct {
	until time.Time
	share float64
	apply func(*link)
}

// link is a connection through the proxy.
type link struct {
	client, server  net.Conn
	outward, inward *pipe
}

// dialTimeout limits the time to reach the server, which runs on the same machine.
const dialTimeout = 5 * time.Second

// New returns a proxy that listens on an address.
func New(listen, target string, random func() float64) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, random: random, links: map[*link]struct{}{}}
	p.wg.Go(p.accept)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	// A listener that cannot be closed is closed already.
	_ = p.listener.Close()
	for l := range p.links {
		l.close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// Breaks returns the connections that were reset.
func (p *Proxy) Breaks() []Break {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Break(nil), p.breaks...)
}

// Receipts returns what was read of clients, in this order.
func (p *Proxy) Receipts() []Receipt {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Receipt(nil), p.receipts...)
}

// Hold keeps all bytes of a share of the connections back for d.
func (p *Proxy) Hold(which Directions, d time.Duration, share float64) {
	until := time.Now().Add(d)
	p.inject(fault{until, share, func(l *link) {
		if which.Outward {
			l.outward.hold(until)
		}
		if which.Inward {
			l.inward.hold(until)
		}
	}})
}

// Delay delivers the bytes that a share of the connections receives within d later by delay.
func (p *Proxy) Delay(delay, d time.Duration, share float64) {
	until := time.Now().Add(d)
	p.inject(fault{until, share, func(l *link) {
		l.outward.delay(delay, until)
		l.inward.delay(delay, until)
	}})
}

// Reset resets a share of the connections, and of the new ones for d.
func (p *Proxy) Reset(d time.Duration, share float64) {
	p.inject(fault{time.Now().Add(d), share, func(l *link) {
		p.breaks = append(p.breaks, Break{l.server.LocalAddr().String(), time.Now()})
		l.reset()
	}})
}

// inject applies a fault to the open connections and keeps it for new ones.
func (p *Proxy) inject(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active = append(p.active, f)
	for l := range p.links {
		if p.random() < f.share {
			f.apply(l)
		}
	}
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.forward(c) })
	}
}

// forward serves a connection until both directions have ended.
func (p *Proxy) forward(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		// The client sees the end of its connection.
		_ = client.Close()
		return
	}
	l := &link{client, server, newPipe(func() { p.received(client, server) }), newPipe(nil)}
	if !p.add(l) {
		l.close()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.outward.copy(server, client, l) })
	wg.Go(func() { l.inward.copy(client, server, l) })
	wg.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
	l.close()
}

// received records that bytes of a client were read.
func (p *Proxy) received(client, server net.Conn) {
	state, err := slugsocket.StateOf(client)
	now := time.Now()
	r := Receipt{server.LocalAddr().String(), now, now}
	if err == nil {
		r.ArrivedAt = now.Add(-state.DataAge)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.receipts = append(p.receipts, r)
}

// add registers a connection and applies the faults in effect. It returns false if the proxy
// is closed.
func (p *Proxy) add(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.links[l] = struct{}{}
	now, left := time.Now(), p.active[:0]
	for _, f := range p.active {
		if f.until.After(now) {
			left = append(left, f)
			if p.random() < f.share {
				f.apply(l)
			}
		}
	}
	p.active = left
	return true
}

func (l *link) close() {
	// Errors mean that a connection is closed already.
	_ = l.client.Close()
	_ = l.server.Close()
	l.outward.stop()
	l.inward.stop()
}

// reset closes both connections so that the peers receive a reset.
func (l *link) reset() {
	for _, c := range []net.Conn{l.client, l.server} {
		if t, ok := c.(*net.TCPConn); ok {
			// It fails only on a closed connection.
			_ = t.SetLinger(0)
		}
	}
	l.close()
}

// closeWrite passes the end of a direction on.
func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// It fails only on a closed connection.
		_ = t.CloseWrite()
	}
}

// Package slugmesh is an in-memory network for tests under testing/synctest. Bytes
// sent while two hosts are cut off from each other arrive after the cut heals, as
// the kernel's would, unless the connection was reset before.
//
// # Usage
//
//	m := slugmesh.New()
//	a := m.Host("host-1")
//	l, err := a.Listen("tcp", "host-1:80")
//	c, err := m.Host("host-2").Dial(ctx, "tcp", "host-1:80")
//	m.Cut("host-1", "host-2", true)
package slugmesh

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugnetwork"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

// pair is two hosts in order of name.
type pair struct{ a, b string }

func pairOf(a, b string) pair {
	if a > b {
		a, b = b, a
	}
	return pair{a, b}
}

// Mesh is the network.
type Mesh struct {
	mu        sync.Mutex
	listeners map[string]*listener
	peers     map[string]*peer
	cuts      map[pair]bool
	// isolated are hosts that reach no other.
	isolated map[string]bool
	conns    map[*conn]bool
	// changed is closed when a cut heals.
	changed chan struct{}
	next    int
}

// New returns a network without hosts.
func New() *Mesh {
	return &Mesh{
		listeners: map[string]*listener{}, peers: map[string]*peer{}, cuts: map[pair]bool{}, isolated: map[string]bool{},
		conns: map[*conn]bool{}, changed: make(chan struct{}),
	}
}

// errRefused says that nobody listens.
var errRefused = errors.New("connection refused")

// Cut cuts two hosts off from each other, or heals the cut.
func (m *Mesh) Cut(a, b string, cut bool) {
	m.change(func() { m.cuts[pairOf(a, b)] = cut })
}

// Isolate cuts a host off from all others, or heals that.
func (m *Mesh) Isolate(host string, cut bool) {
	m.change(func() { m.isolated[host] = cut })
}

func (m *Mesh) change(f func()) {
	m.mu.Lock()
	f()
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
	for _, c := range m.open() {
		c.in.wake()
	}
}

// Silence makes all present connections between two hosts go silent for good. New
// connections work.
func (m *Mesh) Silence(a, b string) {
	for _, c := range m.open() {
		if pairOf(c.local, c.remote) == pairOf(a, b) {
			c.in.silence()
		}
	}
}

// open returns all open ends of connections. A direction's lock is taken before
// the network's, so it must not be taken while the network's is held.
func (m *Mesh) open() []*conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*conn, 0, len(m.conns))
	for c := range m.conns {
		out = append(out, c)
	}
	return out
}

// Connections returns the number of open connections between two hosts.
func (m *Mesh) Connections(a, b string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for c := range m.conns {
		if pairOf(c.local, c.remote) == pairOf(a, b) {
			n++
		}
	}
	return n / 2
}

// cut reports whether two hosts are cut off from each other, and a channel that is
// closed when that may have changed.
func (m *Mesh) cut(a, b string) (bool, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cuts[pairOf(a, b)] || a != b && (m.isolated[a] || m.isolated[b]), m.changed
}

// Host returns a host's way into the network.
func (m *Mesh) Host(name string) *slugnetwork.Network {
	return &slugnetwork.Network{
		Listen: func(_, address string) (net.Listener, error) { return m.listen(name, address) },
		Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			return m.dial(ctx, name, address, false)
		},
		DialReset: func(ctx context.Context, _, address string) (net.Conn, error) {
			return m.dial(ctx, name, address, true)
		},
		Peers: func(string, *slugevent.Log) (slugpeer.Carrier, error) { return m.newPeer(name), nil },
	}
}

// port returns an unused number.
func (m *Mesh) port() int {
	m.next++
	return m.next
}

func (m *Mesh) listen(host, address string) (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, port, err := net.SplitHostPort(address); err != nil || port == "0" {
		address = fmt.Sprintf("%s:%d", host, 1000+m.port())
	}
	if m.listeners[address] != nil {
		return nil, errors.Newf("listen %s: address in use", address)
	}
	l := &listener{mesh: m, host: host, address: address, accepted: make(chan *conn, 256), closed: make(chan struct{})}
	m.listeners[address] = l
	return l, nil
}

// dialTimeout bounds the setup of a connection.
const dialTimeout = time.Second

// dial opens a connection. It waits while the hosts are cut off, as a connection
// whose first packet is lost does.
func (m *Mesh) dial(ctx context.Context, host, address string, reset bool) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	for {
		m.mu.Lock()
		l := m.listeners[address]
		m.mu.Unlock()
		if l == nil {
			return nil, errors.Wrapf(errRefused, "dial %s", address)
		}
		cut, changed := m.cut(host, l.host)
		if !cut {
			return l.connect(host, reset)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// listener takes connections.
type listener struct {
	mesh     *Mesh
	host     string
	address  string
	accepted chan *conn
	once     sync.Once
	closed   chan struct{}
}

func (l *listener) connect(from string, reset bool) (net.Conn, error) {
	a, b := l.mesh.newPair(from, l, reset)
	select {
	case l.accepted <- b:
		return a, nil
	case <-l.closed:
		return nil, errors.Wrapf(errRefused, "dial %s", l.address)
	}
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops taking connections.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.mesh.mu.Lock()
		defer l.mesh.mu.Unlock()
		delete(l.mesh.listeners, l.address)
	})
	return nil
}

// Addr returns the address.
func (l *listener) Addr() net.Addr { return address(l.address) }

// address is the address of a listener or a connection.
type address string

// Network returns "mesh".
func (address) Network() string { return "mesh" }

// String returns the address.
func (a address) String() string { return string(a) }

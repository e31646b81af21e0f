// Package slugmesh implements an in-memory network with fault injection, for tests
// under testing/synctest. Like TCP retransmission by the kernel, it delivers bytes
// that were sent during a partition once the partition heals, unless the connection
// was reset before.
//
// # Usage
//
//	m := slugmesh.New()
//	a := m.Host("host-1")
//	l, err := a.Listen("tcp", "host-1:80")
//	c, err := m.Host("host-2").Dial(ctx, "tcp", "host-1:80")
//	m.Partition("host-1", "host-2", true)
package slugmesh

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugnetwork"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

// hostPair is an unordered pair of hosts; a sorts before b.
type hostPair struct{ a, b string }

func makeHostPair(a, b string) hostPair {
	if a > b {
		a, b = b, a
	}
	return hostPair{a, b}
}

// Mesh is an in-memory network.
type Mesh struct {
	mu         sync.Mutex
	listeners  map[string]*listener
	peers      map[string]*peer
	partitions map[hostPair]bool
	// isolated is the set of hosts that are partitioned from all others.
	isolated map[string]bool
	// refused are the pairs of hosts between which new connections are refused.
	refused map[hostPair]bool
	conns   map[*conn]bool
	// changed is closed and replaced on every change of a partition.
	changed  chan struct{}
	lastPort int
	// emptyMessages counts the messages between processes that carried nothing.
	emptyMessages int
}

// New returns an empty network.
func New() *Mesh {
	return &Mesh{
		listeners: map[string]*listener{}, peers: map[string]*peer{}, partitions: map[hostPair]bool{}, isolated: map[string]bool{},
		refused: map[hostPair]bool{},
		conns:   map[*conn]bool{}, changed: make(chan struct{}),
	}
}

// errRefused is returned when nothing listens on the address.
var errRefused error = syscall.ECONNREFUSED

// Partition partitions two hosts from each other, or heals the partition.
func (m *Mesh) Partition(a, b string, partitioned bool) {
	m.updatePartitions(func() { m.partitions[makeHostPair(a, b)] = partitioned })
}

// Refuse makes new connections between two hosts fail at once, or lets them be opened again.
// Open connections stay.
func (m *Mesh) Refuse(a, b string, refused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused[makeHostPair(a, b)] = refused
}

// Isolate partitions a host from all others, or heals that partition. It doesn't
// change partitions made by Partition.
func (m *Mesh) Isolate(host string, partitioned bool) {
	m.updatePartitions(func() { m.isolated[host] = partitioned })
}

func (m *Mesh) updatePartitions(update func()) {
	m.mu.Lock()
	update()
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
	for _, c := range m.openConns() {
		c.in.wake()
	}
}

// StallConnections stalls all open connections between two hosts permanently: they stay open
// but deliver nothing more. New connections work.
func (m *Mesh) StallConnections(a, b string) {
	for _, c := range m.openConns() {
		if makeHostPair(c.local, c.remote) == makeHostPair(a, b) {
			c.in.stall()
		}
	}
}

// openConns returns a snapshot of both ends of all open connections. Callers lock a
// direction of a connection only after m.mu is released: the lock order is direction
// first, then Mesh.
func (m *Mesh) openConns() []*conn {
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
		if makeHostPair(c.local, c.remote) == makeHostPair(a, b) {
			n++
		}
	}
	return n / 2
}

// partitioned reports whether two hosts are partitioned from each other, and returns a
// channel that is closed when that may have changed.
func (m *Mesh) partitioned(a, b string) (bool, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.partitions[makeHostPair(a, b)] || a != b && (m.isolated[a] || m.isolated[b]), m.changed
}

// Host returns the network as seen by the named host.
func (m *Mesh) Host(name string) *slugnetwork.Network {
	return &slugnetwork.Network{
		Listen: func(_, address string) (net.Listener, error) { return m.listen(name, address) },
		Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			return m.dial(ctx, name, address, false)
		},
		DialReset: func(ctx context.Context, _, address string) (net.Conn, error) {
			return m.dial(ctx, name, address, true)
		},
		Peers: func(string, *slugevent.Log) (slugpeer.Transport, error) { return m.newPeer(name), nil },
	}
}

// nextPort returns an unused number, which callers add to their first port; m.mu is held.
func (m *Mesh) nextPort() int {
	m.lastPort++
	return m.lastPort
}

// listen opens a listener. An address without a port, or with port 0, is replaced by an
// address of the host with a generated port.
func (m *Mesh) listen(host, address string) (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, port, err := net.SplitHostPort(address); err != nil || port == "0" {
		address = fmt.Sprintf("%s:%d", host, 1000+m.nextPort())
	}
	if m.listeners[address] != nil {
		return nil, errors.Newf("listen %s: address in use", address)
	}
	l := &listener{mesh: m, host: host, address: address, pending: make(chan *conn, 256), closed: make(chan struct{})}
	m.listeners[address] = l
	return l, nil
}

// dialTimeout limits the time to establish a connection.
const dialTimeout = time.Second

// dial opens a connection from a host to an address. While the hosts are partitioned
// it waits, as TCP does when its SYN packets are lost. With reset, closing the
// connection resets it.
func (m *Mesh) dial(ctx context.Context, host, address string, reset bool) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	for {
		m.mu.Lock()
		l := m.listeners[address]
		refused := l != nil && m.refused[makeHostPair(host, l.host)]
		m.mu.Unlock()
		if l == nil || refused {
			return nil, errors.Wrapf(errRefused, "dial %s", address)
		}
		partitioned, changed := m.partitioned(host, l.host)
		if !partitioned {
			return l.connect(host, reset)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// listener implements net.Listener.
type listener struct {
	mesh    *Mesh
	host    string
	address string
	// pending is the backlog of connections that were not accepted yet.
	pending   chan *conn
	closeOnce sync.Once
	closed    chan struct{}
}

func (l *listener) connect(from string, reset bool) (net.Conn, error) {
	client, server := l.mesh.newConnPair(from, l, reset)
	select {
	case l.pending <- server:
		return client, nil
	case <-l.closed:
		return nil, errors.Wrapf(errRefused, "dial %s", l.address)
	}
}

// Accept waits for the next connection and returns it.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.pending:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops listening. Connections that were accepted stay open.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.mesh.mu.Lock()
		defer l.mesh.mu.Unlock()
		delete(l.mesh.listeners, l.address)
	})
	return nil
}

// Addr returns the address of the listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

// address implements net.Addr for listeners and connections.
type address string

// Network returns "mesh".
func (address) Network() string { return "mesh" }

// String returns the address.
func (a address) String() string { return string(a) }

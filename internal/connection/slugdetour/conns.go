package slugdetour

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

// directConn is a direct connection to an endpoint.
type directConn struct {
	net.Conn
	dialer  *Dialer
	address string
	// heardAt is when bytes of the endpoint last arrived, or when the connection was opened, in
	// nanoseconds since the Unix epoch.
	heardAt atomic.Int64
}

// Read implements net.Conn.
func (c *directConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heardAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// Close implements net.Conn.
func (c *directConn) Close() error {
	c.dialer.forget(c)
	return c.Conn.Close()
}

// track returns a direct connection that is known as open until it is closed.
func (d *Dialer) track(conn net.Conn, address string) net.Conn {
	c := &directConn{Conn: conn, dialer: d, address: address}
	c.heardAt.Store(time.Now().UnixNano())
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open[address] == nil {
		d.open[address] = map[*directConn]bool{}
	}
	d.open[address][c] = true
	return c
}

func (d *Dialer) forget(c *directConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.open[c.address], c)
	if len(d.open[c.address]) == 0 {
		delete(d.open, c.address)
	}
}

// closeSilent closes the direct connections to an address on which nothing has arrived since a
// direct attempt began that got no answer. Requests would wait there until the kernel gives up.
func (d *Dialer) closeSilent(address string, since time.Time) {
	d.mu.Lock()
	var silent []*directConn
	for c := range d.open[address] {
		if c.heardAt.Load() < since.UnixNano() {
			silent = append(silent, c)
		}
	}
	d.mu.Unlock()
	for _, c := range silent {
		_ = c.Close()
	}
}

// checkOthers checks the paths of all open connections, a few at a time. Those on which nothing
// arrives any more would otherwise be used until a new one is needed.
func (d *Dialer) checkOthers() {
	d.mu.Lock()
	addresses := make([]string, 0, len(d.open))
	for address := range d.open {
		addresses = append(addresses, address)
	}
	d.mu.Unlock()
	slices.Sort(addresses)
	for _, address := range addresses {
		if d.paths.IsLost(address) {
			continue
		}
		go func() {
			d.checks <- struct{}{}
			defer func() { <-d.checks }()
			if c, err := d.Dial(context.Background(), "tcp", address); err == nil {
				_ = c.Close()
			}
		}()
	}
}

// sharedConn is a connection through a peer.
type sharedConn struct {
	slugpeer.Stream
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *sharedConn) Close() error {
	c.once.Do(c.release)
	return c.Stream.Close()
}

// share counts an open connection through a peer or for one.
func (d *Dialer) share(address string, p slugname.Process, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.shared[address] == nil {
		d.shared[address] = map[slugname.Process]int{}
	}
	if d.shared[address][p] += n; d.shared[address][p] <= 0 {
		delete(d.shared[address], p)
	}
	if len(d.shared[address]) == 0 {
		delete(d.shared, address)
	}
}

// Sharing returns the peers with which connections to an address are shared.
func (d *Dialer) Sharing(address string) (out []slugname.Process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for p := range d.shared[address] {
		out = append(out, p)
	}
	slices.Sort(out)
	return out
}

package slugdetour

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

// A stream begins with the length of the address and the address. The peer responds with one of
// these bytes, and after answerOpen the bytes of the connection follow in both directions.
const (
	answerOpen = iota + 1
	// answerRefused means that the endpoint refuses connections.
	answerRefused
	// answerLost means that the peer does not reach the endpoint.
	answerLost
	// answerUnwanted means that the peer does not know the endpoint, or must send it nothing.
	answerUnwanted
	// answerBusy means that the peer opens no further connections for others.
	answerBusy
)

const (
	// maxServed bounds the connections that are open for peers.
	maxServed = 512
	// addressTimeout bounds the time until a peer has sent the address.
	addressTimeout = time.Second
	// serveTimeout bounds the direct attempt for a peer. It is shorter than peerTimeout, so that
	// the answer arrives in time.
	serveTimeout = 400 * time.Millisecond
	// lingerTimeout is how long a connection that the endpoint has ended stays open for the peer.
	lingerTimeout = 2 * time.Second
	// quietTime is the time without bytes after which no response is in progress. A sound
	// endpoint may pause for a second or so.
	quietTime = 1500 * time.Millisecond
	// drainChecks is the number of checks in quietTime.
	drainChecks = 10
	// maxAddress is the length of the longest address.
	maxAddress = 255
)

// ask sends an address to a peer and returns its answer.
func ask(s slugpeer.Stream, address string) (byte, error) {
	if len(address) > maxAddress {
		return 0, errors.Newf("address %q is too long", address)
	}
	if _, err := s.Write(append([]byte{byte(len(address))}, address...)); err != nil {
		return 0, err
	}
	var b [1]byte
	_, err := io.ReadFull(s, b[:])
	return b[0], err
}

// readAddress reads the address that a peer has sent.
func readAddress(s slugpeer.Stream) (string, error) {
	_ = s.SetReadDeadline(time.Now().Add(addressTimeout))
	defer func() { _ = s.SetReadDeadline(time.Time{}) }()
	var length [1]byte
	if _, err := io.ReadFull(s, length[:]); err != nil {
		return "", err
	}
	b := make([]byte, length[0])
	_, err := io.ReadFull(s, b)
	return string(b), err
}

// Serve opens a connection for a peer and copies bytes until one side ends.
func (d *Dialer) Serve(from slugname.Process, s slugpeer.Stream) {
	address, err := readAddress(s)
	if err != nil {
		s.Abort()
		return
	}
	conn, answer := d.openFor(address)
	_, err = s.Write([]byte{answer})
	if conn == nil {
		_ = s.CloseWrite()
		return
	}
	defer func() { <-d.served }()
	defer func() { _ = conn.Close() }()
	if err != nil {
		s.Abort()
		return
	}
	d.share(address, from, 1)
	defer d.share(address, from, -1)
	copyBoth(s, &activeConn{conn, &d.activeAt})
}

// activeConn records when bytes pass.
type activeConn struct {
	net.Conn
	// activeAt is in nanoseconds since the Unix epoch.
	activeAt *atomic.Int64
}

// Read implements net.Conn.
func (c *activeConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.activeAt.Store(time.Now().UnixNano())
	return n, err
}

// Write implements net.Conn.
func (c *activeConn) Write(b []byte) (int, error) {
	c.activeAt.Store(time.Now().UnixNano())
	return c.Conn.Write(b)
}

// Drain waits until no bytes have passed for a while on the connections that are open for peers,
// or ctx ends. Peers keep some of them open without a request.
func (d *Dialer) Drain(ctx context.Context) {
	for len(d.served) > 0 && time.Since(time.Unix(0, d.activeAt.Load())) < quietTime {
		if slugbackoff.Sleep(ctx, quietTime/drainChecks) != nil {
			return
		}
	}
}

// openFor opens a connection for a peer. The connection is nil unless the answer is answerOpen.
func (d *Dialer) openFor(address string) (net.Conn, byte) {
	switch {
	case !d.cfg.Allowed(address):
		return nil, answerUnwanted
	case d.paths.IsLost(address):
		return nil, answerLost
	}
	select {
	case d.served <- struct{}{}:
	default:
		return nil, answerBusy
	}
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	conn, err := d.cfg.Direct(ctx, "tcp", address)
	switch {
	case err == nil:
		return conn, answerOpen
	case errors.Is(err, syscall.ECONNREFUSED):
		<-d.served
		return nil, answerRefused
	}
	<-d.served
	return nil, answerLost
}

// copyBoth copies bytes between a peer and an endpoint. What the endpoint breaks off is broken
// off for the peer, so that an incomplete response does not look complete.
func copyBoth(s slugpeer.Stream, conn net.Conn) {
	requests := make(chan struct{})
	go func() {
		defer close(requests)
		_, _ = io.Copy(conn, s)
		// The peer has closed the connection, or has ended.
		_ = conn.Close()
	}()
	_, err := io.Copy(s, conn)
	if err != nil {
		s.Abort()
		<-requests
		return
	}
	_ = s.CloseWrite()
	_ = s.SetReadDeadline(time.Now().Add(lingerTimeout))
	<-requests
	_ = s.Close()
}

package slugserve

import (
	"net"
	"sync"
)

// limitedListener bounds the connections that are open at the same time, beyond which new ones wait.
// Unlike those of netutil.LimitListener, its connections give access to the socket.
type limitedListener struct {
	net.Listener
	// open holds an element for each open connection.
	open      chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

func newLimitedListener(l net.Listener, n int) *limitedListener {
	return &limitedListener{Listener: l, open: make(chan struct{}, n), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.open <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.open
		return nil, err
	}
	return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.open })}, nil
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn is a connection that counts until it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// NetConn returns the connection below.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// CloseWrite closes the writing side, if the connection supports it.
func (c *limitedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

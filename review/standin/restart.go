//go:build review

package main

import (
	"net"
	"sync"
	"time"
)

// resettable is a listener whose channels can be reset all at once, as when the process
// behind it ends.
type resettable struct {
	net.Listener
	mu    sync.Mutex
	conns map[net.Conn]bool
	held  time.Time
}

// holdUntil makes new channels wait until a time.
func (l *resettable) holdUntil(t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = t
}

// Accept implements net.Listener.
func (l *resettable) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	held := l.held
	l.mu.Unlock()
	time.Sleep(time.Until(held))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

// reset resets all channels.
func (l *resettable) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
		delete(l.conns, c)
	}
}

// crash closes the listener and resets all channels.
func (l *resettable) crash() {
	_ = l.Close()
	l.reset()
}

package slugfaultproxy

import (
	"net"
	"sync"
	"time"
)

// pipe is one direction of a connection.
type pipe struct {
	stopped  chan struct{}
	stopOnce sync.Once
	// onRead is called after bytes were read, before they are delivered; it may be nil.
	onRead func()

	mu sync.Mutex
	// heldUntil is when bytes are delivered again, and delayedUntil when bytes that are read
	// are delivered at once again.
	heldUntil, delayedUntil time.Time
	delayBy                 time.Duration
}

// chunk is what one read returned, and when to deliver it. Without data it is the end.
type chunk struct {
	data []byte
	due  time.Time
}

const (
	// chunkBytes is the size of one read, and maxChunks the number of reads that may wait to
	// be delivered. Beyond them the sender has to wait, as if a network were full.
	chunkBytes = 16 << 10
	maxChunks  = 64
)

func newPipe(onRead func()) *pipe { return &pipe{stopped: make(chan struct{}), onRead: onRead} }

func (p *pipe) stop() { p.stopOnce.Do(func() { close(p.stopped) }) }

func (p *pipe) hold(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until.After(p.heldUntil) {
		p.heldUntil = until
	}
}

func (p *pipe) delay(by time.Duration, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delayBy, p.delayedUntil = by, until
}

// due returns when bytes that are read now are delivered, if they aren't held.
func (p *pipe) due() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Before(p.delayedUntil) {
		return now.Add(p.delayBy)
	}
	return now
}

// wait waits until a chunk is to be delivered. It returns false if the pipe was stopped.
func (p *pipe) wait(due time.Time) bool {
	for {
		p.mu.Lock()
		at := p.heldUntil
		p.mu.Unlock()
		if due.After(at) {
			at = due
		}
		left := time.Until(at)
		if left <= 0 {
			return true
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-p.stopped:
			timer.Stop()
			return false
		}
	}
}

// copy delivers what src receives to dst, and its end. If dst cannot be written to, the whole
// connection is closed.
func (p *pipe) copy(dst, src net.Conn, l *link) {
	chunks := make(chan chunk, maxChunks)
	go p.read(src, chunks)
	for c := range chunks {
		if !p.wait(c.due) {
			break
		}
		if len(c.data) == 0 {
			closeWrite(dst)
			continue
		}
		if _, err := dst.Write(c.data); err != nil {
			l.close()
			break
		}
	}
	for range chunks {
		// The reader must not wait for room.
	}
}

// read reads until the connection ends.
func (p *pipe) read(src net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buf := make([]byte, chunkBytes)
		n, err := src.Read(buf)
		if n > 0 {
			if p.onRead != nil {
				p.onRead()
			}
			chunks <- chunk{buf[:n], p.due()}
		}
		if err != nil {
			chunks <- chunk{nil, p.due()}
			return
		}
	}
}

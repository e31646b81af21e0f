package slugserve

import (
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugsocket"
)

// Write implements net.Conn. It fails if the caller takes no byte for the time of
// Bounds.WriteStall.
func (c *connection) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.unanswered, c.responding = false, true
	stalled := c.writeStalled
	c.mu.Unlock()
	if stalled {
		return 0, os.ErrDeadlineExceeded
	}
	if c.server.cfg.Bounds.WriteStall == 0 {
		return c.Conn.Write(p)
	}
	return c.writeUnlessStalled(p)
}

// writeUnlessStalled writes p, and looks twice within Bounds.WriteStall whether the caller has
// taken anything. The kernel lets a write go on only when a third of its buffer is free, so that
// a caller that reads slowly may take bytes for long before it does.
func (c *connection) writeUnlessStalled(p []byte) (written int, err error) {
	stall := c.server.cfg.Bounds.WriteStall
	queued, still, begun := 0, 0, time.Now()
	for {
		// An error shows at the write.
		_ = c.SetWriteDeadline(time.Now().Add(stall / 2))
		n, err := c.Conn.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !c.open() {
			return written, err
		}
		// 0 if that is not known.
		now, _ := slugsocket.Unacknowledged(c.Conn)
		if n > 0 || now < queued {
			still, begun = 0, time.Now()
		}
		queued = now
		// One look is not enough: this process may have been stopped itself until just now.
		if still++; still < 2 {
			continue
		}
		c.mu.Lock()
		c.writeStalled = true
		c.mu.Unlock()
		c.server.refused(&c.server.counts.stalledWrites, slugevent.CallerStalled, c, fmt.Sprintf("no byte of the response taken for %s", time.Since(begun)))
		return written, err
	}
}

// open reports whether this process has not closed the connection.
func (c *connection) open() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedAt.IsZero()
}

package slugserve

import (
	"net/http"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugpresence"
	"github.com/sassafraslug/sassafraslug/internal/base/slugsocket"
)

// withPresence returns a request whose context tells of its caller.
func (c *connection) withPresence(r *http.Request) *http.Request {
	p := slugpresence.New(slugpresence.Config{ArrivedAt: c.arrivedAt, EndAge: c.endAge})
	return r.WithContext(p.Context(r.Context()))
}

// arrivedAt returns when the last bytes that were read arrived. Requests on one connection may
// arrive beside each other, so that the bytes that the kernel received last may not have been read
// yet.
func (c *connection) arrivedAt() time.Time {
	c.mu.Lock()
	at := c.readAt
	c.mu.Unlock()
	if s, err := slugsocket.StateOf(c.Conn); err == nil {
		if arrived := time.Now().Add(-s.DataAge); arrived.Before(at) {
			at = arrived
		}
	}
	return at
}

// endAge returns how long ago the caller ended the connection, as far as the kernel tells.
func (c *connection) endAge() (time.Duration, bool) {
	s, err := slugsocket.StateOf(c.Conn)
	if err != nil || !s.Ended {
		return 0, false
	}
	return s.SegmentAge, true
}

package slughttp

import (
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugresponse"
)

// conn is a connection on which the heads of responses are checked before net/http parses them.
type conn struct {
	net.Conn

	mu   sync.Mutex
	head slugresponse.Head
	// malformed is why a head was refused.
	malformed error
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

// expectHead expects the response to the next request.
func (c *conn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Expect()
}

// headComplete reports whether the whole head of the response was read since the request had the
// connection.
func (c *conn) headComplete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Complete()
}

// malformedHead returns why a head was refused, or nil.
func (c *conn) malformedHead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.malformed
}

// Read implements net.Conn. It fails at a malformed head. It returns at least one byte before,
// without which net/http would send the request again by itself.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.malformedHead(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	var sound int
	if sound, c.malformed = c.head.Feed(b[:n]); c.malformed != nil {
		return max(sound, 1), nil
	}
	return n, err
}

// chunkedBody is a body in chunks, after which fields may follow.
type chunkedBody struct {
	io.ReadCloser
	resp *http.Response
	conn *conn
}

// Read implements io.Reader. It fails at the end of the body if what follows is malformed.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if malformed := slugresponse.CheckTrailer(b.resp.Trailer); malformed != nil {
		return n, errors.CombineErrors(malformed, b.conn.Close())
	}
	return n, err
}

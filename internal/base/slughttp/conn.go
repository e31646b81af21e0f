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
	// latest is the response to the latest request, to which head belongs; nil means that there was
	// none yet.
	latest *response
	// outOfStep is set if a request got the connection before the response to the one before, for
	// which what is read next may be meant.
	outOfStep bool
	// refusal is why nothing more is read.
	refusal error
}

// response is the expected response to a request. net/http gives the connection to the next request
// as soon as a response without a body has been read, before the first request is told.
type response struct {
	// headComplete is set if the whole head was read since the request had the connection.
	headComplete bool
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

// expectResponse expects the response to the next request.
func (c *conn) expectResponse() *response {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest != nil && !c.latest.headComplete {
		c.outOfStep = true
	}
	c.latest = &response{}
	c.head.Expect()
	return c.latest
}

// headComplete reports whether the whole head of a response was read since its request had the
// connection.
func (c *conn) headComplete(r *response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return r.headComplete
}

// refused returns why nothing more is read, or nil.
func (c *conn) refused() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusal
}

// Read implements net.Conn. It fails at bytes that can't be a part of the response. It returns at
// least one byte before, without which net/http would send the request again by itself.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.refused(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var sound int
	if c.outOfStep {
		c.refusal = ErrUnrequested
	} else {
		sound, c.refusal = c.head.Feed(b[:n])
	}
	if c.refusal != nil {
		return max(sound, 1), nil
	}
	if c.latest != nil {
		c.latest.headComplete = c.head.Complete()
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

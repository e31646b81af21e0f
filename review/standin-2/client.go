//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// requestTimeout is the time limit of clients.
	requestTimeout = 5 * time.Second
	// lateAnswer is how long after it a client still reads.
	lateAnswer = time.Second
)

// request is one attempt of a client.
type request struct {
	ID, Method, Target string
	// Parts are the IDs of the parts of the prompt, each of one token; the last one belongs to
	// the request. There are none in requests to plain services.
	Parts []string
	// NoKey leaves the key out.
	NoKey bool
}

// head returns the head of the request.
func (q request) head() string {
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 0\r\n", q.Method, q.Target, hostName, q.ID, requestTimeout.Milliseconds())
	if !q.NoKey {
		h += "X-Key: " + key + "\r\n"
	}
	if len(q.Parts) > 0 {
		h += fmt.Sprintf("X-Model: m\r\nX-Token-Usage: %d,8\r\nX-Prompt-Prefix: %s:1\r\n", len(q.Parts), strings.Join(q.Parts, ":1,"))
	}
	return h + "\r\n"
}

// answer is what a client got.
type answer struct {
	// Status is 0 if there was no answer.
	Status int
	Signed bool
	Body   string
	// Err is why the answer is not complete.
	Err error
}

// client is a client with a channel that it keeps.
type client struct {
	host *host
	conn net.Conn
	r    *bufio.Reader
}

// do sends a request and reads its answer.
func (c *client) do(q request) (a answer) {
	if c.conn == nil {
		if c.conn, a.Err = net.DialTimeout("tcp", c.host.address("front"), time.Second); a.Err != nil {
			c.conn = nil
			return a
		}
		c.r = bufio.NewReader(c.conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(requestTimeout + lateAnswer))
	if _, a.Err = io.WriteString(c.conn, q.head()); a.Err != nil {
		c.close()
		return a
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: q.Method})
	if err != nil {
		c.close()
		return answer{Err: err}
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil || resp.Close {
		c.close()
	}
	return answer{resp.StatusCode, resp.Header.Get("X-Server-Signature") != "", string(b), err}
}

// close closes the channel.
func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Package slughead follows the bytes that an HTTP/1 server reads from a connection, without
// keeping them, and counts the lines and bytes of request heads and trailers. A head of very
// many short lines takes far more memory than its bytes once it is parsed, so that a limit on
// bytes alone does not bound it.
//
// It takes lines as net/http does: they end with a line feed. Where it reads a request otherwise
// than net/http, for example because the request is malformed, only the count is wrong.
//
// # Usage
//
//	var c slughead.Counter
//	n, err := conn.Read(p)
//	added := c.Feed(p[:n])
//	if added.Longest > limit || hold.Grow(added.Cost()) != nil {
//		refuse()
//	}
package slughead

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/sassafraslug/sassafraslug/internal/base/slugmemory"
)

const (
	// LineCost is the memory of a header line beside its bytes, in the header of the request
	// and in the copy that is forwarded. 400 heads of 3,700 to 5,400 lines took 90 to 113 bytes
	// a line without the copy.
	LineCost slugmemory.Bytes = 256
	// ByteCost is the memory of a byte of a head: in the header and in the buffer of a
	// connection to an endpoint.
	ByteCost slugmemory.Bytes = 2
	// maxPrefix is the part of a line that is kept until its end has arrived. It holds the
	// headers that tell how long the body is.
	maxPrefix = 64
	// http2Preface is the first line of an HTTP/2 connection, and prefaceLines the number of
	// lines to the end of that head, which has no header. With a header, net/http reads it as a
	// request.
	http2Preface = "PRI * HTTP/2.0"
	prefaceLines = 2
	// maxChunkDigits is the number of digits of the size of a chunk that net/http allows.
	maxChunkDigits = 16
)

// Cost returns the memory that lines with the given number of bytes take once they are parsed.
func Cost(lines, size int) slugmemory.Bytes {
	return slugmemory.Bytes(lines)*LineCost + slugmemory.Bytes(size)*ByteCost
}

// Added is what one Feed has read of heads and trailers.
type Added struct {
	Lines, Bytes int
	// Longest is the size of the longest request line, or of the header lines of the longest
	// head, in bytes so far.
	Longest int
}

// Cost returns the memory that was added.
func (a Added) Cost() slugmemory.Bytes { return Cost(a.Lines, a.Bytes) }

// state is what the next byte belongs to.
type state int

const (
	// stateStart is before the first byte of a request.
	stateStart state = iota
	// stateBlank is after an empty line before a request.
	stateBlank
	stateRequestLine
	stateHeader
	stateBody
	stateChunkSize
	stateChunk
	stateChunkEnd
	stateTrailer
	// stateOpaque is in another protocol.
	stateOpaque
)

// Counter follows one connection from its start. Its zero value is ready for use.
type Counter struct {
	state state
	// lines and size are those of the current head, or of the last one if it is complete, and
	// section is the size of its current part: the request line or the header lines.
	lines, size, section int
	// prefix is the beginning of the current line, and length its length so far.
	prefix [maxPrefix]byte
	length int
	// left is what is left of the body or the chunk, and chunked is set if the body has chunks.
	left    int64
	chunked bool
	// whole is the number of requests that were read whole and are not over.
	whole int
	// http2 is set if the request line is that of the HTTP/2 preface.
	http2 bool
}

// Opaque makes the counter ignore all bytes from now on. After the preface of HTTP/2 it does so by
// itself.
func (c *Counter) Opaque() { c.state = stateOpaque }

// IsOpaque reports whether the connection speaks another protocol.
func (c *Counter) IsOpaque() bool { return c.state == stateOpaque }

// InHead reports whether a part of a head was read, or an empty line before one.
func (c *Counter) InHead() bool { return c.state >= stateBlank && c.state <= stateHeader }

// InBody reports whether a head was read and its body or trailer is not complete.
func (c *Counter) InBody() bool { return c.state >= stateBody && c.state <= stateTrailer }

// InRequest reports whether a request was read whole and is not over.
func (c *Counter) InRequest() bool { return c.whole > 0 }

// Cost returns the memory of the current head, or of the last one if it is complete.
func (c *Counter) Cost() slugmemory.Bytes { return Cost(c.lines, c.size) }

// EndRequest notes that the last request is over, so that the counter does not stay in a body
// that net/http has found complete, or in empty lines after it. What was read of the next head is kept.
func (c *Counter) EndRequest() {
	c.whole = max(0, c.whole-1)
	if c.InBody() || c.state == stateBlank {
		c.state, c.length = stateStart, 0
	}
	if c.state == stateStart {
		c.lines, c.size, c.section = 0, 0, 0
	}
}

// Feed reads the next bytes of the connection.
func (c *Counter) Feed(p []byte) Added {
	var a Added
	for len(p) > 0 {
		switch c.state {
		case stateOpaque:
			return a
		case stateBody, stateChunk:
			n := min(c.left, int64(len(p)))
			c.left, p = c.left-n, p[n:]
			if c.left == 0 {
				c.endData()
			}
		default:
			p = c.feedLine(p, &a)
		}
	}
	return a
}

// feedLine reads up to the end of the current line and returns the rest.
func (c *Counter) feedLine(p []byte, a *Added) []byte {
	if c.state == stateStart {
		c.state, c.lines, c.size, c.section = stateRequestLine, 0, 0, 0
		c.left, c.chunked, c.http2 = 0, false, false
	}
	if c.state == stateBlank {
		c.state = stateRequestLine
	}
	n := bytes.IndexByte(p, '\n')
	ended := n >= 0
	if !ended {
		n = len(p) - 1
	}
	if c.length < maxPrefix {
		copy(c.prefix[c.length:], p[:n+1])
	}
	c.length += n + 1
	c.count(n+1, ended, a)
	if ended {
		c.endLine()
		c.length = 0
	}
	return p[n+1:]
}

// count adds n bytes of a line to the current head or trailer.
func (c *Counter) count(n int, ended bool, a *Added) {
	if c.state != stateRequestLine && c.state != stateHeader && c.state != stateTrailer {
		return
	}
	a.Bytes, c.size, c.section = a.Bytes+n, c.size+n, c.section+n
	if ended {
		a.Lines++
		c.lines++
	}
	a.Longest = max(a.Longest, c.section)
}

// endLine acts on a complete line.
func (c *Counter) endLine() {
	line := strings.TrimSuffix(strings.TrimSuffix(string(c.prefix[:min(c.length, maxPrefix)]), "\n"), "\r")
	switch c.state {
	case stateRequestLine:
		if line == "" {
			c.state = stateBlank
			return
		}
		c.state, c.section, c.http2 = stateHeader, 0, line == http2Preface
	case stateHeader:
		if line == "" {
			c.endHead()
			return
		}
		c.readFraming(line)
	case stateChunkSize:
		c.readChunkSize(line)
	case stateChunkEnd:
		c.state = stateChunkSize
	case stateTrailer:
		if line == "" {
			c.endBody()
		}
	}
}

// readFraming reads the headers that tell how long the body is.
func (c *Counter) readFraming(line string) {
	name, value, _ := strings.Cut(line, ":")
	value = strings.TrimSpace(value)
	switch {
	case strings.EqualFold(name, "Content-Length"):
		// An invalid length ends the connection.
		c.left, _ = strconv.ParseInt(value, 10, 64)
	case strings.EqualFold(name, "Transfer-Encoding"):
		c.chunked = strings.EqualFold(value, "chunked")
	}
}

// endHead goes on after the empty line at the end of a head.
func (c *Counter) endHead() {
	switch {
	case c.http2 && c.lines == prefaceLines:
		c.state = stateOpaque
	case c.chunked:
		c.state = stateChunkSize
	case c.left > 0:
		c.state = stateBody
	default:
		c.endBody()
	}
}

// endBody goes on after the last byte of a request.
func (c *Counter) endBody() {
	c.state = stateStart
	c.whole++
}

// endData goes on after a body or the data of a chunk.
func (c *Counter) endData() {
	if c.state == stateBody {
		c.endBody()
		return
	}
	c.state = stateChunkEnd
}

// readChunkSize reads the line before a chunk.
func (c *Counter) readChunkSize(line string) {
	digits, _, _ := strings.Cut(line, ";")
	digits = strings.TrimSpace(digits)
	size, err := strconv.ParseInt(digits, 16, 64)
	switch {
	case err != nil || len(digits) > maxChunkDigits || size < 0:
		// net/http ends the connection.
		c.state, c.left = stateBody, 1<<62
	case size == 0:
		c.state, c.section = stateTrailer, 0
	default:
		c.state, c.left = stateChunk, size
	}
}

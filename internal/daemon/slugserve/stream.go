package slugserve

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
)

// streamPart is the most that one write to an HTTP/2 stream is watched for as a whole.
const streamPart = 16 << 10

// stream watches the reads and writes of one HTTP/2 request. Those of HTTP/1 are watched at the
// connection.
type stream struct {
	http.ResponseWriter
	ctrl *http.ResponseController
	conn *connection
	body io.ReadCloser
	// writing ends the stream when its caller takes nothing.
	writing *time.Timer
	// begun is when the body was first read, and read is what was read of it.
	begun time.Time
	read  int
}

// watchStream returns the writer and the request that watch an HTTP/2 stream.
func (s *Server) watchStream(c *connection, w http.ResponseWriter, r *http.Request) (*stream, *http.Request) {
	x := &stream{ResponseWriter: w, ctrl: http.NewResponseController(w), conn: c, body: r.Body}
	if s.cfg.Bounds.BodyStall > 0 && r.ContentLength != 0 {
		r = r.WithContext(r.Context())
		r.Body = &streamBody{x}
	}
	return x, r
}

// streamBody is the body of a request on a stream.
type streamBody struct{ *stream }

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) {
	if b.begun.IsZero() {
		b.begun = time.Now()
	}
	bounds := &b.conn.server.cfg.Bounds
	timer := time.AfterFunc(time.Until(b.begun.Add(bounds.bodyTime(b.read))), func() {
		b.conn.server.refused(&b.conn.server.counts.stalledReads, slugevent.CallerStalled, b.conn, fmt.Sprintf("body incomplete after %s", time.Since(b.begun)))
		// The read returns in any case when the stream ends.
		_ = b.ctrl.SetReadDeadline(time.Now())
	})
	defer timer.Stop()
	n, err := b.body.Read(p)
	b.read += n
	return n, err
}

// Close implements io.Closer.
func (b *streamBody) Close() error { return b.body.Close() }

// Write implements http.ResponseWriter.
func (x *stream) Write(p []byte) (written int, err error) {
	for {
		part := p[written:min(written+streamPart, len(p))]
		stop := x.watchWrite()
		n, err := x.ResponseWriter.Write(part)
		stop()
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// FlushError sends what was written, as http.ResponseController.Flush does.
func (x *stream) FlushError() error {
	defer x.watchWrite()()
	return x.ctrl.Flush()
}

// Flush implements http.Flusher.
func (x *stream) Flush() {
	// A flush fails only if the caller disconnected, which the next write reports.
	_ = x.FlushError()
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (x *stream) Unwrap() http.ResponseWriter { return x.ResponseWriter }

// watchWrite ends the stream unless the result is called within Bounds.WriteStall.
func (x *stream) watchWrite() (stop func()) {
	stall := x.conn.server.cfg.Bounds.WriteStall
	if stall == 0 {
		return func() {}
	}
	if x.writing == nil {
		x.writing = time.AfterFunc(stall, x.stalled)
	} else {
		x.writing.Reset(stall)
	}
	return func() { x.writing.Stop() }
}

// stalled ends the stream.
func (x *stream) stalled() {
	x.conn.server.refused(&x.conn.server.counts.stalledWrites, slugevent.CallerStalled, x.conn, "no byte of the response taken on a stream")
	// The write returns in any case when the stream ends.
	_ = x.ctrl.SetWriteDeadline(time.Now())
}

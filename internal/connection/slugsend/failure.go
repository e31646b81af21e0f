package slugsend

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbody"
)

const (
	// maxFailure bounds the body of a failure.
	maxFailure slugbody.Limit = 4 << 20
	// failureTimeout bounds the time that the body of a failure takes. A sound endpoint may
	// pause for a second or so.
	failureTimeout = 2 * time.Second
	// maxErrorBytes limits how much of a failure ErrorText quotes.
	maxErrorBytes = 1 << 10
)

// ErrEndlessFailure means that the body of a failure did not end in time.
var ErrEndlessFailure = errors.Newf("body of the failure did not end within %s", failureTimeout)

// isFailure reports whether a status is that of a failure.
func isFailure(status int) bool { return status >= http.StatusBadRequest }

// failureBody is the body of a failure, which is bounded in size and in time: a faulty
// endpoint may send bytes until its connection is closed.
type failureBody struct {
	io.ReadCloser
	bounded io.Reader
	timer   *time.Timer
	expired atomic.Bool
}

// boundFailure bounds the body of the response if that is a failure.
func (e *Exchange) boundFailure() {
	if !isFailure(e.Response.StatusCode) {
		return
	}
	conn, body := e.conn, e.Response.Body
	f := &failureBody{ReadCloser: body, bounded: maxFailure.Reader(body)}
	f.timer = time.AfterFunc(failureTimeout, func() {
		f.expired.Store(true)
		if conn != nil {
			_ = conn.Close()
		}
		_ = body.Close()
	})
	e.Response.Body = f
}

// Read implements io.Reader. The timer must not outlive the response, since its connection
// may then serve another request.
func (f *failureBody) Read(b []byte) (int, error) {
	n, err := f.bounded.Read(b)
	if err != nil {
		f.timer.Stop()
	}
	if err != nil && !errors.Is(err, io.EOF) && f.expired.Load() {
		err = ErrEndlessFailure
	}
	return n, err
}

// Close implements io.Closer.
func (f *failureBody) Close() error {
	f.timer.Stop()
	return f.ReadCloser.Close()
}

// ErrorText returns the beginning of the body of a failure, for the text of an error.
func (e *Exchange) ErrorText() string {
	// The text is incomplete anyway.
	b, _ := io.ReadAll(io.LimitReader(e.Response.Body, maxErrorBytes))
	return strings.TrimSpace(string(b))
}

package slugsend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugbody"
	"gotest.tools/v3/assert"
)

// newRawSender returns a Sender whose connections lead to respond, which is called for each
// request.
func newRawSender(respond func(w io.Writer)) *Sender {
	return New(Config{Dial: func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer func() { _ = server.Close() }()
			for in := bufio.NewReader(server); ; {
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				respond(server)
			}
		}()
		return client, nil
	}})
}

// writeWithoutEnd writes chunks of size bytes every interval until w is closed.
func writeWithoutEnd(w io.Writer, chunk string, interval time.Duration) {
	for {
		if _, err := io.WriteString(w, chunk); err != nil {
			return
		}
		time.Sleep(interval)
	}
}

// TestFailureWithoutEnd guards against the body of a failure that has no end and keeps its
// reader, however fast it arrives.
func TestFailureWithoutEnd(t *testing.T) {
	for name, write := range map[string]func(w io.Writer){
		"fast": func(w io.Writer) {
			writeWithoutEnd(w, "4000\r\n"+strings.Repeat("x", 0x4000)+"\r\n", time.Microsecond)
		},
		"slow":   func(w io.Writer) { writeWithoutEnd(w, "1\r\nx\r\n", 100*time.Millisecond) },
		"paused": func(io.Writer) { time.Sleep(time.Hour) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRawSender(func(w io.Writer) {
					_, _ = io.WriteString(w, "HTTP/1.1 500 x\r\nTransfer-Encoding: chunked\r\n\r\n")
					write(w)
				})
				startedAt := time.Now()
				resp, _, err := s.Send(t.Context(), Request{Method: http.MethodPost, URL: "http://a/"})
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				if name == "fast" {
					assert.ErrorIs(t, err, slugbody.ErrTooLong)
				} else {
					assert.ErrorIs(t, err, ErrEndlessFailure)
				}
				assert.Assert(t, time.Since(startedAt) <= failureTimeout)
				assert.NilError(t, resp.Body.Close())
				time.Sleep(2 * time.Hour)
			})
		})
	}
}

// TestFailureBoundOutlivesResponse guards against the time limit of a failure that closes
// its connection while that serves another request.
func TestFailureBoundOutlivesResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requests := 0
		s := newRawSender(func(w io.Writer) {
			requests++
			if requests == 1 {
				_, _ = io.WriteString(w, "HTTP/1.1 500 x\r\nContent-Length: 5\r\n\r\nerror")
				return
			}
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")
			time.Sleep(2 * failureTimeout)
			_, _ = io.WriteString(w, "fine")
		})
		for _, want := range []string{"error", "fine"} {
			e, err := s.Open(t.Context(), Request{Method: http.MethodGet, URL: "http://a/", Repeatable: true})
			assert.NilError(t, err)
			b, err := io.ReadAll(e.Response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(b), want)
			assert.Equal(t, e.Reused, want == "fine")
		}
		s.CloseIdle()
	})
}

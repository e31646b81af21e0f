package slugresponse

import (
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// feed feeds a response in parts of the given size to a new Head, and returns the number of bytes
// before the malformed one.
func feed(response string, size int) (h *Head, n int, err error) {
	h = &Head{}
	h.Expect()
	for n < len(response) && err == nil {
		var sound int
		sound, err = h.Feed([]byte(response[n:min(n+size, len(response))]))
		n += sound
	}
	return h, n, err
}

// TestStatusLineOfNoResponse guards against a status line that is passed on as a response although
// its status is none, or that is refused although it is sound.
func TestStatusLineOfNoResponse(t *testing.T) {
	const rest = "\r\nContent-Length: 0\r\n\r\n"
	for line, sound := range map[string]bool{
		"HTTP/1.1 200 OK": true, "HTTP/1.0 200 OK": true, "HTTP/1.1 200": true, "HTTP/1.1 200 ": true, "HTTP/1.1 599 x": true,
		"HTTP/1.1 204 No Content": true, "HTTP/1.1 304 x": true, "HTTP/1.1 418 x y": true, "HTTP/1.1 503 " + strings.Repeat("x", 100): true,
		"HTTP/1.1 000 x": false, "HTTP/1.1 099 x": false, "HTTP/1.1 -00 x": false, "HTTP/1.1 +20 x": false, "HTTP/1.1 600 x": false,
		"HTTP/1.1 999 x": false, "HTTP/1.1 101 x": false, "HTTP/1.1 20 x": false, "HTTP/1.1 2000 x": false, "HTTP/1.1 20x": false,
		"HTTP/1.1": false, "HTTP/1.1 ": false, "HTTP/2.0 200 OK": false, "HTTP/0.9 200 OK": false, "http/1.1 200 OK": false,
		"": false, " HTTP/1.1 200 OK": false, "\x00\x01\x02": false, "ICY 200 OK": false,
	} {
		for _, interim := range []string{"", "HTTP/1.1 103 x\r\nLink: <a>\r\n\r\n"} {
			for size := 1; size < 40; size++ {
				h, n, err := feed(interim+line+rest, size)
				assert.Equal(t, err == nil, sound, "%q: %v", line, err)
				assert.Equal(t, h.Complete(), sound, "%q", line)
				if !sound {
					assert.Assert(t, errors.Is(err, ErrMalformed), "%v", err)
					assert.Assert(t, n <= len(interim)+len(line)+1, "%q: %d", line, n)
				}
			}
		}
	}
}

// TestLineThatNamesNoField guards against a line of a head that parsers keep although it names no
// field, and against a sound line that is refused.
func TestLineThatNamesNoField(t *testing.T) {
	for line, sound := range map[string]bool{
		"": true, "A: b\r\n": true, "A:\r\n": true, "A: b\n": true, "!#$%&'*+-.^_`|~09azAZ: b\r\n": true, "A: \xe9 \t:\r\nB: \r\n": true,
		"A B: c\r\n": false, "A : b\r\n": false, "A\t: b\r\n": false, " A: b\r\n": false, "A: b\r\n B: c\r\n": false, "A: b\r\n\tc\r\n": false,
		": b\r\n": false, "A\r\n": false, "A\rB: c\r\n": false, "\rA: b\r\n": false, "A\x00: b\r\n": false, "\x7f: b\r\n": false,
		"A\xe9: b\r\n": false, "A(b): c\r\n": false, "A\"b: c\r\n": false, "A/b: c\r\n": false,
	} {
		for _, interim := range []bool{false, true} {
			response := "HTTP/1.1 200 OK\r\n" + line + "\r\n"
			if interim {
				response = "HTTP/1.1 103 x\r\n" + line + "\r\nHTTP/1.1 200 OK\r\n\r\n"
			}
			for size := 1; size < len(response)+1; size++ {
				h, _, err := feed(response, size)
				assert.Equal(t, err == nil, sound, "%q: %v", line, err)
				assert.Equal(t, h.Complete(), sound, "%q", line)
			}
		}
	}
}

// TestTransferEncodingOfOldProtocol guards against a response of HTTP/1.0 with a transfer encoding,
// whose body parsers read to the end of the connection, and against others that are refused.
func TestTransferEncodingOfOldProtocol(t *testing.T) {
	for response, sound := range map[string]bool{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                           false,
		"HTTP/1.0 200 OK\r\nA: b\r\ntransfer-encoding:x\r\n\r\n":                          false,
		"HTTP/1.1 103 x\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":     false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                           true,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding-Used: chunked\r\n\r\n":                      true,
		"HTTP/1.0 200 OK\r\nX-Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n":    true,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding" + strings.Repeat("x", 100) + ": y\r\n\r\n": true,
	} {
		for size := 1; size < len(response)+1; size++ {
			h, _, err := feed(response, size)
			assert.Equal(t, err == nil, sound, "%q: %v", response, err)
			assert.Equal(t, h.Complete(), sound, "%q", response)
		}
	}
}

// TestTrailerThatNamesNoField guards against a field after a body that parsers keep although its name
// is none, and against a sound one that is refused.
func TestTrailerThatNamesNoField(t *testing.T) {
	assert.NilError(t, CheckTrailer(nil))
	assert.NilError(t, CheckTrailer(http.Header{"X-Sum": {"1"}}))
	assert.ErrorIs(t, CheckTrailer(http.Header{"X-Sum": {"1"}, "X Odd": {"1"}}), ErrMalformed)
}

// FuzzFeed checks that the verdict does not depend on how a response arrives, that bytes after a
// head are ignored, and that a refused head is not complete.
func FuzzFeed(f *testing.F) {
	for _, s := range []string{"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", "HTTP/1.1 103 x\n\nHTTP/1.0 404 x\nA:\n\n", "HTTP/1.1 000 x\r\n\r\n", "HTTP/1.1 200 OK\r\nA\r\r\n"} {
		f.Add(s, 3)
	}
	f.Fuzz(func(t *testing.T, s string, size int) {
		if size < 1 {
			size = 1
		}
		whole, n, err := feed(s, len(s)+1)
		parts, m, partsErr := feed(s, size)
		assert.Equal(t, whole.Complete(), parts.Complete())
		assert.Equal(t, n, m)
		assert.Equal(t, err == nil, partsErr == nil)
		assert.Assert(t, err == nil || !whole.Complete())
		if whole.Complete() {
			sound, err := whole.Feed([]byte("HTTP/1.1 000\n"))
			assert.NilError(t, err)
			assert.Equal(t, sound, len("HTTP/1.1 000\n"))
		}
	})
}

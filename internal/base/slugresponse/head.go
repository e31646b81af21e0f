// Package slugresponse decides what is the head of an HTTP/1 response. Parsers are lenient and take
// more for a head than what can be passed on as one.
//
// # Usage
//
//	var h slugresponse.Head
//	h.Expect()
//	n, err := h.Feed(bytes) // the first n bytes belong to no malformed line
//	ok := h.Complete()
package slugresponse

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that bytes are not the head of a response.
var ErrMalformed = errors.New("malformed response head")

// IsFinal reports whether a status can be that of a final response to a request without Upgrade
// (RFC 9110, section 15).
func IsFinal(status int) bool { return status >= http.StatusOK && status <= 599 }

// CheckTrailer checks the names of the fields after a body in chunks.
func CheckTrailer(trailer http.Header) error {
	for name := range trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformed, "name of a field after the body: %q", name)
		}
	}
	return nil
}

// phase is the part of a head to which the next byte belongs.
type phase int

const (
	// phaseNone means that no head is expected.
	phaseNone phase = iota
	phaseStatusLine
	phaseLineStart
	// phaseLineEnd follows the CR of an empty line.
	phaseLineEnd
	phaseName
	phaseValue
)

const (
	// protocol begins each status line, before the minor version.
	protocol = "HTTP/1."
	// maxKeptBytes is the part of a status line, or of the name of a field, that is kept.
	maxKeptBytes = 32
	// statusDigits is the length of a status.
	statusDigits = 3
)

// Head checks the heads of a response as they arrive: those of interim responses, and that of the
// final one. Its zero value ignores all bytes until Expect is called.
type Head struct {
	phase phase
	// line holds the beginning of the status line, or of the name of a field.
	line []byte
	// old is set in a head of HTTP/1.0.
	old      bool
	status   int
	complete bool
}

// Expect begins with the first byte of a response.
func (h *Head) Expect() { *h = Head{phase: phaseStatusLine, line: h.line[:0]} }

// Complete reports whether the head of the final response has ended.
func (h *Head) Complete() bool { return h.complete }

// Feed checks the next bytes, and ignores those after the head. If they are malformed, it returns
// the number of bytes before the one that shows it, which never completes a head.
func (h *Head) Feed(p []byte) (int, error) {
	for i := 0; i < len(p); i++ {
		switch h.phase {
		case phaseNone:
			return len(p), nil
		case phaseValue:
			end := bytes.IndexByte(p[i:], '\n')
			if end < 0 {
				return len(p), nil
			}
			i += end
			h.phase = phaseLineStart
		default:
			if err := h.feed(p[i]); err != nil {
				return i, err
			}
		}
	}
	return len(p), nil
}

// feed checks the next byte, which does not belong to the value of a field.
func (h *Head) feed(b byte) error {
	switch h.phase {
	case phaseStatusLine:
		return h.feedStatusLine(b)
	case phaseLineStart:
		return h.feedLineStart(b)
	case phaseName:
		return h.feedName(b)
	}
	if b != '\n' {
		return errors.Wrapf(ErrMalformed, "line begins with %q", []byte{'\r', b})
	}
	h.end()
	return nil
}

// feedLineStart checks the first byte of a line. A blank would continue the line before, which
// senders must not do, and which a gateway may refuse (RFC 9112, section 5.2).
func (h *Head) feedLineStart(b byte) error {
	switch {
	case b == '\n':
		h.end()
	case b == '\r':
		h.phase = phaseLineEnd
	case httpguts.IsTokenRune(rune(b)):
		h.phase, h.line = phaseName, append(h.line[:0], b)
	default:
		return errors.Wrapf(ErrMalformed, "line begins with %q", []byte{b})
	}
	return nil
}

// feedName checks a byte after the first one of a name. Parsers keep a name that ends in a blank,
// which then isn't that of the field that others find there. Where the body of a response of HTTP/1.0
// with a transfer encoding ends is not defined (RFC 9112, section 6.1).
func (h *Head) feedName(b byte) error {
	switch {
	case b == ':' && h.old && strings.EqualFold(string(h.line), "Transfer-Encoding"):
		return errors.Wrap(ErrMalformed, "transfer encoding in HTTP/1.0")
	case b == ':':
		h.phase = phaseValue
	case !httpguts.IsTokenRune(rune(b)):
		return errors.Wrapf(ErrMalformed, "%q in the name of a field", []byte{b})
	case len(h.line) < maxKeptBytes:
		h.line = append(h.line, b)
	}
	return nil
}

// end ends a head.
func (h *Head) end() {
	if IsFinal(h.status) {
		h.phase, h.complete = phaseNone, true
		return
	}
	h.Expect()
}

func (h *Head) feedStatusLine(b byte) error {
	n := len(h.line)
	switch {
	case n < len(protocol) && b != protocol[n]:
		return errors.Wrapf(ErrMalformed, "response begins with %q", append(h.line, b))
	case b == '\n':
		h.phase = phaseLineStart
		return h.parseStatus()
	case n < maxKeptBytes:
		h.line = append(h.line, b)
	}
	return nil
}

// parseStatus parses the status line. An interim response with status 101 would end HTTP on the
// connection, which no request asks for.
func (h *Head) parseStatus() error {
	_, rest, _ := bytes.Cut(h.line, []byte(" "))
	text, _, _ := bytes.Cut(bytes.TrimLeft(bytes.TrimRight(rest, "\r"), " "), []byte(" "))
	status, err := strconv.ParseUint(string(text), 10, 16)
	if err != nil || len(text) != statusDigits {
		return errors.Wrapf(ErrMalformed, "status %q is not a number of %d digits", text, statusDigits)
	}
	h.status, h.old = int(status), h.line[len(protocol)] == '0'
	if !IsFinal(h.status) && (h.status < http.StatusContinue || h.status > 199 || h.status == http.StatusSwitchingProtocols) {
		return errors.Wrapf(ErrMalformed, "status %s is none of a response", text)
	}
	return nil
}

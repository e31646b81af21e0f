// Package slugbody reads the bodies of messages up to a size. A body that is longer is an
// error, so that its first part is not taken for the whole.
//
// # Usage
//
//	const maxReport slugbody.Limit = 1 << 20
//	b, err := maxReport.ReadAll(resp.Body)
package slugbody

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// Limit is the maximum size of a body in bytes.
type Limit int64

// ErrTooLong means that a body is longer than its limit.
var ErrTooLong = errors.New("body exceeds the maximum size")

// ReadAll reads a body to its end. If it is longer than the limit, the error is ErrTooLong,
// and the result is the part up to the limit.
func (l Limit) ReadAll(r io.Reader) ([]byte, error) { return io.ReadAll(l.Reader(r)) }

// Reader returns a reader of a body that fails with ErrTooLong where the body exceeds the
// limit.
func (l Limit) Reader(r io.Reader) io.Reader { return &reader{r: r, limit: l, left: int64(l)} }

// maxExcerptBytes is the maximum size of an excerpt.
const maxExcerptBytes = 200

// Excerpt returns the beginning of a body for the text of an error.
func Excerpt(b []byte) []byte { return bytes.TrimSpace(b[:min(len(b), maxExcerptBytes)]) }

type reader struct {
	r     io.Reader
	limit Limit
	left  int64
}

// Read implements io.Reader. It asks for one byte more than the limit allows, which tells a
// body that ends at the limit from a longer one.
func (r *reader) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	if int64(len(b)) > r.left+1 {
		b = b[:r.left+1]
	}
	n, err := r.r.Read(b)
	if int64(n) <= r.left {
		r.left -= int64(n)
		return n, err
	}
	n, r.left = int(r.left), 0
	return n, errors.Wrapf(ErrTooLong, "limit of %d bytes", r.limit)
}

package slugbody

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// TestLongBodyIsNotTakenForWhole guards against a body that is longer than its limit and of
// which the first part is returned as if it were the whole.
func TestLongBodyIsNotTakenForWhole(t *testing.T) {
	const limit Limit = 1000
	for _, size := range []int{0, 1, 999, 1000, 1001, 1002, 5000} {
		for name, wrap := range map[string]func(io.Reader) io.Reader{
			"at once": func(r io.Reader) io.Reader { return r }, "byte by byte": iotest.OneByteReader, "with the end": iotest.DataErrReader,
		} {
			body := strings.Repeat("x", size)
			b, err := limit.ReadAll(wrap(strings.NewReader(body)))
			if size <= int(limit) {
				assert.NilError(t, err, "%d bytes %s", size, name)
				assert.Equal(t, string(b), body)
				continue
			}
			assert.ErrorIs(t, err, ErrTooLong, "%d bytes %s", size, name)
			assert.Equal(t, len(b), int(limit), "%d bytes %s", size, name)
		}
	}
}

// TestBrokenBodyIsNotTooLong guards against a body that broke off and is reported as too long.
func TestBrokenBodyIsNotTooLong(t *testing.T) {
	_, err := Limit(4).ReadAll(io.MultiReader(bytes.NewReader([]byte("1234")), iotest.ErrReader(io.ErrUnexpectedEOF)))
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

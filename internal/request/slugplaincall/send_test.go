package slugplaincall

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// goneCaller is a caller that takes nothing.
type goneCaller struct{ *httptest.ResponseRecorder }

func (goneCaller) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// TestCallerFailureIsNotTheEndpoints guards against an endpoint that counts as failed because
// its caller does not take the response.
func TestCallerFailureIsNotTheEndpoints(t *testing.T) {
	err := copyFlushing(goneCaller{httptest.NewRecorder()}, strings.NewReader("x"))
	assert.Assert(t, errors.Is(err, errCallerDisconnected), "%v", err)
	err = copyFlushing(httptest.NewRecorder(), iotest.ErrReader(io.ErrUnexpectedEOF))
	assert.Assert(t, err != nil && !errors.Is(err, errCallerDisconnected), "%v", err)
	assert.NilError(t, copyFlushing(httptest.NewRecorder(), strings.NewReader("x")))
}

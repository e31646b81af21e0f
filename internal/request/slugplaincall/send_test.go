package slugplaincall

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugclaim"
	"github.com/sassafraslug/sassafraslug/internal/base/slugmemory"
	"github.com/sassafraslug/sassafraslug/internal/request/slugadmit"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
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

// TestLargeResponseOfClaimedCall guards against a response that is kept in memory as a whole
// before it is stored with its claim, and against one that its caller doesn't get.
func TestLargeResponseOfClaimedCall(t *testing.T) {
	for size, dropped := range map[int]bool{4: false, 3 * maxBufferedBytes: true} {
		var answer slugclaim.Answer
		w := httptest.NewRecorder()
		x := &exchange{w: w, call: &slugadmit.Call{ID: "id"}}
		body := strings.Repeat("x", size)
		_, retry, refusal := x.storeAnswer(&http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body))}, slugmemory.New(16<<20).Hold(), &answer)
		assert.Assert(t, !retry && refusal == nil)
		assert.Equal(t, answer.Dropped, dropped)
		assert.Equal(t, x.statusWritten, dropped)
		assert.Equal(t, w.Body.String()+string(answer.Body), body)
	}
}

// TestStoredStatusOfNoResponse guards against a stored response that makes the handler panic.
func TestStoredStatusOfNoResponse(t *testing.T) {
	for status, replayed := range map[int]bool{0: false, 99: false, 101: false, 600: false, 200: true, 404: true} {
		w := httptest.NewRecorder()
		x := &exchange{w: w, call: &slugadmit.Call{ID: "id"}}
		refusal := x.replay(slugclaim.Claim{State: slugclaim.StateDone, Answer: &slugclaim.Answer{Status: status, Body: []byte("x")}})
		assert.Equal(t, refusal == nil, replayed, "%d", status)
		assert.Equal(t, w.Body.String() == "x", replayed, "%d", status)
		assert.Assert(t, replayed || refusal.Ran == slugrefusal.RanUnknown, "%d", status)
	}
}

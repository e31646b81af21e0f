package slugdispatch

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sassafraslug/sassafraslug/internal/base/slugmemory"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
	"gotest.tools/v3/assert"
)

// openBody opens a response with the given body, for which memory is the budget.
func openBody(t *testing.T, memory *slugmemory.Budget, body string) *slugsend.Exchange {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	e, err := slugsend.New(slugsend.Config{Memory: memory}).Open(t.Context(), slugsend.Request{Method: http.MethodPost, URL: server.URL})
	assert.NilError(t, err)
	return e
}

// TestResponseWithoutMemoryIsRelayed guards against a response that is refused, or that loses
// bytes, since the memory to buffer it is exhausted.
func TestResponseWithoutMemoryIsRelayed(t *testing.T) {
	for _, size := range []int{1000, 32 << 10, 33 << 10, 200 << 10, maxBufferedResponseBytes, 300 << 10} {
		for _, free := range []slugmemory.Bytes{0, 50 << 10, 1 << 20} {
			t.Run(fmt.Sprintf("%d bytes, %d free", size, free), func(t *testing.T) {
				memory := slugmemory.New(free)
				body := strings.Repeat("0123456789abcdef", size/16+1)[:size]
				w := httptest.NewRecorder()
				d := &dispatch{Dispatcher: &Dispatcher{cfg: Config{Codec: Codec{CopyHeader: func(http.Header, http.Header) {}}}}, call: &Call{}, w: w}
				r, err := bufferResponse(openBody(t, memory, body))
				assert.NilError(t, err)
				assert.Assert(t, memory.Used() <= free+64<<10, "%d bytes in use", memory.Used())
				assert.NilError(t, d.relayResponse(r))
				assert.Equal(t, w.Body.String(), body)
				assert.Equal(t, memory.Used(), slugmemory.Bytes(0))
			})
		}
	}
}

// TestEventsAreSplitWithoutMemory guards against a long event that is kept whatever the
// process holds already, against short ones that are lost then, and against memory that an
// event keeps after it was relayed.
func TestEventsAreSplitWithoutMemory(t *testing.T) {
	short, long := "id: 1\ndata: a\n\n", "id: 2\ndata: "+strings.Repeat("x", 100<<10)+"\n\n"
	for _, free := range []slugmemory.Bytes{0, 1 << 20} {
		memory := slugmemory.New(free)
		e := openBody(t, memory, short+long+short)
		r := newEventReader(e)
		defer r.hold.Release()
		ev, err := r.next()
		assert.NilError(t, err)
		assert.Equal(t, string(ev.raw), short)
		ev, err = r.next()
		if free == 0 {
			assert.ErrorIs(t, err, slugmemory.ErrExhausted)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, string(ev.raw), long)
		assert.Equal(t, ev.id, "2")
		ev, err = r.next()
		assert.NilError(t, err)
		assert.Equal(t, string(ev.raw), short)
		assert.Assert(t, memory.Used() < maxKeptBytes, "%d bytes in use", memory.Used())
	}
}

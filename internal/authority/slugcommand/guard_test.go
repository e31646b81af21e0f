package slugcommand

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// TestGuardedChecksBeforeEachWrite guards against a command that is sent after the lease
// was lost. The lease is lost while the connection is opened, after the decision to
// send.
func TestGuardedChecksBeforeEachWrite(t *testing.T) {
	var received atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer s.Close()
	var lost atomic.Bool
	errLost := errors.New("lease is lost")
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		lost.Store(true)
		return c, err
	}
	do := Guarded(dial, func() error {
		if lost.Load() {
			return errLost
		}
		return nil
	})
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL, strings.NewReader("order"))
	assert.NilError(t, err)
	resp, err := do(r)
	if err == nil {
		_ = resp.Body.Close()
	}
	assert.Assert(t, errors.Is(err, errLost), "%v", err)
	assert.Equal(t, received.Load(), int64(0))
}

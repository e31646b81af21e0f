package slugsystem_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// halfRequest is a connection on which half of a request was sent.
type halfRequest struct {
	net.Conn
	address string
}

func (r *harness) sendHalf(address string) *halfRequest {
	r.t.Helper()
	conn, err := r.Network("callers").Dial(r.ctx, "tcp", address)
	assert.NilError(r.t, err)
	_, err = io.WriteString(conn, "GET /half HTTP/1.1\r\n")
	assert.NilError(r.t, err)
	return &halfRequest{conn, address}
}

// requireAnswerAfterClose sends the rest of the request once the server accepts no
// connections anymore, and requires a response.
func (r *harness) requireAnswerAfterClose(half *halfRequest) {
	r.t.Helper()
	defer func() { _ = half.Close() }()
	for {
		conn, err := r.Network("callers").Dial(r.ctx, "tcp", half.address)
		if err != nil {
			break
		}
		_ = conn.Close()
		time.Sleep(20 * time.Millisecond)
	}
	_, err := io.WriteString(half, "Host: a\r\n\r\n")
	assert.NilError(r.t, err)
	resp, err := http.ReadResponse(bufio.NewReader(half), nil)
	assert.NilError(r.t, err, "the request to %s got no response", half.address)
	assert.NilError(r.t, resp.Body.Close())
}

// TestRequestReadAsHostStopsIsAnswered guards against requests of callers and operators that
// are lost because they arrive just as a gate or a control process closes its servers.
func TestRequestReadAsHostStopsIsAnswered(t *testing.T) {
	withHarness(t, harnessOptions{}, func(t *testing.T, r *harness) {
		leaving := r.Hosts()[2]
		callers, operators := leaving.Gate.Addresses()
		toControl := r.sendHalf(leaving.Control.Address())
		removed := make(chan error, 1)
		go func() { removed <- r.Remove(leaving) }()
		r.requireAnswerAfterClose(toControl)
		// A gate accepts connections for 12 s; half a request may take 10 s.
		time.Sleep(8 * time.Second)
		toCallers, toOperators := r.sendHalf(callers), r.sendHalf(operators)
		r.requireAnswerAfterClose(toCallers)
		r.requireAnswerAfterClose(toOperators)
		assert.NilError(t, <-removed)
	})
}

// TestSlowOperatorDoesNotKeepControlRegistered guards against a control process that cannot
// remove its membership record, because a slow call used up the time of its shutdown.
func TestSlowOperatorDoesNotKeepControlRegistered(t *testing.T) {
	withHarness(t, harnessOptions{}, func(t *testing.T, r *harness) {
		leaving := r.Hosts()[2]
		half := r.sendHalf(leaving.Control.Address())
		defer func() { _ = half.Close() }()
		assert.NilError(t, r.Remove(leaving))
	})
}

package slugsystem_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCallsOfCallersThatLeftReachEndpoints guards against requests that reach endpoints although their
// callers left before the gate could read them, and against a call with an idempotency key that does
// not go on once it was claimed.
func TestCallsOfCallersThatLeftReachEndpoints(t *testing.T) {
	withHarness(t, harnessOptions{}, func(t *testing.T, r *harness) {
		r.mustChat(r.newClient("dojo-manila", 1), chatRequest(2, "warm"))
		gate := r.Hosts()[0]
		requests := map[string]string{
			"unsafe":     "POST /services/records/promotions",
			"idempotent": "POST /services/records/certificates",
			"chat":       "POST /v1/chat/completions",
		}
		for name, line := range requests {
			before := r.engineCalls()
			for n := range 20 {
				body := fmt.Sprintf("%s-%d", name, n)
				if name == "chat" {
					body = string(chatRequest(4, body).Body())
				}
				r.sendAndLeave(string(gate.Name), callersAddress(gate), line, body, "")
			}
			time.Sleep(5 * time.Second)
			reached := 0
			for body := range r.executionCounts() {
				if len(body) > len(name) && body[:len(name)+1] == name+"-" {
					reached++
				}
			}
			assert.Check(t, reached == 0, "%d of 20 %s calls ran", reached, name)
			assert.Equal(t, r.engineCalls(), before, "%s requests reached engines", name)
		}
	})
}

// TestClaimedCallEndsWithItsCaller guards against a call with an idempotency key that ends when its
// caller leaves, so that a later one with the same key does not find its outcome.
func TestClaimedCallEndsWithItsCaller(t *testing.T) {
	withHarness(t, harnessOptions{}, func(t *testing.T, r *harness) {
		r.forEachRecordsEndpoint(func(n string) { r.Standins.PlainServices()[n].SetDelay(time.Second) })
		gate := r.Hosts()[0]
		c, err := r.mesh.Host("caller").Dial(r.ctx, "tcp", callersAddress(gate))
		assert.NilError(t, err)
		r.write(c, "POST /services/records/promotions", "claimed", "Idempotency-Key: k\r\n")
		time.Sleep(500 * time.Millisecond)
		assert.NilError(t, c.Close())
		time.Sleep(5 * time.Second)
		assert.Equal(t, r.executionCounts()["claimed"], 1)
		status, _, err := r.newClient("dojo-manila", 4).Plain(r.ctx, promotionCall("claimed", "k"))
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, r.executionCounts()["claimed"], 1)
	})
}

// sendAndLeave sends a request and closes the connection while the gate receives nothing, and lets it
// receive both then.
func (r *harness) sendAndLeave(host, address, line, body, header string) {
	r.t.Helper()
	c, err := r.mesh.Host("caller").Dial(r.ctx, "tcp", address)
	assert.NilError(r.t, err)
	r.mesh.Partition("caller", host, true)
	r.write(c, line, body, header)
	assert.NilError(r.t, c.Close())
	r.mesh.Partition("caller", host, false)
	// The next partition is to hide nothing of this one.
	time.Sleep(100 * time.Millisecond)
}

// write writes a request.
func (r *harness) write(c net.Conn, line, body, header string) {
	r.t.Helper()
	_, err := fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: gate\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s", line, r.deployment.Keys["dojo-manila"], header, len(body), body)
	assert.NilError(r.t, err)
}

// engineCalls returns the number of requests that began to run at engines.
func (r *harness) engineCalls() (n int) {
	for _, e := range r.Standins.Engines() {
		n += e.Started()
	}
	return n
}

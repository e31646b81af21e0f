package slugsocket

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// waitForState waits until the State of a connection meets a condition.
func waitForState(t *testing.T, c net.Conn, met func(State) bool) State {
	t.Helper()
	var s State
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var err error
		if s, err = StateOf(c); err != nil {
			return poll.Error(err)
		}
		if met(s) {
			return poll.Success()
		}
		return poll.Continue("%+v", s)
	}, poll.WithDelay(time.Millisecond))
	return s
}

// TestEndBehindUnreadBytesIsUnknown guards against the end of a peer that is seen only when the
// bytes before it have been read.
func TestEndBehindUnreadBytesIsUnknown(t *testing.T) {
	c, peer := connect(t)
	s, err := StateOf(c.tcp)
	assert.NilError(t, err)
	assert.Assert(t, !s.Ended && !s.Closed, "%+v", s)
	_, err = io.WriteString(peer, message)
	assert.NilError(t, err)
	assert.NilError(t, peer.CloseWrite())
	s = waitForState(t, c.tcp, func(s State) bool { return s.Ended })
	assert.Assert(t, !s.Closed, "%+v", s)
	reset(t, c, peer)
	s = waitForState(t, c.tcp, func(s State) bool { return s.Closed })
	assert.Assert(t, !s.Ended, "%+v", s)
}

// TestAgeOfUnreadBytesIsUnknown guards against bytes that count as new when they are read.
func TestAgeOfUnreadBytesIsUnknown(t *testing.T) {
	c, peer := connect(t)
	_, err := io.WriteString(peer, message)
	assert.NilError(t, err)
	time.Sleep(300 * time.Millisecond)
	assert.NilError(t, peer.CloseWrite())
	s := waitForState(t, c.tcp, func(s State) bool { return s.Ended })
	assert.Assert(t, s.DataAge >= 250*time.Millisecond && s.DataAge < 5*time.Second, "%+v", s)
	assert.Assert(t, s.SegmentAge < s.DataAge, "%+v", s)
}

// TestBytesCountAsOlderThanTheyAre guards against bytes that count as having arrived before they were
// sent, because the kernel counts their age in ticks.
func TestBytesCountAsOlderThanTheyAre(t *testing.T) {
	c, peer := connect(t)
	b := make([]byte, len(message))
	for n := range 300 {
		sentAt := time.Now()
		_, err := io.WriteString(peer, message)
		assert.NilError(t, err)
		_, err = io.ReadFull(c, b)
		assert.NilError(t, err)
		s, err := StateOf(c.tcp)
		assert.NilError(t, err)
		assert.Equal(t, s.Received, int64((n+1)*len(message)))
		early := sentAt.Sub(time.Now().Add(-s.DataAge))
		assert.Assert(t, early <= 0, "bytes arrived %s before they were sent", early)
		time.Sleep(time.Millisecond)
	}
}

// TestStateOfClosedConnection guards against a closed connection whose State looks open.
func TestStateOfClosedConnection(t *testing.T) {
	c, _ := connect(t)
	assert.NilError(t, c.Close())
	_, err := StateOf(c.tcp)
	assert.Assert(t, errors.Is(err, net.ErrClosed), "%v", err)
	other, _ := net.Pipe()
	_, err = StateOf(other)
	assert.Assert(t, errors.Is(err, syscall.ENOTSOCK), "%v", err)
}

// BenchmarkStateOf measures what a look at a connection costs.
func BenchmarkStateOf(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(b, err)
	defer func() { _ = c.Close() }()
	for b.Loop() {
		_, err = StateOf(c)
	}
	assert.NilError(b, err)
}

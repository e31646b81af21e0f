package slugtransport

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
	"gotest.tools/v3/assert"
)

// newPair returns a transport that knows a second one, whose record it returns, and which passes
// its byte streams to serve.
func newPair(t *testing.T, serve func(slugname.Process, slugpeer.Stream)) (*Transport, slugmember.Record) {
	t.Helper()
	a, b := newTransport(t), newTransport(t)
	ra := slugmember.Record{Process: "a", PeerAddress: a.Address(), CertificateHash: a.Hash()}
	rb := slugmember.Record{Process: "b", PeerAddress: b.Address(), CertificateHash: b.Hash()}
	for _, transport := range []*Transport{a, b} {
		transport.SetLookup(lookupAmong(ra, rb))
	}
	b.SetStreams(serve)
	go func() {
		_ = b.Serve(t.Context(), func(from slugname.Process, _ slugpeer.Message) slugpeer.Message {
			return slugpeer.Message{Protocol: slugpeer.Protocol, Bundle: []byte(from)}
		})
	}()
	return a, rb
}

// TestStreamEnds guards against a stream that was broken off and looks complete, or whose last
// bytes are lost although it was completed.
func TestStreamEnds(t *testing.T) {
	const size = 1 << 20
	for _, abort := range []bool{false, true} {
		a, rb := newPair(t, func(from slugname.Process, s slugpeer.Stream) {
			assert.Check(t, from == "a")
			var b [4]byte
			_, err := io.ReadFull(s, b[:])
			assert.Check(t, err == nil && string(b[:]) == "ping")
			_, err = s.Write(make([]byte, size))
			assert.Check(t, err)
			if abort {
				s.Abort()
				return
			}
			assert.Check(t, s.CloseWrite())
			_, err = s.Read(b[:])
			assert.Check(t, err != nil, "the peer closes the stream")
			assert.Check(t, s.Close())
		})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		s, err := a.Open(ctx, rb)
		assert.NilError(t, err)
		_, err = s.Write([]byte("ping"))
		assert.NilError(t, err)
		got, err := io.ReadAll(s)
		assert.Equal(t, err != nil, abort, "%v", err)
		assert.Assert(t, abort || len(got) == size, "%d bytes", len(got))
		assert.NilError(t, s.Close())
	}
}

// TestStreamsBlockMessages guards against messages that wait for streams, which stay open for as
// long as connections to endpoints.
func TestStreamsBlockMessages(t *testing.T) {
	a, rb := newPair(t, func(_ slugname.Process, s slugpeer.Stream) { _, _ = io.Copy(s, s) })
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for range 2 * maxMessages {
		s, err := a.Open(ctx, rb)
		assert.NilError(t, err)
		defer func() { _ = s.Close() }()
	}
	answer, err := a.Call(ctx, rb, slugpeer.Message{Protocol: slugpeer.Protocol})
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Bundle), "a")
}

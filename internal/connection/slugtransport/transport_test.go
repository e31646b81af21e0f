package slugtransport

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
	"gotest.tools/v3/assert"
)

func newTransport(t *testing.T) *Transport {
	t.Helper()
	transport, err := New(Config{Address: "127.0.0.1:0", Log: slugevent.Discard()})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = transport.Close() })
	return transport
}

// lookupAmong returns a lookup function that knows only the given processes.
func lookupAmong(records ...slugmember.Record) func(slugmember.CertificateHash) (slugmember.Record, bool) {
	return func(h slugmember.CertificateHash) (slugmember.Record, bool) {
		for _, r := range records {
			if r.CertificateHash == h {
				return r, true
			}
		}
		return slugmember.Record{}, false
	}
}

// Guards against connections with unauthenticated peers: a call must fail if the caller's
// certificate is not published, or if the server's certificate differs from the
// published one.
func TestCallPinsCertificates(t *testing.T) {
	a, b, stranger := newTransport(t), newTransport(t), newTransport(t)
	ra := slugmember.Record{Process: "a", PeerAddress: a.Address(), CertificateHash: a.Hash()}
	rb := slugmember.Record{Process: "b", PeerAddress: b.Address(), CertificateHash: b.Hash()}
	for _, transport := range []*Transport{a, b, stranger} {
		transport.SetLookup(lookupAmong(ra, rb))
	}
	go func() {
		_ = b.Serve(t.Context(), func(from slugname.Process, m slugpeer.Message) slugpeer.Message {
			return slugpeer.Message{Protocol: slugpeer.Protocol, WantBundle: m.WantBundle + 1, Bundle: []byte(from)}
		})
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	answer, err := a.Call(ctx, rb, slugpeer.Message{Protocol: slugpeer.Protocol, WantBundle: 6})
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Bundle), "a", "the caller must be identified by its certificate")
	assert.Equal(t, int(answer.WantBundle), 7)
	_, err = stranger.Call(ctx, rb, slugpeer.Message{Protocol: slugpeer.Protocol})
	assert.Assert(t, err != nil, "a caller with an unpublished certificate must be refused")
	wrong := rb
	wrong.CertificateHash = ra.CertificateHash
	c := newTransport(t)
	c.SetLookup(lookupAmong(ra, rb, slugmember.Record{Process: "c", CertificateHash: c.Hash()}))
	_, err = c.Call(ctx, wrong, slugpeer.Message{Protocol: slugpeer.Protocol})
	assert.ErrorContains(t, err, "connect to peer")
}

// FuzzDecode checks that no decodable message makes a process change its own row of the
// peer table.
func FuzzDecode(f *testing.F) {
	b, err := cbor.Marshal(slugpeer.Message{Protocol: 1, Digest: []slugpeer.Entry{{ID: 1, Version: 2}}, Rows: []slugpeer.VersionedRow{{Version: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		table := slugpeer.New(slugpeer.Config{Self: slugmember.Record{Process: "self"}, LastConfirmed: slugclock.Now, Peers: func() []slugmember.Record { return nil }})
		before := table.Self()
		table.Serve("peer", m)
		assert.Equal(t, table.Self().Process, before.Process, "a message must not change the receiver's own row")
		assert.Equal(t, table.Self().Revision, before.Revision)
	})
}

// TestSlowCallClosesAnsweringConnection guards against a connection that is closed, with all
// calls on it, because one call got no answer although the peer answered others meanwhile.
func TestSlowCallClosesAnsweringConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c connection
		startedAt := time.Now()
		time.Sleep(unresponsiveTimeout)
		c.recordAnswer()
		time.Sleep(time.Second)
		assert.Equal(t, c.recordFailure(startedAt), time.Second)
		time.Sleep(unresponsiveTimeout)
		assert.Assert(t, c.recordFailure(time.Now()) > unresponsiveTimeout, "the peer has answered nothing since")
	})
}

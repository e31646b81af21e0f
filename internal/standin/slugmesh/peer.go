package slugmesh

import (
	"context"
	"fmt"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

// peer is a process's end of the message exchange.
type peer struct {
	mesh    *Mesh
	host    string
	address string
	hash    slugmember.CertificateHash

	mu     sync.Mutex
	lookup func(slugmember.CertificateHash) (slugmember.Record, bool)
	serve  func(slugname.Process, slugpeer.Message) slugpeer.Message
	bytes  uint64
}

func (m *Mesh) newPeer(host string) slugpeer.Carrier {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.port()
	p := &peer{mesh: m, host: host, address: fmt.Sprintf("%s:%d", host, 9000+n), hash: slugmember.CertificateHash(fmt.Sprintf("%s-%d", host, n))}
	m.peers[p.address] = p
	return slugpeer.Carrier{
		Address: p.address, Hash: p.hash, SetLookup: p.setLookup, Call: p.call, Serve: p.run,
		Bytes: p.count, Close: p.close,
	}
}

func (p *peer) setLookup(f func(slugmember.CertificateHash) (slugmember.Record, bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lookup = f
}

func (p *peer) count() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes
}

func (p *peer) close() error {
	p.mesh.mu.Lock()
	defer p.mesh.mu.Unlock()
	delete(p.mesh.peers, p.address)
	return nil
}

func (p *peer) run(ctx context.Context, f func(slugname.Process, slugpeer.Message) slugpeer.Message) error {
	p.mu.Lock()
	p.serve = f
	p.mu.Unlock()
	<-ctx.Done()
	return nil
}

// call sends a message, encoded as on a real link.
func (p *peer) call(ctx context.Context, to slugmember.Record, m slugpeer.Message) (slugpeer.Message, error) {
	p.mesh.mu.Lock()
	q := p.mesh.peers[to.PeerAddress]
	p.mesh.mu.Unlock()
	if q == nil {
		return slugpeer.Message{}, errors.Wrapf(errRefused, "call %s", to.PeerAddress)
	}
	if cut, _ := p.mesh.cut(p.host, q.host); cut {
		<-ctx.Done()
		return slugpeer.Message{}, ctx.Err()
	}
	q.mu.Lock()
	serve, lookup := q.serve, q.lookup
	q.mu.Unlock()
	if serve == nil || lookup == nil {
		return slugpeer.Message{}, errors.Wrapf(errRefused, "call %s", to.PeerAddress)
	}
	from, ok := lookup(p.hash)
	if !ok {
		return slugpeer.Message{}, errors.Newf("call %s: unknown process", to.PeerAddress)
	}
	in, err := p.recode(m)
	if err != nil {
		return in, err
	}
	return p.recode(serve(from.Process, in))
}

// recode encodes and decodes a message and counts its bytes.
func (p *peer) recode(m slugpeer.Message) (slugpeer.Message, error) {
	var out slugpeer.Message
	b, err := cbor.Marshal(m)
	if err != nil {
		return out, err
	}
	p.mu.Lock()
	p.bytes += uint64(len(b))
	p.mu.Unlock()
	return out, cbor.Unmarshal(b, &out)
}

package slugmesh

import (
	"context"
	"fmt"
	"reflect"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

// peer provides the functions of the slugpeer.Transport of one process.
type peer struct {
	mesh    *Mesh
	host    string
	address string
	hash    slugmember.CertificateHash

	mu      sync.Mutex
	lookUp  func(slugmember.CertificateHash) (slugmember.Record, bool)
	handler func(slugname.Process, slugpeer.Message) slugpeer.Message
	streams func(slugname.Process, slugpeer.Stream)
	bytes   uint64
}

func (m *Mesh) newPeer(host string) slugpeer.Transport {
	m.mu.Lock()
	defer m.mu.Unlock()
	port := m.nextPort()
	p := &peer{mesh: m, host: host, address: fmt.Sprintf("%s:%d", host, 9000+port), hash: slugmember.CertificateHash(fmt.Sprintf("%s-%d", host, port))}
	m.peers[p.address] = p
	return slugpeer.Transport{
		Address: p.address, Hash: p.hash, SetLookup: p.setLookup, Call: p.call, Serve: p.serve,
		Open: p.open, SetStreams: p.setStreams, Bytes: p.bytesTransferred, Close: p.close,
	}
}

func (p *peer) setLookup(f func(slugmember.CertificateHash) (slugmember.Record, bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lookUp = f
}

func (p *peer) bytesTransferred() uint64 {
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

func (p *peer) serve(ctx context.Context, f func(slugname.Process, slugpeer.Message) slugpeer.Message) error {
	p.mu.Lock()
	p.handler = f
	p.mu.Unlock()
	<-ctx.Done()
	return nil
}

// call sends a message to another process and returns the response. Both are encoded and
// decoded as on a real network. During a partition it blocks until ctx ends.
func (p *peer) call(ctx context.Context, to slugmember.Record, m slugpeer.Message) (slugpeer.Message, error) {
	p.mesh.mu.Lock()
	target := p.mesh.peers[to.PeerAddress]
	p.mesh.mu.Unlock()
	if target == nil {
		return slugpeer.Message{}, errors.Wrapf(errRefused, "call %s", to.PeerAddress)
	}
	if cut, _ := p.mesh.partitioned(p.host, target.host); cut {
		<-ctx.Done()
		return slugpeer.Message{}, ctx.Err()
	}
	target.mu.Lock()
	handle, lookUp := target.handler, target.lookUp
	target.mu.Unlock()
	if handle == nil || lookUp == nil {
		return slugpeer.Message{}, errors.Wrapf(errRefused, "call %s: the peer is not serving yet", to.PeerAddress)
	}
	from, ok := lookUp(p.hash)
	if !ok {
		return slugpeer.Message{}, errors.Newf("call %s: the peer does not know the calling process", to.PeerAddress)
	}
	p.mesh.countEmpty(m)
	request, err := p.transcode(m)
	if err != nil {
		return request, err
	}
	return p.transcode(handle(from.Process, request))
}

func (p *peer) setStreams(f func(slugname.Process, slugpeer.Stream)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams = f
}

// open opens a stream to another process. During a partition it blocks until ctx ends.
func (p *peer) open(ctx context.Context, to slugmember.Record) (slugpeer.Stream, error) {
	p.mesh.mu.Lock()
	target := p.mesh.peers[to.PeerAddress]
	p.mesh.mu.Unlock()
	if target == nil {
		return nil, errors.Wrapf(errRefused, "open stream to %s", to.PeerAddress)
	}
	if cut, _ := p.mesh.partitioned(p.host, target.host); cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	target.mu.Lock()
	handle, lookUp := target.streams, target.lookUp
	target.mu.Unlock()
	if handle == nil || lookUp == nil {
		return nil, errors.Wrapf(errRefused, "open stream to %s: the peer is not serving yet", to.PeerAddress)
	}
	from, ok := lookUp(p.hash)
	if !ok {
		return nil, errors.Newf("open stream to %s: the peer does not know the calling process", to.PeerAddress)
	}
	client, server := p.mesh.newConnPair(p.host, &listener{mesh: p.mesh, host: target.host, address: target.address}, false)
	go handle(from.Process, server)
	return client, nil
}

// countEmpty counts a message that carries nothing.
func (m *Mesh) countEmpty(message slugpeer.Message) {
	if !reflect.DeepEqual(message, slugpeer.Message{Protocol: message.Protocol}) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.emptyMessages++
}

// EmptyMessages returns the number of messages between processes that carried nothing.
func (m *Mesh) EmptyMessages() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.emptyMessages
}

// transcode encodes a message as CBOR, adds its size to the bytes of the calling peer and
// decodes it again.
func (p *peer) transcode(m slugpeer.Message) (slugpeer.Message, error) {
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

// Package slugtransport exchanges messages between processes over QUIC with mutual TLS.
// Every process generates a key pair and a self-signed certificate at startup and
// publishes the certificate's hash. Both sides of a connection accept only
// certificates whose hash was published by a known process.
//
// # Usage
//
//	t, err := slugtransport.New(slugtransport.Config{Address: "127.0.0.1:0", Lookup: member.ByCertificate})
//	go t.Serve(ctx, table.Serve)
//	answer, err := t.Call(ctx, record, message)
package slugtransport

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbody"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

const (
	// applicationProtocol is the ALPN protocol name.
	applicationProtocol = "sassafraslug/1"
	// maxMessage limits the size of an incoming message.
	maxMessage slugbody.Limit = 64 << 20
	// idleTimeout closes connections without traffic.
	idleTimeout = 15 * time.Second
	// unresponsiveTimeout is how long all calls on a connection may fail before it is
	// closed. A single slow call, for example to a small host, must not abort the other
	// calls on the connection and force a new handshake.
	unresponsiveTimeout = 2 * time.Second
	// streamTimeout limits the time to receive and answer one message.
	streamTimeout = 5 * time.Second
	// maxMessages limits the messages that are processed at once on one connection.
	maxMessages = 16
	// maxStreams limits the streams that are open at once on one connection: messages, and
	// connections to endpoints that the peer opens through this process.
	maxStreams = maxMessages + 256
)

// Config configures a Transport.
type Config struct {
	// Address is the UDP address to listen on.
	Address string
	// Lookup returns the process that published a certificate hash.
	Lookup func(slugmember.CertificateHash) (slugmember.Record, bool)
	Log    *slugevent.Log
}

// Transport sends messages to peers and answers theirs. It keeps one outgoing connection
// per peer.
type Transport struct {
	cfg          Config
	certificate  tls.Certificate
	hash         slugmember.CertificateHash
	socket       *net.UDPConn
	transport    *quic.Transport
	listener     *quic.Listener
	payloadBytes atomic.Uint64

	mu          sync.Mutex
	connections map[slugname.Process]*connection
	// streams handles the byte streams of peers; nil if there are none.
	streams func(slugname.Process, slugpeer.Stream)
}

// connection is an outgoing connection to a peer.
type connection struct {
	*quic.Conn
	mu sync.Mutex
	// unansweredSince is the start of the first call that failed since the last
	// successful call, or the time of that one if it is later. It is zero if no call has
	// failed since then.
	unansweredSince time.Time
	// answeredAt is the time of the last successful call.
	answeredAt time.Time
}

// recordAnswer records that the peer answered a call.
func (c *connection) recordAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unansweredSince, c.answeredAt = time.Time{}, time.Now()
}

// recordFailure records the failure of a call that started at startedAt. It returns
// how long the peer has not answered any call.
func (c *connection) recordFailure(startedAt time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unansweredSince.IsZero() {
		c.unansweredSince = startedAt
		if startedAt.Before(c.answeredAt) {
			c.unansweredSince = c.answeredAt
		}
	}
	return time.Since(c.unansweredSince)
}

// New generates a certificate and listens on cfg.Address. Lookup may be nil if
// SetLookup is called before Serve and Call.
func New(cfg Config) (*Transport, error) {
	t := &Transport{cfg: cfg, connections: map[slugname.Process]*connection{}}
	if err := t.generateCertificate(); err != nil {
		return nil, slugfault.Wrap(err, "generate certificate", cfg.Address)
	}
	address, err := net.ResolveUDPAddr("udp", cfg.Address)
	if err != nil {
		return nil, slugfault.Wrap(err, "resolve address", cfg.Address)
	}
	t.socket, err = net.ListenUDP("udp", address)
	if err != nil {
		return nil, slugfault.Wrap(err, "listen for peers", cfg.Address)
	}
	t.transport = &quic.Transport{Conn: t.socket}
	t.listener, err = t.transport.Listen(t.tlsConfig(""), quicConfig())
	return t, slugfault.Wrap(err, "listen for peers", cfg.Address)
}

// SetLookup replaces Config.Lookup.
func (t *Transport) SetLookup(f func(slugmember.CertificateHash) (slugmember.Record, bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cfg.Lookup = f
}

// PeerTransport returns the functions of t as a slugpeer.Transport.
func (t *Transport) PeerTransport() slugpeer.Transport {
	return slugpeer.Transport{
		Address: t.Address(), Hash: t.hash, SetLookup: t.SetLookup, Call: t.Call, Serve: t.Serve,
		Open: t.Open, SetStreams: t.SetStreams, Bytes: t.Bytes, Close: t.Close,
	}
}

// Address returns the UDP address that the transport listens on.
func (t *Transport) Address() string { return t.socket.LocalAddr().String() }

// Hash returns the hash of the transport's certificate.
func (t *Transport) Hash() slugmember.CertificateHash { return t.hash }

// Bytes returns the total size of all encoded messages sent and received.
func (t *Transport) Bytes() uint64 { return t.payloadBytes.Load() }

func quicConfig() *quic.Config {
	return &quic.Config{MaxIdleTimeout: idleTimeout, HandshakeIdleTimeout: 2 * time.Second, MaxIncomingStreams: maxStreams}
}

func (t *Transport) generateCertificate() error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	// Peers compare only the hash of the certificate and don't check its validity period.
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(10 * 365 * 24 * time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return err
	}
	sum := sha256.Sum256(der)
	t.certificate = tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
	t.hash = slugmember.NewCertificateHash(sum[:])
	return nil
}

// ErrUnknownPeer means that the peer's certificate has an unexpected hash, or one that
// no known process has published.
var ErrUnknownPeer = errors.New("certificate does not belong to a known process")

// tlsConfig returns the TLS configuration of either side of a connection. expected is
// the certificate hash that the peer must have; empty accepts any known process.
func (t *Transport) tlsConfig(expected slugmember.CertificateHash) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{t.certificate},
		NextProtos:   []string{applicationProtocol},
		ClientAuth:   tls.RequireAnyClientCert,
		// Peers are authenticated by certificate hash instead of a certificate chain.
		InsecureSkipVerify: true, //nolint:gosec // VerifyPeerCertificate checks the certificate hash.
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
			return t.verifyCertificate(raw, expected)
		},
		MinVersion: tls.VersionTLS13,
	}
}

func (t *Transport) verifyCertificate(raw [][]byte, expected slugmember.CertificateHash) error {
	if len(raw) == 0 {
		return ErrUnknownPeer
	}
	hash := hashOf(raw[0])
	if expected != "" && hash != expected {
		return errors.Wrapf(ErrUnknownPeer, "hash %s, expected %s", hash, expected)
	}
	if _, ok := t.lookup(hash); !ok {
		return errors.Wrapf(ErrUnknownPeer, "hash %s", hash)
	}
	return nil
}

func hashOf(der []byte) slugmember.CertificateHash {
	sum := sha256.Sum256(der)
	return slugmember.NewCertificateHash(sum[:])
}

func (t *Transport) lookup(h slugmember.CertificateHash) (slugmember.Record, bool) {
	t.mu.Lock()
	f := t.cfg.Lookup
	t.mu.Unlock()
	if f == nil {
		return slugmember.Record{}, false
	}
	return f(h)
}

// Serve accepts connections until ctx ends and answers each message with the result
// of handler, which gets the sender's process name.
func (t *Transport) Serve(ctx context.Context, handler func(slugname.Process, slugpeer.Message) slugpeer.Message) error {
	for {
		conn, err := t.listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return slugfault.Wrap(err, "accept peer connection", t.Address())
		}
		go t.serveConnection(ctx, conn, handler)
	}
}

func (t *Transport) serveConnection(ctx context.Context, conn *quic.Conn, handler func(slugname.Process, slugpeer.Message) slugpeer.Message) {
	peer, ok := t.lookup(hashOf(conn.ConnectionState().TLS.PeerCertificates[0].Raw))
	if !ok {
		t.cfg.Log.Emit(slugevent.PeerRejected, slugevent.Fields{"peer": conn.RemoteAddr().String()})
		_ = conn.CloseWithError(1, "unknown process")
		return
	}
	messages := make(chan struct{}, maxMessages)
	for {
		s, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go t.serveStream(conn, s, peer.Process, handler, messages)
	}
}

// serveStream answers a message, or passes on a byte stream. messages holds one element for each
// message of the connection that is being answered.
func (t *Transport) serveStream(conn *quic.Conn, s *quic.Stream, from slugname.Process, handler func(slugname.Process, slugpeer.Message) slugpeer.Message, messages chan struct{}) {
	_ = s.SetDeadline(time.Now().Add(streamTimeout))
	var first [1]byte
	if _, err := io.ReadFull(s, first[:]); err != nil {
		s.CancelRead(1)
		_ = s.Close()
		return
	}
	if first[0] == byteStreamMark {
		t.serveBytes(newStream(conn, s), from)
		return
	}
	defer func() { _ = s.Close() }()
	messages <- struct{}{}
	defer func() { <-messages }()
	m, err := t.read(io.MultiReader(bytes.NewReader(first[:]), s))
	if err != nil || m.Protocol != slugpeer.Protocol {
		s.CancelRead(1)
		return
	}
	_ = t.write(s, handler(from, m))
}

// Call sends a message to a process and returns its answer.
func (t *Transport) Call(ctx context.Context, to slugmember.Record, m slugpeer.Message) (slugpeer.Message, error) {
	c, err := t.connection(ctx, to)
	if err != nil {
		return slugpeer.Message{}, slugfault.Wrap(err, "connect to peer", to.PeerAddress)
	}
	startedAt := time.Now()
	answer, err := t.call(ctx, c, m)
	switch {
	case err == nil:
		c.recordAnswer()
	case c.Context().Err() != nil || c.recordFailure(startedAt) > unresponsiveTimeout:
		t.closeConnection(to.Process, c)
	}
	return answer, slugfault.Wrap(err, "call peer", to.PeerAddress)
}

func (t *Transport) call(ctx context.Context, c *connection, m slugpeer.Message) (slugpeer.Message, error) {
	s, err := c.OpenStreamSync(ctx)
	if err != nil {
		return slugpeer.Message{}, err
	}
	if d, ok := ctx.Deadline(); ok {
		_ = s.SetDeadline(d)
	}
	if err := t.write(s, m); err != nil {
		return slugpeer.Message{}, err
	}
	if err := s.Close(); err != nil {
		return slugpeer.Message{}, err
	}
	return t.read(s)
}

func (t *Transport) connection(ctx context.Context, to slugmember.Record) (*connection, error) {
	t.mu.Lock()
	c := t.connections[to.Process]
	t.mu.Unlock()
	if c != nil && c.Context().Err() == nil {
		return c, nil
	}
	address, err := net.ResolveUDPAddr("udp", to.PeerAddress)
	if err != nil {
		return nil, err
	}
	dialled, err := t.transport.Dial(ctx, address, t.tlsConfig(to.CertificateHash), quicConfig())
	if err != nil {
		return nil, err
	}
	c = &connection{Conn: dialled}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.connections[to.Process] = c
	return c, nil
}

func (t *Transport) closeConnection(p slugname.Process, c *connection) {
	t.mu.Lock()
	if t.connections[p] == c {
		delete(t.connections, p)
	}
	t.mu.Unlock()
	_ = c.CloseWithError(0, "")
}

func (t *Transport) write(w io.Writer, m slugpeer.Message) error {
	b, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	t.payloadBytes.Add(uint64(len(b)))
	_, err = w.Write(b)
	return err
}

func (t *Transport) read(r io.Reader) (slugpeer.Message, error) {
	b, err := maxMessage.ReadAll(r)
	if err != nil {
		return slugpeer.Message{}, err
	}
	t.payloadBytes.Add(uint64(len(b)))
	return Decode(b)
}

// Decode decodes a message from CBOR.
func Decode(b []byte) (slugpeer.Message, error) {
	var m slugpeer.Message
	err := cbor.Unmarshal(b, &m)
	return m, slugfault.Wrap(err, "decode peer message", "")
}

// Close closes the listener and all connections.
func (t *Transport) Close() error {
	return errors.CombineErrors(t.transport.Close(), t.socket.Close())
}

// Package sluglink carries messages between processes over QUIC. Every process
// makes its key at start and publishes the hash of its certificate; both sides of
// a connection accept only certificates whose hash a known process published.
//
// # Usage
//
//	l, err := sluglink.New(sluglink.Config{Address: "127.0.0.1:0", Lookup: member.ByCertificate})
//	go l.Serve(ctx, table.Serve)
//	answer, err := l.Call(ctx, record, message)
package sluglink

import (
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
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

const (
	// applicationProtocol is the name agreed on in the TLS handshake.
	applicationProtocol = "sassafraslug/1"
	// maxMessageBytes bounds one message.
	maxMessageBytes = 64 << 20
	// idleTimeout ends connections that are not used.
	idleTimeout = 15 * time.Second
	// dropAfter is how long a peer may leave calls on a connection unanswered. One call
	// that takes too long on a small host must not cost a handshake, and end the others.
	dropAfter = 2 * time.Second
	// streamTimeout bounds the service of one message.
	streamTimeout = 5 * time.Second
	// maxStreams bounds the messages in service on one connection.
	maxStreams = 16
)

// Config makes a Link.
type Config struct {
	// Address is the UDP address to listen on.
	Address string
	// Lookup returns the process with a certificate.
	Lookup func(slugmember.CertificateHash) (slugmember.Record, bool)
	Log    *slugevent.Log
}

// Link sends and takes messages.
type Link struct {
	cfg         Config
	certificate tls.Certificate
	hash        slugmember.CertificateHash
	socket      *net.UDPConn
	transport   *quic.Transport
	listener    *quic.Listener
	bytes       atomic.Uint64

	mu          sync.Mutex
	connections map[slugname.Process]*connection
}

// connection is a connection to a peer.
type connection struct {
	*quic.Conn
	mu sync.Mutex
	// silentSince is when the first of the calls began that failed since the last
	// answer, zero when none did.
	silentSince time.Time
}

// heard notes an answer.
func (c *connection) heard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silentSince = time.Time{}
}

// failed notes that a call which began at a time has failed, and returns how long the
// peer has been silent.
func (c *connection) failed(began time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silentSince.IsZero() {
		c.silentSince = began
	}
	return time.Since(c.silentSince)
}

// New listens on the address with a fresh certificate. The lookup may be set
// later by SetLookup, before Serve and Call.
func New(cfg Config) (*Link, error) {
	l := &Link{cfg: cfg, connections: map[slugname.Process]*connection{}}
	if err := l.makeCertificate(); err != nil {
		return nil, slugfault.Wrap(err, "make certificate", cfg.Address)
	}
	address, err := net.ResolveUDPAddr("udp", cfg.Address)
	if err != nil {
		return nil, slugfault.Wrap(err, "resolve address", cfg.Address)
	}
	l.socket, err = net.ListenUDP("udp", address)
	if err != nil {
		return nil, slugfault.Wrap(err, "listen for peers", cfg.Address)
	}
	l.transport = &quic.Transport{Conn: l.socket}
	l.listener, err = l.transport.Listen(l.tls(""), quicConfig())
	return l, slugfault.Wrap(err, "listen for peers", cfg.Address)
}

// SetLookup sets how certificates are looked up.
func (l *Link) SetLookup(f func(slugmember.CertificateHash) (slugmember.Record, bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cfg.Lookup = f
}

// Carrier returns the link as a carrier of messages.
func (l *Link) Carrier() slugpeer.Carrier {
	return slugpeer.Carrier{
		Address: l.Address(), Hash: l.hash, SetLookup: l.SetLookup, Call: l.Call, Serve: l.Serve,
		Bytes: l.Bytes, Close: l.Close,
	}
}

// Address returns the address that the link listens on.
func (l *Link) Address() string { return l.socket.LocalAddr().String() }

// Hash returns the hash of the link's certificate.
func (l *Link) Hash() slugmember.CertificateHash { return l.hash }

// Bytes returns the payload bytes sent and received so far.
func (l *Link) Bytes() uint64 { return l.bytes.Load() }

func quicConfig() *quic.Config {
	return &quic.Config{MaxIdleTimeout: idleTimeout, HandshakeIdleTimeout: 2 * time.Second, MaxIncomingStreams: maxStreams}
}

func (l *Link) makeCertificate() error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
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
	l.certificate = tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
	l.hash = slugmember.NewCertificateHash(sum[:])
	return nil
}

// ErrUnknownPeer says that no known process published the peer's certificate.
var ErrUnknownPeer = errors.New("certificate of no known process")

// tls returns the settings of one side. want is the hash that the other side must
// have; empty takes any known process.
func (l *Link) tls(want slugmember.CertificateHash) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{l.certificate},
		NextProtos:   []string{applicationProtocol},
		ClientAuth:   tls.RequireAnyClientCert,
		// The pinned hash takes the place of a chain of certificates.
		InsecureSkipVerify: true, //nolint:gosec // VerifyPeerCertificate checks the pinned hash.
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
			return l.verify(raw, want)
		},
		MinVersion: tls.VersionTLS13,
	}
}

func (l *Link) verify(raw [][]byte, want slugmember.CertificateHash) error {
	if len(raw) == 0 {
		return ErrUnknownPeer
	}
	hash := hashOf(raw[0])
	if want != "" && hash != want {
		return errors.Wrapf(ErrUnknownPeer, "hash %s, expected %s", hash, want)
	}
	if _, ok := l.lookup(hash); !ok {
		return errors.Wrapf(ErrUnknownPeer, "hash %s", hash)
	}
	return nil
}

func hashOf(der []byte) slugmember.CertificateHash {
	sum := sha256.Sum256(der)
	return slugmember.NewCertificateHash(sum[:])
}

func (l *Link) lookup(h slugmember.CertificateHash) (slugmember.Record, bool) {
	l.mu.Lock()
	f := l.cfg.Lookup
	l.mu.Unlock()
	if f == nil {
		return slugmember.Record{}, false
	}
	return f(h)
}

// Serve answers messages with f until ctx ends.
func (l *Link) Serve(ctx context.Context, f func(slugname.Process, slugpeer.Message) slugpeer.Message) error {
	for {
		c, err := l.listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return slugfault.Wrap(err, "accept peer", l.Address())
		}
		go l.serveConnection(ctx, c, f)
	}
}

func (l *Link) serveConnection(ctx context.Context, c *quic.Conn, f func(slugname.Process, slugpeer.Message) slugpeer.Message) {
	peer, ok := l.lookup(hashOf(c.ConnectionState().TLS.PeerCertificates[0].Raw))
	if !ok {
		l.cfg.Log.Emit(slugevent.PeerRejected, slugevent.Fields{"peer": c.RemoteAddr().String()})
		_ = c.CloseWithError(1, "unknown process")
		return
	}
	for {
		s, err := c.AcceptStream(ctx)
		if err != nil {
			return
		}
		go l.serveStream(s, peer.Process, f)
	}
}

func (l *Link) serveStream(s *quic.Stream, from slugname.Process, f func(slugname.Process, slugpeer.Message) slugpeer.Message) {
	defer func() { _ = s.Close() }()
	_ = s.SetDeadline(time.Now().Add(streamTimeout))
	m, err := l.read(s)
	if err != nil || m.Protocol != slugpeer.Protocol {
		s.CancelRead(1)
		return
	}
	_ = l.write(s, f(from, m))
}

// Call sends a message to a process and returns its answer.
func (l *Link) Call(ctx context.Context, to slugmember.Record, m slugpeer.Message) (slugpeer.Message, error) {
	c, err := l.connection(ctx, to)
	if err != nil {
		return slugpeer.Message{}, slugfault.Wrap(err, "connect to peer", to.PeerAddress)
	}
	began := time.Now()
	answer, err := l.call(ctx, c, m)
	switch {
	case err == nil:
		c.heard()
	case c.Context().Err() != nil || c.failed(began) > dropAfter:
		l.drop(to.Process, c)
	}
	return answer, slugfault.Wrap(err, "call peer", to.PeerAddress)
}

func (l *Link) call(ctx context.Context, c *connection, m slugpeer.Message) (slugpeer.Message, error) {
	s, err := c.OpenStreamSync(ctx)
	if err != nil {
		return slugpeer.Message{}, err
	}
	if d, ok := ctx.Deadline(); ok {
		_ = s.SetDeadline(d)
	}
	if err := l.write(s, m); err != nil {
		return slugpeer.Message{}, err
	}
	if err := s.Close(); err != nil {
		return slugpeer.Message{}, err
	}
	return l.read(s)
}

func (l *Link) connection(ctx context.Context, to slugmember.Record) (*connection, error) {
	l.mu.Lock()
	c := l.connections[to.Process]
	l.mu.Unlock()
	if c != nil && c.Context().Err() == nil {
		return c, nil
	}
	address, err := net.ResolveUDPAddr("udp", to.PeerAddress)
	if err != nil {
		return nil, err
	}
	dialled, err := l.transport.Dial(ctx, address, l.tls(to.CertificateHash), quicConfig())
	if err != nil {
		return nil, err
	}
	c = &connection{Conn: dialled}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections[to.Process] = c
	return c, nil
}

func (l *Link) drop(p slugname.Process, c *connection) {
	l.mu.Lock()
	if l.connections[p] == c {
		delete(l.connections, p)
	}
	l.mu.Unlock()
	_ = c.CloseWithError(0, "")
}

func (l *Link) write(w io.Writer, m slugpeer.Message) error {
	b, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	l.bytes.Add(uint64(len(b)))
	_, err = w.Write(b)
	return err
}

func (l *Link) read(r io.Reader) (slugpeer.Message, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxMessageBytes))
	if err != nil {
		return slugpeer.Message{}, err
	}
	l.bytes.Add(uint64(len(b)))
	return Decode(b)
}

// Decode reads a message.
func Decode(b []byte) (slugpeer.Message, error) {
	var m slugpeer.Message
	err := cbor.Unmarshal(b, &m)
	return m, slugfault.Wrap(err, "decode peer message", "")
}

// Close ends all connections and the listener.
func (l *Link) Close() error {
	return errors.CombineErrors(l.transport.Close(), l.socket.Close())
}

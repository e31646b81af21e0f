// Package slugattacker imitates callers that try to exhaust the memory or the descriptors of
// an HTTP server: heads of very many lines, heads without end, connections kept silent, and
// responses that are never read. It stays within the connections that it is given, and opens
// a connection again when the server closes it.
//
// # Usage
//
//	a := slugattacker.New(slugattacker.Config{Address: "127.0.0.1:8080", Path: "/x", Host: "a", Kinds: slugattacker.Lines, Connections: 300, Seed: 1})
//	a.Run(ctx)
package slugattacker

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is what a caller sends.
type Kind string

// Kinds of callers.
const (
	// ShortLines are legal requests whose heads have as many lines as fit, with different
	// names, and whose bodies do not arrive.
	ShortLines Kind = "shortLines"
	// RepeatedLines are the same with one name in all lines.
	RepeatedLines Kind = "repeatedLines"
	// LongHead is a head of several times the limit.
	LongHead Kind = "longHead"
	// SlowHead is a head without end that is sent slowly.
	SlowHead Kind = "slowHead"
	// EndlessLine is a head that consists of one line without end.
	EndlessLine Kind = "endlessLine"
	// EmptyLines are empty lines without end before a request.
	EmptyLines Kind = "emptyLines"
	// Trailers are requests whose trailer has very many lines.
	Trailers Kind = "trailers"
	// Extensions are chunks with long extensions.
	Extensions Kind = "extensions"
	// Expect are heads of many lines that ask for an interim response and send no body.
	Expect Kind = "expect"
	// Silent are connections on which nothing is sent.
	Silent Kind = "silent"
	// SlowBody are bodies that are sent a byte at a time.
	SlowBody Kind = "slowBody"
	// Unread are requests one after another whose responses are not read.
	Unread Kind = "unread"
	// Streams are HTTP/2 streams with very many header fields whose bodies do not arrive.
	Streams Kind = "streams"
	// UnreadStreams are HTTP/2 streams that give the server no room for its responses.
	UnreadStreams Kind = "unreadStreams"
	// ResetStreams are HTTP/2 streams with very many header fields, each of which is reset at
	// once and followed by another one.
	ResetStreams Kind = "resetStreams"
)

// Groups of kinds.
var (
	Lines     = []Kind{ShortLines, RepeatedLines}
	Heads     = []Kind{LongHead, SlowHead, EndlessLine}
	Blanks    = []Kind{EmptyLines}
	Sections  = []Kind{Trailers, Extensions, Expect}
	Held      = []Kind{Silent, SlowBody}
	NotRead   = []Kind{Unread}
	HTTP2     = []Kind{Streams, UnreadStreams}
	Resets    = []Kind{ResetStreams}
	AllGroups = [][]Kind{Lines, Heads, Blanks, Sections, Held, NotRead, HTTP2, Resets}
)

// Config configures an Attacker.
type Config struct {
	Address string
	// Path and Host are those of the requests.
	Path, Host string
	// Header is added to the head of requests, in whole lines.
	Header string
	// Kinds are shared out evenly among the connections.
	Kinds       []Kind
	Connections int
	// HeadBytes is the size of a head within the limits; 0 means 16,384.
	HeadBytes int
	Seed      uint64
}

// Attacker is a group of callers.
type Attacker struct {
	cfg    Config
	dialed atomic.Int64
	ended  atomic.Int64
}

const (
	// defaultHeadBytes is the largest head that callers are usually allowed.
	defaultHeadBytes = 16384
	// redialDelay is the mean delay before a connection that the server has closed is opened
	// again. It bounds the processor time that one connection takes.
	redialDelay = 100 * time.Millisecond
	dialTimeout = time.Second
)

// New returns an Attacker that does nothing yet.
func New(cfg Config) *Attacker {
	if cfg.HeadBytes == 0 {
		cfg.HeadBytes = defaultHeadBytes
	}
	return &Attacker{cfg: cfg}
}

// Dialed returns the number of connections that were opened so far.
func (a *Attacker) Dialed() int64 { return a.dialed.Load() }

// Ended returns the number of connections that the server has ended so far.
func (a *Attacker) Ended() int64 { return a.ended.Load() }

// Run sends until ctx ends, and closes all connections.
func (a *Attacker) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for n := range a.cfg.Connections {
		random := rand.New(rand.NewPCG(a.cfg.Seed, uint64(n)))
		kind := a.cfg.Kinds[n%len(a.cfg.Kinds)]
		wg.Go(func() { a.repeat(ctx, kind, random) })
	}
	wg.Wait()
}

// repeat sends on one connection after another.
func (a *Attacker) repeat(ctx context.Context, kind Kind, random *rand.Rand) {
	for ctx.Err() == nil {
		a.connect(ctx, kind, random)
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay/2 + time.Duration(random.Int64N(int64(redialDelay)))):
		}
	}
}

// connect opens a connection and sends on it until it is closed or ctx ends.
func (a *Attacker) connect(ctx context.Context, kind Kind, random *rand.Rand) {
	conn, err := net.DialTimeout("tcp", a.cfg.Address, dialTimeout)
	if err != nil {
		return // A server that refuses the connection is not a fault.
	}
	a.dialed.Add(1)
	c := &connection{Conn: conn, Attacker: a, random: random, closed: make(chan struct{})}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	if kind != Unread {
		go c.discard()
	} else {
		// Little room at the receiver makes the writes of the server wait early.
		_ = conn.(*net.TCPConn).SetReadBuffer(minReceive)
	}
	c.send(ctx, kind)
	if ctx.Err() == nil {
		a.ended.Add(1)
	}
}

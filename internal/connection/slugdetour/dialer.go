// Package slugdetour opens connections to endpoints, through a peer where this process does not
// reach an endpoint itself.
//
// A peer opens the connection and copies bytes both ways; it neither reads nor changes them. The
// process that opened the connection goes on to own its requests: keys, deadlines, attempts, the
// retry budget and the count of usage are as on a direct connection. A peer opens only direct
// connections for others, so that no connection passes two of them, and only to endpoints that
// it knows and that want its requests.
//
// What peers reach also tells a lost path from a dead endpoint: Dial reports that an endpoint
// refuses connections only if it refuses those of a peer too, or if no peer could say.
//
// # Usage
//
//	d := slugdetour.New(slugdetour.Config{Direct: network.Dial, Peers: peers, Record: member.Record, Open: transport.Open, Allowed: allowed, Log: log})
//	transport.SetStreams(d.Serve)
//	conn, err := d.Dial(ctx, "tcp", address)
package slugdetour

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpath"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

const (
	// directTimeout bounds a direct attempt.
	directTimeout = time.Second
	// maxAsked is the number of peers that are asked for one connection.
	maxAsked = 3
	// peerPatience is how long a peer may take before the next one is asked as well.
	peerPatience = 150 * time.Millisecond
	// peerTimeout bounds the attempt of one peer, with the handshake of a first call to it.
	peerTimeout = 600 * time.Millisecond
	// avoidPeer is how long a peer that could not say whether it reaches an endpoint is not asked.
	avoidPeer = 2 * time.Second
	// maxChecks bounds the paths that are checked at once.
	maxChecks = 16
)

// Config configures a Dialer.
type Config struct {
	// Direct opens a connection itself.
	Direct func(ctx context.Context, network, address string) (net.Conn, error)
	// Peers returns the live peers, and Record the record of one.
	Peers  func() []Peer
	Record func(slugname.Process) (slugmember.Record, bool)
	// Open opens a stream to a peer.
	Open func(ctx context.Context, to slugmember.Record) (slugpeer.Stream, error)
	// Allowed reports whether peers may open connections to an address through this process.
	Allowed func(address string) bool
	// PathChanged is called after the path to an address was lost or restored; it may be nil.
	PathChanged func(address string, lost bool)
	Log         *slugevent.Log
}

// Peer is a process that may open connections for this one.
type Peer struct {
	Process slugname.Process
	// LostPaths is set if the peer reaches some endpoints only through others. Such peers are
	// asked last.
	LostPaths bool
}

// Dialer opens connections to endpoints. It is safe for concurrent use.
type Dialer struct {
	cfg   Config
	paths *slugpath.Paths
	// served is the number of connections that are open for peers.
	served chan struct{}
	// activeAt is when bytes last passed on one of them, in nanoseconds since the Unix epoch.
	activeAt atomic.Int64
	checks   chan struct{}

	mu      sync.Mutex
	avoided map[slugname.Process]time.Time
	// open holds the open direct connections by address.
	open map[string]map[*directConn]bool
	// shared counts, by address, the open connections through a peer or for one.
	shared           map[string]map[slugname.Process]int
	opened, unopened uint64
}

// New returns a Dialer.
func New(cfg Config) *Dialer {
	if cfg.PathChanged == nil {
		cfg.PathChanged = func(string, bool) {}
	}
	return &Dialer{
		cfg: cfg, paths: slugpath.New(), served: make(chan struct{}, maxServed), checks: make(chan struct{}, maxChecks),
		avoided: map[slugname.Process]time.Time{}, open: map[string]map[*directConn]bool{}, shared: map[string]map[slugname.Process]int{},
	}
}

// errUnreached means that no peer could say whether an endpoint accepts connections.
var errUnreached = errors.New("no peer reaches the endpoint")

// attempt is the opening of one connection.
type attempt struct {
	*Dialer
	network, address string
	startedAt        time.Time

	mu sync.Mutex
	// reachedByPeer is set once a peer has reached the endpoint.
	reachedByPeer bool
	directEnded   bool
	directErr     error
}

// opened is the result of a way to open a connection.
type opened struct {
	conn   net.Conn
	err    error
	direct bool
}

// Dial opens a connection to an endpoint.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	now := time.Now()
	plan := d.paths.Plan(address, now)
	a := &attempt{Dialer: d, network: network, address: address, startedAt: now}
	results := make(chan opened, 2)
	peerCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	pending := 0
	askPeers := func() {
		if plan.Peers {
			plan.Peers = false
			pending++
			go func() { results <- a.throughPeers(peerCtx) }()
		}
	}
	if plan.Direct {
		pending++
		// It goes on after a peer has been faster, which shows whether the path is lost.
		go func() { results <- a.dialDirect(context.WithoutCancel(ctx)) }()
	}
	timer := time.NewTimer(plan.PeersAfter)
	defer timer.Stop()
	var failures []opened
	for {
		select {
		case <-timer.C:
			askPeers()
		case <-ctx.Done():
			go drop(results, pending)
			return nil, ctx.Err()
		case r := <-results:
			if r.err == nil {
				go drop(results, pending-1)
				return r.conn, nil
			}
			pending--
			failures = append(failures, r)
			if r.direct {
				askPeers()
			}
		}
		if pending == 0 && !plan.Peers {
			return nil, a.failure(failures)
		}
	}
}

// drop closes connections that are not needed any more.
func drop(results <-chan opened, n int) {
	for range n {
		if r := <-results; r.conn != nil {
			_ = r.conn.Close()
		}
	}
}

// failure returns the error of an attempt without a connection. The endpoint refuses connections if
// it refuses those of a peer, or those of this process while no peer could say.
func (a *attempt) failure(list []opened) error {
	var direct, peer error
	for _, r := range list {
		if r.direct {
			direct = r.err
		} else {
			peer = r.err
		}
	}
	switch {
	case direct == nil:
		return errors.Wrapf(peer, "dial %s through peers", a.address)
	case errors.Is(peer, syscall.ECONNREFUSED):
		return errors.Wrapf(peer, "dial %s directly and through peers: %v", a.address, direct)
	}
	return direct
}

// dialDirect makes the direct attempt.
func (a *attempt) dialDirect(ctx context.Context) opened {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	conn, err := a.cfg.Direct(ctx, a.network, a.address)
	if err == nil {
		if a.paths.Reached(a.address, time.Now()) {
			a.pathRestored()
		}
		return opened{conn: a.track(conn, a.address), direct: true}
	}
	a.mu.Lock()
	a.directEnded, a.directErr = true, err
	reached := a.reachedByPeer
	a.mu.Unlock()
	if reached {
		a.pathLost(err)
	}
	return opened{err: err, direct: true}
}

// peerReached records that a peer has reached the endpoint.
func (a *attempt) peerReached() {
	a.mu.Lock()
	a.reachedByPeer = true
	ended, err := a.directEnded, a.directErr
	a.mu.Unlock()
	if ended {
		a.pathLost(err)
	}
}

// throughPeers asks peers to open the connection, one after another, until one has opened it. A
// refusal ends nothing: the links of the peer may be refused as well.
func (a *attempt) throughPeers(ctx context.Context) opened {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := a.fitPeers()
	results := make(chan opened, len(peers))
	pending, last := 0, errUnreached
	ask := func() {
		if len(peers) == 0 {
			return
		}
		p := peers[0]
		peers = peers[1:]
		pending++
		go func() { results <- a.throughPeer(ctx, p) }()
	}
	ask()
	timer := time.NewTicker(peerPatience)
	defer timer.Stop()
	for pending > 0 {
		select {
		case <-timer.C:
			ask()
		case r := <-results:
			pending--
			if r.err == nil {
				go drop(results, pending)
				a.count(true)
				return r
			}
			if !errors.Is(last, syscall.ECONNREFUSED) {
				last = r.err
			}
			ask()
		}
	}
	if ctx.Err() == nil {
		a.paths.Unreached(a.address, time.Now())
		a.count(false)
	}
	return opened{err: last}
}

// count counts a connection that a peer was asked for.
func (d *Dialer) count(success bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if success {
		d.opened++
	} else {
		d.unopened++
	}
}

// fitPeers returns up to maxAsked random peers, in the order in which they are to be asked.
func (d *Dialer) fitPeers() []slugmember.Record {
	avoided, peers := d.currentlyAvoided(time.Now()), d.cfg.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var out []slugmember.Record
	for _, lostPaths := range []bool{false, true} {
		for _, p := range peers {
			if p.LostPaths != lostPaths || avoided[p.Process] || len(out) == maxAsked {
				continue
			}
			if r, known := d.cfg.Record(p.Process); known {
				out = append(out, r)
			}
		}
	}
	return out
}

// currentlyAvoided returns the peers that are not to be asked.
func (d *Dialer) currentlyAvoided(now time.Time) map[slugname.Process]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[slugname.Process]bool{}
	for p, until := range d.avoided {
		if now.After(until) {
			delete(d.avoided, p)
			continue
		}
		out[p] = true
	}
	return out
}

// throughPeer asks a peer to open the connection.
func (a *attempt) throughPeer(ctx context.Context, to slugmember.Record) opened {
	asked, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	s, err := a.cfg.Open(asked, to)
	if err != nil {
		return a.peerFailed(ctx, to, err)
	}
	// The stream does not end with the context of the attempt.
	stop := context.AfterFunc(asked, s.Abort)
	answer, err := ask(s, a.address)
	if !stop() || err != nil {
		s.Abort()
		return a.peerFailed(ctx, to, errors.CombineErrors(err, asked.Err()))
	}
	switch answer {
	case answerOpen:
		a.peerReached()
		a.share(a.address, to.Process, 1)
		return opened{conn: &sharedConn{Stream: s, release: func() { a.share(a.address, to.Process, -1) }}}
	case answerRefused:
		s.Abort()
		return opened{err: errors.Wrapf(syscall.ECONNREFUSED, "dial %s through %s", a.address, to.Process)}
	case answerLost:
		s.Abort()
		return a.peerFailed(ctx, to, errors.Newf("%s does not reach %s", to.Process, a.address))
	}
	s.Abort()
	return opened{err: errors.Newf("%s opens no connection to %s (%d)", to.Process, a.address, answer)}
}

// peerFailed records that a peer could not say whether it reaches the endpoint.
func (a *attempt) peerFailed(ctx context.Context, p slugmember.Record, err error) opened {
	if ctx.Err() == nil {
		a.Dialer.mu.Lock()
		a.avoided[p.Process] = time.Now().Add(avoidPeer)
		a.Dialer.mu.Unlock()
	}
	return opened{err: err}
}

// pathLost records that a peer reaches an endpoint that this process does not reach.
func (a *attempt) pathLost(cause error) {
	now := time.Now()
	loss := a.paths.Lost(a.address, a.startedAt, now)
	// Where new connections are refused, open ones may live on.
	if !loss.SilentSince.IsZero() && !errors.Is(cause, syscall.ECONNREFUSED) {
		a.closeSilent(a.address, loss.SilentSince)
	}
	status := a.paths.Status()
	if loss.New {
		a.cfg.Log.Error(slugevent.PathLost, cause, a.fields(status, now))
		a.cfg.PathChanged(a.address, true)
	}
	if loss.CutOff {
		a.cfg.Log.Emit(slugevent.EndpointsUnreached, a.fields(status, now))
		a.checkOthers()
	}
}

// pathRestored records that this process reaches an endpoint again.
func (a *attempt) pathRestored() {
	now := time.Now()
	a.cfg.Log.Emit(slugevent.PathRestored, a.fields(a.paths.Status(), now))
	a.cfg.PathChanged(a.address, false)
}

// fields returns the fields of an event about a path.
func (a *attempt) fields(s slugpath.Status, now time.Time) slugevent.Fields {
	f := slugevent.Fields{"peer": a.address, "tookMs": now.Sub(a.startedAt).Milliseconds(), "lostPaths": s.Lost, "cutOff": s.CutOff}
	if !s.ReachedAt.IsZero() {
		f["reachedAgeMs"] = now.Sub(s.ReachedAt).Milliseconds()
	}
	return f
}

// Status summarizes the paths to endpoints and the connections through peers.
type Status struct {
	slugpath.Status
	// Opened is the number of connections that peers have opened for this process, and Unopened
	// the number of times that none of them could.
	Opened, Unopened uint64
	// Served is the number of connections that are open for peers.
	Served int
}

// Status returns a summary of the paths to endpoints and the connections through peers.
func (d *Dialer) Status() Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Status{d.paths.Status(), d.opened, d.unopened, len(d.served)}
}

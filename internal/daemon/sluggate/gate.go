// Package sluggate implements the gate daemon, which sits between callers and endpoints.
// It answers address lookups, authenticates, admits, routes and relays requests, and
// counts usage.
//
// # Usage
//
//	g := sluggate.New(settings, slugnetwork.New(), log)
//	err := g.Run(ctx) // cancelling ctx starts a graceful shutdown
package sluggate

import (
	"context"
	"expvar"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugclaim"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugledger"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/base/slugmemory"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugsettings"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstep"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugdetour"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugnetwork"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugnode"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugoperatorauth"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugserve"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugburn"
	"github.com/sassafraslug/sassafraslug/internal/decision/sluglimit"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugquarantine"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugsuspect"
	"github.com/sassafraslug/sassafraslug/internal/fleet/slugfleet"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugdirectory"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugevidence"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpartition"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
	"github.com/sassafraslug/sassafraslug/internal/request/slugadmit"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
	"golang.org/x/sync/errgroup"
)

const (
	// leavePropagationTime is how long it takes until all peers know that a process is
	// leaving. It also limits the time of a push of suspicions.
	leavePropagationTime = 2 * time.Second
	// operatorsShutdownTimeout limits the time to answer the last calls of operators.
	operatorsShutdownTimeout = 200 * time.Millisecond
	// writeTimeout limits the time of one write of the usage record, and of the last
	// writes during a shutdown.
	writeTimeout = 10 * time.Second
	// usageWriteBase is the fixed part of the time between writes of the usage record.
	usageWriteBase = 2 * time.Second
	// usageWritePerGate is added to usageWriteBase for each gate, to limit the total write
	// rate of all gates.
	usageWritePerGate = 20 * time.Millisecond
	// detourDrainTimeout bounds the wait for responses that pass through this gate to peers.
	detourDrainTimeout = 5 * time.Second
	// peerUpdateInterval is the time between updates of the state published to peers.
	peerUpdateInterval = time.Second
)

// Gate is the gate daemon.
type Gate struct {
	settings *slugsettings.Settings
	log      *slugevent.Log
	metrics  *expvar.Map
	network  *slugnetwork.Network

	*slugnode.Node
	sender            *slugsend.Sender
	detour            *slugdetour.Dialer
	fleet             *slugfleet.Fleet
	limiter           *sluglimit.Limiter
	suspects          *slugsuspect.Tracker
	quarantines       *slugquarantine.Set
	evidence          *slugevidence.Exchange
	ledger            *slugledger.Ledger
	claims            *slugclaim.Claims
	burn              *slugburn.Burn
	partitionDetector *slugpartition.Detector
	directory         *slugdirectory.Directory
	admitter          *slugadmit.Admitter
	callers           *slugserve.Server
	operators         *slugserve.Server
	leaving           atomic.Bool
	ready             atomic.Bool

	callerRoutesOnce   sync.Once
	callerRoutes       *http.ServeMux
	operatorRoutesOnce sync.Once
	operatorRoutes     http.Handler
	// stop cancels the background work after the last request has finished.
	stop context.CancelFunc
	// started is closed when startup is complete.
	started chan struct{}
}

// New returns a Gate that does nothing until Run is called.
func New(s *slugsettings.Settings, n *slugnetwork.Network, log *slugevent.Log) *Gate {
	return &Gate{settings: s, network: n, log: log, metrics: new(expvar.Map).Init(), quarantines: slugquarantine.NewSet(), started: make(chan struct{})}
}

// Run runs the daemon. When ctx is cancelled it shuts down gracefully: it notifies peers
// and callers, finishes all requests and returns.
func (g *Gate) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g.stop = stop
	return slugstep.Run(work, g.log, []slugstep.Step{
		{Name: "open listeners", Run: g.listen},
		{Name: "join the system", Run: g.join},
		{Name: "build the request path", Run: g.build},
		{Name: "serve operators", Run: g.serveOperators},
		{Name: "publish this process", Run: g.publish},
		{Name: "follow the configuration", Run: g.follow},
		{Name: "follow the endpoints", Run: g.followFleet},
		{Name: "follow the quarantines", Run: g.followQuarantines},
		{Name: "tell peers", Run: g.publishPeerState},
		{Name: "record usage", Run: g.recordUsage},
		{Name: "serve tls to callers", Skip: g.noCertificate, Run: func(context.Context, *errgroup.Group) error { return nil }},
		{Name: "serve callers", Run: g.serveCallers},
		{Name: "leave when told", Run: func(_ context.Context, group *errgroup.Group) error {
			close(g.started)
			group.Go(func() error { return g.awaitShutdown(ctx, work) })
			return nil
		}},
	})
}

// Started returns a channel that is closed when startup is complete.
func (g *Gate) Started() <-chan struct{} { return g.started }

// Addresses returns the addresses for callers and for operators. They are known once the
// gate has started.
func (g *Gate) Addresses() (callers, operators string) {
	return g.callers.Address(), g.operators.Address()
}

// Abort stops the daemon immediately without finishing anything, as a crash would.
func (g *Gate) Abort() { g.stop() }

// noCertificate returns why the TLS step is skipped, or "" if a certificate is configured.
func (g *Gate) noCertificate() string {
	if g.settings.CallersCertificate == "" {
		return "callers.tlsCertificate is not set"
	}
	return ""
}

// listen opens all listeners. It is the first step, so that startup fails immediately if a
// port is in use.
func (g *Gate) listen(_ context.Context, _ *errgroup.Group) error {
	var err error
	s := g.settings
	g.callers, err = slugserve.New(slugserve.Config{
		Address: s.CallersListen, Handler: http.HandlerFunc(g.serveHTTP), Certificate: s.CallersCertificate, Key: s.CallersKey,
		MaxHeaderBytes: int(s.MaxHeaderBytes), MaxConnections: int(s.MaxConnections), Log: g.log, Listen: g.network.Listen,
	})
	if err != nil {
		return err
	}
	guard, err := slugoperatorauth.New(s.OperatorsTokenFile, http.HandlerFunc(g.serveOperatorsHTTP))
	if err != nil {
		return err
	}
	g.operators, err = slugserve.New(slugserve.Config{Address: s.OperatorsListen, Handler: guard, Log: g.log, Listen: g.network.Listen})
	return err
}

// maxReceived bounds the bytes received from endpoints that the process holds. Those of callers
// are bounded by the setting callers.memoryBytes.
const maxReceived slugmemory.Bytes = 32 << 20

// join creates the sender and the connection to the cluster.
func (g *Gate) join(_ context.Context, _ *errgroup.Group) error {
	g.detour = g.newDetour()
	g.sender = slugsend.New(slugsend.Config{Dial: g.detour.Dial, Memory: slugmemory.New(maxReceived), Responded: func(r slugsend.Response) { g.fleet.Responded(r) }})
	node, err := slugnode.New(slugnode.Config{
		Settings: g.settings, Kind: slugmember.KindGate, Log: g.log, Metrics: g.metrics, Network: g.network,
		CallersAddress:   slugnode.Advertised(g.settings.CallersAdvertise, g.callers.Address()),
		OperatorsAddress: slugnode.Advertised(g.settings.OperatorsAdvertise, g.operators.Address()),
		PeerRowChanged:   g.handlePeerRow,
		Evidence: func(list []slugpeer.Evidence, compare bool) []slugpeer.Evidence {
			return g.evidence.Serve(list, compare)
		},
	})
	if err != nil {
		return err
	}
	g.Node = node
	g.Transport.SetStreams(g.detour.Serve)
	g.evidence = slugevidence.New(slugevidence.Config{
		Trackers: g.quarantines, Store: g.Store.For("quarantines"), Log: g.log, Peers: g.Table.Neighbours, Call: g.Transport.Call,
		Rank: func(subject string) int { return slugmember.Rank(subject, g.Member.Self().Process, g.liveGates()) },
	})
	return nil
}

// build creates the components of the request path.
func (g *Gate) build(_ context.Context, _ *errgroup.Group) error {
	s := g.settings
	self := g.Member.Self()
	g.burn = slugburn.New()
	g.limiter = sluglimit.New()
	g.suspects = slugsuspect.New(slugsuspect.Config{}, func(slugsuspect.Suspicion) { go g.pushSuspicions() })
	g.claims = slugclaim.New(slugclaim.Config{Process: self.Process, Store: g.Store.For("claims")})
	g.ledger = slugledger.New(slugledger.Config{Region: s.Region, Process: self.Process, Window: s.UsageWindow, Store: g.Store.For("usage")})
	g.fleet = slugfleet.New(slugfleet.Config{
		Host: s.Host, DataCentre: s.DataCentre, Store: g.Store.For("plans"), Get: g.sender.Get,
		QueueLength: int(s.QueueLength), Changed: g.acknowledgePlans, MaxTokenGap: g.maxTokenGap, GateIndex: g.gateIndex, Log: g.log,
	})
	g.partitionDetector = slugpartition.New(slugpartition.Config{LastConfirmed: g.Follower.LastConfirmed, Statuses: g.Table.Statuses, Records: g.Member.Records, Changed: g.tellCutOff, Log: g.log})
	g.directory = slugdirectory.New(slugdirectory.Config{
		Self: self, Statuses: g.Table.Statuses, Record: g.Member.Record, CutOff: g.partitionDetector.CutOff, MaxAge: s.AnswerAge,
	})
	g.admitter = slugadmit.New(slugadmit.Config{
		Snapshot: g.Follower.Snapshot, CutOff: g.refuseIfCutOff, Fleet: g.fleet, Limits: g.limiter,
		MaxBodyBytes: s.MaxBodyBytes, MemoryBytes: s.MemoryBytes, BodyTimeout: s.BodyTimeout,
	})
	return nil
}

// followQuarantines starts to exchange evidence against crashing requests, and to follow the
// verdicts in the store.
func (g *Gate) followQuarantines(ctx context.Context, group *errgroup.Group) error {
	group.Go(func() error { return g.evidence.Run(ctx) })
	group.Go(func() error {
		return g.Store.For("quarantines").Watch(ctx, slugstore.Watcher{Prefix: slugevidence.Prefix, OnChange: g.evidence.Apply})
	})
	return nil
}

// gateIndex returns the index of this gate among the live gates, and their number.
func (g *Gate) gateIndex() (index, gates int) {
	self := g.Member.Self().Process
	for _, s := range g.Table.Statuses() {
		if s.Kind != slugmember.KindGate || !s.Alive && s.Process != self {
			continue
		}
		if s.Process == self {
			index = gates
		}
		gates++
	}
	return index, max(1, gates)
}

// maxTokenGap returns the longest time between tokens that a service's objectives
// allow, or 0 if the service is unknown.
func (g *Gate) maxTokenGap(name slugname.Service) time.Duration {
	s := g.Follower.Snapshot()
	if s == nil || s.Service(name) == nil {
		return 0
	}
	return time.Duration(s.Service(name).Objectives.BetweenTokensMs) * time.Millisecond
}

// refuseIfCutOff returns a refusal while this host is cut off from the other hosts, and
// otherwise nil.
func (g *Gate) refuseIfCutOff() *slugrefusal.Refusal {
	if !g.partitionDetector.CutOff() {
		return nil
	}
	return slugrefusal.NotRun(slugrefusal.CodeCutOff, "this host is cut off from the other hosts").WithRetryAfter(time.Second)
}

// handlePeerRow handles a changed row of a peer by taking over its suspicions.
func (g *Gate) handlePeerRow(r slugpeer.Row) {
	if g.suspects == nil {
		return
	}
	now := time.Now()
	for _, s := range r.Suspicions {
		g.suspects.MergePeer(s, now)
	}
}

func (g *Gate) serveOperators(ctx context.Context, group *errgroup.Group) error {
	group.Go(func() error { return g.operators.Serve(ctx) })
	return nil
}

func (g *Gate) publish(ctx context.Context, group *errgroup.Group) error {
	return g.Publish(ctx, group)
}

// follow starts to follow the configuration, and to check whether this host is cut off and
// must not rely on it.
func (g *Gate) follow(ctx context.Context, group *errgroup.Group) error {
	group.Go(func() error { return g.Follower.Run(ctx) })
	group.Go(func() error { return g.partitionDetector.Run(ctx) })
	return nil
}

// followFleet starts to follow the endpoints.
func (g *Gate) followFleet(ctx context.Context, group *errgroup.Group) error {
	group.Go(func() error { return g.fleet.Run(ctx) })
	return nil
}

// publishPeerState starts to publish the state that changes constantly, such as demand and
// load, to peers.
func (g *Gate) publishPeerState(ctx context.Context, group *errgroup.Group) error {
	group.Go(func() error {
		for ctx.Err() == nil {
			g.updatePeerState()
			_ = slugbackoff.Sleep(ctx, peerUpdateInterval)
		}
		return nil
	})
	return nil
}

// updatePeerState publishes this gate's demand, load and suspicions to peers, and applies
// the demand of the other gates.
func (g *Gate) updatePeerState() {
	demand := g.limiter.Tick()
	limited := g.limitedDemand(demand)
	busy := g.fleet.Busy()
	now := time.Now()
	suspicions := g.suspects.Suspicions(now)
	self := g.Table.Self()
	if len(limited.PerSecond) > 0 || len(self.Demand) > 0 || len(busy) > 0 || len(self.Busy) > 0 || len(suspicions) != len(self.Suspicions) || len(limited.Running) > 0 || len(self.Running) > 0 {
		g.Table.Update(func(r *slugpeer.Row) {
			r.Demand, r.Running, r.Busy, r.Suspicions = limited.PerSecond, limited.Running, busy, suspicions
		})
	}
	g.applyPeerDemand()
}

// limitedDemand removes the demand of workspaces that have no limits.
func (g *Gate) limitedDemand(d sluglimit.Demand) sluglimit.Demand {
	s := g.Follower.Snapshot()
	if s == nil {
		return sluglimit.Demand{}
	}
	for w := range d.PerSecond {
		if x := s.Workspace(w); x == nil || x.Limits.RequestsPerSecond == 0 {
			delete(d.PerSecond, w)
		}
	}
	for w := range d.Running {
		if x := s.Workspace(w); x == nil || x.Limits.Concurrent == 0 {
			delete(d.Running, w)
		}
	}
	return d
}

// applyPeerDemand passes the demand of the other live gates to the limiter. If other gates
// are known but none is alive, it passes the number of known gates and marks the demand as
// unknown.
func (g *Gate) applyPeerDemand() {
	var others []sluglimit.Demand
	gates, alive := 1, false
	known := 0
	for _, r := range g.Member.Records() {
		if r.Kind == slugmember.KindGate {
			known++
		}
	}
	for _, s := range g.Table.Statuses() {
		if s.Kind != slugmember.KindGate || !s.Alive || s.Process == g.Member.Self().Process {
			continue
		}
		gates++
		alive = true
		others = append(others, sluglimit.Demand{PerSecond: s.Demand, Running: s.Running})
	}
	if !alive && known > 1 {
		g.limiter.SetPeers(nil, known, false)
		return
	}
	g.limiter.SetPeers(others, gates, true)
}

// acknowledgePlans publishes the versions of the plans in use to peers.
func (g *Gate) acknowledgePlans() {
	versions := g.fleet.Versions()
	g.Table.Update(func(r *slugpeer.Row) {
		r.Plans = versions
		r.Busy = g.fleet.Busy()
	})
}

// pushSuspicions sends the current suspicions to peers immediately.
func (g *Gate) pushSuspicions() {
	ctx, cancel := context.WithTimeout(context.Background(), leavePropagationTime)
	defer cancel()
	list := g.suspects.Suspicions(time.Now())
	g.Table.Update(func(r *slugpeer.Row) { r.Suspicions = list })
	g.Table.Push(ctx)
}

// recordUsage starts to write the usage record periodically.
func (g *Gate) recordUsage(ctx context.Context, group *errgroup.Group) error {
	group.Go(func() error {
		for slugbackoff.Sleep(ctx, g.usageWriteInterval()) == nil {
			g.writeUsage(ctx)
		}
		return nil
	})
	return nil
}

// writeUsage writes the usage record once.
func (g *Gate) writeUsage(ctx context.Context) {
	writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := g.ledger.Write(writeCtx); err != nil && ctx.Err() == nil {
		g.log.Error(slugevent.UsageWriteFailed, err, nil)
	}
}

// usageWriteInterval returns the time between writes of the usage record. It grows with
// the number of gates, so that their writes together stay within the store's budget.
func (g *Gate) usageWriteInterval() time.Duration {
	gates := 0
	for _, r := range g.Member.Records() {
		if r.Kind == slugmember.KindGate {
			gates++
		}
	}
	return usageWriteBase + time.Duration(gates)*usageWritePerGate
}

// serveCallers starts to serve callers and marks the gate as ready.
func (g *Gate) serveCallers(ctx context.Context, group *errgroup.Group) error {
	group.Go(func() error { return g.callers.Serve(ctx) })
	g.ready.Store(true)
	return nil
}

// awaitShutdown waits until the shutdown context is cancelled and then shuts down
// gracefully. If work is cancelled first, it only closes the servers.
func (g *Gate) awaitShutdown(shutdown, work context.Context) error {
	select {
	case <-shutdown.Done():
	case <-work.Done():
		_ = g.callers.Close()
		return g.operators.Close()
	}
	return g.shutDown(work)
}

// shutDown ends the daemon without interrupting a request. It announces the shutdown and
// keeps serving until cached lookups have expired and peers know of it.
func (g *Gate) shutDown(ctx context.Context) error {
	g.log.Emit(slugevent.ShutdownBegun, nil)
	g.leaving.Store(true)
	g.Table.Update(func(r *slugpeer.Row) { r.Leaving = true })
	g.Table.Push(ctx)
	_ = slugbackoff.Sleep(ctx, g.settings.AnswerAge+leavePropagationTime)
	if err := g.callers.Shutdown(ctx); err != nil {
		return err
	}
	drainCtx, cancel := context.WithTimeout(ctx, detourDrainTimeout)
	g.detour.Drain(drainCtx)
	cancel()
	err := g.finalWrites(ctx)
	err = errors.CombineErrors(err, g.operators.ShutdownWithin(ctx, operatorsShutdownTimeout))
	g.stop()
	g.sender.CloseIdle()
	g.log.Emit(slugevent.ShutdownDone, nil)
	return err
}

// finalWrites closes the usage record and removes the membership record.
func (g *Gate) finalWrites(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := g.ledger.Close(ctx); err != nil {
		g.log.Error(slugevent.UsageWriteFailed, err, nil)
		return slugfault.Wrap(err, "close usage record", g.settings.PlatformAddress)
	}
	return g.Leave(ctx)
}

// Endpoints returns the number of endpoints of a service that this gate uses.
func (g *Gate) Endpoints(s slugname.Service) int {
	return len(g.fleet.Service(s).Picker.Endpoints())
}

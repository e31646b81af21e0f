// Package slugcontrol implements the control daemon. It runs the leased duties, which order
// endpoints, report usage and assign roles to endpoints, and serves the operator API.
//
// # Usage
//
//	c := slugcontrol.New(settings, slugnetwork.New(), log)
//	err := c.Run(ctx) // cancelling ctx starts a graceful shutdown
package slugcontrol

import (
	"context"
	"expvar"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/authority/slugintent"
	"github.com/sassafraslug/sassafraslug/internal/authority/sluglease"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugplatformapi"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slughttp"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugsettings"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstep"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugduties"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugnetwork"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugnode"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugoperatorauth"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugserve"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
	"golang.org/x/sync/errgroup"
)

const (
	// hostListInterval is the time between reads of the platform's host list.
	hostListInterval = 2 * time.Second
	// hostListReaders is the number of control processes per data centre that read the
	// host list.
	hostListReaders = 2
	// callTimeout limits the time of a call to the platform or to another process.
	callTimeout = 3 * time.Second
	// shutdownTimeout limits the time for the last requests and writes during a shutdown.
	shutdownTimeout = 10 * time.Second
	// operatorsShutdownTimeout is the part of shutdownTimeout for the calls of operators.
	operatorsShutdownTimeout = 5 * time.Second
	// removalDelay is how long an ended process keeps its membership record.
	removalDelay = time.Minute
)

// Control is the control daemon.
type Control struct {
	settings *slugsettings.Settings
	log      *slugevent.Log
	metrics  *expvar.Map
	network  *slugnetwork.Network

	*slugnode.Node
	client    *http.Client
	platform  *slugplatformapi.Client
	intent    *slugintent.Intent
	duties    *slugduties.Duties
	operators *slugserve.Server
	leaving   atomic.Bool
	// OnStep is called between the steps of a duty's work, for tests. It may be nil, and
	// must be set before Run.
	OnStep func(d sluglease.Duty, step string)

	mu sync.Mutex
	// hosts is the last host list read, and hostsReadAt the time of that read.
	hosts       []slugplatformapi.Host
	hostsReadAt time.Time
	// endedSince holds the time at which each process was first found to have ended.
	endedSince map[slugname.Process]time.Time

	// token is the operator token, which this process also presents to gates.
	token           string
	operatorMuxOnce sync.Once
	operatorMux     http.Handler
	stop            context.CancelFunc
	// started is closed when startup is complete.
	started chan struct{}
}

// New returns a Control that does nothing until Run is called.
func New(s *slugsettings.Settings, n *slugnetwork.Network, log *slugevent.Log) *Control {
	return &Control{settings: s, network: n, log: log, metrics: new(expvar.Map).Init(), started: make(chan struct{}), endedSince: map[slugname.Process]time.Time{}}
}

// Run runs the daemon. When ctx is cancelled it shuts down gracefully: it finishes its
// orders, releases its duties and returns.
func (c *Control) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	c.stop = stop
	return slugstep.Run(work, c.log, []slugstep.Step{
		{Name: "open listeners", Run: c.listen},
		{Name: "join the system", Run: c.join},
		{Name: "serve operators", Run: c.serveOperators},
		{Name: "publish this process", Run: c.publish},
		{Name: "follow the configuration", Run: c.follow},
		{Name: "read the host list", Run: c.pollHostList},
		{Name: "do duties", Run: c.runDuties},
		{Name: "leave when told", Run: func(_ context.Context, group *errgroup.Group) error {
			close(c.started)
			group.Go(func() error { return c.awaitShutdown(ctx, work) })
			return nil
		}},
	})
}

// Started returns a channel that is closed when startup is complete.
func (c *Control) Started() <-chan struct{} { return c.started }

// Address returns the address of the operator API. It is known once the daemon has
// started.
func (c *Control) Address() string { return c.operators.Address() }

// Abort stops the daemon immediately and lets its leases expire, as after a crash.
func (c *Control) Abort() { c.duties.Abandon(); c.stop() }

// listen reads the operator token and opens the listener for operators.
func (c *Control) listen(_ context.Context, _ *errgroup.Group) error {
	var err error
	if c.token, err = slugoperatorauth.ReadToken(c.settings.OperatorsTokenFile); err != nil {
		return err
	}
	guard, err := slugoperatorauth.New(c.settings.OperatorsTokenFile, http.HandlerFunc(c.serveHTTP))
	if err != nil {
		return err
	}
	c.operators, err = slugserve.New(slugserve.Config{Address: c.settings.OperatorsListen, Handler: guard, Log: c.log, Listen: c.network.Listen})
	return err
}

// join creates the components and sends nothing.
func (c *Control) join(_ context.Context, _ *errgroup.Group) error {
	var err error
	c.Node, err = slugnode.New(slugnode.Config{
		Settings: c.settings, Kind: slugmember.KindControl, Log: c.log, Metrics: c.metrics, Network: c.network,
		OperatorsAddress: slugnode.Advertised(c.settings.OperatorsAdvertise, c.operators.Address()), PeerRowChanged: c.handlePeerRow,
	})
	if err != nil {
		return err
	}
	c.client = &http.Client{Timeout: callTimeout, Transport: slughttp.NewTransport(c.network.Dial)}
	c.platform = slugplatformapi.New(slugplatformapi.Config{BaseURL: c.settings.PlatformAddress, Do: c.client.Do})
	c.intent = slugintent.New(c.Store.For("intents"), c.log)
	c.duties = slugduties.New(slugduties.Config{
		Node: c.Node, Settings: c.settings, Platform: c.platform, Intent: c.intent, HasEnded: c.hasEnded, Log: c.log, Dial: c.network.DialReset,
		Leaving: c.leaving.Load, OnStep: c.OnStep,
	})
	return nil
}

// handlePeerRow handles a changed row of a peer. It checks the leases immediately when a
// control process has released a duty.
func (c *Control) handlePeerRow(r slugpeer.Row) {
	if c.duties != nil && r.Kind == slugmember.KindControl && r.Released > 0 {
		c.duties.CheckLeases()
	}
}

func (c *Control) serveOperators(ctx context.Context, group *errgroup.Group) error {
	group.Go(func() error { return c.operators.Serve(ctx) })
	return nil
}

func (c *Control) publish(ctx context.Context, group *errgroup.Group) error {
	return c.Publish(ctx, group)
}

func (c *Control) follow(ctx context.Context, group *errgroup.Group) error {
	group.Go(func() error { return c.Follower.Run(ctx) })
	group.Go(func() error { return c.intent.Run(ctx) })
	return nil
}

func (c *Control) runDuties(ctx context.Context, group *errgroup.Group) error {
	group.Go(func() error { return c.duties.Run(ctx) })
	return nil
}

// pollHostList starts to read the host list every hostListInterval. After each read it
// tells peers which hosts are leaving and removes the records of ended processes.
func (c *Control) pollHostList(ctx context.Context, group *errgroup.Group) error {
	group.Go(func() error {
		for ctx.Err() == nil {
			if c.isHostListReader() {
				c.readHostList(ctx)
			}
			_ = slugbackoff.Sleep(ctx, hostListInterval)
		}
		return nil
	})
	return nil
}

// isHostListReader reports whether this process is one of the hostListReaders of its data
// centre.
func (c *Control) isHostListReader() bool {
	var alive []slugname.Process
	self := c.Member.Self()
	for _, s := range c.Table.Statuses() {
		if r, ok := c.Member.Record(s.Process); ok && s.Alive && s.Kind == slugmember.KindControl && r.DataCentre == self.DataCentre {
			alive = append(alive, s.Process)
		}
	}
	return slugmember.Rank("hosts", self.Process, alive) < hostListReaders
}

// readHostList reads the host list once and acts on it.
func (c *Control) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	hosts, err := c.platform.Hosts(ctx)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.hosts, c.hostsReadAt = hosts, time.Now()
	c.mu.Unlock()
	c.announceLeavingHosts(hosts)
	c.removeEndedProcesses(ctx)
}

// announceLeavingHosts tells peers which hosts are leaving, either by the host list or
// because an operator drains them.
func (c *Control) announceLeavingHosts(hosts []slugplatformapi.Host) {
	leaving := c.intent.Drains().Hosts
	for _, h := range hosts {
		if h.State == slugplatformapi.StateLeaving {
			leaving = append(leaving, h.Name)
		}
	}
	slices.Sort(leaving)
	leaving = slices.Compact(leaving)
	if slices.Equal(leaving, c.Table.Self().HostsLeaving) {
		return
	}
	c.Table.Update(func(r *slugpeer.Row) { r.HostsLeaving = leaving })
}

// removeEndedProcesses removes the records of processes that are not alive and have been
// known to have ended for longer than removalDelay.
func (c *Control) removeEndedProcesses(ctx context.Context) {
	alive := map[slugname.Process]bool{}
	for _, s := range c.Table.Statuses() {
		alive[s.Process] = s.Alive
	}
	now := time.Now()
	for _, r := range c.Member.Records() {
		if alive[r.Process] || !c.hasEnded(r) {
			c.trackEnded(r.Process, time.Time{})
			continue
		}
		if since := c.trackEnded(r.Process, now); now.Sub(since) > removalDelay {
			_ = c.Member.Remove(ctx, r.Process)
		}
	}
}

// trackEnded records that a process has ended, and returns when that was first found. A
// zero time discards the entry.
func (c *Control) trackEnded(p slugname.Process, at time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.IsZero() {
		delete(c.endedSince, p)
		return at
	}
	if c.endedSince[p].IsZero() {
		c.endedSince[p] = at
	}
	return c.endedSince[p]
}

// hasEnded reports whether a process has definitely ended: a newer process of its kind has
// been published for its host, or the last host list does not contain its host.
func (c *Control) hasEnded(r slugmember.Record) bool {
	for _, x := range c.Member.Records() {
		if x.Host == r.Host && x.Kind == r.Kind && x.StartedAtMs > r.StartedAtMs {
			return true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hostsReadAt.IsZero() || len(c.hosts) == 0 {
		return false
	}
	return !slices.ContainsFunc(c.hosts, func(h slugplatformapi.Host) bool { return h.Name == r.Host })
}

// awaitShutdown waits until the shutdown context is cancelled and then shuts down
// gracefully. If work is cancelled first, it only closes the server.
func (c *Control) awaitShutdown(shutdown, work context.Context) error {
	select {
	case <-shutdown.Done():
	case <-work.Done():
		return c.operators.Close()
	}
	c.log.Emit(slugevent.ShutdownBegun, nil)
	c.leaving.Store(true)
	c.Table.Update(func(r *slugpeer.Row) { r.Leaving = true })
	c.duties.Finish()
	ctx, cancel := context.WithTimeout(work, shutdownTimeout)
	defer cancel()
	c.Table.Push(ctx)
	err := c.operators.ShutdownWithin(ctx, operatorsShutdownTimeout)
	if leaveErr := c.Leave(ctx); err == nil {
		err = leaveErr
	}
	c.stop()
	c.log.Emit(slugevent.ShutdownDone, nil)
	return err
}

// Package slughost implements the daemon that does all work of a host on a shared
// platform. It serves callers and their lookups, and competes for the lease on the
// duties, which only one process of the cluster performs at a time.
//
// # Usage
//
//	h := slughost.New(settings, slugnetwork.New(), adapter, log)
//	err := h.Run(ctx) // cancelling ctx starts a graceful shutdown
package slughost

import (
	"context"
	"expvar"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/authority/slugusageaggregate"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugusagecounter"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugmemory"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugsettings"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstep"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugdetour"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugcounters"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugnetwork"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugserve"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugbudget"
	"github.com/sassafraslug/sassafraslug/internal/decision/slughedge"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugnotice"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugorigin"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpace"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpermit"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugquarantine"
	"github.com/sassafraslug/sassafraslug/internal/fleet/slugregistry"
	"github.com/sassafraslug/sassafraslug/internal/fleet/slugroles"
	"github.com/sassafraslug/sassafraslug/internal/fleet/slugstart"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugconfigfollower"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugevidence"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugintroduction"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugowner"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeerclock"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugquotaexchange"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugtakeup"
	"github.com/sassafraslug/sassafraslug/internal/request/slugdispatch"
	"github.com/sassafraslug/sassafraslug/internal/version/slugrouting"
	"golang.org/x/sync/errgroup"
)

const (
	// minExchangeInterval is the shortest time between exchanges with peers. The load at
	// an endpoint lasts about 100 ms, so older load figures are of little use.
	minExchangeInterval = 100 * time.Millisecond
	// exchangeIntervalPerProcess is multiplied by the number of processes to get the time
	// between exchanges in a large cluster, because the cost of a round grows with that
	// number.
	exchangeIntervalPerProcess = 8 * time.Millisecond
	// exchangeFanout is the number of peers called in each round.
	exchangeFanout = 3
	// expiryCheckInterval is the time between removals of expired registry entries.
	expiryCheckInterval = 250 * time.Millisecond
	// freshFraction is how long a confirmation of the configuration is valid, as a fraction
	// of the time within which a revoked key must stop working. The remainder covers watch
	// calls that the store leaves without a response for a second.
	freshFraction = 0.72
	// drainDelay is how long a leaving process accepts new connections, because callers
	// keep using cached lookups for a while.
	drainDelay = 2500 * time.Millisecond
	// shutdownMargin is the part of the grace period reserved for the last writes and for
	// closing the servers.
	shutdownMargin = 400 * time.Millisecond
	// finalResponseMargin is the time before the end of a shutdown that is reserved for
	// sending the last responses.
	finalResponseMargin = 100 * time.Millisecond
	// serversShutdownTimeout limits the time to answer the last lookups and checks. It is
	// part of shutdownMargin.
	serversShutdownTimeout = 200 * time.Millisecond
	// lookupMaxAge is how long callers may cache the answer to a lookup.
	lookupMaxAge = 2 * time.Second
	// publishRetryInterval is the time between attempts to publish the membership record.
	publishRetryInterval = 200 * time.Millisecond
	// publishWait is how long a new process waits for its first attempt to publish its record
	// before it reads those of the others.
	publishWait = 300 * time.Millisecond
	// callTimeout limits the time of a push to peers, and of the removal of the membership
	// record during a shutdown.
	callTimeout = time.Second
	// dialTimeout limits the time to connect to the store or to an engine's cache events.
	// It is longer than the delay that a lost packet causes.
	dialTimeout = 2 * time.Second
	// storeIdleConnections limits the idle connections to the store.
	storeIdleConnections = 8
	// retryReserve is the fraction of the retry budget that is never used, because the
	// windows of different processes do not start at the same time.
	retryReserve = 0.15
	// maxReceived bounds the bytes received from endpoints and callers that the process holds,
	// to a quarter of the 128 MB that a host may use. Heads of requests have a budget of their
	// own, so that they leave room for bodies.
	maxReceived slugmemory.Bytes = 32 << 20
)

// Host is the host daemon.
type Host struct {
	inEffect atomic.Pointer[inEffect]
	network  *slugnetwork.Network
	adapter  Adapter
	log      *slugevent.Log
	metrics  *expvar.Map
	counters *slugcounters.Counters

	storeClient    *http.Client
	store          *slugstore.Store
	transport      slugpeer.Transport
	member         *slugmember.Member
	table          *slugpeer.Table
	sharedWatches  *watchSharing
	introducer     *slugintroduction.Introducer
	follower       *slugconfigfollower.Follower
	registry       *slugregistry.Registry
	sender         *slugsend.Sender
	detour         *slugdetour.Dialer
	memory         *slugmemory.Budget
	headMemory     *slugmemory.Budget
	quarantines    *slugquarantine.Set
	evidence       *slugevidence.Exchange
	notices        *slugnotice.Notices
	origins        *slugorigin.Memory
	starts         *slugstart.Tracker
	takeUps        *slugtakeup.Resolver
	quotas         *slugquotaexchange.Exchange
	probes         probes
	hostShare      atomic.Pointer[slugpermit.Share]
	dispatcher     *slugdispatch.Dispatcher
	clock          *slugpeerclock.Clock
	usageCounter   *slugusagecounter.Counter
	usageAggregate *slugusageaggregate.Aggregate
	plannedRoles   *slugroles.Roles
	owners         *slugowner.Owners
	ends           *endReports
	slowness       publishedSlowness

	requests, lookups, readiness, metricsServer *slugserve.Server
	// running is the number of requests being served, requestBound the bound on it, and
	// overloaded the number of requests refused because of that.
	running, overloaded atomic.Int64
	requestBound        int

	// peerLoadsAt is when the load that other processes report was last applied.
	peerLoadsAt atomic.Pointer[time.Time]

	leaving atomic.Bool
	// aborted ends when the daemon is to stop without finishing anything, which abort does.
	aborted context.Context
	abort   context.CancelFunc

	liveMu sync.Mutex
	live   []livePeer
	// liveAt is when live was found.
	liveAt time.Time

	mu      sync.Mutex
	placers map[slugname.Service]*slugplacement.Placer
	paces   map[slugname.Service]*slugpace.Model
	// publishedPaces are the paces that peers were told.
	publishedPaces map[slugname.Service]slugpeer.Pace
	retryBudgets   map[slugname.Service]*slugbudget.Budget
	hedgers        map[slugname.Service]*slughedge.Hedger
	// firstSeen holds the time at which each endpoint was first seen.
	firstSeen map[slugname.Endpoint]firstSighting
	// peerDraining and peerRoles hold the leaving endpoints and the planned roles that
	// live processes have reported, this one included.
	peerDraining map[slugname.Endpoint]bool
	peerRoles    map[slugname.Endpoint]slugplan.Role
}

// firstSighting is the time at which an incarnation of an endpoint was first seen.
type firstSighting struct {
	incarnation slugregistry.Incarnation
	at          time.Time
}

// New returns a Host that does nothing until Run is called.
func New(s *slugsettings.Settings, n *slugnetwork.Network, a Adapter, log *slugevent.Log) *Host {
	aborted, abort := context.WithCancel(context.Background())
	h := &Host{
		aborted: aborted, abort: abort,
		network: n, adapter: a, log: log, metrics: new(expvar.Map).Init(), counters: slugcounters.New(), plannedRoles: slugroles.New(),
		owners: slugowner.New(), ends: newEndReports(), memory: slugmemory.New(receivedMemory(s.Limits)), headMemory: slugmemory.New(slugmemory.Bytes(s.HeadMemory)), requestBound: maxRequests(s.Limits),
		usageAggregate: slugusageaggregate.New(), firstSeen: map[slugname.Endpoint]firstSighting{},
		placers: map[slugname.Service]*slugplacement.Placer{}, paces: map[slugname.Service]*slugpace.Model{}, publishedPaces: map[slugname.Service]slugpeer.Pace{},
		retryBudgets: map[slugname.Service]*slugbudget.Budget{}, hedgers: map[slugname.Service]*slughedge.Hedger{}, quarantines: slugquarantine.NewSet(), notices: slugnotice.New(), origins: slugorigin.New(),
	}
	h.inEffect.Store(&inEffect{Settings: s})
	return h
}

// Run runs the daemon. When ctx is cancelled it shuts down gracefully: it directs callers
// to other hosts, finishes all requests and returns.
func (h *Host) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer context.AfterFunc(h.aborted, stop)()
	h.log.Emit(slugevent.ProcessStarted, slugevent.Fields{"host": h.settings().Host, "dataCentre": h.settings().DataCentre, "callers": h.settings().CallersListen, "peers": h.settings().PeersListen})
	err := slugstep.Run(work, h.log, []slugstep.Step{
		{Name: "join the system", Run: h.join},
		{Name: "build the request path", Run: h.build},
		{Name: "open listeners", Run: h.listen},
		{Name: "follow the configuration", Run: h.follow},
		{Name: "follow the endpoints", Run: h.followEndpoints},
		{Name: "follow the caches of engines", Run: h.followCaches},
		{Name: "exchange with peers", Run: h.exchange},
		{Name: "follow the quarantines", Run: h.followQuarantines},
		{Name: "tell of streams", Run: h.shareOrigins},
		{Name: "exchange quotas", Run: h.exchangeQuotas},
		{Name: "serve callers", Run: h.serve},
		{Name: "tell of usage", Run: h.sendUsagePeriodically},
		{Name: "take part in the duties", Run: h.runDuties},
		{Name: "leave when told", Run: func(_ context.Context, g *errgroup.Group) error {
			g.Go(func() error { return h.awaitShutdown(ctx, work) })
			return nil
		}},
	})
	h.log.Emit(slugevent.ProcessEnded, nil)
	return err
}

// Abort stops the daemon immediately without finishing anything, as a crash would.
func (h *Host) Abort() { h.abort() }

// build creates the components of the request path.
func (h *Host) build(_ context.Context, _ *errgroup.Group) error {
	h.usageCounter = slugusagecounter.New(slugusagecounter.Config{Window: h.settings().UsageWindow, Now: h.clock.Now})
	h.starts = h.newStarts()
	h.sender = slugsend.New(slugsend.Config{Dial: h.starts.Dial, Memory: h.memory})
	h.dispatcher = slugdispatch.New(slugdispatch.Config{
		Table: h.follower.Table, Fresh: h.configFresh,
		ConfigurationAge: func() time.Duration { return slugclock.Since(h.follower.LastConfirmed()) },
		Placer:           h.placer, Budget: h.retryBudget, Hedger: h.hedger, Quarantine: h.quarantines.Of, EndpointFailed: h.endpointFailed, Noticed: h.endpointNoticed, Registered: h.registered, Codec: h.adapter.Codec, Open: h.sender.Open, Announce: h.announce, WithdrawAnnouncement: h.withdrawAnnouncement,
		Origin: h.findOrigin, StreamBegan: h.streamBegan, StartKnown: h.startKnown, AwaitStart: h.awaitStart, CheckStart: h.checkStart, StartStated: h.recordStart, TakeQuota: h.takeQuota, ReturnQuota: h.returnQuota, Started: h.usageCounter.Count, Ended: h.counters.Record, Log: h.log,
	})
	return nil
}

// registered reports whether an endpoint is registered in the given incarnation, even if it
// takes no new requests.
func (h *Host) registered(s slugname.Service, name slugname.Endpoint, incarnation int64) bool {
	return slices.ContainsFunc(h.registry.Endpoints(s), func(e slugregistry.Endpoint) bool {
		return e.Name == name && int64(e.Incarnation) == incarnation
	})
}

// configFresh reports whether the configuration was confirmed recently enough to serve
// requests with keys.
func (h *Host) configFresh() bool {
	return slugclock.Since(h.follower.LastConfirmed()) < h.configMaxAge()
}

// configMaxAge returns how long a confirmation of the configuration is valid.
func (h *Host) configMaxAge() time.Duration {
	return time.Duration(freshFraction * float64(h.revoke()))
}

// ready reports whether this host accepts requests.
func (h *Host) ready() bool {
	return !h.leaving.Load() && h.follower.Version() > 0 && h.registry.Synced()
}

// placer returns the placer of a service and creates it on first use.
func (h *Host) placer(s slugname.Service) *slugplacement.Placer {
	pace := h.pace(s)
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.placers[s]
	if p == nil {
		p = slugplacement.New(slugplacement.Config{
			DataCentre: h.settings().DataCentre, Pace: pace, Share: h.share, Clock: h.clock.Now, Notices: h.notices,
			LoadDelay: h.loadDelay, PromptEnded: h.promptEnded(s), Owns: h.ownsEndpoint,
		})
		h.placers[s] = p
	}
	return p
}

// retryBudget returns the retry budget of a service and creates it on first use.
func (h *Host) retryBudget(s slugname.Service) *slugbudget.Budget {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.retryBudgets[s]
	if b == nil {
		b = slugbudget.New(h.retryLimits())
		b.SetExtra(h.retryExtra())
		h.retryBudgets[s] = b
	}
	return b
}

// hostCount returns the number of known hosts, including this one.
func (h *Host) hostCount() int { return max(1, h.share().Hosts) }

// retryExtra returns the share of this host in the fixed part of the retry budgets. There is
// none as long as the number of hosts is not known.
func (h *Host) retryExtra() float64 {
	if h.share().Hosts == 0 {
		return 0
	}
	return h.settings().RetryExtra / float64(h.hostCount())
}

// share returns the place of this host among all known hosts, which is not known until the
// membership records have been read. Hosts that are gone count until their records are
// removed.
func (h *Host) share() slugpermit.Share {
	if s := h.hostShare.Load(); s != nil {
		return *s
	}
	if !h.member.Listed() {
		return slugpermit.Share{}
	}
	return h.updateShare()
}

// updateShare determines the place of this host among all known hosts.
func (h *Host) updateShare() slugpermit.Share {
	seen := map[slugname.Host]bool{h.settings().Host: true}
	for _, r := range h.member.Records() {
		seen[r.Host] = true
	}
	share := slugpermit.Share{Hosts: len(seen)}
	for other := range seen {
		if other < h.settings().Host {
			share.Rank++
		}
	}
	h.hostShare.Store(&share)
	return share
}

// followEndpoints starts to follow the registry entries of the endpoints.
func (h *Host) followEndpoints(ctx context.Context, g *errgroup.Group) error {
	g.Go(func() error {
		var currentAt slugclock.Instant
		return h.store.For("endpoints").Watch(ctx, slugstore.Watcher{
			Prefix: h.adapter.EntryPrefix, NoEnvelope: true, Wait: func() time.Duration { return endpointWatchWait }, BatchDelay: watchBatchDelay,
			OnResponse: func(r slugstore.Response) { currentAt = r.CurrentAt },
			OnChange: func(objects []slugstore.Object) {
				h.registry.Apply(objects)
				h.observeAllVersions(currentAt)
			},
			OnError: h.registry.WatchFailed, SharedWatch: h.sharedWatches.SharedWatch(h.adapter.EntryPrefix, endpointWatchWait),
		})
	})
	g.Go(func() error {
		for slugbackoff.Sleep(ctx, expiryCheckInterval) == nil {
			h.registry.RemoveExpired()
		}
		return nil
	})
	return nil
}

// endpointWatchWait is how long one watch call for the endpoints waits. It limits how long
// a silent connection can hide that an endpoint is leaving.
const endpointWatchWait = time.Second

// watchBatchDelay is the pause after a change in the store, in which further changes are
// collected. It delays the news that an endpoint is leaving, but a leaving endpoint may
// still receive work for much longer.
const watchBatchDelay = 150 * time.Millisecond

// updatePlacers passes the usable endpoints of the services to their placers.
func (h *Host) updatePlacers(services []slugname.Service) {
	t, now := h.follower.Table(), time.Now()
	for _, s := range services {
		var engine slugrouting.Engine
		if t != nil && t.Service(s) != nil && t.Service(s).Engine != nil {
			engine = *t.Service(s).Engine
		}
		var list []slugplacement.Endpoint
		for _, e := range h.usableEndpoints(s, now) {
			list = append(list, slugplacement.Endpoint{
				Name: e.Name, Incarnation: int64(e.Incarnation), Address: e.Address, DataCentre: e.DataCentre,
				Role: e.Role, Version: e.Version, Slots: e.Slots, CacheTokens: engine.CacheTokens, TransferPerToken: engine.TransferPerToken(),
			})
		}
		h.placer(s).SetEndpoints(list, now)
		h.observeVersions(s, now)
	}
}

const (
	// minNewEngineDelay is how long a new decode engine receives no requests at least, because
	// the holder of the duties may be about to change its role.
	minNewEngineDelay = 900 * time.Millisecond
	// reviewDelay is the time in which the holder of the duties plans the role of a new engine.
	reviewDelay = 500 * time.Millisecond
)

// newEngineDelay returns how long a new decode engine receives no requests: until all hosts
// know of a role that is planned for it.
func (h *Host) newEngineDelay() time.Duration {
	return max(minNewEngineDelay, reviewDelay+h.loadDelay())
}

// usableEndpoints returns the endpoints of a service that accept new requests. It leaves
// out endpoints that are leaving, according to the registry, to their own responses or to a
// peer, and those that are about to change their role. New decode engines are included only if there is no other
// decode engine.
func (h *Host) usableEndpoints(s slugname.Service, now time.Time) []slugregistry.Endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out, newEngines []slugregistry.Endpoint
	hasDecode, newEngineDelay := false, h.newEngineDelay()
	for _, e := range h.registry.Endpoints(s) {
		if h.unusable(e) != "" {
			continue
		}
		if x := h.firstSeen[e.Name]; x.at.IsZero() || x.incarnation != e.Incarnation {
			h.firstSeen[e.Name] = firstSighting{e.Incarnation, now}
		}
		if e.Role == slugplan.RoleDecode && now.Sub(h.firstSeen[e.Name].at) < newEngineDelay {
			newEngines = append(newEngines, e)
			continue
		}
		hasDecode = hasDecode || e.Role == slugplan.RoleDecode
		out = append(out, e)
	}
	if !hasDecode {
		out = append(out, newEngines...)
	}
	return out
}

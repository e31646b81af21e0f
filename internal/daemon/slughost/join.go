package slughost

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"expvar"
	"maps"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slughttp"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugorigin"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpace"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugquota"
	"github.com/sassafraslug/sassafraslug/internal/fleet/slugregistry"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugconfigfollower"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugintroduction"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugowner"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeerclock"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugwatcher"
	"github.com/sassafraslug/sassafraslug/internal/version/slugrouting"
	"golang.org/x/sync/errgroup"
)

// processIDBytes is the length of the random part of a process name.
const processIDBytes = 4

// join creates the components that connect this process to the cluster. It sends nothing.
func (h *Host) join(ctx context.Context, _ *errgroup.Group) error {
	h.newStore()
	transport, err := h.network.Peers(h.settings().PeersListen, h.log)
	if err != nil {
		return err
	}
	h.transport = transport
	h.sharedWatches = newWatchSharing(h)
	h.member = slugmember.New(slugmember.Config{
		Self: h.newRecord(), Store: h.store.For("members"), Changed: h.recordsChanged, BatchDelay: watchBatchDelay, Wait: memberWatchWait,
		SharedWatch: h.sharedWatches.SharedWatch(slugmember.Prefix, memberWatchWait),
	})
	transport.SetLookup(h.member.ByCertificate)
	h.detour = h.newDetour()
	transport.SetStreams(h.detour.Serve)
	wait := func() time.Duration { return configWait(h.settings()) }
	h.follower = slugconfigfollower.New(slugconfigfollower.Config{
		Name: h.adapter.ConfigName, Store: h.store.For("config"), Decode: h.adapter.DecodeConfig,
		FromPeer: func(ctx context.Context, r revision) ([]byte, slugname.Process, error) {
			return h.table.FetchBundle(ctx, r)
		},
		AskPeers: h.configsOfPeers, InForce: h.configChanged, Log: h.log, Wait: wait,
		SharedWatch: h.sharedWatches.SharedWatchWithin(h.adapter.ConfigName, wait, func() time.Duration { return configMaxFollowerAge(h.settings()) }),
	})
	h.registry = slugregistry.New(slugregistry.Config{Decode: h.adapter.DecodeEntry, Changed: h.updatePlacers, StoreAnswersOthers: h.storeReachable, Era: h.store.Era, Ended: h.endpointEnded, Log: h.log})
	h.clock = slugpeerclock.New()
	h.table = slugpeer.New(slugpeer.Config{
		Clock: h.clock.OwnTime, ClockReported: h.clock.AddSample,
		Self: h.member.Self(), Call: transport.Call, Peers: h.member.Records, LastConfirmed: h.follower.LastConfirmed, Revision: h.follower.Version,
		RevisionConfirmed: h.follower.ObservePeer, Bundle: h.follower.Encoded, Fanout: exchangeFanout, Interval: h.exchangeInterval,
		Follow: h.sharedWatches.Serve, UsageReported: h.usageAggregate.Update, Announce: h.handleAnnouncement, Ends: h.handleEnds, Notices: h.noticesOfPeer,
		Origins: func(list []slugorigin.Origin) { h.takeUps.Merge(list) },
		FindOrigin: func(q slugpeer.OriginQuery) (slugpeer.OriginAnswer, *slugpeer.ObservedSpan) {
			return h.takeUps.Serve(q)
		},
		Quota: func(from slugname.Process, r slugquota.Request) *slugquota.Answer { return h.quotas.Serve(from, r) },
		Evidence: func(list []slugpeer.Evidence, compare bool) []slugpeer.Evidence {
			return h.evidence.Serve(list, compare)
		},
	})
	h.introducer = slugintroduction.New(slugintroduction.Config{
		Self: h.member.Self(), Listed: h.member.Listed, Records: h.member.Records, Alive: h.table.Alive, Call: h.introduce,
	})
	// Watches that wait for the introduction end also if the exchange never starts.
	context.AfterFunc(ctx, h.introducer.End)
	h.evidence = h.newEvidence()
	h.takeUps = h.newTakeUps()
	h.quotas = h.newQuotas()
	return nil
}

// loadDelay returns how long it usually takes until this host learns of a change of the load
// that another one places on endpoints: half an interval until that host publishes it, and one
// interval for each round in which the news reaches fanout times as many hosts.
func (h *Host) loadDelay() time.Duration {
	rounds := math.Log(float64(h.hostCount())) / math.Log(exchangeFanout+1)
	return time.Duration((0.5 + rounds) * float64(h.exchangeInterval()))
}

// exchangeInterval returns the time between exchanges with peers.
func (h *Host) exchangeInterval() time.Duration {
	return max(minExchangeInterval, time.Duration(len(h.member.Records()))*exchangeIntervalPerProcess)
}

// storeReachableAge is the greatest age of the configuration's confirmation at which the
// store is considered reachable by some process.
const storeReachableAge = 2 * time.Second

// storeReachable reports whether the store answers at least one process, judged by the age
// of the configuration's last confirmation, which peers pass on.
func (h *Host) storeReachable() bool {
	return slugclock.Since(h.follower.LastConfirmed()) < storeReachableAge
}

// newStore creates the client of the store.
func (h *Host) newStore() {
	counts := new(expvar.Map).Init()
	h.metrics.Set("storeCalls", counts)
	h.metrics.Set("receivedBytes", expvar.Func(func() any { return h.memory.Used() }))
	transport := slughttp.NewTransport(h.network.DialWithin(dialTimeout))
	transport.MaxIdleConnsPerHost = storeIdleConnections
	h.storeClient = &http.Client{Transport: transport}
	address := hostPort(h.settings().PlatformAddress)
	h.store = slugstore.New(slugstore.Config{
		BaseURL: address, Backend: h.adapter.Store(address, h.storeClient.Do), Counts: counts,
		EraChanged: func(previous, current slugstore.Era) {
			h.log.Emit(slugevent.StoreRestored, slugevent.Fields{"previousEra": previous, "era": current, "configuration": h.follower.Version()})
		},
	})
}

// newRecord returns the membership record of this process.
func (h *Host) newRecord() slugmember.Record {
	id := make([]byte, processIDBytes)
	_, _ = rand.Read(id)
	s := h.settings()
	return slugmember.Record{
		Process: slugname.Process(string(s.Host) + "-" + hex.EncodeToString(id)), Kind: slugmember.KindGate,
		Host: s.Host, DataCentre: s.DataCentre, Region: s.Region, PeerAddress: h.transport.Address,
		CallersAddress: s.CallersListen, CertificateHash: h.transport.Hash, StartedAtMs: time.Now().UnixMilli(),
		Capacity: slugmember.Capacity{Cores: s.Cores, LinkMbps: s.LinkMbps},
	}
}

// introduce exchanges rows with a peer, which then counts as alive at once.
func (h *Host) introduce(ctx context.Context, p slugmember.Record) error {
	err := h.table.Exchange(ctx, p)
	h.liveMu.Lock()
	defer h.liveMu.Unlock()
	h.liveAt = time.Time{}
	return err
}

// recordsChanged applies changes of the membership records.
func (h *Host) recordsChanged() {
	h.divideLimits()
	h.introducer.RecordsChanged()
}

// divideLimits divides the fixed part of the retry budgets, and the rate limits of
// endpoints, evenly among the known hosts.
func (h *Host) divideLimits() {
	h.updateShare()
	h.quotas.SetHosts(h.share().Hosts)
	h.updateRetryBudgets()
}

// follow starts to follow the configuration.
func (h *Host) follow(ctx context.Context, g *errgroup.Group) error {
	g.Go(func() error { return h.follower.Run(ctx) })
	return nil
}

// configChanged applies a new configuration.
func (h *Host) configChanged(t *slugrouting.Table) {
	h.table.Update(func(r *slugpeer.Row) { r.Revision = t.Version })
	h.updatePlacers(h.registry.Services())
	h.setQuotas(t)
}

// exchange publishes the membership record and starts to exchange state with peers.
func (h *Host) exchange(ctx context.Context, g *errgroup.Group) error {
	published := make(chan struct{})
	g.Go(func() error { return h.publish(ctx, sync.OnceFunc(func() { close(published) })) })
	g.Go(func() error {
		// Of processes that start together, each then reads the records of those that
		// published before it.
		select {
		case <-published:
		case <-time.After(publishWait):
		case <-ctx.Done():
		}
		return h.member.Run(ctx)
	})
	g.Go(func() error { return h.introducer.Run(ctx) })
	g.Go(func() error { return h.transport.Serve(ctx, h.table.Serve) })
	g.Go(func() error { return h.table.Run(ctx) })
	g.Go(func() error {
		for slugbackoff.Sleep(ctx, h.exchangeInterval()) == nil {
			h.updatePeerState()
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		h.sharedWatches.Close()
		h.storeClient.CloseIdleConnections()
		return h.transport.Close()
	})
	return nil
}

// publish keeps the membership record in the store until ctx is cancelled: it writes it at
// the start, and again after the store has lost it. tried is called after each attempt.
func (h *Host) publish(ctx context.Context, tried func()) error {
	// The record tells the era in which this process has started.
	select {
	case <-h.store.EraKnown():
	case <-ctx.Done():
		return nil
	}
	for ctx.Err() == nil {
		err := h.member.Publish(ctx)
		tried()
		if err != nil {
			h.log.Error(slugevent.StoreUnavailable, err, slugevent.Fields{"step": "publish record"})
			_ = slugbackoff.Sleep(ctx, publishRetryInterval)
			continue
		}
		select {
		case <-h.member.Lost():
		case <-ctx.Done():
		}
	}
	return nil
}

// updatePeerState publishes this process's state to peers and applies theirs.
func (h *Host) updatePeerState() {
	loads := map[slugname.Endpoint]slugpeer.Load{}
	for _, p := range h.allPlacers() {
		for name, l := range p.OwnLoads() {
			loads[name] = encodeLoad(l)
		}
	}
	serviceLoads := h.recentServiceLoads()
	paces := h.measuredPaces()
	plannedRoles, draining, storeUnavailable := h.plannedRoles.All(time.Now()), h.leavingEndpoints(), h.storeUnavailable()
	slowness := h.measuredSlowness()
	lostPaths := h.lostPaths()
	h.table.Update(func(r *slugpeer.Row) {
		r.Loads, r.ServiceLoads, r.Slowness = loads, serviceLoads, slowness
		r.PlannedRoles, r.Draining, r.StoreUnavailable, r.Paces = plannedRoles, draining, storeUnavailable, paces
		r.LostPaths = lostPaths
	})
	h.applyPeerState()
	h.updatePlacers(h.registry.Services())
}

// minStoreFailure is how long calls fail before the store counts as unavailable in a large
// system. A store that forgets its history answers no watch for a second; if all watchers then
// counted as cut off, others would take their place all at once.
const minStoreFailure = time.Second

// storeUnavailable reports whether this process gets no responses from the store. In a large
// system, only those that watch it say so: calls of others are rare, so that a single failure
// would keep them from watching for long.
func (h *Host) storeUnavailable() bool {
	if !h.store.Failing(storeFailureHold) || h.hostCount() <= slugwatcher.LargeSystem {
		return h.store.Failing(storeFailureHold)
	}
	return h.store.FailingFor() >= minStoreFailure && time.Since(h.sharedWatches.watchedAt()) < storeFailureHold
}

// recentServiceLoads returns the recent demand of callers for each service.
func (h *Host) recentServiceLoads() map[slugname.Service]slugpeer.ServiceLoad {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[slugname.Service]slugpeer.ServiceLoad{}
	for name, p := range h.placers {
		busy, streams := p.Demand(time.Now())
		out[name] = slugpeer.ServiceLoad{PrefillBusy: float32(busy), Streams: float32(streams)}
	}
	return out
}

// allPlacers returns the placers of all services.
func (h *Host) allPlacers() []*slugplacement.Placer {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*slugplacement.Placer, 0, len(h.placers))
	for _, p := range h.placers {
		out = append(out, p)
	}
	return out
}

// applyPeerState applies what live processes report about endpoints: their load, which of
// them are leaving and which are about to change their role.
func (h *Host) applyPeerState() {
	sums := map[slugname.Endpoint]slugplacement.Load{}
	draining, roles := map[slugname.Endpoint]bool{}, map[slugname.Endpoint]slugplan.Role{}
	self := h.member.Self().Process
	paces := map[slugname.Service][]slugpace.Fit{}
	slowness := map[slugname.Endpoint]float64{}
	for _, s := range h.table.Statuses() {
		if !s.Alive {
			continue
		}
		for _, e := range s.Draining {
			draining[e] = true
		}
		maps.Copy(roles, s.PlannedRoles)
		if s.Process == self {
			continue
		}
		for name, l := range s.Loads {
			sums[name] = addLoad(sums[name], l)
		}
		for name, percent := range s.Slowness {
			slowness[name] = float64(percent) / percentOfOne
		}
		for name, p := range s.Paces {
			paces[name] = append(paces[name], decodePace(p))
		}
	}
	for name, fits := range paces {
		h.pace(name).Adopt(fits, time.Now())
	}
	for _, p := range h.allPlacers() {
		p.SetPeerLoads(sums)
		p.SetPeerSlowness(slowness)
	}
	now := time.Now()
	h.peerLoadsAt.Store(&now)
	live := h.livePeers()
	owning := make([]slugowner.Process, len(live))
	for i, p := range live {
		owning[i] = slugowner.Process{Name: p.Process, DataCentre: p.Record.DataCentre, Capacity: p.Record.Capacity}
	}
	h.owners.Update(owning)
	h.quotas.SetHosts(h.share().Hosts)
	h.quotas.SetLive(processNames(live))
	h.mu.Lock()
	h.peerDraining, h.peerRoles = draining, roles
	h.mu.Unlock()
}

// livePeer is a process that is alive and not leaving, with its membership record.
type livePeer struct {
	slugpeer.Status
	Record slugmember.Record
}

// livePeersMaxAge is how long the list of live processes is reused. Several loops ask for it,
// and building it takes time for each host of the system.
const livePeersMaxAge = 100 * time.Millisecond

// livePeers returns the processes that are alive and not leaving, including this one,
// sorted by name. The result must not be modified.
func (h *Host) livePeers() []livePeer {
	h.liveMu.Lock()
	defer h.liveMu.Unlock()
	if now := time.Now(); now.Sub(h.liveAt) >= livePeersMaxAge {
		h.live, h.liveAt = h.findLivePeers(), now
	}
	return h.live
}

// findLivePeers returns the processes that are alive and not leaving.
func (h *Host) findLivePeers() []livePeer {
	var out []livePeer
	for _, s := range h.table.Statuses() {
		r, known := h.member.Record(s.Process)
		if known && s.Alive && !s.Leaving {
			out = append(out, livePeer{s, r})
		}
	}
	return out
}

// processNames returns the names of processes.
func processNames(list []livePeer) []slugname.Process {
	out := make([]slugname.Process, len(list))
	for i, p := range list {
		out[i] = p.Process
	}
	return out
}

// measuredPaces returns the pace of the engines of each service as measured by this process.
func (h *Host) measuredPaces() map[slugname.Service]slugpeer.Pace {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[slugname.Service]slugpeer.Pace{}
	for name, m := range h.paces {
		if f, ok := m.Own(time.Now()); ok {
			p := slugpeer.Pace{FixedUs: uint32(f.Fixed.Microseconds()), PerTokenNs: f.PerToken, PerPairNs: f.PerPair, Samples: uint32(f.Samples)}
			if last, published := h.publishedPaces[name]; published && similarPace(last, f) {
				p = last
			}
			h.publishedPaces[name] = p
			out[name] = p
		}
	}
	return out
}

// samePaceTolerance is the relative difference of paces below which peers are not told.
const samePaceTolerance = 0.1

// similarPace reports whether a fit predicts about the same as what was published last.
func similarPace(published slugpeer.Pace, f slugpace.Fit) bool {
	const tokens, cached = 8192, 4096
	last := decodePace(published)
	was, is := last.Work(tokens, cached)+last.Fixed, f.Work(tokens, cached)+f.Fixed
	return (is - was).Abs() < time.Duration(samePaceTolerance*float64(was))
}

// decodePace converts the pace that a peer reports.
func decodePace(p slugpeer.Pace) slugpace.Fit {
	return slugpace.Fit{Fixed: time.Duration(p.FixedUs) * time.Microsecond, PerToken: p.PerTokenNs, PerPair: p.PerPairNs, Samples: int(p.Samples)}
}

// pace returns the learned pace of the engines of a service and creates it on first use.
func (h *Host) pace(s slugname.Service) *slugpace.Model {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.paces[s]
	if m == nil {
		m = slugpace.New()
		h.paces[s] = m
	}
	return m
}

// leavingEndpoints returns the registered endpoints that are leaving, according to their
// entries or to their responses to this process.
func (h *Host) leavingEndpoints() []slugname.Endpoint {
	var out []slugname.Endpoint
	for _, s := range h.registry.Services() {
		for _, e := range h.registry.Endpoints(s) {
			if e.Leaving || h.saidLeaving(e) {
				out = append(out, e.Name)
			}
		}
	}
	return out
}

// encodeLoad converts the load of an endpoint for peers.
func encodeLoad(l slugplacement.Load) slugpeer.Load {
	return slugpeer.Load{
		PrefillMs: uint32(max(0, l.Prefill.Milliseconds())), Streams: uint32(max(0, l.Streams)), CacheTokens: uint32(max(0, l.CacheTokens)),
	}
}

// addLoad adds a load that a peer reports to a sum.
func addLoad(sum slugplacement.Load, l slugpeer.Load) slugplacement.Load {
	sum.Prefill += time.Duration(l.PrefillMs) * time.Millisecond
	sum.Streams += int(l.Streams)
	sum.CacheTokens += int(l.CacheTokens)
	return sum
}

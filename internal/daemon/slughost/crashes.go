package slughost

import (
	"context"
	"expvar"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugquarantine"
	"github.com/sassafraslug/sassafraslug/internal/fleet/slugregistry"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugevidence"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"golang.org/x/sync/errgroup"
)

const (
	// probeTimeout limits the time to connect to an endpoint that broke off an attempt.
	probeTimeout = time.Second
	// probeInterval is the shortest time between such connections to one endpoint.
	probeInterval = 250 * time.Millisecond
	// quarantineWatchWait is how long one watch call for the quarantines waits. Peers report
	// new quarantines sooner.
	quarantineWatchWait = 10 * time.Second
)

// probes limits how often endpoints are probed.
type probes struct {
	mu sync.Mutex
	// lastAt is when an endpoint was last probed.
	lastAt map[slugquarantine.Start]time.Time
}

// due reports whether an endpoint is to be probed now, and if so records it.
func (p *probes) due(e slugquarantine.Start, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastAt[e]) < probeInterval {
		return false
	}
	if p.lastAt == nil {
		p.lastAt = map[slugquarantine.Start]time.Time{}
	}
	for old, at := range p.lastAt {
		if now.Sub(at) >= probeInterval {
			delete(p.lastAt, old)
		}
	}
	p.lastAt[e] = now
	return true
}

// endpointFailed handles an endpoint that broke off an attempt or is silent, or that refused
// the connection. The first is a crash only if the endpoint takes no connection either.
func (h *Host) endpointFailed(s slugname.Service, e slugplacement.Endpoint, refused bool) {
	start := slugquarantine.Start{Endpoint: e.Name, Incarnation: e.Incarnation}
	if refused {
		h.connectionRefused(s, start, e.Address)
		return
	}
	if h.probes.due(start, time.Now()) {
		go h.probe(s, start, e.Address)
	}
}

// probe connects to an endpoint to find out whether it has ended.
func (h *Host) probe(s slugname.Service, start slugquarantine.Start, address string) {
	ctx, cancel := context.WithTimeout(h.aborted, probeTimeout)
	defer cancel()
	conn, err := h.detour.Dial(ctx, "tcp", address)
	switch {
	case err == nil:
		_ = conn.Close()
	case errors.Is(err, syscall.ECONNREFUSED):
		h.connectionRefused(s, start, address)
	default:
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			interrupted, isNew := h.quarantines.Of(s).Silent(start, time.Now())
			h.reportCrash(s, start, address, "silent", interrupted, isNew)
		}
		h.log.Error(slugevent.ConnectionSilent, err, slugevent.Fields{"endpoint": start.Endpoint, "step": "probe"})
	}
}

// connectionRefused handles an endpoint at whose address nothing listens.
func (h *Host) connectionRefused(s slugname.Service, start slugquarantine.Start, address string) {
	now := time.Now()
	h.placer(s).RecordDown(start.Endpoint, start.Incarnation, now)
	interrupted, isNew := h.quarantines.Of(s).Crashed(start, now)
	h.reportCrash(s, start, address, "connection refused", interrupted, isNew)
}

// endpointEnded handles an endpoint that restarted, or whose entry disappeared, without
// leaving first.
func (h *Host) endpointEnded(e slugregistry.Endpoint) {
	if h.saidLeaving(e) {
		return
	}
	start := slugquarantine.Start{Endpoint: e.Name, Incarnation: int64(e.Incarnation)}
	interrupted, isNew := h.quarantines.Of(e.Service).Ended(start, time.Now())
	h.reportCrash(e.Service, start, e.Address, "entry ended", interrupted, isNew)
}

// reportCrash logs and counts a crash that interrupted requests of this host.
func (h *Host) reportCrash(s slugname.Service, start slugquarantine.Start, address, evidence string, interrupted int, isNew bool) {
	if !isNew || interrupted == 0 {
		return
	}
	h.metrics.Add("endpointCrashes", 1)
	h.log.Emit(slugevent.EndpointCrashed, slugevent.Fields{
		"endpoint": start.Endpoint, "incarnation": start.Incarnation, "service": s, "peer": address, "evidence": evidence, "interrupted": interrupted,
	})
}

// newEvidence returns the exchange of evidence against crashing requests.
func (h *Host) newEvidence() *slugevidence.Exchange {
	return slugevidence.New(slugevidence.Config{
		Trackers: h.quarantines, Store: h.store.For("quarantines"), Log: h.log,
		Peers: h.table.Neighbours, Call: h.transport.Call, Rank: h.rankFor,
	})
}

// rankFor returns the rank of this process among the live ones for a subject.
func (h *Host) rankFor(subject string) int {
	return slugmember.Rank(subject, h.member.Self().Process, processNames(h.livePeers()))
}

// followQuarantines starts to exchange evidence against crashing requests, and to follow the
// verdicts in the store.
func (h *Host) followQuarantines(ctx context.Context, g *errgroup.Group) error {
	g.Go(func() error { return h.evidence.Run(ctx) })
	g.Go(func() error {
		return h.store.For("quarantines").Watch(ctx, slugstore.Watcher{
			Prefix: slugevidence.Prefix, Wait: func() time.Duration { return quarantineWatchWait }, OnChange: h.evidence.Apply,
			SharedWatch: h.sharedWatches.SharedWatch(slugevidence.Prefix, quarantineWatchWait),
		})
	})
	return nil
}

// exportQuarantines writes the numbers of suspected and quarantined traits into the metrics.
func (h *Host) exportQuarantines() {
	now := time.Now()
	for s, t := range h.quarantines.All() {
		suspected, quarantined := t.Counts(now)
		h.metrics.Set("quarantine.suspected."+string(s), intVar(suspected))
		h.metrics.Set("quarantine.quarantined."+string(s), intVar(quarantined))
	}
}

// intVar returns an expvar with a value.
func intVar(n int) *expvar.Int {
	v := new(expvar.Int)
	v.Set(int64(n))
	return v
}

package slughost

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugmetrics"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugserve"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"golang.org/x/sync/errgroup"
)

// revision identifies a version of the configuration.
type revision = slugconfig.Revision

// hostPort returns an address without its URL scheme.
func hostPort(address string) string {
	_, rest, ok := strings.Cut(address, "://")
	if !ok {
		return address
	}
	return rest
}

// listen opens all listeners, so that startup fails if a port is in use.
func (h *Host) listen(_ context.Context, _ *errgroup.Group) error {
	handlers := h.adapter.Handlers(Ingress{
		DataCentre: h.settings().DataCentre, Serve: h.serveCall, Addresses: h.addresses, Ready: h.ready,
		Leaving: h.leaving.Load, MaxBodyBytes: h.maxBodyBytes, Memory: h.memory,
	})
	var err error
	open := func(address string, handler http.Handler, connections int, limits func() slugserve.Limits) *slugserve.Server {
		if err != nil {
			return nil
		}
		var s *slugserve.Server
		s, err = slugserve.New(slugserve.Config{
			Address: address, Handler: handler, Log: h.log, Listen: h.network.Listen,
			Limits: limits, Bounds: h.bounds(connections), HeadMemory: h.headMemory,
		})
		return s
	}
	callers, others := maxConnections(h.settings().Limits), maxOtherConnections(h.settings().Limits)
	h.requests = open(h.settings().CallersListen, handlers.Requests, callers, h.callerLimits)
	h.lookups = open(h.settings().DirectoryListen, handlers.Lookups, others, h.callerLimits)
	// The limits of the configuration are those for callers.
	h.readiness = open(h.settings().ReadyListen, handlers.Ready, others, nil)
	h.metricsServer = open(h.settings().MetricsListen, h.operatorsHandler(), others, nil)
	return err
}

// serveMetrics writes the metrics of this process.
func (h *Host) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	h.counters.Export(h.metrics)
	h.exportQuarantines()
	h.exportLoads()
	h.exportQuotas()
	h.exportExtraAttempts()
	h.exportLimits()
	h.exportDetours()
	slugmetrics.Write(w, h.metrics, h.transport.Bytes())
}

// maxBodyBytes returns the configured limit on request bodies, or 0 if there is no
// configuration yet.
func (h *Host) maxBodyBytes() int64 {
	if t := h.follower.Table(); t != nil {
		return t.Limits.MaxBodyBytes
	}
	return 0
}

// addresses returns the live hosts. All callers get all of them regardless of their data
// centre, because demand differs between data centres. Hosts whose configuration may be
// out of date are included only if there are no others.
func (h *Host) addresses(slugname.DataCentre) ([]string, time.Duration) {
	var fresh, other []string
	limit := h.configMaxAge()
	self := h.member.Self().Process
	for _, p := range h.livePeers() {
		switch {
		case p.Process == self && !h.ready():
		case slugclock.Since(p.LastConfirmed) < limit:
			fresh = append(fresh, p.Record.CallersAddress)
		default:
			other = append(other, p.Record.CallersAddress)
		}
	}
	if len(fresh) == 0 {
		fresh = other
	}
	return fresh, lookupMaxAge
}

// serve starts to serve callers and the platform.
func (h *Host) serve(ctx context.Context, g *errgroup.Group) error {
	for _, s := range h.servers() {
		g.Go(func() error { return s.Serve(ctx) })
	}
	return nil
}

func (h *Host) servers() []*slugserve.Server {
	return []*slugserve.Server{h.requests, h.lookups, h.readiness, h.metricsServer}
}

// awaitShutdown waits until the shutdown context is cancelled and then shuts down
// gracefully. If work is cancelled first, it only closes the servers.
func (h *Host) awaitShutdown(shutdown, work context.Context) error {
	select {
	case <-shutdown.Done():
		return h.shutDown(work)
	case <-work.Done():
	}
	var err error
	for _, s := range h.servers() {
		err = errors.CombineErrors(err, s.Close())
	}
	return err
}

// shutDown ends the daemon without interrupting a request. It directs callers to other
// hosts, then closes the listener for requests and finishes the running requests within
// the grace period.
func (h *Host) shutDown(ctx context.Context) error {
	begun := time.Now()
	finishBy := begun.Add(h.settings().Grace - shutdownMargin)
	h.log.Emit(slugevent.ShutdownBegun, slugevent.Fields{"requests": h.dispatcher.Running()})
	h.dispatcher.EndBy(finishBy.Add(-finalResponseMargin))
	h.leaving.Store(true)
	h.table.Update(func(r *slugpeer.Row) { r.Leaving = true })
	pushCtx, cancel := context.WithTimeout(ctx, callTimeout)
	h.table.Push(pushCtx)
	cancel()
	_ = slugbackoff.Sleep(ctx, drainDelay-time.Since(begun))
	finishCtx, cancel := context.WithDeadline(ctx, finishBy)
	defer cancel()
	err := h.requests.Shutdown(finishCtx)
	h.detour.Drain(finishCtx)
	h.sendUsage(ctx)
	h.withdraw(ctx)
	err = errors.CombineErrors(err, h.shutDownServers(ctx))
	h.log.Emit(slugevent.ShutdownDone, slugevent.Fields{"requests": h.dispatcher.Running()})
	h.abort()
	for _, s := range h.servers() {
		err = errors.CombineErrors(err, s.Close())
	}
	return err
}

// shutDownServers answers the calls that are in progress at the servers for the platform.
func (h *Host) shutDownServers(ctx context.Context) error {
	var g errgroup.Group
	for _, s := range []*slugserve.Server{h.lookups, h.readiness, h.metricsServer} {
		g.Go(func() error { return s.ShutdownWithin(ctx, serversShutdownTimeout) })
	}
	return g.Wait()
}

// withdraw removes the membership record of this process.
func (h *Host) withdraw(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := h.member.Withdraw(ctx); err != nil {
		h.log.Error(slugevent.StoreUnavailable, err, slugevent.Fields{"step": "withdraw this process"})
	}
}

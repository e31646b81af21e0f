package slughost

import (
	"context"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/authority/slugcapacityduty"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugcommand"
	"github.com/sassafraslug/sassafraslug/internal/authority/sluglease"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugusageduty"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
	"golang.org/x/sync/errgroup"
)

const (
	// dutiesLease is the single lease that covers all duties of the cluster.
	dutiesLease sluglease.Duty = "duties"
	// cleanupInterval is the time between searches for the records of ended processes.
	cleanupInterval = 5 * time.Second
	// removalDelay is how long the holder of the duties must find a process not alive
	// before it removes the process's record.
	removalDelay = 15 * time.Second
)

// runDuties starts to compete for the lease on the duties.
func (h *Host) runDuties(ctx context.Context, g *errgroup.Group) error {
	self := h.member.Self()
	lease := sluglease.New(sluglease.Config{
		Duty: dutiesLease, Self: self.Process, Host: self.Host, Store: h.store.For("lease"), TTL: h.settings().LeaseTime, FirstStart: h.settings().FirstStart,
		Rank: h.rank, Eligible: h.eligible, Log: h.log,
	})
	capacity, usage := h.capacityDuty(), h.usageDuty()
	g.Go(func() error {
		return lease.Run(ctx, func(ctx context.Context, grant *sluglease.Grant) error {
			return h.doDuties(ctx, grant, capacity, usage)
		})
	})
	return nil
}

// eligible reports whether this process may hold the duties. Without links to the engines it could
// not send their orders, which must not take the way through peers.
func (h *Host) eligible() bool {
	return h.ready() && !h.detour.Status().CutOff
}

// rank returns the position of this process among the candidates for the duties.
func (h *Host) rank() int {
	return slugmember.Rank(string(dutiesLease), h.member.Self().Process, processNames(h.livePeers()))
}

// doDuties performs all duties while this process holds the lease.
func (h *Host) doDuties(ctx context.Context, grant *sluglease.Grant, capacity *slugcapacityduty.Duty, usage *slugusageduty.Duty) error {
	h.table.Update(func(r *slugpeer.Row) { r.HoldsDuties = true })
	defer h.table.Update(func(r *slugpeer.Row) { r.HoldsDuties = false })
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return capacity.Run(ctx, grant) })
	g.Go(func() error { return usage.Run(ctx, grant) })
	g.Go(func() error { return h.removeEndedProcesses(ctx) })
	return g.Wait()
}

// channel returns the channel through which the duties send their commands.
func (h *Host) channel() slugcommand.Channel {
	return slugcommand.Channel{
		Host: h.settings().Host, Commands: h.adapter.Commands, Address: hostPort(h.settings().DutiesAddress),
		Do: func(grant *sluglease.Grant) slugcommand.Do {
			return h.noticing(slugcommand.Guarded(h.network.DialReset, grant.Check))
		},
	}
}

// capacityDuty returns the duty that manages the capacity of services.
func (h *Host) capacityDuty() *slugcapacityduty.Duty {
	return slugcapacityduty.New(slugcapacityduty.Config{
		Channel: h.channel(), Store: h.store.For("capacity"), Table: h.follower.Table, Registry: h.registry,
		Demand: h.demand, Limited: func(s slugname.Service) []slugname.Endpoint { return h.placer(s).Limited() }, OnRolePlanned: h.plannedRoles.Set, RoleNotice: h.roleNotice, Log: h.log,
	})
}

// usageDuty returns the duty that reports usage to the platform.
func (h *Host) usageDuty() *slugusageduty.Duty {
	return slugusageduty.New(slugusageduty.Config{
		Channel: h.channel(), Store: h.store.For("usage"), Window: h.settings().UsageWindow, MaxReportDelay: func() time.Duration { return h.settings().UsageLate },
		Now: h.clock.Now, Counts: h.usageAggregate.Windows, Log: h.log,
	})
}

// demand returns the sum of the demand that all live processes report for a service.
func (h *Host) demand(s slugname.Service) slugcapacityduty.Demand {
	var d slugcapacityduty.Demand
	for _, x := range h.table.Statuses() {
		if !x.Alive {
			continue
		}
		d.PrefillBusy += float64(x.ServiceLoads[s].PrefillBusy)
		d.Streams += float64(x.ServiceLoads[s].Streams)
	}
	return d
}

// removeEndedProcesses removes the records of processes that have not been alive for
// removalDelay.
func (h *Host) removeEndedProcesses(ctx context.Context) error {
	since := map[slugname.Process]time.Time{}
	for slugbackoff.Sleep(ctx, cleanupInterval) == nil {
		for _, p := range h.endedProcesses(since, time.Now()) {
			if err := h.member.Remove(ctx, p); err != nil {
				h.log.Error(slugevent.DutyFailed, err, slugevent.Fields{"process": p, "step": "remove record"})
				continue
			}
			h.log.Emit(slugevent.PeerSilent, slugevent.Fields{"process": p, "action": "record removed"})
		}
	}
	return nil
}

// endedProcesses returns the processes that have not been alive for removalDelay. since
// holds the time at which each was first found not alive.
func (h *Host) endedProcesses(since map[slugname.Process]time.Time, now time.Time) []slugname.Process {
	alive := map[slugname.Process]bool{}
	for _, s := range h.table.Statuses() {
		alive[s.Process] = s.Alive
	}
	var out []slugname.Process
	for _, r := range h.member.Records() {
		if alive[r.Process] || r.Process == h.member.Self().Process {
			delete(since, r.Process)
			continue
		}
		if since[r.Process].IsZero() {
			since[r.Process] = now
		}
		if now.Sub(since[r.Process]) >= removalDelay {
			out = append(out, r.Process)
		}
	}
	return out
}

const (
	// roleNoticeMargin is added to the time in which news reach all hosts, for those that are
	// slow.
	roleNoticeMargin = 150 * time.Millisecond
	// minNewsDelay is the time within which news reach all hosts in which a role change isn't
	// announced first. At 16 hosts (0.3 s) the notice cost more than the few refused requests:
	// engines were unused for longer, and changes were not registered before the store failed
	// (worth 0.28 with the notice, 0.48 without).
	minNewsDelay = 500 * time.Millisecond
	// maxRoleNotice limits the time for which a role change waits for the news of it. In a
	// system of hundreds of hosts these take longer; then some requests are refused by the
	// engine and sent again.
	maxRoleNotice = 2500 * time.Millisecond
)

// roleNotice returns how long an engine keeps its role after its change was announced.
func (h *Host) roleNotice() time.Duration { return roleNoticeAfter(h.loadDelay()) }

// roleNoticeAfter returns the notice of a role change if news reach all hosts after newsDelay.
func roleNoticeAfter(newsDelay time.Duration) time.Duration {
	if newsDelay < minNewsDelay {
		return 0
	}
	return min(newsDelay+roleNoticeMargin, maxRoleNotice)
}

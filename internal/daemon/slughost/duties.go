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
	// dutiesLease is the one lease under which this system's duties are done today.
	dutiesLease sluglease.Duty = "duties"
	// cleanupInterval is the time between looks for records of processes that are gone.
	cleanupInterval = 5 * time.Second
	// removalDelay is how long peers must be without word of a process, and the holder of
	// the duty must have been up, before its record is removed.
	removalDelay = 15 * time.Second
)

// runDuties takes part in the duties.
func (h *Host) runDuties(ctx context.Context, g *errgroup.Group) error {
	self := h.member.Self()
	lease := sluglease.New(sluglease.Config{
		Duty: dutiesLease, Self: self.Process, Host: self.Host, Store: h.store.For("lease"), TTL: h.settings.LeaseTime,
		Rank: h.rank, Eligible: h.ready, Log: h.log,
	})
	g.Go(func() error { return lease.Run(ctx, h.doDuties) })
	return nil
}

// rank returns this process's place among those that may hold the duties.
func (h *Host) rank() int {
	return slugmember.Rank(string(dutiesLease), h.member.Self().Process, processNames(h.livePeers()))
}

// doDuties does all duties while the right lasts.
func (h *Host) doDuties(ctx context.Context, right *sluglease.Right) error {
	h.table.Update(func(r *slugpeer.Row) { r.Holds = true })
	defer h.table.Update(func(r *slugpeer.Row) { r.Holds = false })
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return h.capacityDuty().Run(ctx, right) })
	g.Go(func() error { return h.usageDuty().Run(ctx, right) })
	g.Go(func() error { return h.removeGoneRecords(ctx) })
	return g.Wait()
}

// channel is what the duties send their commands through.
func (h *Host) channel() slugcommand.Channel {
	return slugcommand.Channel{
		Host: h.settings.Host, Commands: h.adapter.Commands, Address: hostPort(h.settings.DutiesAddress),
		Do: func(right *sluglease.Right) slugcommand.Do {
			return slugcommand.Guarded(h.network.DialReset, right.Check)
		},
	}
}

func (h *Host) capacityDuty() *slugcapacityduty.Duty {
	return slugcapacityduty.New(slugcapacityduty.Config{
		Channel: h.channel(), Store: h.store.For("capacity"), Table: h.follower.Table, Registry: h.registry,
		Demand: h.demand, Planned: h.plannedRoles.Set, Log: h.log,
	})
}

func (h *Host) usageDuty() *slugusageduty.Duty {
	return slugusageduty.New(slugusageduty.Config{
		Channel: h.channel(), Store: h.store.For("usage"), Window: h.settings.UsageWindow, Late: h.settings.UsageLate,
		Now: h.clock.Now, Counts: h.collection.Windows, Log: h.log,
	})
}

// demand sums what all processes told of a service's work.
func (h *Host) demand(s slugname.Service) slugcapacityduty.Demand {
	var d slugcapacityduty.Demand
	for _, x := range h.table.Statuses() {
		if !x.Alive {
			continue
		}
		d.PrefillBusy += float64(x.Work[s].PrefillBusy)
		d.Streams += float64(x.Work[s].Streams)
	}
	return d
}

// removeGoneRecords removes the records of processes that are gone: those that no peer has word of,
// and those of hosts that have a newer process.
func (h *Host) removeGoneRecords(ctx context.Context) error {
	since := map[slugname.Process]time.Time{}
	for slugbackoff.Sleep(ctx, cleanupInterval) == nil {
		for _, p := range h.goneProcesses(since, time.Now()) {
			if err := h.member.Remove(ctx, p); err != nil {
				h.log.Error(slugevent.DutyFailed, err, slugevent.Fields{"process": p, "step": "remove record"})
				continue
			}
			h.log.Emit(slugevent.PeerSilent, slugevent.Fields{"process": p, "action": "record removed"})
		}
	}
	return nil
}

// goneProcesses returns the processes without word for long enough. since holds when each was
// first seen without.
func (h *Host) goneProcesses(since map[slugname.Process]time.Time, now time.Time) []slugname.Process {
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

package slughost

import (
	"context"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
	"golang.org/x/sync/errgroup"
)

const (
	// minUsageInterval is the time between messages with the figures of accounting windows.
	// It bounds what is lost of them with a host that is killed.
	minUsageInterval = 200 * time.Millisecond
	// usageIntervalPerHost is that time for each host there is, where that is more.
	usageIntervalPerHost = 10 * time.Millisecond
	// usageTimeout bounds one message.
	usageTimeout = time.Second
	// backupCollectors is the number of processes that collect figures besides the holder of
	// the duty: those that would take it next.
	backupCollectors = 3
)

// sendUsagePeriodically tells those who report usage, or may soon, what began to run here.
func (h *Host) sendUsagePeriodically(ctx context.Context, g *errgroup.Group) error {
	g.Go(func() error {
		for slugbackoff.Sleep(ctx, h.usageInterval()) == nil {
			h.collection.Heard(h.member.Self().Process, h.tally.Windows())
			g.Go(func() error {
				h.sendUsage(ctx)
				return nil
			})
		}
		return nil
	})
	return nil
}

func (h *Host) usageInterval() time.Duration {
	return max(minUsageInterval, time.Duration(len(h.member.Records()))*usageIntervalPerHost)
}

// sendUsage sends this process's figures once.
func (h *Host) sendUsage(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	m := slugpeer.Message{Protocol: slugpeer.Protocol, Usage: h.tally.Windows()}
	var g errgroup.Group
	for _, r := range h.collectors() {
		g.Go(func() error {
			// Figures that do not arrive are part of the next message.
			_, _ = h.link.Call(ctx, r, m)
			return nil
		})
	}
	_ = g.Wait()
}

// collectors returns the other processes that collect figures.
func (h *Host) collectors() []slugmember.Record {
	self := h.member.Self().Process
	chosen := map[slugname.Process]bool{}
	for _, p := range slugmember.Closest(string(dutiesLease), processNames(h.livePeers()), backupCollectors) {
		chosen[p] = true
	}
	for _, s := range h.table.Statuses() {
		if s.Alive && s.Holds {
			chosen[s.Process] = true
		}
	}
	delete(chosen, self)
	var out []slugmember.Record
	for p := range chosen {
		if r, known := h.member.Record(p); known {
			out = append(out, r)
		}
	}
	return out
}

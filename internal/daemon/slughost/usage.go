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
	// minUsageInterval is the shortest time between messages with the usage figures of
	// accounting windows. It limits how much of the figures is lost if the host is killed.
	minUsageInterval = 200 * time.Millisecond
	// usageIntervalPerProcess is multiplied by the number of processes to get the time
	// between these messages in a large cluster.
	usageIntervalPerProcess = 10 * time.Millisecond
	// usageTimeout limits the time of one message.
	usageTimeout = time.Second
	// backupCollectors is the number of processes that collect usage figures in addition
	// to the holder of the duties: those that are next in line for the duties.
	backupCollectors = 3
)

// sendUsagePeriodically starts to send the usage figures of this process to the
// collectors.
func (h *Host) sendUsagePeriodically(ctx context.Context, g *errgroup.Group) error {
	g.Go(func() error {
		for slugbackoff.Sleep(ctx, h.usageInterval()) == nil {
			h.usageAggregate.Update(h.member.Self().Process, h.usageCounter.Windows())
			g.Go(func() error {
				h.sendUsage(ctx)
				return nil
			})
		}
		return nil
	})
	return nil
}

// usageInterval returns the time between messages with usage figures.
func (h *Host) usageInterval() time.Duration {
	return max(minUsageInterval, time.Duration(len(h.member.Records()))*usageIntervalPerProcess)
}

// sendUsage sends the usage figures of this process, if it has any, to all collectors once.
func (h *Host) sendUsage(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	m := slugpeer.Message{Protocol: slugpeer.Protocol, Usage: h.usageCounter.Windows()}
	if len(m.Usage) == 0 {
		return
	}
	var g errgroup.Group
	for _, r := range h.collectors() {
		g.Go(func() error {
			// The next message repeats figures that do not arrive.
			_, _ = h.transport.Call(ctx, r, m)
			return nil
		})
	}
	_ = g.Wait()
}

// collectors returns the other processes that collect usage figures.
func (h *Host) collectors() []slugmember.Record {
	self := h.member.Self().Process
	chosen := map[slugname.Process]bool{}
	for _, p := range slugmember.HighestRanked(string(dutiesLease), processNames(h.livePeers()), backupCollectors) {
		chosen[p] = true
	}
	for _, s := range h.table.Statuses() {
		if s.Alive && s.HoldsDuties {
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

// Package slugusageduty reports the usage of each accounting window once, with one set of
// counts.
//
// The counts of a window are summed over all processes and frozen in the store before they
// are sent. Every retry, by this process or a successor, sends the frozen counts.
//
// If the store is restored from a copy, a holder that held the duty all the while writes its
// frozen counts again. Any other holder cannot know which windows were reported in the lost
// time. It skips the windows that ended before it learned of the restore.
//
// # Usage
//
//	d := slugusageduty.New(slugusageduty.Config{...})
//	err := d.Run(ctx, grant)
package slugusageduty

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugcommand"
	"github.com/sassafraslug/sassafraslug/internal/authority/sluglease"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugrecord"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugusagecounter"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

const (
	// reviewInterval is the time between checks for windows that have ended.
	reviewInterval = 500 * time.Millisecond
	// collectionDelay is how long after the end of a window its counts are still
	// collected. Peers send their counts every 200 ms, and less often in systems of more
	// than 20 processes.
	collectionDelay = 2 * time.Second
	// callTimeout bounds the request that sends one report. The lease must remain valid
	// for that long.
	callTimeout = 900 * time.Millisecond
	// retainedReports is the number of reports that are kept in the store.
	retainedReports = 8
	// retryInterval is the time between attempts to send reports.
	retryInterval = 700 * time.Millisecond
)

// Name is the name of the object that holds the frozen reports.
const Name = "usage/reports"

// Config configures a Duty.
type Config struct {
	slugcommand.Channel
	Store  *slugstore.Store
	Window time.Duration
	// MaxReportDelay is how long after its end a window is still reported. It may change.
	MaxReportDelay func() time.Duration
	// Now returns the current time of day.
	Now func() time.Time
	// Counts returns the counts of all processes by window.
	Counts func() []slugpeer.WindowCount
	Log    *slugevent.Log
}

// report is the frozen report of a window.
type report struct {
	Window int64                         `json:"window"`
	Counts map[slugname.Workspace]uint32 `json:"counts"`
	Sent   bool                          `json:"sent"`
}

// total returns the number of requests over all workspaces.
func (r report) total() uint32 { return slugpeer.WindowCount{Counts: r.Counts}.Total() }

// record is the stored content of the object.
type record struct {
	slugrecord.Stamp
	Reports []report `json:"reports"`
	// First is the first window that may still be frozen.
	First int64 `json:"first,omitempty"`
}

// Duty freezes and sends usage reports.
type Duty struct {
	cfg    Config
	record *slugrecord.Record[record]
	// firstWindow is the first window to report if there is no earlier report.
	firstWindow int64
	// lastSentAt is when a report was last sent.
	lastSentAt time.Time
}

// New returns a Duty.
func New(cfg Config) *Duty {
	return &Duty{cfg: cfg, record: slugrecord.New[record](cfg.Store, Name)}
}

// Run reports windows until the lease ends.
func (d *Duty) Run(ctx context.Context, grant *sluglease.Grant) error {
	if err := d.load(ctx, grant); err != nil {
		return err
	}
	d.firstWindow = d.window(d.cfg.Now())
	return d.record.Every(ctx, reviewInterval, func() error { return d.load(ctx, grant) }, func() error { return d.review(ctx, grant) })
}

// window returns the number of the window that contains t.
func (d *Duty) window(t time.Time) int64 { return slugusagecounter.WindowNumber(t, d.cfg.Window) }

// load reads the reports of earlier holders, or writes those of this process again if the
// store was restored.
func (d *Duty) load(ctx context.Context, grant *sluglease.Grant) error {
	known := d.record.Value.Reports
	unsaved, err := d.record.Load(ctx, grant)
	if err != nil {
		return err
	}
	if unsaved {
		d.cfg.Log.Emit(slugevent.RecordReloaded, slugevent.Fields{"object": Name, "fence": grant.Fence, "reports": len(d.record.Value.Reports)})
		return d.record.Write(ctx, d.next(d.record.Value.Reports))
	}
	if d.record.Complete {
		return nil
	}
	v := &d.record.Value
	v.Reports = mergeReports(v.Reports, known)
	first := d.window(d.cfg.Now().Add(-time.Since(d.cfg.Store.EraSeenAt())))
	if n := len(v.Reports); n > 0 && v.Reports[n-1].Window+1 < first {
		d.cfg.Log.Emit(slugevent.UsageSkipped, slugevent.Fields{"from": max(v.First, v.Reports[n-1].Window+1), "to": first - 1, "fence": grant.Fence, "era": d.cfg.Store.Era()})
	}
	v.First = max(v.First, first)
	return nil
}

// mergeReports returns the reports in a and those in b for other windows, ordered by window.
func mergeReports(a, b []report) []report {
	out := slices.Clone(a)
	for _, r := range b {
		if i := slices.IndexFunc(out, func(x report) bool { return x.Window == r.Window }); i < 0 {
			out = append(out, r)
		} else {
			out[i].Sent = out[i].Sent || r.Sent
		}
	}
	slices.SortFunc(out, func(x, y report) int { return cmp.Compare(x.Window, y.Window) })
	return out
}

// next returns a record with the given reports for the next write.
func (d *Duty) next(reports []report) record {
	return record{Stamp: d.record.NextStamp(), Reports: reports[max(0, len(reports)-retainedReports):], First: d.record.Value.First}
}

// review freezes the windows that have ended and sends the reports that were not sent
// yet.
func (d *Duty) review(ctx context.Context, grant *sluglease.Grant) error {
	if err := d.freeze(ctx, grant); err != nil {
		return err
	}
	if time.Since(d.lastSentAt) < retryInterval {
		return nil
	}
	for i, r := range d.record.Value.Reports {
		if r.Sent {
			continue
		}
		d.lastSentAt = time.Now()
		if err := d.send(ctx, grant, i); err != nil {
			return err
		}
	}
	return nil
}

// dueWindows returns the windows that have no report yet, ended at least collectionDelay
// ago and less than Config.MaxReportDelay ago.
func (d *Duty) dueWindows() []int64 {
	now := d.cfg.Now()
	last := d.window(now.Add(-collectionDelay)) - 1
	first := d.firstWindow
	if n := len(d.record.Value.Reports); n > 0 {
		// A successor also reports the windows that ended while no process held the
		// duty.
		first = d.record.Value.Reports[n-1].Window + 1
	}
	first = max(first, d.record.Value.First, d.window(now.Add(-d.cfg.MaxReportDelay())))
	var out []int64
	for k := first; k <= last; k++ {
		out = append(out, k)
	}
	return out
}

// freeze stores the reports of the windows that are due.
func (d *Duty) freeze(ctx context.Context, grant *sluglease.Grant) error {
	due := d.dueWindows()
	if len(due) == 0 {
		return nil
	}
	reports := slices.Clone(d.record.Value.Reports)
	counts := d.cfg.Counts()
	for _, k := range due {
		r := report{Window: k, Counts: sumCounts(counts, k)}
		reports = append(reports, r)
		d.cfg.Log.Emit(slugevent.UsageFrozen, slugevent.Fields{"window": k, "requests": r.total(), "fence": grant.Fence})
	}
	return d.record.Write(ctx, d.next(reports))
}

// sumCounts returns the counts of a window, summed over all processes.
func sumCounts(counts []slugpeer.WindowCount, window int64) map[slugname.Workspace]uint32 {
	out := map[slugname.Workspace]uint32{}
	for _, c := range counts {
		if c.Window != window {
			continue
		}
		for w, n := range c.Counts {
			out[w] += n
		}
	}
	return out
}

// send sends a frozen report and records it as sent when it was accepted. A report that
// was rejected permanently is also recorded as sent, so that it is not retried.
func (d *Duty) send(ctx context.Context, grant *sluglease.Grant, i int) error {
	r := d.record.Value.Reports[i]
	err := grant.Do(ctx, callTimeout, func(ctx context.Context) error {
		return d.cfg.Commands.ReportUsage(ctx, d.cfg.Do(grant), d.cfg.Address, r.Window, r.Counts, d.cfg.HolderOf(grant))
	})
	fields := slugevent.Fields{"window": r.Window, "requests": r.total(), "fence": grant.Fence}
	if err != nil && !errors.Is(err, slugcommand.ErrRefused) {
		d.cfg.Log.Error(slugevent.CallFailed, err, fields)
		return nil
	}
	if err != nil {
		d.cfg.Log.Error(slugevent.CallFailed, err, fields)
	} else {
		d.cfg.Log.Emit(slugevent.WindowReported, fields)
	}
	reports := slices.Clone(d.record.Value.Reports)
	reports[i].Sent = true
	return d.record.WriteOutcome(ctx, d.next(reports))
}

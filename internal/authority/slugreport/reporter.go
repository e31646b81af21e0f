// Package slugreport performs the usage duty of one region: once a window has ended, it
// creates the usage report of the window and sends it. Before that it seals the records that
// their processes have not closed, so that no record of the window can change any more.
//
// A report is created once in the platform's store, and every attempt sends the stored
// bytes, so that a window is never reported with different totals.
//
// # Usage
//
//	r := slugreport.New(slugreport.Config{Region: "north", Window: time.Minute, ...})
//	err := lease.Run(ctx, r.Run)
package slugreport

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/authority/sluglease"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugledger"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
)

// Names of objects in the store.
const (
	reportPrefix = "usage/reports/"
	// statePrefix is the prefix of the names of the objects that hold the progress of
	// the duty.
	statePrefix = "usage/state"
)

const (
	// roundInterval is the pause between two calls of reportDue.
	roundInterval = time.Second
	// writeGrace is how long after the end of a window its records may still be written.
	// It covers clock differences between hosts and the last write of a process.
	writeGrace = 5 * time.Second
	// closeTimeout is how long the reporter waits for live processes to close their
	// records.
	closeTimeout = 30 * time.Second
	// sendTimeout bounds one attempt to send a report.
	sendTimeout = 3 * time.Second
	// recordRetention is how long records are kept after their window. A process that is
	// cut off from the store for less time still finds its record and bills exactly.
	recordRetention = time.Hour
	// maxSealAttempts is the number of attempts to seal a record that its process is
	// still writing.
	maxSealAttempts = 5
)

// Config configures a Reporter.
type Config struct {
	Region slugname.Region
	Store  *slugstore.Store
	Window time.Duration
	// Gates returns the gates of the region that have been published and not yet
	// removed.
	Gates func(ctx context.Context) ([]slugmember.Record, error)
	// Alive reports whether a process is alive.
	Alive func(slugname.Process) bool
	// Send sends the report of a window.
	Send func(ctx context.Context, r slugname.Region, w slugledger.Window, body []byte) error
	Log  *slugevent.Log
	// OnStep is called between the steps of a report, for tests; it may be nil.
	OnStep func(string)
}

// Reporter performs the duty while the lease is held.
type Reporter struct {
	cfg      Config
	progress progress
	version  slugstore.Version
}

// progress is the stored progress of the duty.
type progress struct {
	// Next is the first window that was not yet reported.
	Next slugledger.Window `json:"next"`
}

// Report is the usage of a region in a window.
type Report struct {
	Window        slugledger.Window `json:"window"`
	Region        slugname.Region   `json:"region"`
	LengthSeconds int               `json:"lengthSeconds"`
	Lines         []slugledger.Line `json:"lines"`
	// Sealed are the processes whose records the reporter sealed and that contain usage.
	Sealed []slugname.Process `json:"sealed"`
}

// New returns a Reporter.
func New(cfg Config) *Reporter {
	if cfg.OnStep == nil {
		cfg.OnStep = func(string) {}
	}
	return &Reporter{cfg: cfg}
}

func (r *Reporter) stateName() string { return statePrefix + "/" + string(r.cfg.Region) }

// ReportName returns the name of the report of a window.
func ReportName(region slugname.Region, w slugledger.Window) string {
	return fmt.Sprintf("%s%s/%d", reportPrefix, region, w)
}

// Run performs the duty until ctx ends or a round fails.
func (r *Reporter) Run(ctx context.Context, grant *sluglease.Grant) error {
	if err := r.loadProgress(ctx); err != nil {
		return err
	}
	return slugbackoff.Every(ctx, roundInterval, func() error { return r.reportDue(ctx, grant) })
}

// loadProgress reads the progress of the duty. A new system starts with the window
// before the current one and stores that first, so that a successor does not start at a
// later one.
func (r *Reporter) loadProgress(ctx context.Context) error {
	o, err := r.cfg.Store.Get(ctx, r.stateName())
	if err != nil {
		return err
	}
	r.version = o.Version
	r.progress = progress{Next: slugledger.WindowAt(time.Now().Add(-r.cfg.Window), r.cfg.Window)}
	if o.Body != nil {
		return o.Decode(&r.progress)
	}
	r.version, err = r.cfg.Store.Put(ctx, r.stateName(), 0, r.progress)
	return err
}

// reportDue reports every window that is due.
func (r *Reporter) reportDue(ctx context.Context, grant *sluglease.Grant) error {
	for ctx.Err() == nil {
		due := r.progress.Next.End(r.cfg.Window).Add(writeGrace)
		if time.Now().Before(due) {
			return nil
		}
		done, err := r.reportWindow(ctx, grant, r.progress.Next, due)
		if err != nil || !done {
			return err
		}
		next := progress{Next: r.progress.Next + slugledger.Window(r.cfg.Window/time.Second)}
		version, err := r.cfg.Store.Put(ctx, r.stateName(), r.version, next)
		if err != nil {
			return err
		}
		r.progress, r.version = next, version
		r.deleteExpiredRecords(ctx, next.Next)
	}
	return nil
}

// reportWindow reports one window. done is false while the reporter waits for records.
func (r *Reporter) reportWindow(ctx context.Context, grant *sluglease.Grant, w slugledger.Window, due time.Time) (done bool, err error) {
	body, err := r.storedReport(ctx, w)
	if err != nil {
		return false, err
	}
	if body == nil {
		if body, err = r.freeze(ctx, w, due); err != nil || body == nil {
			return false, err
		}
	}
	err = grant.Do(ctx, sendTimeout, func(ctx context.Context) error {
		r.cfg.OnStep("report.send")
		return r.cfg.Send(ctx, r.cfg.Region, w, body)
	})
	if err != nil {
		return false, err
	}
	r.cfg.Log.Emit(slugevent.WindowReported, slugevent.Fields{"window": w, "bytes": len(body)})
	return true, nil
}

// storedReport returns the stored report of a window, or nil if there is none.
func (r *Reporter) storedReport(ctx context.Context, w slugledger.Window) (json.RawMessage, error) {
	o, err := r.cfg.Store.Get(ctx, ReportName(r.cfg.Region, w))
	return o.Body, err
}

// freeze seals the open records of a window and creates its report. It returns nil while it
// waits for a live process to close its record.
func (r *Reporter) freeze(ctx context.Context, w slugledger.Window, due time.Time) (json.RawMessage, error) {
	records, err := r.records(ctx, w)
	if err != nil {
		return nil, err
	}
	gates, err := r.cfg.Gates(ctx)
	if err != nil {
		return nil, err
	}
	for _, g := range gates {
		if _, ok := records[g.Process]; !ok {
			records[g.Process] = versionedRecord{Record: slugledger.Record{Process: g.Process, Window: w, Lines: []slugledger.Line{}}}
		}
	}
	if r.mustWait(records, due) {
		return nil, nil
	}
	report := Report{Window: w, Region: r.cfg.Region, LengthSeconds: int(r.cfg.Window / time.Second), Sealed: []slugname.Process{}}
	sums := map[slugledger.Key]slugledger.Totals{}
	for _, p := range sortedProcesses(records) {
		record, err := r.seal(ctx, records[p])
		if err != nil {
			return nil, err
		}
		if record.Sealed && len(record.Lines) > 0 {
			report.Sealed = append(report.Sealed, p)
		}
		for _, l := range record.Lines {
			key := slugledger.Key{Workspace: l.Workspace, Service: l.Service}
			sums[key] = sums[key].Plus(l.Totals)
		}
	}
	report.Lines = sortedLines(sums)
	return r.create(ctx, w, report)
}

// create stores the report. If a predecessor already stored one, that one is returned.
func (r *Reporter) create(ctx context.Context, w slugledger.Window, report Report) (json.RawMessage, error) {
	body, err := json.Marshal(report)
	if err != nil {
		return nil, err
	}
	r.cfg.OnStep("report.create")
	_, err = r.cfg.Store.Put(ctx, ReportName(r.cfg.Region, w), 0, json.RawMessage(body))
	if err != nil && !errors.Is(err, slugstore.ErrConflict) {
		return nil, err
	}
	return r.storedReport(ctx, w)
}

// sortedLines returns the totals as sorted lines.
func sortedLines(sums map[slugledger.Key]slugledger.Totals) []slugledger.Line {
	out := make([]slugledger.Line, 0, len(sums))
	for k, t := range sums {
		out = append(out, slugledger.Line{Workspace: k.Workspace, Service: k.Service, Totals: t})
	}
	slugledger.SortLines(out)
	return out
}

// sortedProcesses returns the processes that have a record, sorted by name.
func sortedProcesses(records map[slugname.Process]versionedRecord) []slugname.Process {
	out := make([]slugname.Process, 0, len(records))
	for p := range records {
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// versionedRecord is a record with its version in the store; 0 means that it is not
// stored.
type versionedRecord struct {
	slugledger.Record
	version slugstore.Version
}

// records returns the stored records of a window by process.
func (r *Reporter) records(ctx context.Context, w slugledger.Window) (map[slugname.Process]versionedRecord, error) {
	objects, err := r.cfg.Store.List(ctx, slugledger.WindowPrefix(r.cfg.Region, w))
	if err != nil {
		return nil, err
	}
	records := map[slugname.Process]versionedRecord{}
	for _, o := range objects {
		if o.Body == nil {
			continue
		}
		stored := versionedRecord{version: o.Version}
		if err := o.Decode(&stored.Record); err != nil {
			return nil, err
		}
		records[stored.Process] = stored
	}
	return records, nil
}

// mustWait reports whether to wait, until closeTimeout has passed, for a live process to
// close its record.
func (r *Reporter) mustWait(records map[slugname.Process]versionedRecord, due time.Time) bool {
	if time.Now().After(due.Add(closeTimeout)) {
		return false
	}
	for p, s := range records {
		if s.version != 0 && !s.Closed && !s.Sealed && r.cfg.Alive(p) {
			return true
		}
	}
	return false
}

// seal seals a record that its process has not closed. A process without a record gets
// an empty sealed one, so that it carries its counts over to a later window.
func (r *Reporter) seal(ctx context.Context, current versionedRecord) (slugledger.Record, error) {
	for range maxSealAttempts {
		if current.Closed || current.Sealed {
			return current.Record, nil
		}
		next := current.Record
		next.Sealed = true
		r.cfg.OnStep("record.seal")
		name := slugledger.RecordName(r.cfg.Region, current.Window, current.Process)
		_, err := r.cfg.Store.Put(ctx, name, current.version, next)
		if err == nil {
			if len(next.Lines) > 0 {
				r.cfg.Log.Emit(slugevent.RecordSealed, slugevent.Fields{"window": current.Window, "record": current.Process})
			}
			return next, nil
		}
		if !errors.Is(err, slugstore.ErrConflict) {
			return slugledger.Record{}, err
		}
		o, err := r.cfg.Store.Get(ctx, name)
		if err != nil {
			return slugledger.Record{}, err
		}
		current.version = o.Version
		if o.Body != nil {
			if err := o.Decode(&current.Record); err != nil {
				return slugledger.Record{}, err
			}
		}
	}
	return slugledger.Record{}, errors.Wrapf(slugstore.ErrConflict, "seal record of %s", current.Process)
}

// deleteExpiredRecords deletes the records of the window that is recordRetention older
// than next.
func (r *Reporter) deleteExpiredRecords(ctx context.Context, next slugledger.Window) {
	expired := next - slugledger.Window(recordRetention/time.Second)
	objects, err := r.cfg.Store.List(ctx, slugledger.WindowPrefix(r.cfg.Region, expired))
	if err != nil {
		return
	}
	for _, o := range objects {
		if o.Body != nil {
			_ = r.cfg.Store.Delete(ctx, o.Name, o.Version)
		}
	}
}

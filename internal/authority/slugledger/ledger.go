// Package slugledger counts usage as it is relayed to callers and keeps the record of this
// process for each window in the platform's store.
//
// A record is always replaced as a whole. The process closes it once its window has ended.
// If the reporter sealed the record first, the usage that it lacks is carried over to the
// current window, so that no token is billed twice and no recorded token is lost.
//
// # Usage
//
//	l := slugledger.New(slugledger.Config{Region: "north", Process: "gate-1", Window: time.Minute, Store: store})
//	l.Add(key, slugledger.Totals{Requests: 1, OutputTokens: 12})
//	err := l.Write(ctx)
package slugledger

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
)

// Window identifies an accounting window by its start in Unix seconds.
type Window int64

// RecordPrefix is the prefix of the names of record objects.
const RecordPrefix = "usage/records/"

// WindowPrefix returns the prefix of the names of the records of a region and window.
func WindowPrefix(r slugname.Region, w Window) string {
	return fmt.Sprintf("%s%s/%d/", RecordPrefix, r, w)
}

// RecordName returns the name of the record of a process for a window.
func RecordName(r slugname.Region, w Window, p slugname.Process) string {
	return WindowPrefix(r, w) + string(p)
}

// WindowAt returns the window of length d that contains t.
func WindowAt(t time.Time, d time.Duration) Window {
	n := int64(d / time.Second)
	return Window(t.Unix() / n * n)
}

// End returns the end of a window of length d.
func (w Window) End(d time.Duration) time.Time { return time.Unix(int64(w), 0).Add(d) }

// Key is the unit of billing.
type Key struct {
	Workspace slugname.Workspace
	Service   slugname.Service
}

// Totals are the billed quantities.
type Totals struct {
	Requests     int64 `json:"requests"`
	PromptTokens int64 `json:"promptTokens"`
	CachedTokens int64 `json:"cachedTokens"`
	OutputTokens int64 `json:"outputTokens"`
}

// Plus returns t + x.
func (t Totals) Plus(x Totals) Totals {
	return Totals{t.Requests + x.Requests, t.PromptTokens + x.PromptTokens, t.CachedTokens + x.CachedTokens, t.OutputTokens + x.OutputTokens}
}

// Minus returns t - x.
func (t Totals) Minus(x Totals) Totals {
	return Totals{t.Requests - x.Requests, t.PromptTokens - x.PromptTokens, t.CachedTokens - x.CachedTokens, t.OutputTokens - x.OutputTokens}
}

// Line is the usage of a service by a workspace.
type Line struct {
	Workspace slugname.Workspace `json:"workspace"`
	Service   slugname.Service   `json:"service"`
	Totals
}

// Record is the usage that a process counted in a window.
type Record struct {
	Process slugname.Process `json:"process"`
	Window  Window           `json:"window"`
	Lines   []Line           `json:"lines"`
	// Closed is set by the process when the record is final.
	Closed bool `json:"closed"`
	// Sealed is set by the reporter when it stops waiting for the process.
	Sealed bool `json:"sealed"`
}

// Config configures a Ledger.
type Config struct {
	Region  slugname.Region
	Process slugname.Process
	// Window is the length of a window; it must be a whole number of seconds.
	Window time.Duration
	Store  *slugstore.Store
}

// shardCount is the number of shards, each with its own lock.
const shardCount = 16

// Ledger counts the usage that one process relayed. It is safe for concurrent use.
type Ledger struct {
	cfg    Config
	shards [shardCount]shard

	// mu guards the records. It is held during writes to the store.
	mu      sync.Mutex
	records map[Window]*windowRecord
	// newestDropped is the newest window whose record was closed, sealed or carried over,
	// and so was dropped from records.
	newestDropped Window
}

// shard holds counts that were not yet added to the record of their window.
type shard struct {
	mu     sync.Mutex
	totals map[Window]map[Key]Totals
}

// windowRecord is the record of a window with the state of its copy in the store.
type windowRecord struct {
	totals  map[Key]Totals
	version slugstore.Version
	// lastAttempt is the content of the last write, whether or not it took effect.
	lastAttempt []Line
	dirty       bool
}

// New returns an empty Ledger.
func New(cfg Config) *Ledger {
	l := &Ledger{cfg: cfg, records: map[Window]*windowRecord{}}
	for i := range l.shards {
		l.shards[i].totals = map[Window]map[Key]Totals{}
	}
	return l
}

// Add counts usage in the current window.
func (l *Ledger) Add(k Key, t Totals) {
	h := uint(0)
	for i := range len(k.Workspace) {
		h = h*31 + uint(k.Workspace[i])
	}
	s := &l.shards[h%shardCount]
	w := WindowAt(time.Now(), l.cfg.Window)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.totals[w] == nil {
		s.totals[w] = map[Key]Totals{}
	}
	s.totals[w][k] = s.totals[w][k].Plus(t)
}

// Write stores every record that changed and closes those whose windows have ended.
// Records that could not be written are retried at the next call.
func (l *Ledger) Write(ctx context.Context) error {
	return l.write(ctx, false)
}

// Close stores and closes all records, including the one of the current window. Add must
// not be called afterwards.
func (l *Ledger) Close(ctx context.Context) error {
	return l.write(ctx, true)
}

// write stores the records that changed; closing also closes those whose windows have
// not ended.
func (l *Ledger) write(ctx context.Context, closing bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.collectShards()
	// The first pass may carry usage over to the current window, which the second pass
	// writes. The first failure ends the call: during an outage of the store the other
	// writes would fail too, and there may be many.
	for range 2 {
		for _, w := range l.windows() {
			if err := l.writeRecord(ctx, w, closing); err != nil {
				return err
			}
		}
	}
	return nil
}

// collectShards moves the counts of the shards into the records. Counts whose record was
// already dropped go to the current window.
func (l *Ledger) collectShards() {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		totals := s.totals
		s.totals = map[Window]map[Key]Totals{}
		s.mu.Unlock()
		for w, keys := range totals {
			if w <= l.newestDropped {
				w = l.carryTarget(w)
			}
			l.recordFor(w).add(keys)
		}
	}
}

// recordFor returns the record of a window and creates it if needed.
func (l *Ledger) recordFor(w Window) *windowRecord {
	r := l.records[w]
	if r == nil {
		r = &windowRecord{totals: map[Key]Totals{}}
		l.records[w] = r
	}
	return r
}

// add adds counts to the record.
func (r *windowRecord) add(keys map[Key]Totals) {
	for k, t := range keys {
		if t == (Totals{}) {
			continue
		}
		r.totals[k] = r.totals[k].Plus(t)
		r.dirty = true
	}
}

// windows returns the windows with a record, oldest first.
func (l *Ledger) windows() []Window {
	out := make([]Window, 0, len(l.records))
	for w := range l.records {
		out = append(out, w)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// maxCreateDelay is how long after the end of a window its record may still be created.
// Later counts go to the current window.
const maxCreateDelay = 3 * time.Second

// writeRecord stores the record of a window if it has changed or is to be closed.
func (l *Ledger) writeRecord(ctx context.Context, w Window, closing bool) error {
	r := l.records[w]
	now := time.Now()
	ended := !now.Before(w.End(l.cfg.Window))
	if r.lastAttempt == nil && now.After(w.End(l.cfg.Window).Add(maxCreateDelay)) {
		l.carryOver(w, nil)
		return nil
	}
	if !r.dirty && !ended && !closing {
		return nil
	}
	body := Record{Process: l.cfg.Process, Window: w, Lines: r.lines(), Closed: ended || closing}
	r.lastAttempt = body.Lines
	version, err := l.cfg.Store.Put(ctx, RecordName(l.cfg.Region, w, l.cfg.Process), r.version, body)
	if errors.Is(err, slugstore.ErrConflict) {
		return l.resolveConflict(ctx, w)
	}
	if err != nil {
		return err
	}
	r.version, r.dirty = version, false
	if body.Closed {
		l.dropRecord(w)
	}
	return nil
}

// resolveConflict handles a record that another process wrote, or that an earlier write
// of this process changed although its response was lost.
func (l *Ledger) resolveConflict(ctx context.Context, w Window) error {
	o, err := l.cfg.Store.Get(ctx, RecordName(l.cfg.Region, w, l.cfg.Process))
	if err != nil {
		return err
	}
	var stored Record
	if o.Body == nil {
		// The record was deleted after its window was reported. The content of the last
		// write may have been reported, so it is not billed again.
		l.carryOver(w, l.records[w].lastAttempt)
		return nil
	}
	if err := o.Decode(&stored); err != nil {
		return err
	}
	if stored.Sealed || stored.Closed {
		l.carryOver(w, stored.Lines)
		return nil
	}
	l.records[w].version = o.Version
	return nil
}

// carryTarget returns the window that receives usage that came too late for w: the
// current window, read from the clock now because a write may have taken long, and
// always a later one than w.
func (l *Ledger) carryTarget(w Window) Window {
	return max(WindowAt(time.Now(), l.cfg.Window), w+Window(l.cfg.Window/time.Second))
}

// carryOver moves the usage that the stored lines lack to the current window and drops
// the record of w.
func (l *Ledger) carryOver(w Window, stored []Line) {
	unrecorded := l.records[w].totals
	for _, line := range stored {
		k := Key{line.Workspace, line.Service}
		unrecorded[k] = unrecorded[k].Minus(line.Totals)
	}
	l.dropRecord(w)
	l.recordFor(l.carryTarget(w)).add(unrecorded)
}

// dropRecord drops the record of a window. Counts of the window that come later are carried
// over.
func (l *Ledger) dropRecord(w Window) {
	delete(l.records, w)
	l.newestDropped = max(l.newestDropped, w)
}

// lines returns the totals as sorted lines.
func (r *windowRecord) lines() []Line {
	lines := make([]Line, 0, len(r.totals))
	for k, t := range r.totals {
		lines = append(lines, Line{k.Workspace, k.Service, t})
	}
	SortLines(lines)
	return lines
}

// SortLines sorts lines by workspace and service.
func SortLines(lines []Line) {
	sort.Slice(lines, func(i, j int) bool {
		a, b := lines[i], lines[j]
		if a.Workspace != b.Workspace {
			return a.Workspace < b.Workspace
		}
		return a.Service < b.Service
	})
}

// Package slugmember keeps the list of the processes of the system. Each process publishes
// a record in the platform's store when it starts, and follows the records of the others.
// After the store was restored from a copy, each process whose record is missing writes it
// again, and the others keep it meanwhile.
//
// # Usage
//
//	m := slugmember.New(slugmember.Config{Self: record, Store: store})
//	err := m.Publish(ctx)
//	go m.Run(ctx)
//	for _, r := range m.Records() { ... }
package slugmember

import (
	"cmp"
	"context"
	"encoding/hex"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
)

// Kind is the kind of daemon that a process runs.
type Kind string

// The kinds of daemons.
const (
	KindGate    Kind = "gate"
	KindControl Kind = "control"
)

// Prefix is the prefix of the names of process records in the store.
const Prefix = "processes/"

// ID is a 64-bit hash of a process name. Messages between processes carry it in place of
// the name.
type ID uint64

// IDOf returns the ID of a process.
func IDOf(p slugname.Process) ID { return ID(xxhash.Sum64String(string(p))) }

// CertificateHash is the SHA-256 hash of a process's certificate in hexadecimal.
type CertificateHash string

// NewCertificateHash encodes a SHA-256 sum.
func NewCertificateHash(sum []byte) CertificateHash {
	return CertificateHash(hex.EncodeToString(sum))
}

// Record is what a process publishes when it starts.
type Record struct {
	Process    slugname.Process    `json:"process"`
	Kind       Kind                `json:"kind"`
	Host       slugname.Host       `json:"host"`
	DataCentre slugname.DataCentre `json:"dataCentre"`
	Region     slugname.Region     `json:"region"`
	// PeerAddress is where other processes connect.
	PeerAddress string `json:"peerAddress"`
	// CallersAddress is where callers connect. Only gates have one.
	CallersAddress string `json:"callersAddress,omitempty"`
	// OperatorsAddress is where operators connect.
	OperatorsAddress string          `json:"operatorsAddress"`
	CertificateHash  CertificateHash `json:"certificateHash"`
	// StartedAtMs is the start time in milliseconds since the Unix epoch.
	StartedAtMs int64 `json:"startedAtMs"`
	// StartEra is the era of the store when the process started.
	StartEra slugstore.Era `json:"startEra"`
	Capacity
}

// Config configures a Member.
type Config struct {
	Self  Record
	Store *slugstore.Store
	// Changed is called when records were added, changed or removed; it may be nil.
	Changed func()
	// BatchDelay is the pause after each change, in which further changes are collected.
	BatchDelay time.Duration
	// Wait is how long one watch call waits for a change; 0 means the default of the store
	// client.
	Wait time.Duration
	// SharedWatch lets a few processes watch the store for the others.
	SharedWatch slugstore.SharedWatch
}

// Member is this process's view of all processes. Its methods are safe for concurrent use.
type Member struct {
	cfg      Config
	mu       sync.Mutex
	records  map[slugname.Process]Record
	versions map[slugname.Process]slugstore.Version
	// missing maps processes that the copy lacks to the time until which they are kept.
	missing map[slugname.Process]time.Time
	era     slugstore.EraTracker
	// listed reports that the records have been read at least once.
	listed bool
	// startEra is the era of the first attempt to publish.
	startEra *slugstore.Era
	// withdrawn reports that the record of this process has been withdrawn.
	withdrawn bool
	// lost holds at most one value.
	lost chan struct{}
}

// missingGrace is how long a process is kept whose record the store lacks after it was
// restored from a copy, so that the process can write it again.
const missingGrace = 15 * time.Second

// New returns a Member that knows only this process.
func New(cfg Config) *Member {
	return &Member{
		cfg:      cfg,
		records:  map[slugname.Process]Record{cfg.Self.Process: cfg.Self},
		versions: map[slugname.Process]slugstore.Version{},
		missing:  map[slugname.Process]time.Time{},
		lost:     make(chan struct{}, 1),
	}
}

// Self returns the record of this process.
func (m *Member) Self() Record { return m.cfg.Self }

// Publish writes the record of this process to the store, unless it has been withdrawn.
func (m *Member) Publish(ctx context.Context) error {
	self, withdrawn := m.ownRecord()
	if withdrawn {
		return nil
	}
	name := Prefix + string(self.Process)
	version, err := m.cfg.Store.Put(ctx, name, 0, self)
	if errors.Is(err, slugstore.ErrConflict) {
		var o slugstore.Object
		if o, err = m.cfg.Store.Get(ctx, name); err == nil {
			version, err = m.cfg.Store.Put(ctx, name, o.Version, self)
		}
	}
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.versions[m.cfg.Self.Process] = version
	return nil
}

// ownRecord returns the record to publish, and whether it has been withdrawn.
func (m *Member) ownRecord() (Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.startEra == nil {
		era := m.cfg.Store.Era()
		m.startEra = &era
	}
	self := m.cfg.Self
	self.StartEra = *m.startEra
	return self, m.withdrawn
}

// Listed reports whether the records have been read from the store at least once.
func (m *Member) Listed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed
}

// Lost returns a channel that receives a value after the store has lost the record of this
// process, which must then be published again.
func (m *Member) Lost() <-chan struct{} { return m.lost }

// Withdraw removes the record of this process from the store.
func (m *Member) Withdraw(ctx context.Context) error {
	m.mu.Lock()
	m.withdrawn = true
	m.mu.Unlock()
	return m.Remove(ctx, m.cfg.Self.Process)
}

// Remove removes the record of a process that has ended. It does nothing if the record has
// changed since it was last read.
func (m *Member) Remove(ctx context.Context, p slugname.Process) error {
	m.mu.Lock()
	version := m.versions[p]
	m.mu.Unlock()
	err := m.cfg.Store.Delete(ctx, Prefix+string(p), version)
	if errors.Is(err, slugstore.ErrConflict) {
		return nil
	}
	return err
}

// Run follows the records of all processes until ctx ends.
func (m *Member) Run(ctx context.Context) error {
	w := slugstore.Watcher{Prefix: Prefix, OnChange: m.changed, BatchDelay: m.cfg.BatchDelay, SharedWatch: m.cfg.SharedWatch}
	if m.cfg.Wait > 0 {
		w.Wait = func() time.Duration { return m.cfg.Wait }
	}
	return m.cfg.Store.Watch(ctx, w)
}

// changed applies changed and removed records.
func (m *Member) changed(objects []slugstore.Object) {
	if m.apply(objects, time.Now()) && m.cfg.Changed != nil {
		m.cfg.Changed()
	}
}

// apply applies a response of the store, and reports whether it may have changed a record.
func (m *Member) apply(objects []slugstore.Object, now time.Time) (changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	era := m.cfg.Store.Era()
	first := !m.listed
	m.listed = true
	restored := m.era.Restored(objects, era)
	for _, o := range objects {
		m.applyRecord(o, restored, now)
	}
	// The first response has all records, like the one after a restore.
	if v, published := m.versions[m.cfg.Self.Process]; published && (restored || first) && v.Era() < era {
		m.reportLost()
	}
	return m.expireMissing(now) || len(objects) > 0
}

// applyRecord applies one changed or removed record; m.mu must be held. Unreadable records
// are ignored. restored reports that the response is the first one since the store was
// restored from a copy, in which records of live processes may be missing.
func (m *Member) applyRecord(o slugstore.Object, restored bool, now time.Time) {
	p := slugname.Process(strings.TrimPrefix(o.Name, Prefix))
	switch {
	case o.Body != nil:
		var r Record
		if o.Decode(&r) == nil {
			m.records[p], m.versions[p] = r, o.Version
			delete(m.missing, p)
		}
	case p == m.cfg.Self.Process:
		m.reportLost()
	case restored:
		m.missing[p] = now.Add(missingGrace)
	default:
		m.remove(p)
	}
}

// remove removes the record of another process; m.mu must be held.
func (m *Member) remove(p slugname.Process) {
	delete(m.records, p)
	delete(m.versions, p)
	delete(m.missing, p)
}

// reportLost reports that the store has lost the record of this process; m.mu must be held.
func (m *Member) reportLost() {
	if m.withdrawn {
		return
	}
	select {
	case m.lost <- struct{}{}:
	default:
	}
}

// expireMissing removes the processes that have not written their records again, and reports
// whether there were any; m.mu must be held.
func (m *Member) expireMissing(now time.Time) (expired bool) {
	for p, until := range m.missing {
		if !now.Before(until) {
			m.remove(p)
			expired = true
		}
	}
	return expired
}

// Records returns the records of all known processes, ordered by process name. This
// process is included.
func (m *Member) Records() []Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Record, 0, len(m.records))
	for _, r := range m.records {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Process, b.Process) })
	return out
}

// Record returns the record of one process.
func (m *Member) Record(p slugname.Process) (Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.records[p]
	return r, ok
}

// ByCertificate returns the record of the process with a certificate.
func (m *Member) ByCertificate(h CertificateHash) (Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.records {
		if r.CertificateHash == h {
			return r, true
		}
	}
	return Record{}, false
}

// Rank returns the position of self, counted from 0, when all names are ordered by their
// rendezvous weight for a subject, highest first. Processes that know the same names agree
// on the order without any messages.
func Rank[N ~string](subject string, self N, all []N) int {
	selfWeight := weight(subject, self)
	rank := 0
	for _, name := range all {
		if w := weight(subject, name); name != self && (w > selfWeight || w == selfWeight && name < self) {
			rank++
		}
	}
	return rank
}

// weight returns the rendezvous weight of a name for a subject.
func weight[N ~string](subject string, name N) uint64 {
	return xxhash.Sum64String(subject + "\x00" + string(name))
}

// HighestRanked returns the k names with the highest rendezvous weights for a subject, or
// all of them if there are fewer.
func HighestRanked[N ~string](subject string, all []N, k int) []N {
	weighted := make([]weightedName[N], len(all))
	for i, n := range all {
		weighted[i] = weightedName[N]{weight(subject, n), n}
	}
	slices.SortFunc(weighted, func(a, b weightedName[N]) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	out := make([]N, min(k, len(all)))
	for i := range out {
		out[i] = weighted[i].name
	}
	return out
}

// weightedName is a name with its rendezvous weight.
type weightedName[N ~string] struct {
	weight uint64
	name   N
}

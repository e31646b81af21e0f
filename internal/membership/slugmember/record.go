// Package slugmember knows the processes of the system: what each published in
// the platform's store when it started, and what the platform's host list says.
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

// Kind tells the daemons apart.
type Kind string

// The kinds.
const (
	KindGate    Kind = "gate"
	KindControl Kind = "control"
)

// Prefix begins the names of process objects.
const Prefix = "processes/"

// ID is a short identifier of a process for messages between processes.
type ID uint64

// IDOf returns the identifier of a process.
func IDOf(p slugname.Process) ID { return ID(xxhash.Sum64String(string(p))) }

// CertificateHash is the SHA-256 of a process's certificate in hexadecimal.
type CertificateHash string

// NewCertificateHash encodes a hash.
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
	// PeerAddress takes messages of other processes.
	PeerAddress string `json:"peerAddress"`
	// CallersAddress takes calls; only gates have one.
	CallersAddress string `json:"callersAddress,omitempty"`
	// OperatorsAddress takes operators' calls.
	OperatorsAddress string          `json:"operatorsAddress"`
	CertificateHash  CertificateHash `json:"certificateHash"`
	// StartedAtMs is the start in milliseconds since 1970.
	StartedAtMs int64 `json:"startedAtMs"`
}

// Config makes a Member.
type Config struct {
	Self  Record
	Store *slugstore.Store
	// Changed is called when a process came or went; it may be nil.
	Changed func()
	// Gather is the pause after each change.
	Gather time.Duration
	// Wait is how long one watch waits; 0 means the store client's default.
	Wait time.Duration
	// Sharing lets processes share their watches.
	Sharing slugstore.Sharing
}

// Member is a process's view of the others.
type Member struct {
	cfg     Config
	mu      sync.Mutex
	records map[slugname.Process]Record
	version map[slugname.Process]slugstore.Version
}

// New returns a Member that knows only itself.
func New(cfg Config) *Member {
	return &Member{
		cfg:     cfg,
		records: map[slugname.Process]Record{cfg.Self.Process: cfg.Self},
		version: map[slugname.Process]slugstore.Version{},
	}
}

// Self returns this process's record.
func (m *Member) Self() Record { return m.cfg.Self }

// Publish writes this process's record.
func (m *Member) Publish(ctx context.Context) error {
	version, err := m.cfg.Store.Put(ctx, Prefix+string(m.cfg.Self.Process), 0, m.cfg.Self)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version[m.cfg.Self.Process] = version
	return nil
}

// Withdraw removes this process's record.
func (m *Member) Withdraw(ctx context.Context) error {
	return m.Remove(ctx, m.cfg.Self.Process)
}

// Remove removes the record of a process that has ended.
func (m *Member) Remove(ctx context.Context, p slugname.Process) error {
	m.mu.Lock()
	version := m.version[p]
	m.mu.Unlock()
	err := m.cfg.Store.Delete(ctx, Prefix+string(p), version)
	if errors.Is(err, slugstore.ErrConflict) {
		return nil
	}
	return err
}

// Run follows the records of all processes until ctx ends.
func (m *Member) Run(ctx context.Context) error {
	w := slugstore.Watcher{Prefix: Prefix, Changed: m.changed, Gather: m.cfg.Gather, Sharing: m.cfg.Sharing}
	if m.cfg.Wait > 0 {
		w.Wait = func() time.Duration { return m.cfg.Wait }
	}
	return m.cfg.Store.Watch(ctx, w)
}

func (m *Member) changed(objects []slugstore.Object) {
	for _, o := range objects {
		m.take(o)
	}
	if len(objects) > 0 && m.cfg.Changed != nil {
		m.cfg.Changed()
	}
}

func (m *Member) take(o slugstore.Object) {
	p := slugname.Process(strings.TrimPrefix(o.Name, Prefix))
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Body == nil {
		if p != m.cfg.Self.Process {
			delete(m.records, p)
			delete(m.version, p)
		}
		return
	}
	var r Record
	if o.Decode(&r) == nil {
		m.records[p] = r
		m.version[p] = o.Version
	}
}

// Records returns all known processes in order of name, this one included.
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

// Record returns one process.
func (m *Member) Record(p slugname.Process) (Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.records[p]
	return r, ok
}

// ByCertificate returns the process with a certificate.
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

// Rank orders names for a subject by rendezvous hashing and returns the place of
// one of them, counting from 0.
func Rank[N ~string](subject string, self N, all []N) int {
	own := weight(subject, self)
	rank := 0
	for _, n := range all {
		if w := weight(subject, n); n != self && (w > own || w == own && n < self) {
			rank++
		}
	}
	return rank
}

func weight[N ~string](subject string, n N) uint64 {
	return xxhash.Sum64String(subject + "\x00" + string(n))
}

// Closest returns the k names with the highest rendezvous weight for a subject.
func Closest[N ~string](subject string, all []N, k int) []N {
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

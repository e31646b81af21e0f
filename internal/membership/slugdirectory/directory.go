// Package slugdirectory answers the lookups of callers: which gates they should use.
//
// # Usage
//
//	d := slugdirectory.New(slugdirectory.Config{
//		Self: record, Statuses: table.Statuses, Record: member.Record, CutOff: detector.CutOff, MaxAge: maxAge,
//	})
//	answer := d.Lookup("workspace")
package slugdirectory

import (
	"slices"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

// ShardSize is the number of hosts in the answer for one shard key.
const ShardSize = 4

// Config configures a Directory.
type Config struct {
	Self     slugmember.Record
	Statuses func() []slugpeer.Status
	Record   func(slugname.Process) (slugmember.Record, bool)
	// CutOff reports whether this host is cut off from the others.
	CutOff func() bool
	// MaxAge is how long callers may cache an answer.
	MaxAge time.Duration
}

// Directory knows the addresses of the live gates. Its methods are safe for concurrent
// use.
type Directory struct {
	cfg Config

	mu sync.Mutex
	// live are the live gates at the time refreshedAt, and answers caches the answers made
	// of them.
	live        []gate
	answers     map[string]Answer
	refreshedAt time.Time
}

// maxCachedAnswers is the number of cached answers at which the cache is dropped.
const maxCachedAnswers = 1024

// cacheTTL is how long the list of live gates and the answers made of it are reused.
const cacheTTL = 100 * time.Millisecond

// New returns a Directory with an empty cache.
func New(cfg Config) *Directory { return &Directory{cfg: cfg} }

// Address is the address of one gate.
type Address struct {
	Address    string              `json:"address"`
	DataCentre slugname.DataCentre `json:"dataCentre"`
	Weight     int                 `json:"weight"`
}

// Answer is the answer to a lookup.
type Answer struct {
	Addresses     []Address `json:"addresses"`
	MaxAgeSeconds int       `json:"maxAgeSeconds"`
}

// gate is a live gate.
type gate struct {
	slugmember.Record
	// cutOff is set if the gate refuses requests with keys.
	cutOff bool
}

// Lookup returns the gates for a shard key, such as a workspace. The same key gets the same
// few hosts as long as the set of gates is the same. Gates in this data centre come first.
// An empty key gets all gates.
func (d *Directory) Lookup(shard string) Answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now := time.Now(); d.refreshedAt.IsZero() || now.Sub(d.refreshedAt) >= cacheTTL || len(d.answers) >= maxCachedAnswers {
		d.live, d.answers, d.refreshedAt = d.gates(), map[string]Answer{}, now
	}
	answer, ok := d.answers[shard]
	if !ok {
		answer = d.buildAnswer(shard, slices.Clone(d.live))
		d.answers[shard] = answer
	}
	return answer
}

// buildAnswer builds the answer for a shard key from the live gates, which it may reorder.
func (d *Directory) buildAnswer(shard string, gates []gate) Answer {
	if shard != "" && len(gates) > ShardSize {
		gates = d.selectShard(shard, gates)
	}
	distance := func(g gate) int {
		if g.DataCentre == d.cfg.Self.DataCentre {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(gates, func(a, b gate) int { return distance(a) - distance(b) })
	answer := Answer{Addresses: []Address{}, MaxAgeSeconds: int(d.cfg.MaxAge.Seconds())}
	for _, g := range gates {
		answer.Addresses = append(answer.Addresses, Address{g.CallersAddress, g.DataCentre, 1})
	}
	return answer
}

// gates returns the gates that take new callers: those that are alive and not leaving. Gates
// that say that they are cut off are left out unless all are. What this process knows of the
// age of another's configuration says less: it is older by the time that rows need.
func (d *Directory) gates() []gate {
	var live []gate
	anySound := false
	leaving := d.leavingHosts()
	for _, status := range d.cfg.Statuses() {
		record, ok := d.cfg.Record(status.Process)
		if !ok || status.Kind != slugmember.KindGate || !status.Alive || status.Leaving || leaving[status.Host] {
			continue
		}
		g := gate{record, status.CutOff || status.Process == d.cfg.Self.Process && d.cfg.CutOff()}
		anySound = anySound || !g.cutOff
		live = append(live, g)
	}
	if !anySound {
		return live
	}
	return slices.DeleteFunc(live, func(g gate) bool { return g.cutOff })
}

// leavingHosts returns the hosts that any process reports as leaving.
func (d *Directory) leavingHosts() map[slugname.Host]bool {
	out := map[slugname.Host]bool{}
	for _, status := range d.cfg.Statuses() {
		for _, h := range status.HostsLeaving {
			out[h] = true
		}
	}
	return out
}

// selectShard returns the gates with the highest rendezvous weights for a shard key.
func (d *Directory) selectShard(key string, gates []gate) []gate {
	hosts := make([]slugname.Host, len(gates))
	for i, g := range gates {
		hosts[i] = g.Host
	}
	chosen := slugmember.HighestRanked(key, hosts, ShardSize)
	out := make([]gate, 0, ShardSize)
	for _, h := range chosen {
		for _, g := range gates {
			if g.Host == h {
				out = append(out, g)
			}
		}
	}
	return out
}

// Others returns the addresses of the other gates for a shard key, to be sent with
// refusals.
func (d *Directory) Others(shard string) []string {
	var out []string
	for _, other := range d.Lookup(shard).Addresses {
		if other.Address != d.cfg.Self.CallersAddress {
			out = append(out, other.Address)
		}
	}
	return out
}

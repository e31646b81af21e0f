// Package slugaddress answers callers' question which addresses to use.
//
// # Usage
//
//	d := slugaddress.New(slugaddress.Config{Self: record, Statuses: table.Statuses, Record: member.Record})
//	answer := d.Look("workspace")
package slugaddress

import (
	"slices"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugreach"
)

// ShardSize is the number of hosts that one workspace is given.
const ShardSize = 4

// Config makes a Directory.
type Config struct {
	Self     slugmember.Record
	Statuses func() []slugpeer.Status
	Record   func(slugname.Process) (slugmember.Record, bool)
	// CutOff reports whether this host is cut off.
	CutOff func() bool
	// MaxAge is how long callers keep an answer.
	MaxAge time.Duration
}

// Directory knows the addresses of live gates.
type Directory struct {
	cfg Config

	mu sync.Mutex
	// known are the gates as they were at a time, answers what was made of them.
	known   []gate
	answers map[string]Answer
	at      time.Time
}

// keptAnswers bounds the answers that are used again.
const keptAnswers = 1024

// keepFor is how long the list of gates is used again.
const keepFor = 100 * time.Millisecond

// New returns a Directory.
func New(cfg Config) *Directory { return &Directory{cfg: cfg} }

// Address is one gate.
type Address struct {
	Address    string              `json:"address"`
	DataCentre slugname.DataCentre `json:"dataCentre"`
	Weight     int                 `json:"weight"`
}

// Answer is the answer to a look-up.
type Answer struct {
	Addresses     []Address `json:"addresses"`
	MaxAgeSeconds int       `json:"maxAgeSeconds"`
}

// gate is a gate that takes new callers.
type gate struct {
	slugmember.Record
	fresh bool
}

// Look returns the gates for a shard key, such as a workspace: a few hosts that
// stay the same, those in this data centre first. An empty key gets all hosts.
func (d *Directory) Look(shard string) Answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now := time.Now(); d.at.IsZero() || now.Sub(d.at) >= keepFor || len(d.answers) >= keptAnswers {
		d.known, d.answers, d.at = d.gates(), map[string]Answer{}, now
	}
	a, ok := d.answers[shard]
	if !ok {
		a = d.answer(shard, slices.Clone(d.known))
		d.answers[shard] = a
	}
	return a
}

// answer makes an answer of the live gates.
func (d *Directory) answer(shard string, gates []gate) Answer {
	if shard != "" && len(gates) > ShardSize {
		gates = d.shard(shard, gates)
	}
	local := func(g gate) int {
		if g.DataCentre == d.cfg.Self.DataCentre {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(gates, func(a, b gate) int { return local(a) - local(b) })
	answer := Answer{Addresses: []Address{}, MaxAgeSeconds: int(d.cfg.MaxAge.Seconds())}
	for _, g := range gates {
		answer.Addresses = append(answer.Addresses, Address{g.CallersAddress, g.DataCentre, 1})
	}
	return answer
}

// gates returns the live gates. Gates with old word are left out as long as any
// gate has fresh word.
func (d *Directory) gates() []gate {
	var all []gate
	fresh := false
	leaving := d.leavingHosts()
	for _, s := range d.cfg.Statuses() {
		r, ok := d.cfg.Record(s.Process)
		if !ok || s.Kind != slugmember.KindGate || !s.Alive || s.Leaving || leaving[s.Host] {
			continue
		}
		g := gate{r, slugclock.Since(s.Word) < slugreach.FreshnessBound}
		if s.Process == d.cfg.Self.Process && d.cfg.CutOff() {
			g.fresh = false
		}
		fresh = fresh || g.fresh
		all = append(all, g)
	}
	if !fresh {
		return all
	}
	return slices.DeleteFunc(all, func(g gate) bool { return !g.fresh })
}

func (d *Directory) leavingHosts() map[slugname.Host]bool {
	out := map[slugname.Host]bool{}
	for _, s := range d.cfg.Statuses() {
		for _, h := range s.HostsLeaving {
			out[h] = true
		}
	}
	return out
}

// shard returns the gates closest to a key by rendezvous hashing.
func (d *Directory) shard(key string, gates []gate) []gate {
	hosts := make([]slugname.Host, len(gates))
	for i, g := range gates {
		hosts[i] = g.Host
	}
	near := slugmember.Closest(key, hosts, ShardSize)
	out := make([]gate, 0, ShardSize)
	for _, h := range near {
		for _, g := range gates {
			if g.Host == h {
				out = append(out, g)
			}
		}
	}
	return out
}

// Others returns the addresses of other gates, for refusals.
func (d *Directory) Others(shard string) []string {
	var out []string
	for _, a := range d.Look(shard).Addresses {
		if a.Address != d.cfg.Self.CallersAddress {
			out = append(out, a.Address)
		}
	}
	return out
}

package sluglease

import (
	"slices"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

// Duty names one piece of work that one process does at a time.
type Duty string

// Prefix begins the names of lease objects.
const Prefix = "leases/"

// Fence numbers the claims of a duty. It grows by one at each claim and never at
// a renewal.
type Fence uint64

// Record is the content of a lease object.
type Record struct {
	Duty   Duty             `json:"duty"`
	Holder slugname.Process `json:"holder"`
	Host   slugname.Host    `json:"host"`
	Fence  Fence            `json:"fence"`
	// TTLMs is how long the lease lasts without a renewal, in milliseconds.
	TTLMs int64 `json:"ttlMs"`
	// Renewals counts the renewals of this claim, so that each changes the object.
	Renewals uint64 `json:"renewals"`
	// Released tells that the holder gave the duty up and does nothing more.
	Released bool `json:"released,omitempty"`
	// Unconfirmed are past holders that lost the duty and may not know it.
	Unconfirmed []Predecessor `json:"unconfirmed,omitempty"`
	// Earlier are the hosts that held the duty before, the last one first.
	Earlier []slugname.Host `json:"earlier,omitempty"`
}

// keptEarlier is the number of earlier hosts that are remembered.
const keptEarlier = 3

// Predecessor is a past holder.
type Predecessor struct {
	Process slugname.Process `json:"process"`
	Host    slugname.Host    `json:"host"`
	Fence   Fence            `json:"fence"`
}

// TTL returns how long the lease lasts without a renewal.
func (r Record) TTL() time.Duration { return time.Duration(r.TTLMs) * time.Millisecond }

// claimed returns the record of the next claim. A holder that did not release the
// duty becomes an unconfirmed predecessor.
func (r Record) claimed(d Duty, p slugname.Process, h slugname.Host, ttl time.Duration) Record {
	next := Record{Duty: d, Holder: p, Host: h, Fence: r.Fence + 1, TTLMs: ttl.Milliseconds(), Unconfirmed: r.Unconfirmed}
	if r.Holder != "" && r.Holder != p && !r.Released {
		next.Unconfirmed = append(slices.Clone(r.Unconfirmed), Predecessor{r.Holder, r.Host, r.Fence})
	}
	if r.Host != "" && r.Host != h {
		next.Earlier = append([]slugname.Host{r.Host}, r.Earlier...)
		next.Earlier = next.Earlier[:min(len(next.Earlier), keptEarlier)]
	} else {
		next.Earlier = r.Earlier
	}
	return next.confirmed(p)
}

// returning reports whether a host held the duty shortly before another one. Commands
// of two hosts by turns look like those of two that both believe they hold the duty.
func (r Record) returning(h slugname.Host) bool {
	return r.Host != h && slices.Contains(r.Earlier, h)
}

// confirmed returns the record without a predecessor.
func (r Record) confirmed(p slugname.Process) Record {
	r.Unconfirmed = slices.DeleteFunc(slices.Clone(r.Unconfirmed), func(x Predecessor) bool { return x.Process == p })
	return r
}

// has reports whether a process is among the unconfirmed predecessors.
func (r Record) has(p slugname.Process) bool {
	return slices.ContainsFunc(r.Unconfirmed, func(x Predecessor) bool { return x.Process == p })
}

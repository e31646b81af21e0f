package sluglease

import (
	"slices"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
)

// Duty names a task that at most one process performs at a time.
type Duty string

// Prefix is the prefix of the names of lease objects.
const Prefix = "leases/"

// Fence is the fencing token of a duty. Each claim increases it; renewals do not change it.
// It follows from the version of the lease that the claim replaces, so that no two claims
// have the same one, even if the store lost a claim: fences of one era of the store are above
// those of all older eras, and within an era each version is replaced once.
type Fence uint64

// fencesPerEra is the distance between the first fences of successive eras. It exceeds the
// revisions of an era, and JSON numbers hold such fences exactly for 2 million eras.
const fencesPerEra = 1 << 32

// fenceAfter returns the fence of a claim that replaces a version of the lease in an era.
func fenceAfter(era slugstore.Era, replaced slugstore.Version) Fence {
	return Fence(era)*fencesPerEra + Fence(replaced.Revision()) + 1
}

// Record is the stored content of a lease.
type Record struct {
	Duty   Duty             `json:"duty"`
	Holder slugname.Process `json:"holder"`
	Host   slugname.Host    `json:"host"`
	Fence  Fence            `json:"fence"`
	// Era is the era of the store in which the holder last claimed or renewed the lease.
	Era slugstore.Era `json:"era,omitempty"`
	// TTLMs is the validity of the lease after a renewal, in milliseconds.
	TTLMs int64 `json:"ttlMs"`
	// Renewals counts the renewals of this claim; it makes every renewal change the
	// object.
	Renewals uint64 `json:"renewals"`
	// Released reports that the holder gave the duty up and has stopped acting.
	Released bool `json:"released,omitempty"`
	// Unconfirmed are past holders that lost the duty and may not know it.
	Unconfirmed []Predecessor `json:"unconfirmed,omitempty"`
	// PreviousHosts are the hosts that held the duty before, most recent first.
	PreviousHosts []slugname.Host `json:"earlier,omitempty"`
}

// maxPreviousHosts is the number of previous hosts that a record keeps.
const maxPreviousHosts = 3

// Predecessor identifies a past holder.
type Predecessor struct {
	Process slugname.Process `json:"process"`
	Host    slugname.Host    `json:"host"`
	Fence   Fence            `json:"fence"`
}

// TTL returns the validity of the lease after a renewal.
func (r Record) TTL() time.Duration { return time.Duration(r.TTLMs) * time.Millisecond }

// nextClaim returns the record of the next claim. A holder that did not release the duty
// becomes an unconfirmed predecessor.
func (r Record) nextClaim(d Duty, p slugname.Process, h slugname.Host, ttl time.Duration) Record {
	next := Record{Duty: d, Holder: p, Host: h, Fence: r.Fence + 1, TTLMs: ttl.Milliseconds(), Unconfirmed: r.Unconfirmed}
	if r.Holder != "" && r.Holder != p && !r.Released {
		next.Unconfirmed = append(slices.Clone(r.Unconfirmed), Predecessor{r.Holder, r.Host, r.Fence})
	}
	if r.Host != "" && r.Host != h {
		next.PreviousHosts = append([]slugname.Host{r.Host}, r.PreviousHosts...)
		next.PreviousHosts = next.PreviousHosts[:min(len(next.PreviousHosts), maxPreviousHosts)]
	} else {
		next.PreviousHosts = r.PreviousHosts
	}
	return next.withoutUnconfirmed(p)
}

// heldBefore reports whether h is one of the hosts that held the duty before the current
// one. If a duty moved back and forth between two hosts, their commands would look as if
// both held it at the same time. Such a host therefore claims the duty only once the lease
// of the current holder would have expired.
func (r Record) heldBefore(h slugname.Host) bool {
	return r.Host != h && slices.Contains(r.PreviousHosts, h)
}

// withoutUnconfirmed returns the record without p among its unconfirmed predecessors.
func (r Record) withoutUnconfirmed(p slugname.Process) Record {
	r.Unconfirmed = slices.DeleteFunc(slices.Clone(r.Unconfirmed), func(x Predecessor) bool { return x.Process == p })
	return r
}

// isUnconfirmed reports whether p is an unconfirmed predecessor.
func (r Record) isUnconfirmed(p slugname.Process) bool {
	return slices.ContainsFunc(r.Unconfirmed, func(x Predecessor) bool { return x.Process == p })
}

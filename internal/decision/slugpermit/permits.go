// Package slugpermit divides the rate limit of an endpoint among all hosts.
//
// The load it answers: an endpoint states how many requests per second it takes from all
// hosts together, while hundreds of hosts choose it independently of each other. The
// permits of the endpoint are issued at regular times, which follow from its limit and are
// the same for all hosts, and each permit belongs to one host in turn. A host that needs none
// lets its permits expire; hosts that were idle can therefore not send all at once what they
// saved. No messages are needed, and the hosts need to agree only roughly on the time and on
// their number.
//
// The package performs no I/O.
//
// # Usage
//
//	p := slugpermit.New(5, now) // 5 requests per second
//	if p.Take(slugpermit.Share{Rank: 3, Hosts: 40}, now) { send }
package slugpermit

import (
	"math"
	"time"
)

const (
	// validity is how long a permit may be used. In any time t, an endpoint gets at most the
	// requests that it allows in t plus validity.
	validity = time.Second
	// minRate is the limit in requests per second that is used instead of a lower one, since
	// only a response shows that a limit has changed.
	minRate = 0.1
)

// Share is the place of a host among all hosts that share a limit.
type Share struct {
	// Rank is the position of the host in the order on which all hosts agree, from 0.
	Rank int
	// Hosts is the number of hosts, or 0 if it is not known yet. Such a host has no permits.
	Hosts int
}

// Permits are the permits of one endpoint at one host. It is not safe for concurrent use.
type Permits struct {
	rate float64
	// usedAt is the time at which the permit was issued that was used last.
	usedAt time.Time
}

// New returns the Permits of an endpoint with a limit in requests per second. Permits that
// were issued before now cannot be used.
func New(perSecond float64, now time.Time) *Permits {
	p := &Permits{usedAt: now}
	p.SetLimit(perSecond)
	return p
}

// SetLimit changes the limit, in requests per second.
func (p *Permits) SetLimit(perSecond float64) { p.rate = max(minRate, perSecond) }

// PerSecond returns the limit in requests per second that is applied.
func (p *Permits) PerSecond() float64 { return p.rate }

// Available reports whether there is a permit.
func (p *Permits) Available(s Share, now time.Time) bool {
	return p.Wait(s, now) == 0
}

// Take uses a permit and reports whether there was one.
func (p *Permits) Take(s Share, now time.Time) bool {
	at := p.next(s, now)
	if at.After(now) {
		return false
	}
	p.usedAt = at
	return true
}

// Wait returns the time until there is a permit.
func (p *Permits) Wait(s Share, now time.Time) time.Duration {
	return max(0, p.next(s, now).Sub(now))
}

// next returns when the oldest permit that can still be used is or will be issued. A clock
// that was set back does not hold up the permits for longer than validity.
func (p *Permits) next(s Share, now time.Time) time.Time {
	if s.Hosts <= 0 {
		return now.Add(validity)
	}
	if p.usedAt.After(now.Add(validity)) {
		p.usedAt = now
	}
	after := now.Add(-validity)
	if p.usedAt.After(after) {
		after = p.usedAt
	}
	hosts, rank := float64(s.Hosts), float64(s.Rank)
	// Seconds within a day keep the precision of the floating-point numbers high.
	base := after.Truncate(24 * time.Hour)
	turn := math.Floor((after.Sub(base).Seconds()*p.rate-rank)/hosts) + 1
	at := base.Add(time.Duration((turn*hosts + rank) / p.rate * float64(time.Second)))
	if !at.After(after) {
		at = base.Add(time.Duration(((turn+1)*hosts + rank) / p.rate * float64(time.Second)))
	}
	return at
}

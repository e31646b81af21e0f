// Package slugcapacity decides how many engines of which kind a service runs in each
// data centre, and which role each engine takes.
//
// The mix of prompts and outputs shifts within seconds, while a new engine takes
// seconds to start, so capacity must be in place before the shift. It is therefore
// planned from the number of engines that may be ordered and from recent peak demand.
// Reclaimable ("cheap") engines are preferred where available: they cost a fifth of
// regular ones, so that twice the capacity costs less than half. All reclaimable
// engines of a data centre may be reclaimed at once; the other data centres must then
// carry the load until replacements have started.
//
// The package performs no I/O.
//
// # Usage
//
//	orders := slugcapacity.Orders(service, time.Now())
//	changes := slugcapacity.RoleChanges(engines, decodeEngines)
package slugcapacity

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

const (
	// plannedShare is the fraction of the maximum number of engines that is planned
	// regardless of demand, because the mix shifts faster than engines start.
	plannedShare = 1.0
	// initialOrderShare is the fraction of the maximum that the first order of cheap
	// engines may request, before the state of the initial engines is known.
	initialOrderShare = 0.5
	// targetPrefillUtilization is the average utilization planned for engines that
	// process prompts; above it prompts wait too long for each other.
	targetPrefillUtilization = 0.45
	// maxPrefillUtilization is the utilization above which the wait for other prompts grows
	// without bound.
	maxPrefillUtilization = 0.85
	// targetSlotUtilization is the fraction of an engine's slots that running responses
	// should take; the others absorb fluctuations.
	targetSlotUtilization = 0.6
	// maxSlotUtilization is the fraction of the slots above which responses wait for each
	// other.
	maxSlotUtilization = 0.9
	// minDecodeShare is the fraction of a data centre's engines that decode regardless
	// of demand, so that others remain when one is lost.
	minDecodeShare = 1.0 / 6
	// minDecodeEngines is the minimum number of decode engines of a service.
	minDecodeEngines = 2
	// decodeHeadroom is the ratio of planned decode capacity to the recent peak of
	// concurrent responses.
	decodeHeadroom = 1.25
	// minPrefillEngines is the minimum number of prefill engines in a data centre.
	minPrefillEngines = 1
	// cheapRetryDelay is how long no reclaimable engines are ordered in a data centre
	// after it refused some.
	cheapRetryDelay = 4 * time.Second
)

// DataCentre is the state of a service in one data centre.
type DataCentre struct {
	Name slugname.DataCentre
	// Initial is the number of engines that the service started with.
	Initial int
	// Regular and Cheap are the numbers of engines that are registered.
	Regular, Cheap int
	// CheapOverdue is set if ordered cheap engines have not registered in time.
	CheapOverdue bool
	// RegularNotReleased is set if released regular engines have not left in time.
	RegularNotReleased bool
	// OrderedRegular and OrderedCheap are the numbers last ordered, or -1 if nothing
	// has been ordered yet.
	OrderedRegular, OrderedCheap int
	// RegularUnanswered and CheapUnanswered are set if it is unknown whether the last order
	// was accepted.
	RegularUnanswered, CheapUnanswered bool
	// CheapRefusedAt is when an order of reclaimable engines was last refused, or the zero
	// time.
	CheapRefusedAt time.Time
}

// Service is the state of a service.
type Service struct {
	Min, Max int
	// HasCheap is set if reclaimable engines can be ordered.
	HasCheap    bool
	DataCentres []DataCentre
	// PeakPrefillBusy is the recent peak of the number of engines kept busy by prompts.
	PeakPrefillBusy float64
	// PeakStreams is the recent peak of the number of concurrent responses, and Streams
	// their current number.
	PeakStreams, Streams float64
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
}

// Order sets the number of engines of one kind in a data centre.
type Order struct {
	DataCentre slugname.DataCentre
	Count      int
	Cheap      bool
	// Reason explains the order.
	Reason string
}

// regularTarget returns the number of regular engines in each data centre while
// reclaimable ones are available. It is 0 for a service in several data centres: both
// kinds count towards the minimum, and the other data centres carry the load that one
// loses until new engines have started.
func (s Service) regularTarget() int {
	if len(s.DataCentres) > 1 {
		return 0
	}
	return max(s.Min, 1)
}

// engineTarget returns the planned number of engines of both kinds in a data centre.
func (s Service) engineTarget(d DataCentre) int {
	n := max(d.Initial, int(math.Ceil(float64(s.Max)*plannedShare)), s.demandedEngines(targetPrefillUtilization, targetSlotUtilization))
	return min(max(n, s.Min), s.Max)
}

// demandedEngines returns the number of engines that each data centre needs for the peak of
// demand at the given utilizations.
func (s Service) demandedEngines(prefill, slots float64) int {
	demand := s.PeakPrefillBusy/prefill + s.PeakStreams/(slots*float64(max(1, s.Slots)))
	return int(math.Ceil(demand / float64(max(1, len(s.DataCentres)))))
}

// Orders returns the orders that bring a service to its plan; those that add engines
// come first. Regular engines are released only where reclaimable ones serve in their
// place.
func Orders(s Service, now time.Time) []Order {
	var add, drop []Order
	for _, d := range s.DataCentres {
		regular, cheap, reason := s.regularTarget(), s.cheapTarget(d), "planned capacity"
		cheapUnavailable := !s.HasCheap || !d.CheapRefusedAt.IsZero() && now.Sub(d.CheapRefusedAt) < cheapRetryDelay
		if cheapUnavailable {
			// Regular engines replace the missing reclaimable ones. They cost several times as
			// much, so more than there were at first are ordered only for a demand that would
			// saturate the engines.
			demanded := s.demandedEngines(maxPrefillUtilization, maxSlotUtilization)
			regular = max(regular, min(s.engineTarget(d)-d.Cheap, max(d.Initial, d.Regular, demanded-d.Cheap)))
			cheap, reason = d.Cheap, "no reclaimable engines to be had"
		}
		if !cheapUnavailable && d.shouldOrderCheap(cheap) {
			add = append(add, Order{d.Name, cheap, true, reason})
		}
		current := d.Regular
		if d.OrderedRegular >= 0 {
			current = d.OrderedRegular
		}
		switch {
		case d.OrderedRegular < 0 && current == 0:
			// The initial engines may not have registered yet.
		case regular > current, d.RegularUnanswered && regular >= current:
			add = append(add, Order{d.Name, regular, false, reason})
		case (regular < current || d.RegularNotReleased) && d.Cheap > 0 && d.Cheap >= min(cheap, d.Initial)-1:
			drop = append(drop, Order{d.Name, regular, false, "reclaimable engines serve"})
		}
	}
	return append(add, drop...)
}

// cheapTarget returns the number of reclaimable engines that a data centre should have
// now. Both kinds together are limited by Max, so reclaimable engines may have to wait
// until regular ones have left. Reclaimable engines that serve or are starting are not
// released for that.
func (s Service) cheapTarget(d DataCentre) int {
	limit := s.engineTarget(d) - s.regularTarget()
	n := min(limit, s.Max-max(d.Regular, d.OrderedRegular))
	if d.OrderedCheap < 0 {
		n = min(n, int(float64(s.Max)*initialOrderShare))
	}
	n = max(n, min(d.Cheap, limit))
	if d.OrderedCheap >= 0 && !d.CheapOverdue {
		n = max(n, min(d.OrderedCheap, limit))
	}
	return n
}

// shouldOrderCheap reports whether to order the target number of reclaimable engines.
// While ordered engines are still starting, no more are ordered.
func (d DataCentre) shouldOrderCheap(target int) bool {
	if d.CheapOverdue || d.CheapUnanswered {
		return true
	}
	awaiting := target > d.OrderedCheap && d.Cheap < d.OrderedCheap
	return target != d.OrderedCheap && !awaiting
}

// Engine is a serving engine.
type Engine struct {
	Name       slugname.Endpoint
	DataCentre slugname.DataCentre
	// Role is the engine's role, or the one that it is changing to.
	Role  slugplan.Role
	Cheap bool
	// Changing is set while a role change is under way.
	Changing bool
}

// RoleChange assigns a role to an engine.
type RoleChange struct {
	Engine slugname.Endpoint
	Role   slugplan.Role
}

// DecodeEngines returns the number of decode engines that each data centre needs, given its
// number of engines.
//
// It answers a mix of prompts and responses that shifts while engines are few, because
// those of a data centre were reclaimed. As long as the engines suffice for both, decode
// gets what the peak of responses needs, with some in every data centre. Otherwise the
// engines are divided in proportion to the needs of both, but the present responses still
// find slots.
func (s Service) DecodeEngines(engines map[slugname.DataCentre]int) map[slugname.DataCentre]int {
	total := 0
	for _, n := range engines {
		total += n
	}
	slots := float64(max(1, s.Slots))
	decode := s.PeakStreams * decodeHeadroom / (targetSlotUtilization * slots)
	prefill := s.PeakPrefillBusy / targetPrefillUtilization
	short := decode+prefill > float64(total)
	if short {
		decode = max(decode*float64(total)/(decode+prefill), s.Streams*decodeHeadroom/(maxSlotUtilization*slots))
	}
	least := int(math.Ceil(minDecodeEngines / float64(max(1, len(s.DataCentres)))))
	if !short {
		decode = max(decode, float64(least*len(engines)))
	}
	decode = max(decode, float64(total)*minDecodeShare)
	out := divide(int(math.Ceil(decode)), engines, total)
	for d, n := range engines {
		if !short {
			out[d] = max(out[d], least)
		}
		out[d] = max(0, min(out[d], n-minPrefillEngines))
	}
	return out
}

// divide divides n in proportion to the sizes, of which total is the sum. What remains after
// rounding down goes to the largest remainders.
func divide(n int, sizes map[slugname.DataCentre]int, total int) map[slugname.DataCentre]int {
	out := map[slugname.DataCentre]int{}
	names := slices.Sorted(maps.Keys(sizes))
	remaining := n
	for _, d := range names {
		out[d] = n * sizes[d] / max(1, total)
		remaining -= out[d]
	}
	slices.SortStableFunc(names, func(a, b slugname.DataCentre) int {
		return cmp.Compare(n*sizes[b]%max(1, total), n*sizes[a]%max(1, total))
	})
	for _, d := range names[:min(remaining, len(names))] {
		out[d]++
	}
	return out
}

// RoleChanges returns the role changes after which each data centre has its number of decode
// engines. The function decode returns that number, given the name of the data centre
// and its number of engines. Regular engines decode first, because reclaiming an engine
// interrupts the responses that it generates but only delays the prompts that it
// processes. An engine in the middle of a change counts in its new role and is not
// changed again.
func RoleChanges(engines []Engine, decode func(slugname.DataCentre, int) int) []RoleChange {
	byDataCentre := map[slugname.DataCentre][]Engine{}
	for _, e := range engines {
		byDataCentre[e.DataCentre] = append(byDataCentre[e.DataCentre], e)
	}
	var out []RoleChange
	for dataCentre, list := range byDataCentre {
		out = append(out, roleChangesIn(list, decode(dataCentre, len(list)))...)
	}
	slices.SortFunc(out, func(a, b RoleChange) int { return cmp.Compare(a.Engine, b.Engine) })
	return out
}

// roleChangesIn returns the role changes for the engines of one data centre, of which
// decode is the number of decode engines to reach.
func roleChangesIn(list []Engine, decode int) []RoleChange {
	current := 0
	for _, e := range list {
		if e.Role == slugplan.RoleDecode {
			current++
		}
	}
	from, to, n := slugplan.RoleDecode, slugplan.RolePrefill, current-decode
	if n < 0 {
		from, to, n = to, from, -n
	}
	slices.SortFunc(list, func(a, b Engine) int { return cmp.Or(compareSuitability(a, b, to), cmp.Compare(a.Name, b.Name)) })
	var out []RoleChange
	for _, e := range list {
		if len(out) < n && e.Role == from && !e.Changing {
			out = append(out, RoleChange{e.Name, to})
		}
	}
	return out
}

// compareSuitability orders engines by how well they suit a role: regular engines come
// first for decode, reclaimable ones for prefill.
func compareSuitability(a, b Engine, to slugplan.Role) int {
	if a.Cheap == b.Cheap {
		return 0
	}
	if a.Cheap == (to == slugplan.RolePrefill) {
		return -1
	}
	return 1
}

// Package slugcapacity decides how many engines a service has in each data centre, of
// which kind, and which role each of them takes.
//
// It answers load whose mix of prompts and outputs shifts within seconds while a new
// engine takes seconds to start: capacity must stand before the shift, so it is planned
// from what may be ordered and from the greatest demand of late, and it is made of reclaimable engines as far as they are to be had. They cost a fifth, so
// twice the capacity costs less than half. All reclaimable engines of one data centre
// may be taken away at once; what is left elsewhere must carry the load until
// others have started.
//
// The package does no input or output.
//
// # Usage
//
//	orders := slugcapacity.Orders(service, state)
//	changes := slugcapacity.Roles(engines, 2)
package slugcapacity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

const (
	// plannedPart is the part of the engines that may be ordered which is planned
	// whatever the demand: a shift of the mix comes faster than engines start.
	plannedPart = 1.0
	// firstPart is the part that is ordered before anything is known of the engines
	// that the service began with.
	firstPart = 0.5
	// busyPart is the part of the engines for prompts that may be busy on average:
	// above it prompts wait too long for each other.
	busyPart = 0.45
	// streamsPerEngine is the number of answers that an engine makes side by side
	// without their events coming late.
	streamsPerEngine = 24
	// decodePart is the part of a data centre's engines that make answers whatever the
	// demand, so that the loss of one leaves others.
	decodePart = 1.0 / 6
	// leastDecode is the number of engines of a service that make answers at least.
	leastDecode = 2
	// decodeHeadroom is the capacity for answers over the greatest number of late.
	decodeHeadroom = 1.25
	// leastPrefill is the number of engines in a data centre that process prompts.
	leastPrefill = 1
	// dryFor is how long a data centre without reclaimable engines is not asked again.
	dryFor = 4 * time.Second
)

// DataCentre is what a service has in a data centre.
type DataCentre struct {
	Name slugname.DataCentre
	// Initial is the number of engines that the service began with.
	Initial int
	// Regular and Cheap are the engines that are there.
	Regular, Cheap int
	// Missing tells that cheap engines which were ordered should have come by now.
	Missing bool
	// Extra tells that regular engines which were given up should have left by now.
	Extra bool
	// Ordered numbers, -1 when nothing was ordered yet.
	OrderedRegular, OrderedCheap int
	// OpenRegular and OpenCheap tell that nobody knows whether the order was taken.
	OpenRegular, OpenCheap bool
	// Dry is when reclaimable engines were last refused.
	Dry time.Time
}

// Service is what is known of a service.
type Service struct {
	Min, Max int
	// HasCheap tells that reclaimable engines can be ordered.
	HasCheap    bool
	DataCentres []DataCentre
	// PrefillBusy is the number of engines kept busy by prompts, the greatest of
	// late.
	PrefillBusy float64
	// Streams is the number of answers under way, the greatest of late.
	Streams float64
}

// Order is a number of engines to order in a data centre.
type Order struct {
	DataCentre slugname.DataCentre
	Count      int
	Cheap      bool
	// Reason says what decided.
	Reason string
}

// regular returns the number of regular engines in a data centre while reclaimable ones
// are to be had. Both kinds together count towards the least number, and what a data
// centre loses is carried by the others until new engines have started.
func (s Service) regular() int {
	if len(s.DataCentres) > 1 {
		return 0
	}
	return max(s.Min, 1)
}

// wanted returns the number of engines that each data centre is to have.
func (s Service) wanted(d DataCentre) int {
	n := max(float64(d.Initial), math.Ceil(float64(s.Max)*plannedPart))
	demand := s.PrefillBusy/busyPart + s.Streams/streamsPerEngine
	n = max(n, math.Ceil(demand/float64(max(1, len(s.DataCentres)))))
	return min(max(int(n), s.Min), s.Max)
}

// Orders returns the orders that bring a service to its plan, those that add engines
// first. Regular engines are given up only where reclaimable ones serve in their place.
func Orders(s Service, now time.Time) []Order {
	var add, drop []Order
	for _, d := range s.DataCentres {
		regular, cheap, reason := s.regular(), s.cheap(d), "planned capacity"
		dry := !s.HasCheap || !d.Dry.IsZero() && now.Sub(d.Dry) < dryFor
		if dry {
			// Regular engines take the place of reclaimable ones that are missing.
			regular = max(regular, min(s.wanted(d)-d.Cheap, max(d.Initial, d.Regular)))
			cheap, reason = d.Cheap, "no reclaimable engines to be had"
		}
		if !dry && d.wantsCheap(cheap) {
			add = append(add, Order{d.Name, cheap, true, reason})
		}
		have := d.Regular
		if d.OrderedRegular >= 0 {
			have = d.OrderedRegular
		}
		switch {
		case d.OrderedRegular < 0 && have == 0:
			// Engines that the service began with may still have to register.
		case regular > have, d.OpenRegular && regular >= have:
			add = append(add, Order{d.Name, regular, false, reason})
		case (regular < have || d.Extra) && d.Cheap > 0 && d.Cheap >= min(cheap, d.Initial)-1:
			drop = append(drop, Order{d.Name, regular, false, "reclaimable engines serve"})
		}
	}
	return append(add, drop...)
}

// cheap returns the number of reclaimable engines that a data centre is to have now.
// Both kinds together are bounded, so that they may have to wait for regular ones to
// go, but those that serve or are on their way are not given up for that.
func (s Service) cheap(d DataCentre) int {
	most := s.wanted(d) - s.regular()
	n := min(most, s.Max-max(d.Regular, d.OrderedRegular))
	if d.OrderedCheap < 0 {
		n = min(n, int(float64(s.Max)*firstPart))
	}
	n = max(n, min(d.Cheap, most))
	if d.OrderedCheap >= 0 && !d.Missing {
		n = max(n, min(d.OrderedCheap, most))
	}
	return n
}

// wantsCheap reports whether reclaimable engines are to be ordered. Those that are on
// their way are awaited before more are ordered.
func (d DataCentre) wantsCheap(n int) bool {
	if d.Missing || d.OpenCheap {
		return true
	}
	coming := n > d.OrderedCheap && d.Cheap < d.OrderedCheap
	return n != d.OrderedCheap && !coming
}

// Engine is one engine that serves.
type Engine struct {
	Name       slugname.Endpoint
	DataCentre slugname.DataCentre
	Role       slugplan.Role
	Cheap      bool
	// Changing tells that an order is being carried out.
	Changing bool
}

// Change is a role that an engine is to take.
type Change struct {
	Engine slugname.Endpoint
	Role   slugplan.Role
}

// DecodeEngines returns the number of engines of one data centre that make answers.
func DecodeEngines(engines int, streams float64, dataCentres int) int {
	all := max(streams*decodeHeadroom/streamsPerEngine, leastDecode)
	n := int(math.Ceil(all / float64(max(1, dataCentres))))
	n = max(n, int(math.Round(float64(engines)*decodePart)))
	return max(0, min(n, engines-leastPrefill))
}

// Roles returns the role changes that give each data centre its number of engines that
// make answers. Regular engines make answers first, since the loss of an engine cuts
// answers but only delays prompts. An engine whose change is under way counts as
// having made it.
func Roles(engines []Engine, decode func(slugname.DataCentre, int) int) []Change {
	byPlace := map[slugname.DataCentre][]Engine{}
	for _, e := range engines {
		byPlace[e.DataCentre] = append(byPlace[e.DataCentre], e)
	}
	var out []Change
	for place, list := range byPlace {
		out = append(out, rolesIn(list, decode(place, len(list)))...)
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Engine, b.Engine) })
	return out
}

func rolesIn(list []Engine, decode int) []Change {
	has := 0
	for _, e := range list {
		if e.Role == slugplan.RoleDecode {
			has++
		}
	}
	from, to, n := slugplan.RoleDecode, slugplan.RolePrefill, has-decode
	if n < 0 {
		from, to, n = to, from, -n
	}
	slices.SortFunc(list, func(a, b Engine) int { return cmp.Or(before(a, b, to), cmp.Compare(a.Name, b.Name)) })
	var out []Change
	for _, e := range list {
		if len(out) < n && e.Role == from && !e.Changing {
			out = append(out, Change{e.Name, to})
		}
	}
	return out
}

// before orders engines by how well they suit a role.
func before(a, b Engine, to slugplan.Role) int {
	if a.Cheap == b.Cheap {
		return 0
	}
	if a.Cheap == (to == slugplan.RolePrefill) {
		return -1
	}
	return 1
}

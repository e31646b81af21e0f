// Package slugcapacityduty brings the engines of a service to the numbers and roles that
// slugcapacity plans. It runs in the one process that holds the duty.
//
// What was ordered is written into the store before it is sent: a process that lost the
// duty cannot write, so it cannot send, and its successor knows what stands. An engine
// is asked how many orders it has accepted before it gets the next, and the order names
// that number, so that one which is carried out late has no effect.
//
// # Usage
//
//	d := slugcapacityduty.New(slugcapacityduty.Config{...})
//	err := d.Run(ctx, right)
package slugcapacityduty

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugcommand"
	"github.com/sassafraslug/sassafraslug/internal/authority/sluglease"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugrecord"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugcapacity"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/fleet/slugregistry"
	"github.com/sassafraslug/sassafraslug/internal/version/slugrouting"
)

const (
	// reviewInterval is the time between looks at the plan.
	reviewInterval = 400 * time.Millisecond
	// callTimeout bounds one order. It must fit into the rest of a right.
	callTimeout = 800 * time.Millisecond
	// leaveTimeout is how long regular engines that were given up may take to leave.
	leaveTimeout = 12 * time.Second
	// delayAllowance is how much longer than planned new engines may take.
	delayAllowance = 3 * time.Second
	// roleRetryInterval is the time between tries to change an engine's role.
	roleRetryInterval = 1500 * time.Millisecond
)

// Name is the object that holds the plan.
const Name = "plans/capacity"

// Demand is what callers asked of a service lately, at its greatest.
type Demand struct {
	// PrefillBusy is the number of engines that prompts keep busy.
	PrefillBusy float64
	// Streams is the number of answers under way.
	Streams float64
}

// Config makes a Duty.
type Config struct {
	slugcommand.Channel
	Store    *slugstore.Store
	Table    func() *slugrouting.Table
	Registry *slugregistry.Registry
	Demand   func(slugname.Service) Demand
	// Planned is called before an engine is told to take a role.
	Planned func(slugname.Endpoint, slugplan.Role)
	Log     *slugevent.Log
}

// location is a service in a data centre.
type location struct {
	Service    slugname.Service    `json:"service"`
	DataCentre slugname.DataCentre `json:"dataCentre"`
}

// orderedCounts is what was ordered for a place.
type orderedCounts struct {
	location
	// Initial is the number of engines that the service began with.
	Initial int `json:"initial"`
	// Regular and Cheap are the ordered numbers, -1 before the first order.
	Regular int `json:"regular"`
	Cheap   int `json:"cheap"`
	// RegularUnanswered and CheapOpen tell that the last order had no answer.
	RegularUnanswered bool `json:"regularOpen,omitempty"`
	CheapUnanswered   bool `json:"cheapOpen,omitempty"`
}

// setCount notes an order.
func (s *orderedCounts) setCount(cheap bool, count int, unanswered bool) {
	if cheap {
		s.Cheap, s.CheapUnanswered = count, unanswered
	} else {
		s.Regular, s.RegularUnanswered = count, unanswered
	}
}

// count returns what was ordered of a kind.
func (s *orderedCounts) count(cheap bool) int {
	if cheap {
		return s.Cheap
	}
	return s.Regular
}

// record is the content of the plan object.
type record struct {
	Fence  sluglease.Fence `json:"fence"`
	Places []orderedCounts `json:"places"`
}

// Duty plans and orders.
type Duty struct {
	cfg Config

	record *slugrecord.Record[record]
	// unavailableAt is when a place was last refused reclaimable engines.
	unavailableAt map[location]time.Time
	// cheapOrderedAt and regularOrderedAt are when engines were last ordered for a place.
	cheapOrderedAt, regularOrderedAt map[location]time.Time
	// startedAt is when this process took the duty.
	startedAt time.Time
	// roleOrderedAt is when an engine was last told its role.
	roleOrderedAt map[slugname.Endpoint]time.Time
	// orderedRole is the role that an engine was told to take.
	orderedRole map[slugname.Endpoint]slugplan.Role
}

// New returns a Duty.
func New(cfg Config) *Duty { return &Duty{cfg: cfg} }

// Run plans and orders until the right ends.
func (d *Duty) Run(ctx context.Context, right *sluglease.Right) error {
	d.unavailableAt, d.cheapOrderedAt, d.regularOrderedAt = map[location]time.Time{}, map[location]time.Time{}, map[location]time.Time{}
	d.startedAt = time.Now()
	d.roleOrderedAt, d.orderedRole = map[slugname.Endpoint]time.Time{}, map[slugname.Endpoint]slugplan.Role{}
	var err error
	if d.record, err = slugrecord.Load[record](ctx, d.cfg.Store, Name); err != nil {
		return err
	}
	return slugrecord.Every(ctx, reviewInterval, func() error { return d.review(ctx, right) })
}

// write stores a plan. It fails when another holder has written.
func (d *Duty) write(ctx context.Context, next record, fence sluglease.Fence) error {
	next.Fence = fence
	return d.record.Write(ctx, next)
}

func (d *Duty) review(ctx context.Context, right *sluglease.Right) error {
	t := d.cfg.Table()
	if t == nil || !d.cfg.Registry.Settled() {
		// Engines whose entries lapsed with the store would count as lost.
		return nil
	}
	for _, s := range t.Services {
		if s.Engine == nil || s.Scaling == nil {
			continue
		}
		engines := d.cfg.Registry.Endpoints(s.Name)
		if err := d.orderEndpoints(ctx, right, s, engines); err != nil {
			return err
		}
		d.orderRoles(ctx, right, s, engines)
	}
	return nil
}

// ordersFor returns what was ordered for a place, adding it when it is new.
func (d *Duty) ordersFor(p location, engines []slugregistry.Endpoint) *orderedCounts {
	n := 0
	for _, e := range engines {
		if e.DataCentre == p.DataCentre && !e.Cheap {
			n++
		}
	}
	for i := range d.record.Value.Places {
		st := &d.record.Value.Places[i]
		if st.location == p {
			if st.Regular < 0 {
				// Engines that register late count as well.
				st.Initial = max(st.Initial, n)
			}
			return st
		}
	}
	d.record.Value.Places = append(d.record.Value.Places, orderedCounts{location: p, Initial: n, Regular: -1, Cheap: -1})
	return &d.record.Value.Places[len(d.record.Value.Places)-1]
}

// planInput returns the service as the plan sees it.
func (d *Duty) planInput(s *slugrouting.Service, engines []slugregistry.Endpoint, now time.Time) slugcapacity.Service {
	demand := d.cfg.Demand(s.Name)
	service := slugcapacity.Service{
		Min: s.Scaling.Min, Max: s.Scaling.Max, HasCheap: s.Scaling.CheapPrice > 0 && s.Scaling.CheapPrice < 1,
		PrefillBusy: demand.PrefillBusy, Streams: demand.Streams,
	}
	for _, dc := range dataCentres(s, engines) {
		p := location{s.Name, dc}
		st := d.ordersFor(p, engines)
		dataCentre := slugcapacity.DataCentre{Name: dc, Initial: st.Initial, OrderedRegular: st.Regular, OrderedCheap: st.Cheap, Dry: d.unavailableAt[p], OpenRegular: st.RegularUnanswered, OpenCheap: st.CheapUnanswered}
		for _, e := range engines {
			switch {
			case e.DataCentre != dc || e.Leaving:
			case e.Cheap:
				dataCentre.Cheap++
			default:
				dataCentre.Regular++
			}
		}
		dataCentre.Missing = dataCentre.Cheap < st.Cheap && now.Sub(d.cheapOrderedAt[p]) > s.Scaling.Boot+delayAllowance
		sinceChange := min(now.Sub(d.startedAt), now.Sub(d.regularOrderedAt[p]))
		dataCentre.Extra = st.Regular >= 0 && dataCentre.Regular > st.Regular && sinceChange > leaveTimeout
		service.DataCentres = append(service.DataCentres, dataCentre)
	}
	return service
}

// dataCentres returns where a service runs or may run.
func dataCentres(s *slugrouting.Service, engines []slugregistry.Endpoint) []slugname.DataCentre {
	seen := map[slugname.DataCentre]bool{}
	for dc := range s.Scaling.Prices {
		seen[dc] = true
	}
	for _, e := range engines {
		seen[e.DataCentre] = true
	}
	out := make([]slugname.DataCentre, 0, len(seen))
	for dc := range seen {
		out = append(out, dc)
	}
	slices.Sort(out)
	return out
}

// orderEndpoints writes down and sends the orders of a service.
func (d *Duty) orderEndpoints(ctx context.Context, right *sluglease.Right, s *slugrouting.Service, engines []slugregistry.Endpoint) error {
	now := time.Now()
	state := d.planInput(s, engines, now)
	for _, o := range slugcapacity.Orders(state, now) {
		if err := d.order(ctx, right, s, o, state); err != nil {
			return err
		}
	}
	return nil
}

// order writes one order down and sends it.
func (d *Duty) order(ctx context.Context, right *sluglease.Right, s *slugrouting.Service, o slugcapacity.Order, state slugcapacity.Service) error {
	p := location{s.Name, o.DataCentre}
	previous, err := d.recordOrder(ctx, right, p, o, false)
	if err != nil {
		return err
	}
	if o.Cheap {
		d.cheapOrderedAt[p] = time.Now()
	} else {
		d.regularOrderedAt[p] = time.Now()
	}
	err = right.Do(ctx, callTimeout, func(ctx context.Context) error {
		e := slugcommand.EndpointOrder{Service: s.Name, DataCentre: o.DataCentre, Count: o.Count, Cheap: o.Cheap}
		return d.cfg.Commands.OrderEndpoints(ctx, d.cfg.Do(right), d.cfg.Address, e, d.cfg.HolderOf(right))
	})
	f := slugevent.Fields{"service": s.Name, "dataCentre": o.DataCentre, "count": o.Count, "cheap": o.Cheap, "reason": o.Reason, "fence": right.Fence, "prefillBusy": fmt.Sprintf("%.2f", state.PrefillBusy), "streams": fmt.Sprintf("%.1f", state.Streams)}
	if err == nil {
		d.cfg.Log.Emit(slugevent.EndpointOrdered, f)
		return nil
	}
	d.cfg.Log.Error(slugevent.OrderFailed, err, f)
	if !errors.Is(err, slugcommand.ErrNone) {
		_, err = d.recordOrder(ctx, right, p, o, true)
		return err
	}
	// The order was refused, so what was ordered before still stands, and nothing is on
	// its way.
	d.unavailableAt[p] = time.Now()
	delete(d.cheapOrderedAt, p)
	o.Count = previous
	_, err = d.recordOrder(ctx, right, p, o, false)
	return err
}

// recordOrder writes an order down, and whether it is open, and returns the number that was
// ordered before.
func (d *Duty) recordOrder(ctx context.Context, right *sluglease.Right, p location, o slugcapacity.Order, unanswered bool) (previous int, err error) {
	next := record{Places: slices.Clone(d.record.Value.Places)}
	for i := range next.Places {
		if next.Places[i].location == p {
			previous = next.Places[i].count(o.Cheap)
			next.Places[i].setCount(o.Cheap, o.Count, unanswered)
		}
	}
	return previous, d.write(ctx, next, right.Fence)
}

// orderRoles tells engines the roles that the plan gives them.
func (d *Duty) orderRoles(ctx context.Context, right *sluglease.Right, s *slugrouting.Service, engines []slugregistry.Endpoint) {
	list := d.servingEngines(s, engines)
	demand := d.cfg.Demand(s.Name)
	places := len(dataCentres(s, engines))
	changes := slugcapacity.Roles(list, func(_ slugname.DataCentre, n int) int {
		return slugcapacity.DecodeEngines(n, demand.Streams, places)
	})
	for _, c := range changes {
		if time.Since(d.roleOrderedAt[c.Engine]) < roleRetryInterval {
			continue
		}
		i := slices.IndexFunc(engines, func(e slugregistry.Endpoint) bool { return e.Name == c.Engine })
		d.setRole(ctx, right, s, engines[i], c.Role)
	}
}

// changing reports whether an engine was told to take another role and may still do it.
func (d *Duty) changing(s *slugrouting.Service, e slugregistry.Endpoint) bool {
	w, ok := d.orderedRole[e.Name]
	return ok && w != e.Role && time.Since(d.roleOrderedAt[e.Name]) < s.Engine.SwitchTime+delayAllowance
}

// servingEngines returns the servingEngines that serve, with the roles that they have or are about to
// take.
func (d *Duty) servingEngines(s *slugrouting.Service, endpoints []slugregistry.Endpoint) []slugcapacity.Engine {
	var out []slugcapacity.Engine
	for _, e := range endpoints {
		if e.Leaving {
			continue
		}
		x := slugcapacity.Engine{Name: e.Name, DataCentre: e.DataCentre, Role: e.Role, Cheap: e.Cheap}
		if d.changing(s, e) {
			x.Role, x.Changing = d.orderedRole[e.Name], true
		}
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b slugcapacity.Engine) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// setRole orders one engine to take a role, after it has told how many orders it has
// accepted.
func (d *Duty) setRole(ctx context.Context, right *sluglease.Right, s *slugrouting.Service, e slugregistry.Endpoint, r slugplan.Role) {
	d.roleOrderedAt[e.Name] = time.Now()
	d.orderedRole[e.Name] = r
	d.cfg.Planned(e.Name, r)
	f := slugevent.Fields{"service": s.Name, "endpoint": e.Name, "dataCentre": e.DataCentre, "from": e.Role, "to": r, "fence": right.Fence}
	err := right.Do(ctx, callTimeout, func(ctx context.Context) error {
		do := d.cfg.Do(right)
		report, err := d.cfg.Commands.Report(ctx, do, e.Address)
		if err != nil {
			return err
		}
		if report.Busy {
			return slugcommand.ErrBusy
		}
		f["orders"] = report.Orders
		o := slugcommand.RoleOrder{Endpoint: e.Name, Address: e.Address, Role: r, Expected: report.Orders}
		return d.cfg.Commands.SetRole(ctx, do, o, d.cfg.HolderOf(right))
	})
	if err != nil {
		delete(d.orderedRole, e.Name)
		d.cfg.Log.Error(slugevent.OrderFailed, err, f)
		return
	}
	d.cfg.Log.Emit(slugevent.RoleChangePlanned, f)
}

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
	// reviewEvery is the time between looks at the plan.
	reviewEvery = 400 * time.Millisecond
	// callTimeout bounds one order. It must fit into the rest of a right.
	callTimeout = 800 * time.Millisecond
	// leavingTime is how long regular engines that were given up may take to leave.
	leavingTime = 12 * time.Second
	// comingSlack is how much longer than planned new engines may take.
	comingSlack = 3 * time.Second
	// roleRetry is the time between tries to change an engine's role.
	roleRetry = 1500 * time.Millisecond
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

// place is a service in a data centre.
type place struct {
	Service    slugname.Service    `json:"service"`
	DataCentre slugname.DataCentre `json:"dataCentre"`
}

// standing is what was ordered for a place.
type standing struct {
	place
	// Initial is the number of engines that the service began with.
	Initial int `json:"initial"`
	// Regular and Cheap are the ordered numbers, -1 before the first order.
	Regular int `json:"regular"`
	Cheap   int `json:"cheap"`
	// RegularOpen and CheapOpen tell that the last order had no answer.
	RegularOpen bool `json:"regularOpen,omitempty"`
	CheapOpen   bool `json:"cheapOpen,omitempty"`
}

// set notes an order.
func (s *standing) set(cheap bool, count int, open bool) {
	if cheap {
		s.Cheap, s.CheapOpen = count, open
	} else {
		s.Regular, s.RegularOpen = count, open
	}
}

// count returns what was ordered of a kind.
func (s *standing) count(cheap bool) int {
	if cheap {
		return s.Cheap
	}
	return s.Regular
}

// record is the content of the plan object.
type record struct {
	Fence  sluglease.Fence `json:"fence"`
	Places []standing      `json:"places"`
}

// Duty plans and orders.
type Duty struct {
	cfg Config

	record *slugrecord.Record[record]
	// dry is when a place was last refused reclaimable engines.
	dry map[place]time.Time
	// cheapAt and regularAt are when engines were last ordered for a place.
	cheapAt, regularAt map[place]time.Time
	// began is when this process took the duty.
	began time.Time
	// roleAt is when an engine was last told its role.
	roleAt map[slugname.Endpoint]time.Time
	// wanted is the role that an engine was told to take.
	wanted map[slugname.Endpoint]slugplan.Role
}

// New returns a Duty.
func New(cfg Config) *Duty { return &Duty{cfg: cfg} }

// Run plans and orders until the right ends.
func (d *Duty) Run(ctx context.Context, right *sluglease.Right) error {
	d.dry, d.cheapAt, d.regularAt = map[place]time.Time{}, map[place]time.Time{}, map[place]time.Time{}
	d.began = time.Now()
	d.roleAt, d.wanted = map[slugname.Endpoint]time.Time{}, map[slugname.Endpoint]slugplan.Role{}
	var err error
	if d.record, err = slugrecord.Load[record](ctx, d.cfg.Store, Name); err != nil {
		return err
	}
	return slugrecord.Every(ctx, reviewEvery, func() error { return d.review(ctx, right) })
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

// standingOf returns what was ordered for a place, adding it when it is new.
func (d *Duty) standingOf(p place, engines []slugregistry.Endpoint) *standing {
	n := 0
	for _, e := range engines {
		if e.DataCentre == p.DataCentre && !e.Cheap {
			n++
		}
	}
	for i := range d.record.Value.Places {
		st := &d.record.Value.Places[i]
		if st.place == p {
			if st.Regular < 0 {
				// Engines that register late count as well.
				st.Initial = max(st.Initial, n)
			}
			return st
		}
	}
	d.record.Value.Places = append(d.record.Value.Places, standing{place: p, Initial: n, Regular: -1, Cheap: -1})
	return &d.record.Value.Places[len(d.record.Value.Places)-1]
}

// state returns the service as the plan sees it.
func (d *Duty) state(s *slugrouting.Service, engines []slugregistry.Endpoint, now time.Time) slugcapacity.Service {
	demand := d.cfg.Demand(s.Name)
	x := slugcapacity.Service{
		Min: s.Scaling.Min, Max: s.Scaling.Max, HasCheap: s.Scaling.CheapPrice > 0 && s.Scaling.CheapPrice < 1,
		PrefillBusy: demand.PrefillBusy, Streams: demand.Streams,
	}
	for _, dc := range dataCentres(s, engines) {
		p := place{s.Name, dc}
		st := d.standingOf(p, engines)
		y := slugcapacity.DataCentre{Name: dc, Initial: st.Initial, OrderedRegular: st.Regular, OrderedCheap: st.Cheap, Dry: d.dry[p], OpenRegular: st.RegularOpen, OpenCheap: st.CheapOpen}
		for _, e := range engines {
			switch {
			case e.DataCentre != dc || e.Leaving:
			case e.Cheap:
				y.Cheap++
			default:
				y.Regular++
			}
		}
		y.Missing = y.Cheap < st.Cheap && now.Sub(d.cheapAt[p]) > s.Scaling.Boot+comingSlack
		left := min(now.Sub(d.began), now.Sub(d.regularAt[p]))
		y.Extra = st.Regular >= 0 && y.Regular > st.Regular && left > leavingTime
		x.DataCentres = append(x.DataCentres, y)
	}
	return x
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
	state := d.state(s, engines, now)
	for _, o := range slugcapacity.Orders(state, now) {
		if err := d.order(ctx, right, s, o, state); err != nil {
			return err
		}
	}
	return nil
}

// order writes one order down and sends it.
func (d *Duty) order(ctx context.Context, right *sluglease.Right, s *slugrouting.Service, o slugcapacity.Order, state slugcapacity.Service) error {
	p := place{s.Name, o.DataCentre}
	before, err := d.note(ctx, right, p, o, false)
	if err != nil {
		return err
	}
	if o.Cheap {
		d.cheapAt[p] = time.Now()
	} else {
		d.regularAt[p] = time.Now()
	}
	err = right.Do(ctx, callTimeout, func(ctx context.Context) error {
		e := slugcommand.EndpointOrder{Service: s.Name, DataCentre: o.DataCentre, Count: o.Count, Cheap: o.Cheap}
		return d.cfg.Commands.OrderEndpoints(ctx, d.cfg.Do(right), d.cfg.Address, e, d.cfg.By(right))
	})
	f := slugevent.Fields{"service": s.Name, "dataCentre": o.DataCentre, "count": o.Count, "cheap": o.Cheap, "reason": o.Reason, "fence": right.Fence, "prefillBusy": fmt.Sprintf("%.2f", state.PrefillBusy), "streams": fmt.Sprintf("%.1f", state.Streams)}
	if err == nil {
		d.cfg.Log.Emit(slugevent.EndpointOrdered, f)
		return nil
	}
	d.cfg.Log.Error(slugevent.OrderFailed, err, f)
	if !errors.Is(err, slugcommand.ErrNone) {
		_, err = d.note(ctx, right, p, o, true)
		return err
	}
	// The order was refused, so what was ordered before still stands, and nothing is on
	// its way.
	d.dry[p] = time.Now()
	delete(d.cheapAt, p)
	o.Count = before
	_, err = d.note(ctx, right, p, o, false)
	return err
}

// note writes an order down, and whether it is open, and returns the number that was
// ordered before.
func (d *Duty) note(ctx context.Context, right *sluglease.Right, p place, o slugcapacity.Order, open bool) (before int, err error) {
	next := record{Places: slices.Clone(d.record.Value.Places)}
	for i := range next.Places {
		if next.Places[i].place == p {
			before = next.Places[i].count(o.Cheap)
			next.Places[i].set(o.Cheap, o.Count, open)
		}
	}
	return before, d.write(ctx, next, right.Fence)
}

// orderRoles tells engines the roles that the plan gives them.
func (d *Duty) orderRoles(ctx context.Context, right *sluglease.Right, s *slugrouting.Service, engines []slugregistry.Endpoint) {
	list := d.engines(s, engines)
	demand := d.cfg.Demand(s.Name)
	places := len(dataCentres(s, engines))
	changes := slugcapacity.Roles(list, func(_ slugname.DataCentre, n int) int {
		return slugcapacity.DecodeEngines(n, demand.Streams, places)
	})
	for _, c := range changes {
		if time.Since(d.roleAt[c.Engine]) < roleRetry {
			continue
		}
		i := slices.IndexFunc(engines, func(e slugregistry.Endpoint) bool { return e.Name == c.Engine })
		d.setRole(ctx, right, s, engines[i], c.Role)
	}
}

// changing reports whether an engine was told to take another role and may still do it.
func (d *Duty) changing(s *slugrouting.Service, e slugregistry.Endpoint) bool {
	w, ok := d.wanted[e.Name]
	return ok && w != e.Role && time.Since(d.roleAt[e.Name]) < s.Engine.SwitchTime+comingSlack
}

// engines returns the engines that serve, with the roles that they have or are about to
// take.
func (d *Duty) engines(s *slugrouting.Service, endpoints []slugregistry.Endpoint) []slugcapacity.Engine {
	var out []slugcapacity.Engine
	for _, e := range endpoints {
		if e.Leaving {
			continue
		}
		x := slugcapacity.Engine{Name: e.Name, DataCentre: e.DataCentre, Role: e.Role, Cheap: e.Cheap}
		if d.changing(s, e) {
			x.Role, x.Changing = d.wanted[e.Name], true
		}
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b slugcapacity.Engine) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// setRole orders one engine to take a role, after it has told how many orders it has
// accepted.
func (d *Duty) setRole(ctx context.Context, right *sluglease.Right, s *slugrouting.Service, e slugregistry.Endpoint, r slugplan.Role) {
	d.roleAt[e.Name] = time.Now()
	d.wanted[e.Name] = r
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
		return d.cfg.Commands.SetRole(ctx, do, o, d.cfg.By(right))
	})
	if err != nil {
		delete(d.wanted, e.Name)
		d.cfg.Log.Error(slugevent.OrderFailed, err, f)
		return
	}
	d.cfg.Log.Emit(slugevent.RoleChangePlanned, f)
}

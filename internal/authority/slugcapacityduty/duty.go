// Package slugcapacityduty adjusts the number and the roles of a service's engines to what
// slugcapacity plans. It runs in the one process that holds the duty, on hosts of a shared
// platform; the control daemon uses slugprovisioner and slugreconciler instead.
//
// An order for endpoints is recorded in the store before it is sent: a process that lost the
// duty fails to write and so does not send, and its successor knows what was ordered. An
// engine is asked how many orders it has accepted before it gets the next one, and the order
// contains that number, so that an order that arrives late has no effect.
//
// # Usage
//
//	d := slugcapacityduty.New(slugcapacityduty.Config{...})
//	err := d.Run(ctx, grant)
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
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpeak"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/fleet/slugregistry"
	"github.com/sassafraslug/sassafraslug/internal/version/slugrouting"
)

const (
	// reviewInterval is the time between reviews of the plan.
	reviewInterval = 400 * time.Millisecond
	// callTimeout bounds one order. The lease must remain valid for that long.
	callTimeout = 800 * time.Millisecond
	// leaveTimeout is how long released regular engines may take to leave.
	leaveTimeout = 12 * time.Second
	// delayAllowance is how much longer than planned an engine may take to start or to
	// change its role.
	delayAllowance = 3 * time.Second
	// newEngineTime is the time since an engine appeared in which hosts send no requests to it.
	newEngineTime = 700 * time.Millisecond
	// roleRetryInterval is the time between attempts to change the role of an engine.
	roleRetryInterval = 1500 * time.Millisecond
	// demandMemory is how long a peak of demand counts. New engines take seconds to start,
	// so capacity follows the peaks.
	demandMemory = 12 * time.Second
	// recentDemand is the span whose peak counts as the current demand.
	recentDemand = 2 * time.Second
)

// Name is the name of the object that holds the ordered numbers of engines.
const Name = "plans/capacity"

// Demand is the current demand for a service.
type Demand struct {
	// PrefillBusy is the number of engines that prefill keeps busy.
	PrefillBusy float64
	// Streams is the number of responses in progress.
	Streams float64
}

// Config configures a Duty.
type Config struct {
	slugcommand.Channel
	Store    *slugstore.Store
	Table    func() *slugrouting.Table
	Registry *slugregistry.Registry
	Demand   func(slugname.Service) Demand
	// Limited returns the engines of a service that state a rate limit; nil means none.
	Limited func(slugname.Service) []slugname.Endpoint
	// OnRolePlanned is called before an engine is asked to take a role.
	OnRolePlanned func(slugname.Endpoint, slugplan.Role)
	// RoleNotice returns how long an engine that serves keeps its role after OnRolePlanned, so
	// that all hosts know of the change when the engine begins to refuse requests for its old
	// role; nil means no time.
	RoleNotice func() time.Duration
	Log        *slugevent.Log
}

// location is a service in a data centre.
type location struct {
	Service    slugname.Service    `json:"service"`
	DataCentre slugname.DataCentre `json:"dataCentre"`
}

// orderedCounts are the numbers of engines that were ordered for a location.
type orderedCounts struct {
	location
	// Initial is the number of regular engines before the first order.
	Initial int `json:"initial"`
	// Regular and Cheap are the ordered numbers, or -1 before the first order.
	Regular int `json:"regular"`
	Cheap   int `json:"cheap"`
	// RegularUnanswered and CheapUnanswered report that it is unknown whether the last
	// order took effect: it failed for another reason than a lack of endpoints.
	RegularUnanswered bool `json:"regularOpen,omitempty"`
	CheapUnanswered   bool `json:"cheapOpen,omitempty"`
}

// setCount sets the ordered number of cheap or regular engines.
func (c *orderedCounts) setCount(cheap bool, count int, unanswered bool) {
	if cheap {
		c.Cheap, c.CheapUnanswered = count, unanswered
	} else {
		c.Regular, c.RegularUnanswered = count, unanswered
	}
}

// count returns the ordered number of cheap or regular engines.
func (c *orderedCounts) count(cheap bool) int {
	if cheap {
		return c.Cheap
	}
	return c.Regular
}

// record is the stored content of the object.
type record struct {
	slugrecord.Stamp
	Locations []orderedCounts `json:"places"`
}

// Duty plans capacity and sends orders.
type Duty struct {
	cfg Config

	record *slugrecord.Record[record]
	// unavailableAt is when an order for a location last failed for lack of endpoints.
	unavailableAt map[location]time.Time
	// cheapOrderedAt and regularOrderedAt are when engines were last ordered for a
	// location.
	cheapOrderedAt, regularOrderedAt map[location]time.Time
	// startedAt is when this process took the duty.
	startedAt time.Time
	// roleOrderedAt is when an engine was last asked to take a role.
	roleOrderedAt map[slugname.Endpoint]time.Time
	// orderedRole is the role that an engine was last asked to take.
	orderedRole map[slugname.Endpoint]slugplan.Role
	// pendingRoles are the role changes of which hosts are being told.
	pendingRoles map[slugname.Endpoint]pendingRole
	// firstSeen is when this process first saw each engine of a service.
	firstSeen map[slugname.Service]map[slugname.Endpoint]time.Time
	// prefillBusy and streams are the recent demands for each service.
	prefillBusy, streams map[slugname.Service]*slugpeak.Window
}

// pendingRole is a role that an engine is to be ordered to take at a time.
type pendingRole struct {
	role slugplan.Role
	due  time.Time
}

// New returns a Duty.
func New(cfg Config) *Duty {
	if cfg.RoleNotice == nil {
		cfg.RoleNotice = func() time.Duration { return 0 }
	}
	return &Duty{cfg: cfg, record: slugrecord.New[record](cfg.Store, Name)}
}

// Run plans and orders until the lease ends.
func (d *Duty) Run(ctx context.Context, grant *sluglease.Grant) error {
	if !d.record.Continues(grant) {
		d.reset()
	}
	if err := d.load(ctx, grant); err != nil {
		return err
	}
	return d.record.Every(ctx, reviewInterval, func() error { return d.load(ctx, grant) }, func() error { return d.review(ctx, grant) })
}

// reset forgets what happened when this process last held the duty.
func (d *Duty) reset() {
	d.unavailableAt, d.cheapOrderedAt, d.regularOrderedAt = map[location]time.Time{}, map[location]time.Time{}, map[location]time.Time{}
	d.startedAt = time.Now()
	d.prefillBusy, d.streams = map[slugname.Service]*slugpeak.Window{}, map[slugname.Service]*slugpeak.Window{}
	d.roleOrderedAt, d.orderedRole = map[slugname.Endpoint]time.Time{}, map[slugname.Endpoint]slugplan.Role{}
	d.pendingRoles, d.firstSeen = map[slugname.Endpoint]pendingRole{}, map[slugname.Service]map[slugname.Endpoint]time.Time{}
}

// load reads what earlier holders ordered, or writes the orders of this process again if the
// store was restored. If orders may be missing, the outcome of the last known ones is unknown.
func (d *Duty) load(ctx context.Context, grant *sluglease.Grant) error {
	unsaved, err := d.record.Load(ctx, grant)
	if err != nil {
		return err
	}
	if unsaved {
		d.cfg.Log.Emit(slugevent.RecordReloaded, slugevent.Fields{"object": Name, "fence": grant.Fence, "locations": len(d.record.Value.Locations)})
		return d.record.Write(ctx, d.next(d.record.Value.Locations))
	}
	if !d.record.Complete {
		for i := range d.record.Value.Locations {
			c := &d.record.Value.Locations[i]
			c.RegularUnanswered, c.CheapUnanswered = c.Regular >= 0, c.Cheap >= 0
		}
	}
	return nil
}

// next returns a record with the given orders for the next write.
func (d *Duty) next(locations []orderedCounts) record {
	return record{d.record.NextStamp(), locations}
}

// review sends the orders that the plan requires for every service that scales.
func (d *Duty) review(ctx context.Context, grant *sluglease.Grant) error {
	t := d.cfg.Table()
	if t == nil || !d.cfg.Registry.Settled() {
		// Engines whose entries expired during a store outage would count as lost.
		return nil
	}
	for _, s := range t.Services {
		if s.Engine == nil || s.Scaling == nil {
			continue
		}
		engines := d.cfg.Registry.Endpoints(s.Name)
		if err := d.orderEndpoints(ctx, grant, s, engines); err != nil {
			return err
		}
		d.orderRoles(ctx, grant, s, engines)
	}
	return nil
}

// ordersFor returns what was ordered for a location and adds an entry for a new one.
func (d *Duty) ordersFor(loc location, engines []slugregistry.Endpoint) *orderedCounts {
	n := 0
	for _, e := range engines {
		if e.DataCentre == loc.DataCentre && !e.Cheap {
			n++
		}
	}
	for i := range d.record.Value.Locations {
		counts := &d.record.Value.Locations[i]
		if counts.location == loc {
			if counts.Regular < 0 {
				// Includes engines that register late.
				counts.Initial = max(counts.Initial, n)
			}
			return counts
		}
	}
	d.record.Value.Locations = append(d.record.Value.Locations, orderedCounts{location: loc, Initial: n, Regular: -1, Cheap: -1})
	return &d.record.Value.Locations[len(d.record.Value.Locations)-1]
}

// planInput returns the state of a service as input for slugcapacity.
func (d *Duty) planInput(s *slugrouting.Service, engines []slugregistry.Endpoint, now time.Time) slugcapacity.Service {
	demand := d.peakDemand(s.Name, now)
	service := slugcapacity.Service{
		Min: s.Scaling.Min, Max: s.Scaling.Max, HasCheap: s.Scaling.CheapPrice > 0 && s.Scaling.CheapPrice < 1,
		PeakPrefillBusy: demand.prefillBusy, PeakStreams: demand.streams, Streams: demand.recentStreams, Slots: s.Engine.Slots,
	}
	for _, dc := range dataCentres(s, engines) {
		loc := location{s.Name, dc}
		counts := d.ordersFor(loc, engines)
		dataCentre := slugcapacity.DataCentre{Name: dc, Initial: counts.Initial, OrderedRegular: counts.Regular, OrderedCheap: counts.Cheap, CheapRefusedAt: d.unavailableAt[loc], RegularUnanswered: counts.RegularUnanswered, CheapUnanswered: counts.CheapUnanswered}
		for _, e := range engines {
			switch {
			case e.DataCentre != dc || e.Leaving:
			case e.Cheap:
				dataCentre.Cheap++
			default:
				dataCentre.Regular++
			}
		}
		dataCentre.CheapOverdue = dataCentre.Cheap < counts.Cheap && now.Sub(d.cheapOrderedAt[loc]) > s.Scaling.BootTime+delayAllowance
		// A new holder does not know when its predecessor ordered, so the leave timeout
		// runs from its own start at the earliest.
		sinceChange := min(now.Sub(d.startedAt), now.Sub(d.regularOrderedAt[loc]))
		dataCentre.RegularNotReleased = counts.Regular >= 0 && dataCentre.Regular > counts.Regular && sinceChange > leaveTimeout
		service.DataCentres = append(service.DataCentres, dataCentre)
	}
	return service
}

// peaks are the recent peaks of the demand for a service.
type peaks struct {
	prefillBusy, streams, recentStreams float64
}

// peakDemand returns the peaks of the demand for a service, including the current demand.
func (d *Duty) peakDemand(s slugname.Service, now time.Time) peaks {
	if d.prefillBusy[s] == nil {
		d.prefillBusy[s], d.streams[s] = slugpeak.New(demandMemory), slugpeak.New(demandMemory)
	}
	demand := d.cfg.Demand(s)
	busy, streams := d.prefillBusy[s], d.streams[s]
	busy.Add(demand.PrefillBusy, now)
	streams.Add(demand.Streams, now)
	return peaks{busy.Peak(demandMemory, now), streams.Peak(demandMemory, now), streams.Peak(recentDemand, now)}
}

// dataCentres returns the data centres where a service runs or may run, sorted.
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

// orderEndpoints records and sends the endpoint orders of a service. If reclaimable engines are
// refused, it plans once more, so that regular ones are ordered in their place at once: each
// second without the engines of a data centre makes a burst late.
func (d *Duty) orderEndpoints(ctx context.Context, grant *sluglease.Grant, s *slugrouting.Service, engines []slugregistry.Endpoint) error {
	for range 2 {
		refused, err := d.orderOnce(ctx, grant, s, engines)
		if err != nil || !refused {
			return err
		}
	}
	return nil
}

// orderOnce sends the endpoint orders that the plan requires now, and reports whether
// reclaimable engines were refused.
func (d *Duty) orderOnce(ctx context.Context, grant *sluglease.Grant, s *slugrouting.Service, engines []slugregistry.Endpoint) (refused bool, err error) {
	now := time.Now()
	input := d.planInput(s, engines, now)
	for _, o := range slugcapacity.Orders(input, now) {
		if err := d.order(ctx, grant, s, o, input); err != nil {
			return refused, err
		}
		refused = refused || o.Cheap && !d.unavailableAt[location{s.Name, o.DataCentre}].Before(now)
	}
	return refused, nil
}

// order records one order and sends it.
func (d *Duty) order(ctx context.Context, grant *sluglease.Grant, s *slugrouting.Service, o slugcapacity.Order, input slugcapacity.Service) error {
	loc := location{s.Name, o.DataCentre}
	previous, err := d.recordOrder(ctx, d.record.Write, loc, o, false)
	if err != nil {
		return err
	}
	if o.Cheap {
		d.cheapOrderedAt[loc] = time.Now()
	} else {
		d.regularOrderedAt[loc] = time.Now()
	}
	err = grant.Do(ctx, callTimeout, func(ctx context.Context) error {
		e := slugcommand.EndpointOrder{Service: s.Name, DataCentre: o.DataCentre, Count: o.Count, Cheap: o.Cheap}
		return d.cfg.Commands.OrderEndpoints(ctx, d.cfg.Do(grant), d.cfg.Address, e, d.cfg.HolderOf(grant))
	})
	fields := slugevent.Fields{"service": s.Name, "dataCentre": o.DataCentre, "count": o.Count, "cheap": o.Cheap, "reason": o.Reason, "fence": grant.Fence, "prefillBusy": fmt.Sprintf("%.2f", input.PeakPrefillBusy), "streams": fmt.Sprintf("%.1f", input.PeakStreams)}
	if err == nil {
		d.cfg.Log.Emit(slugevent.EndpointOrdered, fields)
		return nil
	}
	d.cfg.Log.Error(slugevent.OrderFailed, err, fields)
	if !errors.Is(err, slugcommand.ErrNoEndpoints) {
		_, err = d.recordOrder(ctx, d.record.WriteOutcome, loc, o, true)
		return err
	}
	// No endpoints were available: the previous order remains in effect and no engines
	// are starting.
	d.unavailableAt[loc] = time.Now()
	delete(d.cheapOrderedAt, loc)
	o.Count = previous
	_, err = d.recordOrder(ctx, d.record.WriteOutcome, loc, o, false)
	return err
}

// recordOrder stores an order and whether its outcome is unknown, and returns the number
// that was ordered before.
func (d *Duty) recordOrder(ctx context.Context, write func(context.Context, record) error, loc location, o slugcapacity.Order, unanswered bool) (previous int, err error) {
	locations := slices.Clone(d.record.Value.Locations)
	for i := range locations {
		if locations[i].location == loc {
			previous = locations[i].count(o.Cheap)
			locations[i].setCount(o.Cheap, o.Count, unanswered)
		}
	}
	return previous, write(ctx, d.next(locations))
}

// orderRoles sends the role changes that the plan requires.
func (d *Duty) orderRoles(ctx context.Context, grant *sluglease.Grant, s *slugrouting.Service, engines []slugregistry.Endpoint) {
	d.recordEngines(s.Name, engines)
	list := d.servingEngines(s, d.unlimited(s, engines))
	sizes := map[slugname.DataCentre]int{}
	for _, e := range list {
		sizes[e.DataCentre]++
	}
	decode := d.planInput(s, engines, time.Now()).DecodeEngines(sizes)
	changes := slugcapacity.RoleChanges(list, func(dc slugname.DataCentre, _ int) int { return decode[dc] })
	for _, c := range changes {
		if time.Since(d.roleOrderedAt[c.Engine]) >= roleRetryInterval {
			d.announceRole(s.Name, c)
		}
	}
	d.orderPendingRoles(ctx, grant, s, engines)
}

// announceRole tells hosts of a role change. An engine that has just appeared gets no requests
// yet, and is ordered at once.
func (d *Duty) announceRole(s slugname.Service, c slugcapacity.RoleChange) {
	due, seen := time.Now(), d.firstSeen[s][c.Engine]
	if due.Sub(seen) > newEngineTime || seen.Equal(d.startedAt) {
		due = due.Add(d.cfg.RoleNotice())
	}
	d.pendingRoles[c.Engine] = pendingRole{c.Role, due}
	d.cfg.OnRolePlanned(c.Engine, c.Role)
}

// orderPendingRoles sends the role changes of which hosts have been told.
func (d *Duty) orderPendingRoles(ctx context.Context, grant *sluglease.Grant, s *slugrouting.Service, engines []slugregistry.Endpoint) {
	for _, e := range engines {
		p, ok := d.pendingRoles[e.Name]
		if !ok || time.Now().Before(p.due) {
			continue
		}
		delete(d.pendingRoles, e.Name)
		if e.Role != p.role && !e.Leaving {
			d.setRole(ctx, grant, s, e, p.role)
		}
	}
}

// minUnlimited is the number of engines without a rate limit that the roles can be divided
// among: one for each role.
const minUnlimited = 2

// unlimited returns the engines that state no rate limit. Those with one keep their roles,
// and the work is divided among the others, unless there are too few.
func (d *Duty) unlimited(s *slugrouting.Service, engines []slugregistry.Endpoint) []slugregistry.Endpoint {
	if d.cfg.Limited == nil {
		return engines
	}
	limited := d.cfg.Limited(s.Name)
	if len(limited) == 0 {
		return engines
	}
	var out []slugregistry.Endpoint
	for _, e := range engines {
		if !slices.Contains(limited, e.Name) {
			out = append(out, e)
		}
	}
	if len(out) < minUnlimited {
		return engines
	}
	return out
}

// recordEngines records when the engines of a service were first seen. Those that the first
// review finds may serve already.
func (d *Duty) recordEngines(s slugname.Service, engines []slugregistry.Endpoint) {
	known, now := d.firstSeen[s], time.Now()
	if known == nil {
		now = d.startedAt
	}
	seen := make(map[slugname.Endpoint]time.Time, len(engines))
	for _, e := range engines {
		seen[e.Name] = now
		if at, ok := known[e.Name]; ok {
			seen[e.Name] = at
		}
	}
	d.firstSeen[s] = seen
}

// changing reports whether an engine was asked to take another role and may still be
// changing to it.
func (d *Duty) changing(s *slugrouting.Service, e slugregistry.Endpoint) bool {
	role, ok := d.orderedRole[e.Name]
	return ok && role != e.Role && time.Since(d.roleOrderedAt[e.Name]) < s.Engine.SwitchTime+delayAllowance
}

// servingEngines returns the engines that are not leaving, with their current role or
// the one that they are changing to, sorted by name.
func (d *Duty) servingEngines(s *slugrouting.Service, endpoints []slugregistry.Endpoint) []slugcapacity.Engine {
	var out []slugcapacity.Engine
	for _, e := range endpoints {
		if e.Leaving {
			continue
		}
		engine := slugcapacity.Engine{Name: e.Name, DataCentre: e.DataCentre, Role: e.Role, Cheap: e.Cheap}
		if d.changing(s, e) {
			engine.Role, engine.Changing = d.orderedRole[e.Name], true
		}
		if p, ok := d.pendingRoles[e.Name]; ok {
			engine.Role, engine.Changing = p.role, true
		}
		out = append(out, engine)
	}
	slices.SortFunc(out, func(a, b slugcapacity.Engine) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// setRole asks an engine to take a role, after reading how many orders it has accepted.
func (d *Duty) setRole(ctx context.Context, grant *sluglease.Grant, service *slugrouting.Service, endpoint slugregistry.Endpoint, role slugplan.Role) {
	d.roleOrderedAt[endpoint.Name] = time.Now()
	d.orderedRole[endpoint.Name] = role
	d.cfg.OnRolePlanned(endpoint.Name, role)
	fields := slugevent.Fields{"service": service.Name, "endpoint": endpoint.Name, "dataCentre": endpoint.DataCentre, "from": endpoint.Role, "to": role, "fence": grant.Fence}
	err := grant.Do(ctx, callTimeout, func(ctx context.Context) error {
		do := d.cfg.Do(grant)
		status, err := d.cfg.Commands.OrderStatus(ctx, do, endpoint.Address)
		if err != nil {
			return err
		}
		if status.Busy {
			return slugcommand.ErrBusy
		}
		fields["orders"] = status.AcceptedOrders
		o := slugcommand.RoleOrder{Endpoint: endpoint.Name, Address: endpoint.Address, Role: role, ExpectedOrders: status.AcceptedOrders}
		return d.cfg.Commands.SetRole(ctx, do, o, d.cfg.HolderOf(grant))
	})
	if err != nil {
		delete(d.orderedRole, endpoint.Name)
		d.cfg.Log.Error(slugevent.OrderFailed, err, fields)
		return
	}
	d.cfg.Log.Emit(slugevent.RoleChangePlanned, fields)
}

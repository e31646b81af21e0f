// Package slugroster does the roles duty of one service in one data centre: it
// lists the endpoints in the plan, drains those that are to change or to leave,
// and orders engines to change their role or to load a version.
//
// An engine changes in this order: the plan says draining; all live gates
// acknowledge and the engine is idle; the order goes into the journal; the order
// is sent; the engine's greeting shows the change; the plan says serving.
//
// # Usage
//
//	r := slugroster.New(slugroster.Config{Service: "assistant", DataCentre: "dc-1", ...})
//	err := lease.Run(ctx, r.Work)
package slugroster

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugjournal"
	"github.com/sassafraslug/sassafraslug/internal/authority/sluglease"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugorder"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugplatformapi"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

const (
	// roundInterval is the time between rounds.
	roundInterval = time.Second
	// greetTimeout bounds one greeting.
	greetTimeout = time.Second
	// greetEveryRounds is the number of rounds between greetings of a known engine.
	greetEveryRounds = 5
	// orderTimeout is the longest time of one order.
	orderTimeout = 5 * time.Second
	// planTimeout is the longest time of one write of the plan.
	planTimeout = 2 * time.Second
	// enginesPerChange is the number of engines for each change at a time.
	enginesPerChange = 8
	// plainConcurrency is the number of calls that a plain endpoint runs at a time.
	plainConcurrency = 64
)

// Change is a wanted change of one engine.
type Change struct {
	Endpoint slugname.Endpoint
	// Role is the wanted role, empty for no change of it.
	Role slugplan.Role
	// Version is the wanted version of the model, empty for no change of it.
	Version string
}

// Config makes a Roster.
type Config struct {
	Duty       sluglease.Duty
	Service    slugname.Service
	DataCentre slugname.DataCentre
	Self       slugname.Process
	Store      *slugstore.Store
	// Offering lists the endpoints of the data centre.
	Offering func(ctx context.Context) (slugplatformapi.Offering, error)
	// Greet asks an engine what it is.
	Greet func(ctx context.Context, address string) (slugorder.EngineInfo, error)
	// Send sends an order.
	Send func(ctx context.Context, address string, body json.RawMessage) error
	// Statuses returns the rows of all processes.
	Statuses func() []slugpeer.Status
	// Manifest returns the service as it is configured, nil when it is not.
	Manifest func() *slugmanifest.Service
	// Leaving reports whether an endpoint is to be drained.
	Leaving func(slugname.Endpoint) bool
	// Wanted returns the changes of roles that are wanted now; nil wants none.
	Wanted func(slugplan.Plan, time.Time) []Change
	// Ended reports whether a past holder has certainly ended.
	Ended func(sluglease.Predecessor) bool
	Log   *slugevent.Log
	// Decided is told of each decision with its inputs; it may be nil.
	Decided func(decision string, inputs map[string]float64)
	// Step is called between the steps of an order, for tests; it may be nil.
	Step func(string)
}

// engineState is what is known of one endpoint.
type engineState struct {
	greeting slugorder.EngineInfo
	greeted  bool
	rounds   int
	// drainingSince is the version of the plan that first said draining.
	drainingSince slugstore.Version
}

// Roster does the duty while it is held.
type Roster struct {
	cfg Config

	mu      sync.Mutex
	plan    slugplan.Plan
	version slugstore.Version
	engines map[slugname.Endpoint]*engineState
	changes map[slugname.Endpoint]Change
	journal *slugjournal.Journal
}

// New returns a Roster.
func New(cfg Config) *Roster {
	if cfg.Wanted == nil {
		cfg.Wanted = func(slugplan.Plan, time.Time) []Change { return nil }
	}
	if cfg.Decided == nil {
		cfg.Decided = func(string, map[string]float64) {}
	}
	if cfg.Step == nil {
		cfg.Step = func(string) {}
	}
	return &Roster{cfg: cfg}
}

// Plan returns the last plan.
func (r *Roster) Plan() slugplan.Plan {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.plan
}

// Work does the duty until ctx ends or something fails.
func (r *Roster) Work(ctx context.Context, right *sluglease.Right) error {
	if err := r.load(ctx, right); err != nil {
		return err
	}
	return slugbackoff.Every(ctx, roundInterval, func() error { return r.reconcile(ctx, right) })
}

// load reads everything again, and finishes what a predecessor wrote down.
func (r *Roster) load(ctx context.Context, right *sluglease.Right) error {
	r.engines = map[slugname.Endpoint]*engineState{}
	r.changes = map[slugname.Endpoint]Change{}
	o, err := r.cfg.Store.Get(ctx, r.planName())
	if err != nil {
		return err
	}
	var p slugplan.Plan
	if o.Body != nil {
		if err := o.Decode(&p); err != nil {
			return err
		}
	}
	r.mu.Lock()
	r.plan, r.version = p, o.Version
	r.mu.Unlock()
	r.cfg.Step("journal.open")
	if r.journal, err = slugjournal.Open(ctx, r.cfg.Store, r.cfg.Duty, right.Fence, r.cfg.Self); err != nil {
		return err
	}
	return nil
}

func (r *Roster) planName() string { return slugplan.Name(r.cfg.Service, r.cfg.DataCentre) }

// reconcile brings the plan up to date and moves the changes on.
func (r *Roster) reconcile(ctx context.Context, right *sluglease.Right) error {
	offering, err := r.cfg.Offering(ctx)
	if err != nil {
		return err
	}
	endpoints := r.serviceEndpoints(offering)
	r.greetAll(ctx, endpoints)
	if err := r.resendOutstanding(ctx, right, endpoints); err != nil {
		return err
	}
	right.ConfirmEnded(ctx, r.cfg.Ended)
	r.selectChanges(ctx, endpoints)
	if err := r.writePlan(ctx, right, endpoints); err != nil {
		return err
	}
	return r.orderIdle(ctx, right)
}

// serviceEndpoints returns the service's endpoints.
func (r *Roster) serviceEndpoints(o slugplatformapi.Offering) []slugplatformapi.Endpoint {
	return slices.DeleteFunc(o.Endpoints, func(e slugplatformapi.Endpoint) bool {
		return e.Service != r.cfg.Service || e.Address == ""
	})
}

// greetAll greets engines that are new, that are changing, and each now and then.
func (r *Roster) greetAll(ctx context.Context, endpoints []slugplatformapi.Endpoint) {
	var wg sync.WaitGroup
	for _, e := range endpoints {
		x := r.engines[e.Name]
		if x == nil {
			x = &engineState{}
			r.engines[e.Name] = x
		}
		x.rounds++
		if e.Kind != slugmanifest.KindEngine || x.greeted && x.rounds%greetEveryRounds != 0 && x.drainingSince == 0 {
			continue
		}
		wg.Go(func() { r.greet(ctx, x, e.Address) })
	}
	wg.Wait()
}

func (r *Roster) greet(ctx context.Context, x *engineState, address string) {
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	if g, err := r.cfg.Greet(ctx, address); err == nil {
		x.greeting, x.greeted = g, true
	}
}

// selectChanges takes up wanted changes, a few at a time, and drops those that are no
// longer wanted.
func (r *Roster) selectChanges(ctx context.Context, endpoints []slugplatformapi.Endpoint) {
	wanted := r.wantedChanges(endpoints)
	for e, c := range r.changes {
		if !slices.Contains(wanted, c) {
			delete(r.changes, e)
		}
	}
	pending := slices.DeleteFunc(slices.Clone(wanted), func(c Change) bool {
		_, busy := r.changes[c.Endpoint]
		x := r.engines[c.Endpoint]
		return busy || x == nil || !x.greeted || r.satisfied(c, x)
	})
	if len(pending) == 0 {
		return
	}
	limit := r.changeAllowance(ctx)
	for _, c := range pending[:max(0, min(len(pending), limit))] {
		r.changes[c.Endpoint] = c
		r.cfg.Decided("change "+string(c.Endpoint)+" to version "+c.Version+" "+string(c.Role), map[string]float64{
			"engines": float64(len(endpoints)), "changesAtATime": float64(limit), "changing": float64(len(r.changes)),
		})
		r.cfg.Log.Emit(slugevent.RoleChangePlanned, slugevent.Fields{
			"endpoint": c.Endpoint, "role": c.Role, "version": c.Version,
		})
	}
}

// changeTurn is the time in which one data centre after the other may begin changes, so
// that each sees what the others have begun.
const changeTurn = 4 * time.Second

// changeAllowance returns how many changes may begin now. Over all data centres only a part of a
// service's engines changes at a time, though each data centre has its own holder.
func (r *Roster) changeAllowance(ctx context.Context) int {
	objects, err := r.cfg.Store.List(ctx, slugplan.Prefix+string(r.cfg.Service)+"/")
	if err != nil {
		return 0
	}
	engines, changing, turn, plans := 0, len(r.changes), -1, 0
	for _, o := range objects {
		var p slugplan.Plan
		if o.Body == nil || o.Decode(&p) != nil {
			continue
		}
		if p.DataCentre == r.cfg.DataCentre {
			turn = plans
		}
		plans++
		engines += len(p.Endpoints)
		for _, e := range p.Endpoints {
			if e.State == slugplan.StateDraining && p.DataCentre != r.cfg.DataCentre {
				changing++
			}
		}
	}
	if turn < 0 || int(time.Now().Unix()/int64(changeTurn/time.Second))%plans != turn {
		return 0
	}
	return max(1, engines/enginesPerChange) - changing
}

// wantedChanges returns the versions that the manifest wants, then the wantedChanges roles.
func (r *Roster) wantedChanges(endpoints []slugplatformapi.Endpoint) []Change {
	var out []Change
	if s := r.cfg.Manifest(); s != nil && s.Version != "" {
		for _, e := range endpoints {
			out = append(out, Change{Endpoint: e.Name, Version: s.Version})
		}
	}
	return append(out, r.cfg.Wanted(r.Plan(), time.Now())...)
}

// satisfied reports whether an engine is as a change wants it.
func (r *Roster) satisfied(c Change, x *engineState) bool {
	return (c.Role == "" || c.Role == x.greeting.Role) && (c.Version == "" || c.Version == x.greeting.Version)
}

// writePlan writes the plan if it has changed.
func (r *Roster) writePlan(ctx context.Context, right *sluglease.Right, endpoints []slugplatformapi.Endpoint) error {
	next := slugplan.Plan{Service: r.cfg.Service, DataCentre: r.cfg.DataCentre, Fence: uint64(right.Fence), Endpoints: []slugplan.Endpoint{}}
	for _, e := range endpoints {
		if p, ok := r.planEntry(e); ok {
			next.Endpoints = append(next.Endpoints, p)
		}
	}
	if r.version != 0 && slices.Equal(next.Endpoints, r.plan.Endpoints) {
		// A predecessor may have written this plan.
		r.recordDraining(r.version)
		return nil
	}
	return right.Do(ctx, planTimeout, func(ctx context.Context) error {
		version, err := r.cfg.Store.Put(ctx, r.planName(), r.version, next)
		if err != nil {
			return err
		}
		r.mu.Lock()
		r.plan, r.version = next, version
		r.mu.Unlock()
		r.recordDraining(version)
		return nil
	})
}

// planEntry returns an endpoint's line of the plan. An engine that never answered a
// greeting is left out.
func (r *Roster) planEntry(e slugplatformapi.Endpoint) (slugplan.Endpoint, bool) {
	x := r.engines[e.Name]
	p := slugplan.Endpoint{Name: e.Name, Address: e.Address, Kind: e.Kind, Cheap: e.Cheap, State: slugplan.StateServing, Streams: plainConcurrency}
	if e.Kind == slugmanifest.KindEngine {
		if !x.greeted {
			return p, false
		}
		g := x.greeting
		p.Role, p.Version, p.Streams, p.Pieces, p.TokensPerPiece, p.Speed = g.Role, g.Version, g.MaxStreams, g.Pieces, g.TokensPerPiece, g.Speed()
	}
	switch _, changing := r.changes[e.Name]; {
	case e.Leaving || r.cfg.Leaving(e.Name):
		p.State = slugplan.StateLeaving
	case changing:
		p.State = slugplan.StateDraining
	}
	return p, true
}

// recordDraining notes since which version of the plan each change is draining.
func (r *Roster) recordDraining(version slugstore.Version) {
	for _, e := range r.plan.Endpoints {
		x := r.engines[e.Name]
		switch {
		case e.State == slugplan.StateServing:
			x.drainingSince = 0
		case x.drainingSince == 0:
			x.drainingSince = version
		}
	}
}

// Drained reports whether all live gates act on a version of a plan and have no
// request at the endpoint.
func Drained(statuses []slugpeer.Status, plan string, version slugstore.Version, e slugname.Endpoint) bool {
	for _, s := range statuses {
		if s.Kind != "gate" || !s.Alive {
			continue
		}
		if s.Plans[plan] < version || s.Busy[e] > 0 {
			return false
		}
	}
	return true
}

// orderIdle orders the changes whose engines are idle.
func (r *Roster) orderIdle(ctx context.Context, right *sluglease.Right) error {
	for _, e := range r.plan.Endpoints {
		c, ok := r.changes[e.Name]
		x := r.engines[e.Name]
		if !ok || x.drainingSince == 0 {
			continue
		}
		if r.satisfied(c, x) {
			delete(r.changes, e.Name)
			continue
		}
		if !Drained(r.cfg.Statuses(), r.planName(), x.drainingSince, e.Name) {
			continue
		}
		// The engine's own word must be newer than the acknowledgements.
		if r.greet(ctx, x, e.Address); !x.greeting.Idle {
			continue
		}
		if err := r.journalAndSend(ctx, right, e, x, c); err != nil {
			return err
		}
	}
	return nil
}

// journalAndSend writes one journalAndSend down and sends it.
func (r *Roster) journalAndSend(ctx context.Context, right *sluglease.Right, e slugplan.Endpoint, x *engineState, c Change) error {
	if !r.maySend(right, x) {
		r.cfg.Log.Emit(slugevent.OrderWithheld, slugevent.Fields{"endpoint": e.Name, "duty": r.cfg.Duty})
		delete(r.changes, e.Name)
		return nil
	}
	r.cfg.Step("order.journal")
	o, err := r.journal.Add(ctx, slugjournal.Target(e.Name), e.Address, func(n slugjournal.Number) (json.RawMessage, error) {
		order := slugorder.Order{Number: n, Fence: right.Fence, Holder: r.cfg.Self, Action: slugorder.ActionSetRole, Role: c.Role}
		if c.Version != "" && c.Version != x.greeting.Version {
			order.Action, order.Role, order.Version = slugorder.ActionLoad, "", c.Version
		}
		return json.Marshal(order)
	})
	if err != nil {
		return err
	}
	r.cfg.Log.Emit(slugevent.OrderJournaled, slugevent.Fields{"order": o.Number, "endpoint": e.Name})
	return r.send(ctx, right, o, x)
}

// maySend reports whether a new order may go to an engine. One that does not check
// fences gets none while a past holder may still send.
func (r *Roster) maySend(right *sluglease.Right, x *engineState) bool {
	return x.greeting.ChecksFences || len(right.Unconfirmed()) == 0
}

// send sends a journaled order and writes its outcome down.
func (r *Roster) send(ctx context.Context, right *sluglease.Right, o slugjournal.Order, x *engineState) error {
	err := right.Do(ctx, orderTimeout, func(ctx context.Context) error {
		r.cfg.Step("order.send")
		return r.cfg.Send(ctx, o.Address, o.Body)
	})
	r.cfg.Step("order.sent")
	switch {
	case errors.Is(err, slugorder.ErrFenced) && o.Fence < right.Fence:
		return r.journal.Finish(ctx, o, "superseded")
	case errors.Is(err, slugorder.ErrFenced):
		return err
	case errors.Is(err, slugorder.ErrRefused):
		r.cfg.Log.Error(slugevent.OrderFailed, err, slugevent.Fields{"order": o.Number, "peer": o.Address})
		return r.journal.Finish(ctx, o, "refused")
	case err != nil:
		r.cfg.Log.Error(slugevent.OrderFailed, err, slugevent.Fields{"order": o.Number, "peer": o.Address})
		return nil
	}
	r.cfg.Log.Emit(slugevent.OrderDone, slugevent.Fields{"order": o.Number, "peer": o.Address})
	r.greet(ctx, x, o.Address)
	return r.journal.Finish(ctx, o, "done")
}

// resendOutstanding sends orders without an outcome again, unchanged. An order for
// an endpoint that is gone is given up.
func (r *Roster) resendOutstanding(ctx context.Context, right *sluglease.Right, endpoints []slugplatformapi.Endpoint) error {
	for _, o := range r.journal.Outstanding() {
		x := r.engines[slugname.Endpoint(o.Target)]
		listed := slices.ContainsFunc(endpoints, func(e slugplatformapi.Endpoint) bool { return slugjournal.Target(e.Name) == o.Target })
		if !listed || x == nil {
			if err := r.journal.Finish(ctx, o, "endpoint gone"); err != nil {
				return err
			}
			continue
		}
		if err := r.send(ctx, right, o, x); err != nil {
			return err
		}
	}
	return nil
}

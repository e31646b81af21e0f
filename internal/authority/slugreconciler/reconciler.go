// Package slugreconciler performs the roles duty of one service in one data centre: it lists
// the endpoints in the plan, drains those that are to change or to leave, and orders engines
// to change their role or to load a model version.
//
// A change takes these steps: the plan marks the engine as draining; all live gates
// acknowledge the plan and the engine is idle; the order is journaled; the order is sent; the
// engine reports the change; the plan marks the engine as serving.
//
// # Usage
//
//	r := slugreconciler.New(slugreconciler.Config{Service: "assistant", DataCentre: "dc-1", ...})
//	err := lease.Run(ctx, r.Run)
package slugreconciler

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
	// roundInterval is the pause between two calls of reconcile.
	roundInterval = time.Second
	// refreshTimeout bounds one request for the description of an engine.
	refreshTimeout = time.Second
	// refreshEveryRounds is the number of rounds between requests for the description of
	// a known engine that is not draining.
	refreshEveryRounds = 5
	// orderTimeout bounds the request that sends one order.
	orderTimeout = 5 * time.Second
	// planTimeout bounds one write of the plan.
	planTimeout = 2 * time.Second
	// enginesPerChange limits the changes in progress: one for every so many engines of a
	// service, and always at least one.
	enginesPerChange = 8
	// plainConcurrency is the number of concurrent requests that a plain endpoint gets.
	plainConcurrency = 64
)

// Change is a requested change of one engine.
type Change struct {
	Endpoint slugname.Endpoint
	// Role is the requested role; empty keeps the role.
	Role slugplan.Role
	// Version is the requested model version; empty keeps the version.
	Version string
}

// Config configures a Reconciler.
type Config struct {
	Duty       sluglease.Duty
	Service    slugname.Service
	DataCentre slugname.DataCentre
	Self       slugname.Process
	Store      *slugstore.Store
	// Offering lists the endpoints of the data centre.
	Offering func(ctx context.Context) (slugplatformapi.Offering, error)
	// ReadInfo reads the description of an engine.
	ReadInfo func(ctx context.Context, address string) (slugorder.EngineInfo, error)
	// Send sends an order to an engine.
	Send func(ctx context.Context, address string, body json.RawMessage) error
	// Statuses returns the status of every process.
	Statuses func() []slugpeer.Status
	// Manifest returns the service in the manifest, or nil if it is not configured.
	Manifest func() *slugmanifest.Service
	// IsDraining reports whether an endpoint is being drained.
	IsDraining func(slugname.Endpoint) bool
	// Wanted returns the requested role changes; a nil function requests none.
	Wanted func(slugplan.Plan, time.Time) []Change
	// PredecessorEnded reports whether a past holder has certainly ended.
	PredecessorEnded func(sluglease.Predecessor) bool
	Log              *slugevent.Log
	// OnDecision is called with each decision and its inputs; it may be nil.
	OnDecision func(decision string, inputs map[string]float64)
	// OnStep is called between the steps of an order, for tests; it may be nil.
	OnStep func(string)
}

// engineState is what is known of an endpoint.
type engineState struct {
	info slugorder.EngineInfo
	// known reports that the engine has described itself at least once.
	known bool
	// rounds is the number of calls of reconcile in which the endpoint was listed.
	rounds int
	// drainingSince is the first version of the plan that marks the engine as draining,
	// or 0.
	drainingSince slugstore.Version
}

// Reconciler performs the duty while the lease is held.
type Reconciler struct {
	cfg Config

	mu      sync.Mutex
	plan    slugplan.Plan
	version slugstore.Version
	engines map[slugname.Endpoint]*engineState
	changes map[slugname.Endpoint]Change
	journal *slugjournal.Journal
}

// New returns a Reconciler.
func New(cfg Config) *Reconciler {
	if cfg.Wanted == nil {
		cfg.Wanted = func(slugplan.Plan, time.Time) []Change { return nil }
	}
	if cfg.OnDecision == nil {
		cfg.OnDecision = func(string, map[string]float64) {}
	}
	if cfg.OnStep == nil {
		cfg.OnStep = func(string) {}
	}
	return &Reconciler{cfg: cfg}
}

// Plan returns the last plan that was read or written.
func (r *Reconciler) Plan() slugplan.Plan {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.plan
}

// Run performs the duty until ctx ends or a round fails.
func (r *Reconciler) Run(ctx context.Context, grant *sluglease.Grant) error {
	if err := r.load(ctx, grant); err != nil {
		return err
	}
	return slugbackoff.Every(ctx, roundInterval, func() error { return r.reconcile(ctx, grant) })
}

// load discards what is known of the engines, reads the plan and takes over the journal.
func (r *Reconciler) load(ctx context.Context, grant *sluglease.Grant) error {
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
	r.cfg.OnStep("journal.open")
	if r.journal, err = slugjournal.Open(ctx, r.cfg.Store, r.cfg.Duty, grant.Fence, r.cfg.Self); err != nil {
		return err
	}
	return nil
}

// planName returns the name of the plan object.
func (r *Reconciler) planName() string { return slugplan.Name(r.cfg.Service, r.cfg.DataCentre) }

// reconcile updates the plan and advances the changes.
func (r *Reconciler) reconcile(ctx context.Context, grant *sluglease.Grant) error {
	offering, err := r.cfg.Offering(ctx)
	if err != nil {
		return err
	}
	endpoints := r.serviceEndpoints(offering)
	r.refreshAll(ctx, endpoints)
	if err := r.resendOutstanding(ctx, grant, endpoints); err != nil {
		return err
	}
	grant.ConfirmEnded(ctx, r.cfg.PredecessorEnded)
	r.selectChanges(ctx, endpoints)
	if err := r.writePlan(ctx, grant, endpoints); err != nil {
		return err
	}
	return r.orderIdle(ctx, grant)
}

// serviceEndpoints returns the endpoints of the service that have an address.
func (r *Reconciler) serviceEndpoints(o slugplatformapi.Offering) []slugplatformapi.Endpoint {
	return slices.DeleteFunc(o.Endpoints, func(e slugplatformapi.Endpoint) bool {
		return e.Service != r.cfg.Service || e.Address == ""
	})
}

// refreshAll reads the descriptions of new and draining engines, and those of the other
// engines every refreshEveryRounds rounds.
func (r *Reconciler) refreshAll(ctx context.Context, endpoints []slugplatformapi.Endpoint) {
	var wg sync.WaitGroup
	for _, e := range endpoints {
		state := r.engines[e.Name]
		if state == nil {
			state = &engineState{}
			r.engines[e.Name] = state
		}
		state.rounds++
		if e.Kind != slugmanifest.KindEngine || state.known && state.rounds%refreshEveryRounds != 0 && state.drainingSince == 0 {
			continue
		}
		wg.Go(func() { r.refresh(ctx, state, e.Address) })
	}
	wg.Wait()
}

// refresh reads the description of an engine. If that fails, the last known description
// remains.
func (r *Reconciler) refresh(ctx context.Context, state *engineState, address string) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if engineInfo, err := r.cfg.ReadInfo(ctx, address); err == nil {
		state.info, state.known = engineInfo, true
	}
}

// selectChanges drops changes that are no longer requested and starts as many of the
// others as changeAllowance permits.
func (r *Reconciler) selectChanges(ctx context.Context, endpoints []slugplatformapi.Endpoint) {
	wanted := r.wantedChanges(endpoints)
	for e, c := range r.changes {
		if !slices.Contains(wanted, c) {
			delete(r.changes, e)
		}
	}
	pending := slices.DeleteFunc(slices.Clone(wanted), func(c Change) bool {
		_, busy := r.changes[c.Endpoint]
		state := r.engines[c.Endpoint]
		return busy || state == nil || !state.known || r.satisfied(c, state)
	})
	if len(pending) == 0 {
		return
	}
	limit := r.changeAllowance(ctx)
	for _, c := range pending[:max(0, min(len(pending), limit))] {
		r.changes[c.Endpoint] = c
		r.cfg.OnDecision("change "+string(c.Endpoint)+" to version "+c.Version+" "+string(c.Role), map[string]float64{
			"engines": float64(len(endpoints)), "changesAtATime": float64(limit), "changing": float64(len(r.changes)),
		})
		r.cfg.Log.Emit(slugevent.RoleChangePlanned, slugevent.Fields{
			"endpoint": c.Endpoint, "role": c.Role, "version": c.Version,
		})
	}
}

// changeTurn is the length of the time slot in which one data centre may start changes. The
// data centres take turns so that each sees the changes that the others have started.
const changeTurn = 4 * time.Second

// changeAllowance returns how many changes may start now; it may be negative. The limit
// applies to the engines of the service in all data centres together, although each data
// centre has its own holder of the duty.
func (r *Reconciler) changeAllowance(ctx context.Context) int {
	objects, err := r.cfg.Store.List(ctx, slugplan.Prefix+string(r.cfg.Service)+"/")
	if err != nil {
		return 0
	}
	engines, changing, ownIndex, planCount := 0, len(r.changes), -1, 0
	for _, o := range objects {
		var p slugplan.Plan
		if o.Body == nil || o.Decode(&p) != nil {
			continue
		}
		if p.DataCentre == r.cfg.DataCentre {
			ownIndex = planCount
		}
		planCount++
		engines += len(p.Endpoints)
		for _, e := range p.Endpoints {
			if e.State == slugplan.StateDraining && p.DataCentre != r.cfg.DataCentre {
				changing++
			}
		}
	}
	if ownIndex < 0 || int(time.Now().Unix()/int64(changeTurn/time.Second))%planCount != ownIndex {
		return 0
	}
	return max(1, engines/enginesPerChange) - changing
}

// wantedChanges returns the version changes that the manifest requires, followed by the
// requested role changes.
func (r *Reconciler) wantedChanges(endpoints []slugplatformapi.Endpoint) []Change {
	var out []Change
	if s := r.cfg.Manifest(); s != nil && s.Version != "" {
		for _, e := range endpoints {
			out = append(out, Change{Endpoint: e.Name, Version: s.Version})
		}
	}
	return append(out, r.cfg.Wanted(r.Plan(), time.Now())...)
}

// satisfied reports whether an engine already has the requested role and version.
func (r *Reconciler) satisfied(c Change, state *engineState) bool {
	return (c.Role == "" || c.Role == state.info.Role) && (c.Version == "" || c.Version == state.info.Version)
}

// writePlan writes the plan if its endpoints have changed.
func (r *Reconciler) writePlan(ctx context.Context, grant *sluglease.Grant, endpoints []slugplatformapi.Endpoint) error {
	next := slugplan.Plan{Service: r.cfg.Service, DataCentre: r.cfg.DataCentre, Fence: uint64(grant.Fence), Endpoints: []slugplan.Endpoint{}}
	for _, e := range endpoints {
		if entry, ok := r.planEntry(e); ok {
			next.Endpoints = append(next.Endpoints, entry)
		}
	}
	if r.version != 0 && slices.Equal(next.Endpoints, r.plan.Endpoints) {
		// The plan may have been written by a predecessor.
		r.recordDraining(r.version)
		return nil
	}
	return grant.Do(ctx, planTimeout, func(ctx context.Context) error {
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

// planEntry returns the plan entry of an endpoint. An engine that has never described
// itself is left out.
func (r *Reconciler) planEntry(e slugplatformapi.Endpoint) (slugplan.Endpoint, bool) {
	state := r.engines[e.Name]
	entry := slugplan.Endpoint{Name: e.Name, Address: e.Address, Kind: e.Kind, Cheap: e.Cheap, State: slugplan.StateServing, Streams: plainConcurrency}
	if e.Kind == slugmanifest.KindEngine {
		if !state.known {
			return entry, false
		}
		engineInfo := state.info
		entry.Role, entry.Version, entry.Streams, entry.Pieces, entry.TokensPerPiece, entry.Speed = engineInfo.Role, engineInfo.Version, engineInfo.MaxStreams, engineInfo.Pieces, engineInfo.TokensPerPiece, engineInfo.Speed()
	}
	switch _, changing := r.changes[e.Name]; {
	case e.Leaving || r.cfg.IsDraining(e.Name):
		entry.State = slugplan.StateLeaving
	case changing:
		entry.State = slugplan.StateDraining
	}
	return entry, true
}

// recordDraining records for each endpoint the version of the plan since which it is
// draining or leaving.
func (r *Reconciler) recordDraining(version slugstore.Version) {
	for _, e := range r.plan.Endpoints {
		state := r.engines[e.Name]
		switch {
		case e.State == slugplan.StateServing:
			state.drainingSince = 0
		case state.drainingSince == 0:
			state.drainingSince = version
		}
	}
}

// Drained reports whether every live gate has applied the given version of a plan, or a
// later one, and has no request at the endpoint.
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

// orderIdle sends the orders for changes whose engines are drained and idle.
func (r *Reconciler) orderIdle(ctx context.Context, grant *sluglease.Grant) error {
	for _, e := range r.plan.Endpoints {
		change, ok := r.changes[e.Name]
		state := r.engines[e.Name]
		if !ok || state.drainingSince == 0 {
			continue
		}
		if r.satisfied(change, state) {
			delete(r.changes, e.Name)
			continue
		}
		if !Drained(r.cfg.Statuses(), r.planName(), state.drainingSince, e.Name) {
			continue
		}
		// The description must be newer than the acknowledgements of the gates.
		if r.refresh(ctx, state, e.Address); !state.info.Idle {
			continue
		}
		if err := r.journalAndSend(ctx, grant, e, state, change); err != nil {
			return err
		}
	}
	return nil
}

// journalAndSend records an order in the journal and sends it.
func (r *Reconciler) journalAndSend(ctx context.Context, grant *sluglease.Grant, endpoint slugplan.Endpoint, state *engineState, change Change) error {
	if !r.maySend(grant, state) {
		r.cfg.Log.Emit(slugevent.OrderWithheld, slugevent.Fields{"endpoint": endpoint.Name, "duty": r.cfg.Duty})
		delete(r.changes, endpoint.Name)
		return nil
	}
	r.cfg.OnStep("order.journal")
	o, err := r.journal.Add(ctx, slugjournal.Target(endpoint.Name), endpoint.Address, func(n slugjournal.Number) (json.RawMessage, error) {
		order := slugorder.Order{Number: n, Fence: grant.Fence, Holder: r.cfg.Self, Action: slugorder.ActionSetRole, Role: change.Role}
		if change.Version != "" && change.Version != state.info.Version {
			order.Action, order.Role, order.Version = slugorder.ActionLoad, "", change.Version
		}
		return json.Marshal(order)
	})
	if err != nil {
		return err
	}
	r.cfg.Log.Emit(slugevent.OrderJournaled, slugevent.Fields{"order": o.Number, "endpoint": endpoint.Name})
	return r.send(ctx, grant, o, state)
}

// maySend reports whether a new order may be sent to an engine. An engine that does not
// check fences gets none while a past holder might still send one.
func (r *Reconciler) maySend(grant *sluglease.Grant, state *engineState) bool {
	return state.info.ChecksFences || len(grant.Unconfirmed()) == 0
}

// send sends a journaled order and records its outcome. An order that failed without a
// definite response stays outstanding.
func (r *Reconciler) send(ctx context.Context, grant *sluglease.Grant, o slugjournal.Order, state *engineState) error {
	err := grant.Do(ctx, orderTimeout, func(ctx context.Context) error {
		r.cfg.OnStep("order.send")
		return r.cfg.Send(ctx, o.Address, o.Body)
	})
	r.cfg.OnStep("order.sent")
	switch {
	case errors.Is(err, slugorder.ErrFenced) && o.Fence < grant.Fence:
		return r.journal.Finish(ctx, o, "superseded")
	case errors.Is(err, slugorder.ErrFenced):
		// The engine has seen a higher fence, so another process holds the duty.
		return err
	case errors.Is(err, slugorder.ErrRefused):
		r.cfg.Log.Error(slugevent.OrderFailed, err, slugevent.Fields{"order": o.Number, "peer": o.Address})
		return r.journal.Finish(ctx, o, "refused")
	case err != nil:
		r.cfg.Log.Error(slugevent.OrderFailed, err, slugevent.Fields{"order": o.Number, "peer": o.Address})
		return nil
	}
	r.cfg.Log.Emit(slugevent.OrderDone, slugevent.Fields{"order": o.Number, "peer": o.Address})
	r.refresh(ctx, state, o.Address)
	return r.journal.Finish(ctx, o, "done")
}

// resendOutstanding resends the outstanding orders unchanged. Orders for endpoints that
// are no longer listed are finished without sending.
func (r *Reconciler) resendOutstanding(ctx context.Context, grant *sluglease.Grant, endpoints []slugplatformapi.Endpoint) error {
	for _, o := range r.journal.Outstanding() {
		state := r.engines[slugname.Endpoint(o.Target)]
		listed := slices.ContainsFunc(endpoints, func(e slugplatformapi.Endpoint) bool { return slugjournal.Target(e.Name) == o.Target })
		if !listed || state == nil {
			if err := r.journal.Finish(ctx, o, "endpoint gone"); err != nil {
				return err
			}
			continue
		}
		if err := r.send(ctx, grant, o, state); err != nil {
			return err
		}
	}
	return nil
}

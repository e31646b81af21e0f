// Package slugprovisioner performs the ordering duty of one region: it orders endpoints that
// services need and releases those that are not needed.
//
// # Usage
//
//	p := slugprovisioner.New(slugprovisioner.Config{Region: "north", ...})
//	err := lease.Run(ctx, p.Run)
package slugprovisioner

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugintent"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugjournal"
	"github.com/sassafraslug/sassafraslug/internal/authority/sluglease"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugplatformapi"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

const (
	// roundInterval is the pause between two calls of reconcile.
	roundInterval = time.Second
	// orderTimeout bounds the request that sends one order.
	orderTimeout = 4 * time.Second
	// retryDelay is how long no new endpoint is ordered in a data centre after it had
	// none available.
	retryDelay = 10 * time.Second
)

// Need is the number of endpoints that a service needs in a data centre.
type Need struct {
	Service slugname.Service
	Kind    slugmanifest.ServiceKind
	// Regular and Cheap are the needed numbers of endpoints at each price.
	Regular int
	Cheap   int
}

// Config configures a Provisioner.
type Config struct {
	Duty   sluglease.Duty
	Region slugname.Region
	Self   slugname.Process
	Store  *slugstore.Store
	// DataCentres returns the data centres of the region.
	DataCentres func() []slugname.DataCentre
	// Needs returns the endpoints that the services need in a data centre, given those
	// that it has.
	Needs    func(d slugname.DataCentre, have []slugplatformapi.Endpoint, now time.Time) []Need
	Offering func(ctx context.Context, d slugname.DataCentre) (slugplatformapi.Offering, error)
	Order    func(ctx context.Context, d slugname.DataCentre, body json.RawMessage) (slugplatformapi.Endpoint, error)
	Intent   *slugintent.Intent
	// Drained reports whether the endpoint is idle and no gate sends to it any more.
	Drained func(ctx context.Context, e slugplatformapi.Endpoint) bool
	// PredecessorEnded reports whether a past holder has certainly ended.
	PredecessorEnded func(sluglease.Predecessor) bool
	Log              *slugevent.Log
	// OnDecision is called with each decision and its inputs; it may be nil.
	OnDecision func(decision string, inputs map[string]float64)
	// OnStep is called between the steps of an order, for tests; it may be nil.
	OnStep func(string)
}

// Provisioner performs the duty while the lease is held.
type Provisioner struct {
	cfg     Config
	journal *slugjournal.Journal

	mu sync.Mutex
	// retryAt is the time before which no new endpoint is ordered in a data centre.
	retryAt map[slugname.DataCentre]time.Time
	// listed are the endpoints of each data centre as last listed.
	listed map[slugname.DataCentre][]slugplatformapi.Endpoint
}

// New returns a Provisioner.
func New(cfg Config) *Provisioner {
	if cfg.OnDecision == nil {
		cfg.OnDecision = func(string, map[string]float64) {}
	}
	if cfg.OnStep == nil {
		cfg.OnStep = func(string) {}
	}
	return &Provisioner{cfg: cfg, retryAt: map[slugname.DataCentre]time.Time{}, listed: map[slugname.DataCentre][]slugplatformapi.Endpoint{}}
}

// order is the body of an order for an endpoint.
type order struct {
	Number     slugjournal.Number       `json:"number"`
	Fence      sluglease.Fence          `json:"fence"`
	Holder     slugname.Process         `json:"holder"`
	Action     string                   `json:"action"`
	Service    slugname.Service         `json:"service,omitempty"`
	Kind       slugmanifest.ServiceKind `json:"kind,omitempty"`
	Cheap      bool                     `json:"cheap,omitempty"`
	Endpoint   slugname.Endpoint        `json:"endpoint,omitempty"`
	DataCentre slugname.DataCentre      `json:"dataCentre"`
}

// Run performs the duty until ctx ends or a round fails.
func (p *Provisioner) Run(ctx context.Context, grant *sluglease.Grant) error {
	var err error
	p.cfg.OnStep("journal.open")
	if p.journal, err = slugjournal.Open(ctx, p.cfg.Store, p.cfg.Duty, grant.Fence, p.cfg.Self); err != nil {
		return err
	}
	return slugbackoff.Every(ctx, roundInterval, func() error { return p.reconcile(ctx, grant) })
}

// reconcile sends at most one order for each data centre and updates the releases of the
// region.
func (p *Provisioner) reconcile(ctx context.Context, grant *sluglease.Grant) error {
	grant.ConfirmEnded(ctx, p.cfg.PredecessorEnded)
	var release []slugname.Endpoint
	var roundErr error
	for _, d := range p.cfg.DataCentres() {
		r, err := p.reconcileDataCentre(ctx, grant, d)
		release = append(release, r...)
		if errors.Is(err, slugjournal.ErrSuperseded) || errors.Is(err, sluglease.ErrExpired) {
			return err
		}
		roundErr = errors.CombineErrors(roundErr, err)
	}
	slices.Sort(release)
	if err := p.cfg.Intent.SetReleases(ctx, p.cfg.Region, slugintent.Releases{Endpoints: release}); err != nil {
		return err
	}
	return roundErr
}

// reconcileDataCentre sends at most one order for a data centre and returns the
// endpoints that are to be released. An outstanding order is resent before any new one.
func (p *Provisioner) reconcileDataCentre(ctx context.Context, grant *sluglease.Grant, d slugname.DataCentre) ([]slugname.Endpoint, error) {
	offering, err := p.cfg.Offering(ctx, d)
	if err != nil {
		return p.currentReleases(d), err
	}
	p.mu.Lock()
	p.listed[d] = offering.Endpoints
	p.mu.Unlock()
	if pendingOrder := p.outstanding(d); pendingOrder != nil {
		return p.currentReleases(d), p.send(ctx, grant, d, *pendingOrder)
	}
	missing, surplus := diffNeeds(p.cfg.Needs(d, offering.Endpoints, time.Now()), offering.Endpoints)
	release := endpointNames(surplus)
	if !p.maySend(grant, offering) {
		p.cfg.Log.Emit(slugevent.OrderWithheld, slugevent.Fields{"dataCentre": d, "duty": p.cfg.Duty})
		return release, nil
	}
	for _, e := range surplus {
		if slices.Contains(p.cfg.Intent.Releases(p.cfg.Region), e.Name) && p.cfg.Drained(ctx, e) {
			return release, p.journalAndSend(ctx, grant, d, order{Action: "release", Endpoint: e.Name, Service: e.Service})
		}
	}
	if len(missing) > 0 && !time.Now().Before(p.retryAt[d]) {
		return release, p.journalAndSend(ctx, grant, d, missing[0])
	}
	return release, nil
}

// currentReleases returns the endpoints of a data centre that are already being
// released.
func (p *Provisioner) currentReleases(d slugname.DataCentre) []slugname.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []slugname.Endpoint
	for _, e := range p.cfg.Intent.Releases(p.cfg.Region) {
		if slices.ContainsFunc(p.listed[d], func(x slugplatformapi.Endpoint) bool { return x.Name == e }) {
			out = append(out, e)
		}
	}
	return out
}

// endpointNames returns the names of endpoints.
func endpointNames(endpoints []slugplatformapi.Endpoint) []slugname.Endpoint {
	out := make([]slugname.Endpoint, len(endpoints))
	for i, e := range endpoints {
		out[i] = e.Name
	}
	return out
}

// diffNeeds returns the orders for missing endpoints and the endpoints that are not
// needed.
func diffNeeds(needs []Need, have []slugplatformapi.Endpoint) (missing []order, surplus []slugplatformapi.Endpoint) {
	for _, n := range needs {
		for _, cheap := range []bool{false, true} {
			wanted := n.Regular
			if cheap {
				wanted = n.Cheap
			}
			var present []slugplatformapi.Endpoint
			for _, e := range have {
				if e.Service == n.Service && e.Cheap == cheap && !e.Leaving {
					present = append(present, e)
				}
			}
			for range wanted - len(present) {
				missing = append(missing, order{Action: "order", Service: n.Service, Kind: n.Kind, Cheap: cheap})
			}
			if extra := len(present) - wanted; extra > 0 {
				surplus = append(surplus, present[len(present)-extra:]...)
			}
		}
	}
	return missing, surplus
}

// maySend reports whether a new order may be sent. An API that supports neither fences
// nor request numbers gets no new orders while a past holder might still send one.
func (p *Provisioner) maySend(grant *sluglease.Grant, o slugplatformapi.Offering) bool {
	return o.ChecksFences || o.RequestNumbers || len(grant.Unconfirmed()) == 0
}

// outstanding returns the order of a data centre that has no outcome, or nil.
func (p *Provisioner) outstanding(d slugname.DataCentre) *slugjournal.Order {
	for _, o := range p.journal.Outstanding() {
		if o.Target == slugjournal.Target(d) {
			return &o
		}
	}
	return nil
}

// journalAndSend records an order in the journal and sends it.
func (p *Provisioner) journalAndSend(ctx context.Context, grant *sluglease.Grant, d slugname.DataCentre, body order) error {
	p.cfg.OnStep("order.journal")
	o, err := p.journal.Add(ctx, slugjournal.Target(d), string(d), func(n slugjournal.Number) (json.RawMessage, error) {
		body.Number, body.Fence, body.Holder, body.DataCentre = n, grant.Fence, p.cfg.Self, d
		return json.Marshal(body)
	})
	if err != nil {
		return err
	}
	p.cfg.OnDecision(body.Action+" an endpoint of "+string(body.Service)+" in "+string(d)+" "+string(body.Endpoint), map[string]float64{
		"endpoints": float64(len(p.listed[d])), "unconfirmedHolders": float64(len(grant.Unconfirmed())),
	})
	p.cfg.Log.Emit(slugevent.OrderJournaled, slugevent.Fields{"order": o.Number, "dataCentre": d, "action": body.Action})
	return p.send(ctx, grant, d, o)
}

// send sends a journaled order and records its outcome.
func (p *Provisioner) send(ctx context.Context, grant *sluglease.Grant, d slugname.DataCentre, o slugjournal.Order) error {
	var e slugplatformapi.Endpoint
	err := grant.Do(ctx, orderTimeout, func(ctx context.Context) error {
		p.cfg.OnStep("order.send")
		var err error
		e, err = p.cfg.Order(ctx, d, o.Body)
		return err
	})
	p.cfg.OnStep("order.sent")
	switch {
	case errors.Is(err, slugplatformapi.ErrNoneAvailable):
		p.retryAt[d] = time.Now().Add(retryDelay)
		return p.journal.Finish(ctx, o, "none available")
	case errors.Is(err, slugplatformapi.ErrFenced) && o.Fence < grant.Fence:
		return p.journal.Finish(ctx, o, "superseded")
	case err != nil:
		p.cfg.Log.Error(slugevent.OrderFailed, err, slugevent.Fields{"order": o.Number, "dataCentre": d})
		return err
	}
	p.cfg.Log.Emit(slugevent.EndpointOrdered, slugevent.Fields{"order": o.Number, "endpoint": e.Name})
	return p.journal.Finish(ctx, o, "done")
}

// Package slugprovisioner performs the ordering duty of one region: it orders endpoints that services
// need and releases those that are not needed.
//
// # Usage
//
//	b := slugprovisioner.New(slugprovisioner.Config{Region: "north", ...})
//	err := lease.Run(ctx, b.Work)
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

// Config configures an Orderer.
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

// New returns an Orderer.
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
func (b *Provisioner) Run(ctx context.Context, right *sluglease.Grant) error {
	var err error
	b.cfg.OnStep("journal.open")
	if b.journal, err = slugjournal.Open(ctx, b.cfg.Store, b.cfg.Duty, right.Fence, b.cfg.Self); err != nil {
		return err
	}
	return slugbackoff.Every(ctx, roundInterval, func() error { return b.reconcile(ctx, right) })
}

// reconcile sends at most one order for each data centre and updates the releases of the
// region.
func (b *Provisioner) reconcile(ctx context.Context, right *sluglease.Grant) error {
	right.ConfirmEnded(ctx, b.cfg.PredecessorEnded)
	var release []slugname.Endpoint
	var roundErr error
	for _, d := range b.cfg.DataCentres() {
		r, err := b.reconcileDataCentre(ctx, right, d)
		release = append(release, r...)
		if errors.Is(err, slugjournal.ErrSuperseded) || errors.Is(err, sluglease.ErrExpired) {
			return err
		}
		roundErr = errors.CombineErrors(roundErr, err)
	}
	slices.Sort(release)
	if err := b.cfg.Intent.SetReleases(ctx, b.cfg.Region, slugintent.Releases{Endpoints: release}); err != nil {
		return err
	}
	return roundErr
}

// reconcileDataCentre sends at most one order for a data centre and returns the
// endpoints that are to be released. An outstanding order is resent before any new one.
func (b *Provisioner) reconcileDataCentre(ctx context.Context, right *sluglease.Grant, d slugname.DataCentre) ([]slugname.Endpoint, error) {
	offering, err := b.cfg.Offering(ctx, d)
	if err != nil {
		return b.currentReleases(d), err
	}
	b.mu.Lock()
	b.listed[d] = offering.Endpoints
	b.mu.Unlock()
	if pendingOrder := b.outstanding(d); pendingOrder != nil {
		return b.currentReleases(d), b.send(ctx, right, d, *pendingOrder)
	}
	missing, surplus := diffNeeds(b.cfg.Needs(d, offering.Endpoints, time.Now()), offering.Endpoints)
	release := endpointNames(surplus)
	if !b.maySend(right, offering) {
		b.cfg.Log.Emit(slugevent.OrderWithheld, slugevent.Fields{"dataCentre": d, "duty": b.cfg.Duty})
		return release, nil
	}
	for _, e := range surplus {
		if slices.Contains(b.cfg.Intent.Releases(b.cfg.Region), e.Name) && b.cfg.Drained(ctx, e) {
			return release, b.journalAndSend(ctx, right, d, order{Action: "release", Endpoint: e.Name, Service: e.Service})
		}
	}
	if len(missing) > 0 && !time.Now().Before(b.retryAt[d]) {
		return release, b.journalAndSend(ctx, right, d, missing[0])
	}
	return release, nil
}

// currentReleases returns the endpoints of a data centre that are already being
// released.
func (b *Provisioner) currentReleases(d slugname.DataCentre) []slugname.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []slugname.Endpoint
	for _, e := range b.cfg.Intent.Releases(b.cfg.Region) {
		if slices.ContainsFunc(b.listed[d], func(x slugplatformapi.Endpoint) bool { return x.Name == e }) {
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
func (b *Provisioner) maySend(right *sluglease.Grant, o slugplatformapi.Offering) bool {
	return o.ChecksFences || o.RequestNumbers || len(right.Unconfirmed()) == 0
}

// outstanding returns the order of a data centre that has no outcome, or nil.
func (b *Provisioner) outstanding(d slugname.DataCentre) *slugjournal.Order {
	for _, o := range b.journal.Outstanding() {
		if o.Target == slugjournal.Target(d) {
			return &o
		}
	}
	return nil
}

// journalAndSend records an order in the journal and sends it.
func (b *Provisioner) journalAndSend(ctx context.Context, right *sluglease.Grant, d slugname.DataCentre, body order) error {
	b.cfg.OnStep("order.journal")
	o, err := b.journal.Add(ctx, slugjournal.Target(d), string(d), func(n slugjournal.Number) (json.RawMessage, error) {
		body.Number, body.Fence, body.Holder, body.DataCentre = n, right.Fence, b.cfg.Self, d
		return json.Marshal(body)
	})
	if err != nil {
		return err
	}
	b.cfg.OnDecision(body.Action+" an endpoint of "+string(body.Service)+" in "+string(d)+" "+string(body.Endpoint), map[string]float64{
		"endpoints": float64(len(b.listed[d])), "unconfirmedHolders": float64(len(right.Unconfirmed())),
	})
	b.cfg.Log.Emit(slugevent.OrderJournaled, slugevent.Fields{"order": o.Number, "dataCentre": d, "action": body.Action})
	return b.send(ctx, right, d, o)
}

// send sends a journaled order and records its outcome.
func (b *Provisioner) send(ctx context.Context, right *sluglease.Grant, d slugname.DataCentre, o slugjournal.Order) error {
	var e slugplatformapi.Endpoint
	err := right.Do(ctx, orderTimeout, func(ctx context.Context) error {
		b.cfg.OnStep("order.send")
		var err error
		e, err = b.cfg.Order(ctx, d, o.Body)
		return err
	})
	b.cfg.OnStep("order.sent")
	switch {
	case errors.Is(err, slugplatformapi.ErrNoneAvailable):
		b.retryAt[d] = time.Now().Add(retryDelay)
		return b.journal.Finish(ctx, o, "none available")
	case errors.Is(err, slugplatformapi.ErrFenced) && o.Fence < right.Fence:
		return b.journal.Finish(ctx, o, "superseded")
	case err != nil:
		b.cfg.Log.Error(slugevent.OrderFailed, err, slugevent.Fields{"order": o.Number, "dataCentre": d})
		return err
	}
	b.cfg.Log.Emit(slugevent.EndpointOrdered, slugevent.Fields{"order": o.Number, "endpoint": e.Name})
	return b.journal.Finish(ctx, o, "done")
}

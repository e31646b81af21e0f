package slugduties

import (
	"context"
	"strings"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/authority/sluglease"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugplatformapi"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugprovisioner"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugreconciler"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugreport"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

// Prefixes of duty names.
const (
	orderingPrefix = "ordering/"
	usagePrefix    = "usage/"
	rolesPrefix    = "roles/"
)

// wantedDuties returns the duties that follow from the configuration, each with the
// function that sets up its work.
func (d *Duties) wantedDuties() map[sluglease.Duty]func(*job) {
	s := d.cfg.Node.Follower.Snapshot()
	out := map[sluglease.Duty]func(*job){}
	if s == nil {
		return out
	}
	region := d.cfg.Node.Member.Self().Region
	ordering := sluglease.Duty(orderingPrefix + string(region))
	out[ordering] = func(j *job) { d.buildOrdering(j, ordering, region) }
	usage := sluglease.Duty(usagePrefix + string(region))
	out[usage] = func(j *job) { d.buildUsage(j, usage, region) }
	local := map[slugname.DataCentre]bool{}
	for _, x := range dataCentres(s, region) {
		local[x] = true
	}
	for _, x := range s.Manifest.Services {
		for _, r := range x.Replicas {
			if local[r.DataCentre] {
				duty := sluglease.Duty(rolesPrefix + string(x.Name) + "/" + string(r.DataCentre))
				out[duty] = func(j *job) { d.buildRoles(j, duty, x.Name, r.DataCentre) }
			}
		}
	}
	return out
}

// dataCentres returns the data centres of a region.
func dataCentres(s *slugconfig.Snapshot, region slugname.Region) []slugname.DataCentre {
	var out []slugname.DataCentre
	for _, x := range s.Manifest.DataCentres {
		if x.Region == region {
			out = append(out, x.Name)
		}
	}
	return out
}

// buildOrdering sets up the ordering of endpoints for a region.
func (d *Duties) buildOrdering(j *job, duty sluglease.Duty, region slugname.Region) {
	node := d.cfg.Node
	p := slugprovisioner.New(slugprovisioner.Config{
		Duty: duty, Region: region, Self: node.Member.Self().Process, Store: node.Store.For("ordering"),
		DataCentres: func() []slugname.DataCentre { return dataCentres(node.Follower.Snapshot(), region) },
		Needs:       d.needs,
		Offering:    d.cfg.Platform.Endpoints, Order: d.cfg.Platform.Order,
		Intent: d.cfg.Intent, Drained: d.isDrained, PredecessorEnded: d.predecessorEnded, Log: d.cfg.Log,
		OnStep: d.stepHook(duty), OnDecision: j.decisions.recorder(duty),
	})
	j.work = p.Run
}

// stepHook returns the function that the work of a duty calls between its steps.
func (d *Duties) stepHook(duty sluglease.Duty) func(string) {
	return func(step string) { d.cfg.OnStep(duty, step) }
}

// needs returns the minimum number of endpoints of each service in a data centre.
func (d *Duties) needs(dc slugname.DataCentre, _ []slugplatformapi.Endpoint, _ time.Time) []slugprovisioner.Need {
	var out []slugprovisioner.Need
	for _, s := range d.cfg.Node.Follower.Snapshot().Manifest.Services {
		n := slugprovisioner.Need{Service: s.Name, Kind: s.Kind}
		for _, r := range s.Replicas {
			if r.DataCentre == dc {
				n.Regular = r.Min
			}
		}
		out = append(out, n)
	}
	return out
}

// isDrained reports whether an endpoint can be removed: the plan marks it as leaving, all
// live gates have applied that plan, and the endpoint is idle.
func (d *Duties) isDrained(ctx context.Context, e slugplatformapi.Endpoint) bool {
	name := slugplan.Name(e.Service, e.DataCentre)
	o, err := d.cfg.Node.Store.For("ordering").Get(ctx, name)
	if err != nil || o.Body == nil {
		return false
	}
	var p slugplan.Plan
	if o.Decode(&p) != nil {
		return false
	}
	for _, x := range p.Endpoints {
		if x.Name == e.Name && x.State != slugplan.StateLeaving {
			return false
		}
	}
	if !slugreconciler.Drained(d.cfg.Node.Table.Statuses(), name, o.Version, e.Name) {
		return false
	}
	if e.Kind != slugmanifest.KindEngine {
		return true
	}
	g, err := d.orders.ReadInfo(ctx, e.Address)
	return err == nil && g.Idle
}

// predecessorEnded reports whether a previous holder of a duty has definitely ended. A
// missing record is proof of that, because a process's record is deleted only by the
// process itself or after it has ended.
func (d *Duties) predecessorEnded(p sluglease.Predecessor) bool {
	ctx, cancel := context.WithTimeout(context.Background(), reconcileInterval)
	defer cancel()
	o, err := d.cfg.Node.Store.For("members").Get(ctx, slugmember.Prefix+string(p.Process))
	if err != nil {
		return false
	}
	var r slugmember.Record
	if o.Body == nil {
		return true
	}
	return o.Decode(&r) == nil && d.cfg.HasEnded(r)
}

// buildUsage sets up the usage reports of a region.
func (d *Duties) buildUsage(j *job, duty sluglease.Duty, region slugname.Region) {
	node := d.cfg.Node
	r := slugreport.New(slugreport.Config{
		Region: region, Store: node.Store.For("usage"), Window: d.cfg.Settings.UsageWindow,
		Gates: func(ctx context.Context) ([]slugmember.Record, error) { return d.publishedGates(ctx, region) },
		Alive: d.isAlive, Send: d.cfg.Platform.SendReport, Log: d.cfg.Log, OnStep: d.stepHook(duty),
	})
	j.work = r.Run
}

// publishedGates reads the membership records of a region's gates from the store.
func (d *Duties) publishedGates(ctx context.Context, region slugname.Region) ([]slugmember.Record, error) {
	objects, err := d.cfg.Node.Store.For("usage").List(ctx, slugmember.Prefix)
	if err != nil {
		return nil, err
	}
	var out []slugmember.Record
	for _, o := range objects {
		var r slugmember.Record
		if o.Body == nil || !strings.HasPrefix(o.Name, slugmember.Prefix) {
			continue
		}
		if err := o.Decode(&r); err != nil {
			return nil, err
		}
		if r.Kind == slugmember.KindGate && r.Region == region {
			out = append(out, r)
		}
	}
	return out, nil
}

// isAlive reports whether peers consider a process alive.
func (d *Duties) isAlive(p slugname.Process) bool {
	for _, s := range d.cfg.Node.Table.Statuses() {
		if s.Process == p {
			return s.Alive
		}
	}
	return false
}

// buildRoles sets up the assignment of roles to a service's endpoints in a data centre.
func (d *Duties) buildRoles(j *job, duty sluglease.Duty, service slugname.Service, dc slugname.DataCentre) {
	node := d.cfg.Node
	r := slugreconciler.New(slugreconciler.Config{
		Duty: duty, Service: service, DataCentre: dc, Self: node.Member.Self().Process, Store: node.Store.For("roles"),
		Offering: func(ctx context.Context) (slugplatformapi.Offering, error) { return d.cfg.Platform.Endpoints(ctx, dc) },
		ReadInfo: d.orders.ReadInfo, Send: d.orders.Send, Statuses: node.Table.Statuses,
		Manifest:   func() *slugmanifest.Service { return node.Follower.Snapshot().Service(service) },
		IsDraining: d.cfg.Intent.IsDraining, PredecessorEnded: d.predecessorEnded, Log: d.cfg.Log, OnStep: d.stepHook(duty),
		OnDecision: j.decisions.recorder(duty),
	})
	j.work = r.Run
}

// Package slugfleet keeps the endpoints of all services for one gate. It follows the plans
// in the platform's store, polls the load reports and cache events of the endpoints, and
// keeps a picker and a queue for each service.
//
// # Usage
//
//	f := slugfleet.New(slugfleet.Config{Host: host, DataCentre: dc, Store: store, Get: sender.Get})
//	go f.Run(ctx)
//	s := f.Service("assistant")
//	s.Picker.Pick(...)
package slugfleet

import (
	"context"
	"encoding/json"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugnotice"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpick"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugqueue"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

const (
	// SubsetSize is the largest number of endpoints of one service that a gate uses.
	SubsetSize = 100
	// loadPollInterval is the pause between polls of the load reports.
	loadPollInterval = time.Second
	// readTimeout bounds the reads from one endpoint in one poll.
	readTimeout = 900 * time.Millisecond
	// cachePollRatio is the number of load polls per poll of the cache events.
	cachePollRatio = 2
	// pollConcurrency bounds the parallel reads of a poll.
	pollConcurrency = 32
)

// Config configures a Fleet.
type Config struct {
	Host       slugname.Host
	DataCentre slugname.DataCentre
	Store      *slugstore.Store
	// Get fetches a document from an endpoint.
	Get func(ctx context.Context, url string) ([]byte, error)
	// MaxTokenGap returns the longest time between tokens that the objective of a service
	// allows, 0 without an objective; nil means that no service has one.
	MaxTokenGap func(slugname.Service) time.Duration
	// GateIndex returns the rank of this gate among the live gates, and their number; nil
	// means that there is only this gate.
	GateIndex func() (index, gates int)
	// QueueLength is the largest number of waiting requests of a service.
	QueueLength int
	// Changed is called after plans have changed; it may be nil.
	Changed func()
	Log     *slugevent.Log
}

// Service holds the endpoints and the queue of one service.
type Service struct {
	Picker *slugpick.Picker
	Queue  *slugqueue.Queue
}

// Fleet holds the services of one gate. Its methods are safe for concurrent use.
type Fleet struct {
	cfg Config

	mu       sync.Mutex
	services map[slugname.Service]*Service
	plans    map[string]slugplan.Plan
	versions map[string]slugstore.Version
	// cursors are the numbers of the last cache event read from each engine.
	cursors map[slugname.Endpoint]int
	// byAddress maps the addresses of all endpoints in the plans to the endpoints.
	byAddress map[string]planned

	// notices holds what the endpoints said about themselves.
	notices *slugnotice.Notices
}

// New returns a Fleet without endpoints.
func New(cfg Config) *Fleet {
	if cfg.MaxTokenGap == nil {
		cfg.MaxTokenGap = func(slugname.Service) time.Duration { return 0 }
	}
	return &Fleet{
		cfg: cfg, services: map[slugname.Service]*Service{}, plans: map[string]slugplan.Plan{},
		versions: map[string]slugstore.Version{}, cursors: map[slugname.Endpoint]int{}, notices: slugnotice.New(),
	}
}

// Service returns the endpoints and the queue of a service. Both are created empty on
// first use.
func (f *Fleet) Service(s slugname.Service) *Service {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.service(s)
}

// service returns a service and creates it if needed; f.mu must be held.
func (f *Fleet) service(s slugname.Service) *Service {
	svc := f.services[s]
	if svc == nil {
		svc = &Service{
			Picker: slugpick.New(slugpick.Config{Local: f.cfg.DataCentre, MaxTokenGap: func() time.Duration { return f.cfg.MaxTokenGap(s) }, GateIndex: f.cfg.GateIndex, Notices: f.notices}),
			Queue:  slugqueue.New(slugqueue.Config{MaxLength: f.cfg.QueueLength}),
		}
		f.services[s] = svc
	}
	return svc
}

// Versions returns the versions of the plans in use, so that the gate can acknowledge
// them.
func (f *Fleet) Versions() map[string]slugstore.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]slugstore.Version, len(f.versions))
	for k, v := range f.versions {
		out[k] = v
	}
	return out
}

// Busy returns the number of outstanding requests of this process at each endpoint that
// takes no new work.
func (f *Fleet) Busy() map[slugname.Endpoint]uint32 {
	out := map[slugname.Endpoint]uint32{}
	for _, s := range f.allServices() {
		for _, e := range s.Picker.Endpoints() {
			if n := s.Picker.Outstanding(e.Name); n > 0 && e.State != slugplan.StateServing {
				out[e.Name] = uint32(n)
			}
		}
	}
	return out
}

// allServices returns all known services.
func (f *Fleet) allServices() []*Service {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*Service, 0, len(f.services))
	for _, s := range f.services {
		out = append(out, s)
	}
	return out
}

// Run follows the plans and polls the endpoints until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.poll(ctx)
	}()
	err := f.cfg.Store.Watch(ctx, slugstore.Watcher{Prefix: slugplan.Prefix, OnChange: f.Apply})
	<-done
	return err
}

// Apply applies changed plans and wakes the queues of the affected services.
func (f *Fleet) Apply(objects []slugstore.Object) {
	changed := map[slugname.Service]bool{}
	f.mu.Lock()
	for _, o := range objects {
		f.applyPlan(o, changed)
	}
	if len(changed) > 0 {
		f.indexAddresses()
	}
	var wake []*Service
	for s := range changed {
		svc := f.service(s)
		svc.Picker.SetEndpoints(f.subset(s))
		wake = append(wake, svc)
	}
	f.mu.Unlock()
	for _, svc := range wake {
		svc.Queue.Wake()
	}
	if len(changed) > 0 && f.cfg.Changed != nil {
		f.cfg.Changed()
	}
}

// applyPlan applies one changed or removed plan and adds its service to changed; f.mu must
// be held.
func (f *Fleet) applyPlan(o slugstore.Object, changed map[slugname.Service]bool) {
	service, _, ok := slugplan.ParseName(o.Name)
	if !ok {
		return
	}
	changed[service] = true
	if o.Body == nil {
		delete(f.plans, o.Name)
		delete(f.versions, o.Name)
		return
	}
	var p slugplan.Plan
	if o.Decode(&p) == nil {
		f.plans[o.Name] = p
		f.versions[o.Name] = o.Version
	}
}

// subset returns the endpoints of a service that this gate uses: all of them up to
// SubsetSize, otherwise those with the highest rendezvous weight for this host; f.mu must
// be held.
func (f *Fleet) subset(s slugname.Service) []slugpick.Endpoint {
	var out []slugpick.Endpoint
	for _, p := range f.plans {
		if p.Service != s {
			continue
		}
		for _, e := range p.Endpoints {
			out = append(out, slugpick.Endpoint{Endpoint: e, DataCentre: p.DataCentre})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	if len(out) <= SubsetSize {
		return out
	}
	names := make([]slugname.Endpoint, len(out))
	for i, e := range out {
		names[i] = e.Name
	}
	chosen := map[slugname.Endpoint]bool{}
	for _, n := range slugmember.HighestRanked(string(f.cfg.Host), names, SubsetSize) {
		chosen[n] = true
	}
	return slices.DeleteFunc(out, func(e slugpick.Endpoint) bool { return !chosen[e.Name] })
}

// poll reads load reports and cache events until ctx ends.
func (f *Fleet) poll(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		f.pollOnce(ctx, round%cachePollRatio == 0)
		_ = slugbackoff.Sleep(ctx, loadPollInterval)
	}
}

// pollOnce reads from all endpoints once, and reads their cache events if withCache is
// set.
func (f *Fleet) pollOnce(ctx context.Context, withCache bool) {
	slots := make(chan struct{}, pollConcurrency)
	var wg sync.WaitGroup
	for _, s := range f.allServices() {
		for _, e := range s.Picker.Endpoints() {
			if !f.wantsReads(e.Name) {
				continue
			}
			slots <- struct{}{}
			wg.Add(1)
			go func() {
				defer func() { <-slots; wg.Done() }()
				f.readLoad(ctx, s, e, withCache)
			}()
		}
	}
	wg.Wait()
}

// loadReport is a load report as endpoints send it.
type loadReport struct {
	AgeMs         int64           `json:"ageMs"`
	Running       int             `json:"running"`
	Queued        int             `json:"queued"`
	PrefillTokens slugpick.Tokens `json:"prefillTokens"`
	FreePieces    int             `json:"freePieces"`
}

// readLoad reads the load report of an endpoint, and its cache events if withCache is set.
func (f *Fleet) readLoad(ctx context.Context, s *Service, e slugpick.Endpoint, withCache bool) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	path := "/engine/load"
	if e.Kind == slugmanifest.KindPlain {
		path = "/plain/load"
	}
	body, err := f.cfg.Get(ctx, "http://"+e.Address+path)
	if err != nil {
		return
	}
	var report loadReport
	if json.Unmarshal(body, &report) != nil {
		return
	}
	takenAt := time.Now().Add(-time.Duration(report.AgeMs) * time.Millisecond)
	s.Picker.RecordReport(e.Name, slugpick.Report{TakenAt: takenAt, Running: report.Running, Queued: report.Queued, PrefillTokens: report.PrefillTokens, FreePieces: report.FreePieces})
	s.Queue.Wake()
	if withCache && e.Kind == slugmanifest.KindEngine {
		f.readCacheEvents(ctx, s, e)
	}
}

// cacheEvents is a batch of cache events as engines send it.
type cacheEvents struct {
	First  int `json:"first"`
	Last   int `json:"last"`
	Events []struct {
		Prefix  string `json:"prefix"`
		Removed bool   `json:"removed"`
	} `json:"events"`
}

// readCacheEvents applies the cache events since the last read. A lost event can leave a
// stale prefix in the picker; prefixes expire there, so it needs no repair.
func (f *Fleet) readCacheEvents(ctx context.Context, s *Service, e slugpick.Endpoint) {
	f.mu.Lock()
	after := f.cursors[e.Name]
	f.mu.Unlock()
	body, err := f.cfg.Get(ctx, "http://"+e.Address+"/engine/cacheEvents?after="+strconv.Itoa(after))
	if err != nil {
		return
	}
	var batch cacheEvents
	if json.Unmarshal(body, &batch) != nil {
		return
	}
	now := time.Now()
	for _, event := range batch.Events {
		if hash, err := strconv.ParseUint(event.Prefix, 16, 64); err == nil {
			s.Picker.RecordCacheEvent(e.Name, hash, event.Removed, now)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cursors[e.Name] = batch.Last
}

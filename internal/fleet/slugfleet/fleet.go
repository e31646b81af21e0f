// Package slugfleet knows the endpoints of all services: it follows the plans in
// the platform's store, reads load reports and cache events, and keeps a picker
// and a queue for each service.
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
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpick"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugqueue"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

const (
	// SubsetSize is the number of a service's endpoints that one gate uses.
	SubsetSize = 100
	// reportEvery is the time between reads of an endpoint's load.
	reportEvery = time.Second
	// reportTimeout bounds one read.
	reportTimeout = 900 * time.Millisecond
	// cacheEvery is the number of load reads to one read of cache events.
	cacheEvery = 2
	// pollConcurrency bounds parallel reads.
	pollConcurrency = 32
)

// Config makes a Fleet.
type Config struct {
	Host       slugname.Host
	DataCentre slugname.DataCentre
	Store      *slugstore.Store
	// Get reads a document from an endpoint.
	Get func(ctx context.Context, url string) ([]byte, error)
	// Gap returns the longest time between tokens that a service's objective allows,
	// 0 when it has none; nil means none.
	Gap func(slugname.Service) time.Duration
	// Place returns this gate's place among the live gates and their number; nil
	// means that there is one gate.
	Place func() (place, gates int)
	// QueueLength bounds the waiting requests of a service.
	QueueLength int
	// Changed is called after plans changed; it may be nil.
	Changed func()
}

// Service is a service's endpoints and its queue.
type Service struct {
	Picker *slugpick.Picker
	Queue  *slugqueue.Queue
}

// Fleet holds the services of one gate.
type Fleet struct {
	cfg Config

	mu       sync.Mutex
	services map[slugname.Service]*Service
	plans    map[string]slugplan.Plan
	versions map[string]slugstore.Version
	cursors  map[slugname.Endpoint]int
}

// New returns a Fleet without endpoints.
func New(cfg Config) *Fleet {
	if cfg.Gap == nil {
		cfg.Gap = func(slugname.Service) time.Duration { return 0 }
	}
	return &Fleet{
		cfg: cfg, services: map[slugname.Service]*Service{}, plans: map[string]slugplan.Plan{},
		versions: map[string]slugstore.Version{}, cursors: map[slugname.Endpoint]int{},
	}
}

// Service returns a service's endpoints and queue, empty ones at first.
func (f *Fleet) Service(s slugname.Service) *Service {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.service(s)
}

func (f *Fleet) service(s slugname.Service) *Service {
	x := f.services[s]
	if x == nil {
		x = &Service{
			Picker: slugpick.New(slugpick.Config{Local: f.cfg.DataCentre, Gap: func() time.Duration { return f.cfg.Gap(s) }, Place: f.cfg.Place}),
			Queue:  slugqueue.New(slugqueue.Config{Length: f.cfg.QueueLength}),
		}
		f.services[s] = x
	}
	return x
}

// Versions returns the versions of the plans in use, to acknowledge them.
func (f *Fleet) Versions() map[string]slugstore.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]slugstore.Version, len(f.versions))
	for k, v := range f.versions {
		out[k] = v
	}
	return out
}

// Busy returns this process's requests at endpoints that take no new work.
func (f *Fleet) Busy() map[slugname.Endpoint]uint32 {
	out := map[slugname.Endpoint]uint32{}
	for _, s := range f.all() {
		for _, e := range s.Picker.Endpoints() {
			if n := s.Picker.Outstanding(e.Name); n > 0 && e.State != slugplan.StateServing {
				out[e.Name] = uint32(n)
			}
		}
	}
	return out
}

func (f *Fleet) all() []*Service {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*Service, 0, len(f.services))
	for _, s := range f.services {
		out = append(out, s)
	}
	return out
}

// Run follows plans and reads reports until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.poll(ctx)
	}()
	err := f.cfg.Store.Watch(ctx, slugstore.Watcher{Prefix: slugplan.Prefix, Changed: f.Take})
	<-done
	return err
}

// Take puts changed plans into use.
func (f *Fleet) Take(objects []slugstore.Object) {
	changed := map[slugname.Service]bool{}
	f.mu.Lock()
	for _, o := range objects {
		f.take(o, changed)
	}
	var wake []*Service
	for s := range changed {
		x := f.service(s)
		x.Picker.SetEndpoints(f.subset(s))
		wake = append(wake, x)
	}
	f.mu.Unlock()
	for _, x := range wake {
		x.Queue.Wake()
	}
	if len(changed) > 0 && f.cfg.Changed != nil {
		f.cfg.Changed()
	}
}

func (f *Fleet) take(o slugstore.Object, changed map[slugname.Service]bool) {
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

// subset returns the endpoints of a service that this gate uses: all of a small
// service, else those closest to the host by rendezvous hashing.
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
	near := map[slugname.Endpoint]bool{}
	for _, n := range slugmember.Closest(string(f.cfg.Host), names, SubsetSize) {
		near[n] = true
	}
	return slices.DeleteFunc(out, func(e slugpick.Endpoint) bool { return !near[e.Name] })
}

// poll reads reports and cache events.
func (f *Fleet) poll(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		f.pollOnce(ctx, n%cacheEvery == 0)
		_ = slugbackoff.Sleep(ctx, reportEvery)
	}
}

func (f *Fleet) pollOnce(ctx context.Context, cache bool) {
	slots := make(chan struct{}, pollConcurrency)
	var wg sync.WaitGroup
	for _, s := range f.all() {
		for _, e := range s.Picker.Endpoints() {
			slots <- struct{}{}
			wg.Add(1)
			go func() {
				defer func() { <-slots; wg.Done() }()
				f.read(ctx, s, e, cache)
			}()
		}
	}
	wg.Wait()
}

// load is a report as endpoints send it.
type load struct {
	AgeMs         int64           `json:"ageMs"`
	Running       int             `json:"running"`
	Queued        int             `json:"queued"`
	PrefillTokens slugpick.Tokens `json:"prefillTokens"`
	FreePieces    int             `json:"freePieces"`
}

func (f *Fleet) read(ctx context.Context, s *Service, e slugpick.Endpoint, cache bool) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	path := "/engine/load"
	if e.Kind == slugmanifest.KindPlain {
		path = "/plain/load"
	}
	b, err := f.cfg.Get(ctx, "http://"+e.Address+path)
	if err != nil {
		return
	}
	var l load
	if json.Unmarshal(b, &l) != nil {
		return
	}
	taken := time.Now().Add(-time.Duration(l.AgeMs) * time.Millisecond)
	s.Picker.Report(e.Name, slugpick.Report{TakenAt: taken, Running: l.Running, Queued: l.Queued, PrefillTokens: l.PrefillTokens, FreePieces: l.FreePieces})
	s.Queue.Wake()
	if cache && e.Kind == slugmanifest.KindEngine {
		f.readCache(ctx, s, e)
	}
}

// cacheEvents are cache events as engines send them.
type cacheEvents struct {
	First  int `json:"first"`
	Last   int `json:"last"`
	Events []struct {
		Prefix  string `json:"prefix"`
		Removed bool   `json:"removed"`
	} `json:"events"`
}

// readCache applies the cache events since the last read. Events that were lost
// leave prefixes behind, which age out.
func (f *Fleet) readCache(ctx context.Context, s *Service, e slugpick.Endpoint) {
	f.mu.Lock()
	after := f.cursors[e.Name]
	f.mu.Unlock()
	b, err := f.cfg.Get(ctx, "http://"+e.Address+"/engine/cacheEvents?after="+strconv.Itoa(after))
	if err != nil {
		return
	}
	var c cacheEvents
	if json.Unmarshal(b, &c) != nil {
		return
	}
	now := time.Now()
	for _, x := range c.Events {
		if h, err := strconv.ParseUint(x.Prefix, 16, 64); err == nil {
			s.Picker.CacheEvent(e.Name, h, x.Removed, now)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cursors[e.Name] = c.Last
}

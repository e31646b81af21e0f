// Package slugplatform implements a fake of the platform's services for tests and
// demos: the versioned object store, the host list, endpoint ordering, usage reports
// and the weight store. docs/PROTOCOLS.md specifies the protocols.
//
// # Usage
//
//	p := slugplatform.New(slugplatform.Config{})
//	http.ListenAndServe("127.0.0.1:7000", p.Handler())
//
// Tests can call it without sockets, through a Link that injects faults:
//
//	link := p.Link("gate-1")
//	link.Cut(true)
//	store := slugstore.New(slugstore.Config{Do: link.Do})
package slugplatform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Config configures a Platform.
type Config struct {
	// HostListLag is the time until a change of the host list becomes visible.
	HostListLag time.Duration
	// OrderingRequestNumbers makes orders idempotent: a repeated order with the same
	// request number takes effect once.
	OrderingRequestNumbers bool
	// IgnoreFences makes the ordering API accept orders with an outdated fence.
	IgnoreFences bool
	// WeightBytesPerSecond is the throughput of the weight store per request; 0 means
	// unlimited.
	WeightBytesPerSecond int64
	// Launch starts an ordered endpoint and returns its address. If nil, orders for
	// endpoints are rejected with status 503.
	Launch func(Endpoint) (address string, err error)
	// Stop shuts down a released or reclaimed endpoint; it may be nil.
	Stop func(Endpoint)
}

// Platform is the fake platform.
type Platform struct {
	cfg Config

	mu       sync.Mutex
	objects  map[string]object
	revision uint64
	// changed is closed and replaced by notifyWaiters.
	changed chan struct{}
	down    bool
	delay   time.Duration
	// losesResponse reports whether to drop the response to a store call; nil means never.
	losesResponse func(r *http.Request) bool
	// calls is the number of store calls by kind.
	calls map[string]int

	hostChanges []hostChange

	ordering orderingState

	usageReports map[string][][]byte
	// writtenBytes is the total size of all values written to the store.
	writtenBytes int
	// reportResponsesToLose is the number of further usage reports to fail after they took
	// effect.
	reportResponsesToLose int
}

// object is a stored value. A deleted object remains as a tombstone with its version.
type object struct {
	version uint64
	value   []byte
	deleted bool
}

// MaxValueBytes is the maximum size of a stored value.
const MaxValueBytes = 1 << 20

// New returns an empty platform.
func New(cfg Config) *Platform {
	return &Platform{
		cfg:          cfg,
		objects:      map[string]object{},
		changed:      make(chan struct{}),
		calls:        map[string]int{},
		ordering:     newOrderingState(),
		usageReports: map[string][][]byte{},
	}
}

// Handler returns the HTTP handler of all services of the platform.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/objects/{name...}", p.withFaults(p.getObject))
	mux.HandleFunc("PUT /store/objects/{name...}", p.withFaults(p.putObject))
	mux.HandleFunc("DELETE /store/objects/{name...}", p.withFaults(p.deleteObject))
	mux.HandleFunc("GET /store/list", p.withFaults(p.listObjects))
	mux.HandleFunc("GET /hosts", p.listHosts)
	mux.HandleFunc("GET /ordering/{dataCentre}/endpoints", p.listEndpoints)
	mux.HandleFunc("POST /ordering/{dataCentre}/orders", p.orderEndpoint)
	mux.HandleFunc("PUT /usage/windows/{window}", p.putWindow)
	mux.HandleFunc("GET /weights/{model}", p.getWeights)
	mux.HandleFunc("POST /faults", p.postFaults)
	return mux
}

// Faults are the faults injected into calls of the object store.
type Faults struct {
	// Down makes every call fail with status 503.
	Down bool `json:"down"`
	// DelayMs delays every call.
	DelayMs int `json:"delayMs"`
	// LoseAnswers makes every write fail with status 504 after it took effect.
	LoseAnswers bool `json:"loseAnswers"`
}

// SetFaults replaces the injected faults of the store.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = f.Down
	p.delay = time.Duration(f.DelayMs) * time.Millisecond
	p.losesResponse = nil
	if f.LoseAnswers {
		p.losesResponse = func(r *http.Request) bool { return r.Method != http.MethodGet }
	}
	p.notifyWaiters()
}

func (p *Platform) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

// Calls returns the number of store calls so far by kind: get, list, watch, put or
// delete.
func (p *Platform) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.calls))
	for k, v := range p.calls {
		out[k] = v
	}
	return out
}

// Bytes returns the total size of all values written to the store so far.
func (p *Platform) Bytes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.writtenBytes
}

// notifyWaiters makes all waiting calls check the store again; p.mu is held.
func (p *Platform) notifyWaiters() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

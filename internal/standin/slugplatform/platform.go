// Package slugplatform is a small stand-in of the platform's services: the
// versioned object store, the host list, endpoint ordering, usage reports and
// the weight store. docs/PROTOCOLS.md describes what it speaks.
//
// # Usage
//
//	p := slugplatform.New(slugplatform.Config{})
//	http.ListenAndServe("127.0.0.1:7000", p.Handler())
//
// Tests call it without sockets, through a link whose faults they switch:
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

// Config sets the limits of the stand-in.
type Config struct {
	// HostListLag delays changes of the host list.
	HostListLag time.Duration
	// OrderingRequestNumbers makes the ordering interface remember request
	// numbers, so that a repeated order has one effect.
	OrderingRequestNumbers bool
	// OrderingUnchecked makes the ordering interface ignore fences.
	OrderingUnchecked bool
	// WeightBytesPerSecond is the rate of the weight store.
	WeightBytesPerSecond int64
	// Launch starts an endpoint that was ordered and returns its address. Nil
	// makes every order fail with "none available".
	Launch func(Endpoint) (address string, err error)
	// Stop ends an endpoint that was released or reclaimed.
	Stop func(Endpoint)
}

// Platform is the stand-in.
type Platform struct {
	cfg Config

	mu       sync.Mutex
	objects  map[string]object
	revision uint64
	changed  chan struct{}
	down     bool
	delay    time.Duration
	lose     func(r *http.Request) bool
	calls    map[string]int

	hosts []hostEntry

	ordering orderingState

	windows map[string][][]byte
	// bytes is the size of all values written.
	bytes int
	// loseReports is the number of reports whose answers get lost.
	loseReports int
}

// object is one stored value; a deleted one keeps its version.
type object struct {
	version uint64
	value   []byte
	deleted bool
}

// MaxValueBytes is the greatest size of one stored value.
const MaxValueBytes = 1 << 20

// New returns an empty platform.
func New(cfg Config) *Platform {
	return &Platform{
		cfg:      cfg,
		objects:  map[string]object{},
		changed:  make(chan struct{}),
		calls:    map[string]int{},
		ordering: newOrderingState(),
		windows:  map[string][][]byte{},
	}
}

// Handler serves the protocols of the stand-in.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/objects/{name...}", p.store(p.getObject))
	mux.HandleFunc("PUT /store/objects/{name...}", p.store(p.putObject))
	mux.HandleFunc("DELETE /store/objects/{name...}", p.store(p.deleteObject))
	mux.HandleFunc("GET /store/list", p.store(p.listObjects))
	mux.HandleFunc("GET /hosts", p.listHosts)
	mux.HandleFunc("GET /ordering/{dataCentre}/endpoints", p.listEndpoints)
	mux.HandleFunc("POST /ordering/{dataCentre}/orders", p.orderEndpoint)
	mux.HandleFunc("PUT /usage/windows/{window}", p.putWindow)
	mux.HandleFunc("GET /weights/{model}", p.getWeights)
	mux.HandleFunc("POST /faults", p.postFaults)
	return mux
}

// Faults are the switches of the store.
type Faults struct {
	// Down makes every call fail.
	Down bool `json:"down"`
	// DelayMs delays every call.
	DelayMs int `json:"delayMs"`
	// LoseAnswers drops the answer of every write after it took effect.
	LoseAnswers bool `json:"loseAnswers"`
}

// SetFaults switches the store's faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = f.Down
	p.delay = time.Duration(f.DelayMs) * time.Millisecond
	p.lose = nil
	if f.LoseAnswers {
		p.lose = func(r *http.Request) bool { return r.Method != http.MethodGet }
	}
	p.wake()
}

func (p *Platform) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

// Calls returns the number of store calls by kind so far.
func (p *Platform) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.calls))
	for k, v := range p.calls {
		out[k] = v
	}
	return out
}

// Bytes returns the size of all values written so far.
func (p *Platform) Bytes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes
}

// wake ends all waits; p.mu is held.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

package slugplatform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Endpoint is an endpoint as listed by the ordering API.
type Endpoint struct {
	Name       string `json:"name"`
	Service    string `json:"service"`
	Kind       string `json:"kind"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
	Cheap      bool   `json:"cheap"`
	// Leaving is set when the endpoint was marked as leaving or is about to be reclaimed.
	Leaving bool `json:"leaving"`
	// EndsAtMs is the Unix time of the reclaim in milliseconds, or 0 if none is pending.
	EndsAtMs int64 `json:"endsAtMs,omitempty"`
}

// Order requests a new endpoint or releases an existing one.
type Order struct {
	// Number is the idempotency key of the order. If the API supports request numbers,
	// repeated orders with the same number take effect once.
	Number string `json:"number"`
	Fence  uint64 `json:"fence"`
	// Action is "order" to request an endpoint or "release" to give one back.
	Action   string `json:"action"`
	Service  string `json:"service,omitempty"`
	Kind     string `json:"kind,omitempty"`
	Cheap    bool   `json:"cheap,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	// Holder is the process that sends the order.
	Holder string `json:"holder"`
}

// OrderingGreeting describes the capabilities of the ordering API and lists the
// endpoints of a data centre.
type OrderingGreeting struct {
	ChecksFences   bool       `json:"checksFences"`
	RequestNumbers bool       `json:"requestNumbers"`
	Endpoints      []Endpoint `json:"endpoints"`
}

// orderingState is the state of the ordering API.
type orderingState struct {
	endpoints []Endpoint
	// results are the endpoints returned for orders, by order number.
	results map[string]Endpoint
	// fences are the highest fences seen in orders, by data centre.
	fences   map[string]uint64
	accepted []Order
	// lastSerial makes the names of ordered endpoints unique.
	lastSerial int
	// cheapUnavailable is set for data centres that reject orders for cheap endpoints.
	cheapUnavailable map[string]bool
}

func newOrderingState() orderingState {
	return orderingState{results: map[string]Endpoint{}, fences: map[string]uint64{}, cheapUnavailable: map[string]bool{}}
}

// Orders returns the accepted orders in the order of their arrival, including those
// whose endpoint then failed to launch.
func (p *Platform) Orders() []Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Order(nil), p.ordering.accepted...)
}

// AddEndpoint adds an endpoint that was not ordered through the API.
func (p *Platform) AddEndpoint(e Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ordering.endpoints = append(p.ordering.endpoints, e)
}

// SetUnavailable sets whether orders for cheap endpoints of a data centre are rejected
// as unavailable.
func (p *Platform) SetUnavailable(dataCentre string, unavailable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ordering.cheapUnavailable[dataCentre] = unavailable
}

// Reclaim marks all cheap endpoints of a data centre as leaving and removes them when
// the notice period has passed, as a cloud provider preempts spot instances.
func (p *Platform) Reclaim(dataCentre string, notice time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.ordering.endpoints {
		e := &p.ordering.endpoints[i]
		if e.DataCentre == dataCentre && e.Cheap && !e.Leaving {
			e.Leaving = true
			e.EndsAtMs = time.Now().Add(notice).UnixMilli()
			time.AfterFunc(notice, func() { p.removeEndpoint(e.Name) })
		}
	}
}

// MarkLeaving marks an endpoint as leaving without removing it.
func (p *Platform) MarkLeaving(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.ordering.endpoints {
		if p.ordering.endpoints[i].Name == name {
			p.ordering.endpoints[i].Leaving = true
		}
	}
}

// removeEndpoint removes an endpoint from the list and shuts it down.
func (p *Platform) removeEndpoint(name string) {
	p.mu.Lock()
	var removed Endpoint
	kept := []Endpoint{}
	for _, e := range p.ordering.endpoints {
		if e.Name == name {
			removed = e
			continue
		}
		kept = append(kept, e)
	}
	p.ordering.endpoints = kept
	p.mu.Unlock()
	if p.cfg.Stop != nil && removed.Name != "" {
		p.cfg.Stop(removed)
	}
}

func (p *Platform) listEndpoints(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	greeting := OrderingGreeting{ChecksFences: !p.cfg.IgnoreFences, RequestNumbers: p.cfg.OrderingRequestNumbers, Endpoints: []Endpoint{}}
	for _, e := range p.ordering.endpoints {
		if e.DataCentre == r.PathValue("dataCentre") {
			greeting.Endpoints = append(greeting.Endpoints, e)
		}
	}
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, greeting)
}

// orderEndpoint executes an order, which launches or releases an endpoint.
func (p *Platform) orderEndpoint(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	dataCentre := r.PathValue("dataCentre")
	e, status := p.admitOrder(dataCentre, o)
	if status != 0 {
		writeJSON(w, status, e)
		return
	}
	if o.Action == "release" {
		p.removeEndpoint(o.Endpoint)
		writeJSON(w, http.StatusOK, Endpoint{Name: o.Endpoint})
		return
	}
	p.launch(w, o, e)
}

// admitOrder checks the fence and the availability of an order and records it. It
// returns a nonzero HTTP status if the order is rejected or was executed before.
func (p *Platform) admitOrder(dataCentre string, o Order) (Endpoint, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.cfg.IgnoreFences && o.Fence < p.ordering.fences[dataCentre] {
		return Endpoint{}, http.StatusPreconditionFailed
	}
	p.ordering.fences[dataCentre] = max(p.ordering.fences[dataCentre], o.Fence)
	if p.cfg.OrderingRequestNumbers {
		if e, ok := p.ordering.results[o.Number]; ok {
			return e, http.StatusOK
		}
	}
	if o.Action == "order" && (p.cfg.Launch == nil || o.Cheap && p.ordering.cheapUnavailable[dataCentre]) {
		return Endpoint{}, http.StatusServiceUnavailable
	}
	p.ordering.accepted = append(p.ordering.accepted, o)
	p.ordering.lastSerial++
	e := Endpoint{
		Name:    fmt.Sprintf("%s-%s-%d", o.Service, dataCentre, p.ordering.lastSerial),
		Service: o.Service, Kind: o.Kind, DataCentre: dataCentre, Cheap: o.Cheap,
	}
	if o.Action == "release" {
		e = Endpoint{Name: o.Endpoint}
	}
	p.ordering.results[o.Number] = e
	return e, 0
}

// launch starts an ordered endpoint, adds it to the list and responds with it.
func (p *Platform) launch(w http.ResponseWriter, o Order, e Endpoint) {
	address, err := p.cfg.Launch(e)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	e.Address = address
	p.mu.Lock()
	p.ordering.endpoints = append(p.ordering.endpoints, e)
	p.ordering.results[o.Number] = e
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, e)
}

// Windows returns the bodies of all reports received for a usage window, including
// repeated ones.
func (p *Platform) Windows(window string) [][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usageReports[window]
}

// AllWindows returns the bodies of all usage reports by usage window.
func (p *Platform) AllWindows() map[string][][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string][][]byte{}
	for k, v := range p.usageReports {
		out[k] = append([][]byte(nil), v...)
	}
	return out
}

// putWindow stores a report for a usage window.
func (p *Platform) putWindow(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usageReports[r.PathValue("window")] = append(p.usageReports[r.PathValue("window")], body)
	if p.reportResponsesToLose > 0 {
		p.reportResponsesToLose--
		http.Error(w, "usage report was stored; response dropped by fault injection", http.StatusGatewayTimeout)
	}
}

// LoseReportAnswers makes the next n usage reports fail with status 504 after they took
// effect.
func (p *Platform) LoseReportAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reportResponsesToLose = n
}

// WeightChunkBytes is the size of every response of the weight store.
const WeightChunkBytes = 1 << 20

// getWeights responds with one chunk after the time that its transfer takes at
// Config.WeightBytesPerSecond.
func (p *Platform) getWeights(w http.ResponseWriter, r *http.Request) {
	bytesPerSecond := p.cfg.WeightBytesPerSecond
	if bytesPerSecond <= 0 {
		bytesPerSecond = 1 << 40 // 1 TiB/s, which makes the delay negligible
	}
	chunk := make([]byte, WeightChunkBytes)
	time.Sleep(time.Duration(float64(len(chunk)) / float64(bytesPerSecond) * float64(time.Second)))
	if r.Context().Err() == nil {
		_, _ = w.Write(chunk)
	}
}

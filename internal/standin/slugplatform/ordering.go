package slugplatform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Endpoint is one endpoint as the ordering interface lists it.
type Endpoint struct {
	Name       string `json:"name"`
	Service    string `json:"service"`
	Kind       string `json:"kind"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
	Cheap      bool   `json:"cheap"`
	// Leaving is set when the endpoint was released or will be reclaimed.
	Leaving bool `json:"leaving"`
	// EndsAtMs is the time of the reclaim in milliseconds since 1970, or 0.
	EndsAtMs int64 `json:"endsAtMs,omitempty"`
}

// Order asks for one endpoint, or gives one back.
type Order struct {
	// Number identifies the order; a repeated number has one effect where the
	// interface offers request numbers.
	Number string `json:"number"`
	Fence  uint64 `json:"fence"`
	// Action is "order" or "release".
	Action   string `json:"action"`
	Service  string `json:"service,omitempty"`
	Kind     string `json:"kind,omitempty"`
	Cheap    bool   `json:"cheap,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	// Holder names who sends the order.
	Holder string `json:"holder"`
}

// OrderingGreeting says what the ordering interface offers.
type OrderingGreeting struct {
	ChecksFences   bool       `json:"checksFences"`
	RequestNumbers bool       `json:"requestNumbers"`
	Endpoints      []Endpoint `json:"endpoints"`
}

// orderingState is the state of the ordering interface.
type orderingState struct {
	endpoints   []Endpoint
	answers     map[string]Endpoint
	fences      map[string]uint64
	log         []Order
	next        int
	unavailable map[string]bool
}

func newOrderingState() orderingState {
	return orderingState{answers: map[string]Endpoint{}, fences: map[string]uint64{}, unavailable: map[string]bool{}}
}

// Orders returns every order that took effect, in order.
func (p *Platform) Orders() []Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Order(nil), p.ordering.log...)
}

// AddEndpoint lists an endpoint that was not ordered through the interface.
func (p *Platform) AddEndpoint(e Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ordering.endpoints = append(p.ordering.endpoints, e)
}

// SetUnavailable makes cheap endpoints of a data centre unavailable.
func (p *Platform) SetUnavailable(dataCentre string, unavailable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ordering.unavailable[dataCentre] = unavailable
}

// Reclaim gives notice to all cheap endpoints of a data centre.
func (p *Platform) Reclaim(dataCentre string, notice time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.ordering.endpoints {
		e := &p.ordering.endpoints[i]
		if e.DataCentre == dataCentre && e.Cheap && !e.Leaving {
			e.Leaving = true
			e.EndsAtMs = time.Now().Add(notice).UnixMilli()
			time.AfterFunc(notice, func() { p.remove(e.Name) })
		}
	}
}

// Withdraw marks one endpoint as leaving.
func (p *Platform) Withdraw(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.ordering.endpoints {
		if p.ordering.endpoints[i].Name == name {
			p.ordering.endpoints[i].Leaving = true
		}
	}
}

func (p *Platform) remove(name string) {
	p.mu.Lock()
	var gone Endpoint
	kept := []Endpoint{}
	for _, e := range p.ordering.endpoints {
		if e.Name == name {
			gone = e
			continue
		}
		kept = append(kept, e)
	}
	p.ordering.endpoints = kept
	p.mu.Unlock()
	if p.cfg.Stop != nil && gone.Name != "" {
		p.cfg.Stop(gone)
	}
}

func (p *Platform) listEndpoints(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	g := OrderingGreeting{ChecksFences: !p.cfg.OrderingUnchecked, RequestNumbers: p.cfg.OrderingRequestNumbers, Endpoints: []Endpoint{}}
	for _, e := range p.ordering.endpoints {
		if e.DataCentre == r.PathValue("dataCentre") {
			g.Endpoints = append(g.Endpoints, e)
		}
	}
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, g)
}

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
		p.remove(o.Endpoint)
		writeJSON(w, http.StatusOK, Endpoint{Name: o.Endpoint})
		return
	}
	p.launch(w, o, e)
}

// admitOrder checks an order and returns a status when it is already answered.
func (p *Platform) admitOrder(dataCentre string, o Order) (Endpoint, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.cfg.OrderingUnchecked && o.Fence < p.ordering.fences[dataCentre] {
		return Endpoint{}, http.StatusPreconditionFailed
	}
	p.ordering.fences[dataCentre] = max(p.ordering.fences[dataCentre], o.Fence)
	if p.cfg.OrderingRequestNumbers {
		if e, ok := p.ordering.answers[o.Number]; ok {
			return e, http.StatusOK
		}
	}
	if o.Action == "order" && (p.cfg.Launch == nil || o.Cheap && p.ordering.unavailable[dataCentre]) {
		return Endpoint{}, http.StatusServiceUnavailable
	}
	p.ordering.log = append(p.ordering.log, o)
	p.ordering.next++
	e := Endpoint{
		Name:    fmt.Sprintf("%s-%s-%d", o.Service, dataCentre, p.ordering.next),
		Service: o.Service, Kind: o.Kind, DataCentre: dataCentre, Cheap: o.Cheap,
	}
	if o.Action == "release" {
		e = Endpoint{Name: o.Endpoint}
	}
	p.ordering.answers[o.Number] = e
	return e, 0
}

func (p *Platform) launch(w http.ResponseWriter, o Order, e Endpoint) {
	address, err := p.cfg.Launch(e)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	e.Address = address
	p.mu.Lock()
	p.ordering.endpoints = append(p.ordering.endpoints, e)
	p.ordering.answers[o.Number] = e
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, e)
}

// Windows returns every body sent for a usage window.
func (p *Platform) Windows(window string) [][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.windows[window]
}

// AllWindows returns the bodies of all windows by window.
func (p *Platform) AllWindows() map[string][][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string][][]byte{}
	for k, v := range p.windows {
		out[k] = append([][]byte(nil), v...)
	}
	return out
}

func (p *Platform) putWindow(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.windows[r.PathValue("window")] = append(p.windows[r.PathValue("window")], body)
	if p.loseReports > 0 {
		p.loseReports--
		http.Error(w, "answer lost", http.StatusGatewayTimeout)
	}
}

// LoseReportAnswers drops the answers of the next n usage reports after they took
// effect.
func (p *Platform) LoseReportAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseReports = n
}

// WeightChunkBytes is the unit in which the weight store serves.
const WeightChunkBytes = 1 << 20

func (p *Platform) getWeights(w http.ResponseWriter, r *http.Request) {
	rate := p.cfg.WeightBytesPerSecond
	if rate <= 0 {
		rate = 1 << 40
	}
	chunk := make([]byte, WeightChunkBytes)
	time.Sleep(time.Duration(float64(len(chunk)) / float64(rate) * float64(time.Second)))
	if r.Context().Err() == nil {
		_, _ = w.Write(chunk)
	}
}

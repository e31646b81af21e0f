package slugengine

import (
	"encoding/json"
	"net/http"
	"time"
)

// Order is a control command to the engine.
type Order struct {
	Number string `json:"number"`
	Fence  uint64 `json:"fence"`
	Holder string `json:"holder"`
	// Action is "setRole" to change the role or "load" to load a version of the model.
	Action  string `json:"action"`
	Role    string `json:"role,omitempty"`
	Version string `json:"version,omitempty"`
}

// OrderOutcome is the response to an order.
type OrderOutcome struct {
	Number string `json:"number"`
	Done   bool   `json:"done"`
}

// Orders returns the orders that were accepted, in the order of their arrival. Orders
// that were repeated while their outcome was known appear once.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	outcome, status := e.applyOrder(o)
	if status == http.StatusOK && outcome.Number == "" {
		time.Sleep(e.cfg.OrderTime)
		if e.isDown() {
			panic(http.ErrAbortHandler)
		}
		outcome = OrderOutcome{Number: o.Number, Done: true}
	}
	writeJSON(w, status, outcome)
}

// applyOrder checks the fence and applies an order. It returns status 200 with the known
// outcome of a repeated order, or with an empty outcome if the order was new.
func (e *Engine) applyOrder(o Order) (OrderOutcome, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFences && o.Fence < e.fence {
		return OrderOutcome{Number: o.Number}, http.StatusPreconditionFailed
	}
	e.fence = max(e.fence, o.Fence)
	if known, ok := e.outcomes[o.Number]; ok {
		return known, http.StatusOK
	}
	e.orders = append(e.orders, o)
	switch o.Action {
	case "setRole":
		e.role = o.Role
	case "load":
		e.version = o.Version
	default:
		return OrderOutcome{Number: o.Number}, http.StatusBadRequest
	}
	if e.cfg.ChecksFences {
		e.outcomes[o.Number] = OrderOutcome{Number: o.Number, Done: true}
	}
	return OrderOutcome{}, http.StatusOK
}

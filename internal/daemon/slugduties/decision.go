package slugduties

import (
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/authority/sluglease"
)

// Decision is one decision with its inputs.
type Decision struct {
	At       time.Time          `json:"at"`
	Duty     sluglease.Duty     `json:"duty"`
	Decision string             `json:"decision"`
	Inputs   map[string]float64 `json:"inputs"`
}

// keptDecisions is the number of decisions that are remembered of each duty.
const keptDecisions = 32

// decisions remembers the last decisions of a duty.
type decisions struct {
	mu   sync.Mutex
	list []Decision
}

// recorder returns what a duty's work tells its decisions to.
func (d *decisions) recorder(duty sluglease.Duty) func(string, map[string]float64) {
	return func(decision string, inputs map[string]float64) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.list = append(d.list, Decision{time.Now(), duty, decision, inputs})
		d.list = d.list[max(0, len(d.list)-keptDecisions):]
	}
}

func (d *decisions) all() []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Decision(nil), d.list...)
}

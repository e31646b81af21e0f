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

// maxDecisions is the number of decisions that are remembered of each duty.
const maxDecisions = 32

// decisionLog remembers the last decisionLog of a duty.
type decisionLog struct {
	mu      sync.Mutex
	entries []Decision
}

// recorder returns what a duty's work tells its decisions to.
func (d *decisionLog) recorder(duty sluglease.Duty) func(string, map[string]float64) {
	return func(decision string, inputs map[string]float64) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.entries = append(d.entries, Decision{time.Now(), duty, decision, inputs})
		d.entries = d.entries[max(0, len(d.entries)-maxDecisions):]
	}
}

func (d *decisionLog) snapshot() []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Decision(nil), d.entries...)
}

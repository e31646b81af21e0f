package slugduties

import (
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/authority/sluglease"
)

// Decision is a decision of a duty with the inputs that led to it.
type Decision struct {
	At       time.Time          `json:"at"`
	Duty     sluglease.Duty     `json:"duty"`
	Decision string             `json:"decision"`
	Inputs   map[string]float64 `json:"inputs"`
}

// maxDecisions is the number of recent decisions kept per duty.
const maxDecisions = 32

// decisionLog keeps the most recent decisions of a duty.
type decisionLog struct {
	mu      sync.Mutex
	entries []Decision
}

// recorder returns the function that records the decisions of a duty.
func (d *decisionLog) recorder(duty sluglease.Duty) func(string, map[string]float64) {
	return func(decision string, inputs map[string]float64) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.entries = append(d.entries, Decision{time.Now(), duty, decision, inputs})
		d.entries = d.entries[max(0, len(d.entries)-maxDecisions):]
	}
}

// snapshot returns a copy of the recorded decisions, oldest first.
func (d *decisionLog) snapshot() []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Decision(nil), d.entries...)
}

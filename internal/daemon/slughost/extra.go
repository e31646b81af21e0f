package slughost

import (
	"expvar"
	"fmt"
	"maps"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slughedge"
)

// hedger returns what decides on the extra attempts of a service, and creates it on first use.
// It returns nil if there are no extra attempts.
func (h *Host) hedger(s slugname.Service) *slughedge.Hedger {
	if h.settings().ExtraShare == 0 {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.hedgers[s]
	if x == nil {
		x = slughedge.New(slughedge.Config{Share: h.settings().ExtraShare})
		h.hedgers[s] = x
	}
	return x
}

// exportExtraAttempts writes the counts of extra attempts, and the delays in milliseconds after
// which they are due, into the metrics.
func (h *Host) exportExtraAttempts() {
	h.mu.Lock()
	hedgers := maps.Clone(h.hedgers)
	h.mu.Unlock()
	for name, x := range hedgers {
		s := x.Stats(time.Now())
		m := new(expvar.Map).Init()
		m.Add("sent", s.Sent)
		m.Add("won", s.Won)
		m.Add("lost", s.Lost)
		for reason, n := range s.Refused {
			m.Add("refused."+string(reason), n)
		}
		for c, d := range s.Delays {
			m.Add(fmt.Sprintf("delayMs.%s.%d", c.Route, c.Size), d.Milliseconds())
		}
		h.metrics.Set("extra."+string(name), m)
	}
}

// Package slugcounters counts requests by service and outcome and records latency
// histograms.
//
// # Usage
//
//	c := slugcounters.New()
//	c.Record(outcome)
//	c.Export(metrics)
package slugcounters

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/request/slugdispatch"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
)

const (
	// maxLatency is the highest latency that a histogram can record.
	maxLatency = time.Minute
	// significantDigits is the precision of the histograms in decimal digits.
	significantDigits = 2
)

// Counters counts requests and records their latencies, by service.
type Counters struct {
	mu       sync.Mutex
	services map[slugname.Service]*serviceCounters
}

// serviceCounters holds the counters and histograms of one service. The histograms are in
// milliseconds: firstLatency of slugdispatch.Outcome.TimeToFirst and totalLatency of
// slugdispatch.Outcome.Duration, both of successful requests only.
type serviceCounters struct {
	served, late, notRun, failed, callerLeft int64
	firstLatency, totalLatency               *hdrhistogram.Histogram
}

// New returns empty Counters.
func New() *Counters { return &Counters{services: map[slugname.Service]*serviceCounters{}} }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Milliseconds(), significantDigits)
}

// Record counts a finished request.
func (c *Counters) Record(o slugdispatch.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[o.Service]
	if s == nil {
		s = &serviceCounters{firstLatency: newHistogram(), totalLatency: newHistogram()}
		c.services[o.Service] = s
	}
	s.record(o)
}

func (s *serviceCounters) record(o slugdispatch.Outcome) {
	var refusal *slugrefusal.Refusal
	switch {
	case o.Err == nil:
		s.served++
		if o.Objective > 0 && o.TimeToFirst > o.Objective {
			s.late++
		}
		// RecordValue fails for a latency above maxLatency, which is left out of the
		// histogram.
		_ = s.firstLatency.RecordValue(o.TimeToFirst.Milliseconds())
		_ = s.totalLatency.RecordValue(o.Duration.Milliseconds())
	case errors.Is(o.Err, slugdispatch.ErrCallerDisconnected):
		s.callerLeft++
	case errors.As(o.Err, &refusal) && refusal.Ran == slugrefusal.RanNo:
		s.notRun++
	default:
		s.failed++
	}
}

// quantiles are the exported quantiles, in percent.
var quantiles = map[string]float64{"p50": 50, "p95": 95, "p99": 99}

// Export writes the counters and quantiles into m.
func (c *Counters) Export(m *expvar.Map) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, s := range c.services {
		x := new(expvar.Map).Init()
		for n, v := range map[string]int64{"served": s.served, "late": s.late, "notRun": s.notRun, "failed": s.failed, "callerLeft": s.callerLeft} {
			x.Add(n, v)
		}
		for n, q := range quantiles {
			x.Add("firstMs."+n, s.firstLatency.ValueAtQuantile(q))
			x.Add("wholeMs."+n, s.totalLatency.ValueAtQuantile(q))
		}
		m.Set("requests."+string(name), x)
	}
}

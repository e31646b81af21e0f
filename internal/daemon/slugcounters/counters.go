// Package slugcounters counts requests by service and outcome, and keeps histograms of
// their times.
//
// # Usage
//
//	c := slugcounters.New()
//	c.Ended(outcome)
//	c.Fill(metrics)
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
	// longest is the longest time that a histogram tells apart.
	longest = time.Minute
	// digits is the precision of the histograms.
	digits = 2
)

// Counters counts requests.
type Counters struct {
	mu       sync.Mutex
	services map[slugname.Service]*service
}

type service struct {
	served, late, notRun, failed, left int64
	first, whole                       *hdrhistogram.Histogram
}

// New returns Counters without requests.
func New() *Counters { return &Counters{services: map[slugname.Service]*service{}} }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longest.Milliseconds(), digits)
}

// Ended counts a request.
func (c *Counters) Ended(o slugdispatch.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[o.Service]
	if s == nil {
		s = &service{first: newHistogram(), whole: newHistogram()}
		c.services[o.Service] = s
	}
	s.ended(o)
}

func (s *service) ended(o slugdispatch.Outcome) {
	var refusal *slugrefusal.Refusal
	switch {
	case o.Err == nil:
		s.served++
		if o.Objective > 0 && o.First > o.Objective {
			s.late++
		}
		// A time over the longest is left out of the histogram.
		_ = s.first.RecordValue(o.First.Milliseconds())
		_ = s.whole.RecordValue(o.Whole.Milliseconds())
	case errors.Is(o.Err, slugdispatch.ErrCallerLeft):
		s.left++
	case errors.As(o.Err, &refusal) && refusal.Ran == slugrefusal.RanNo:
		s.notRun++
	default:
		s.failed++
	}
}

// quantiles are the quantiles that are told, in percent.
var quantiles = map[string]float64{"p50": 50, "p95": 95, "p99": 99}

// Fill writes the counts into metrics.
func (c *Counters) Fill(m *expvar.Map) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, s := range c.services {
		x := new(expvar.Map).Init()
		for n, v := range map[string]int64{"served": s.served, "late": s.late, "notRun": s.notRun, "failed": s.failed, "callerLeft": s.left} {
			x.Add(n, v)
		}
		for n, q := range quantiles {
			x.Add("firstMs."+n, s.first.ValueAtQuantile(q))
			x.Add("wholeMs."+n, s.whole.ValueAtQuantile(q))
		}
		m.Set("requests."+string(name), x)
	}
}

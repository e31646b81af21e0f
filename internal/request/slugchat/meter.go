package slugchat

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/authority/slugledger"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugburn"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
)

// meter measures the latency and the tokens of one response.
type meter struct {
	// lastEventNs is the time of the last event in nanoseconds since 1970.
	lastEventNs atomic.Int64
	timeToFirst time.Duration
	hasFirst    bool
	gapCount    slugburn.Count
	// pending is the number of events since tokens were last recorded.
	pending int64
	// recorded is the number of output tokens recorded in the ledger so far.
	recorded int64
}

// recordBatchEvents is the number of events after which the output tokens are recorded in
// the ledger.
const recordBatchEvents = 64

// idle returns the time since the last event.
func (m *meter) idle(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, m.lastEventNs.Load()))
}

// event records the arrival of an event and reports whether it was the first.
func (m *meter) event(x *exchange, now time.Time) bool {
	last := m.lastEventNs.Swap(now.UnixNano())
	m.pending++
	if m.pending >= recordBatchEvents {
		x.recordTokens()
	}
	if !m.hasFirst {
		m.hasFirst = true
		m.timeToFirst = now.Sub(x.call.Received)
		return true
	}
	m.gapCount.Total++
	if limit := x.call.Service.Objectives.BetweenTokensMs; limit == 0 || now.UnixNano()-last <= int64(limit)*int64(time.Millisecond) {
		m.gapCount.Good++
	}
	return false
}

// recordTokens records in the ledger the output tokens relayed since its last call.
func (x *exchange) recordTokens() {
	tokens := int64(x.writer.Tokens())
	x.cfg.Ledger.Add(x.ledgerKey(), slugledger.Totals{OutputTokens: tokens - x.meter.recorded})
	x.meter.recorded = tokens
	x.meter.pending = 0
}

// recordUsage records the usage of the request in the ledger. The prompt tokens of an
// incomplete response are not billed, since the endpoint did not report them.
func (x *exchange) recordUsage(complete bool) {
	if x.call.Service == nil || x.writer.Tokens() == 0 && !complete {
		return
	}
	x.recordTokens()
	t := slugledger.Totals{Requests: 1}
	if u, ok := x.writer.Usage(); ok && complete {
		t.PromptTokens, t.CachedTokens = u.PromptTokens, u.CachedTokens
	}
	x.cfg.Ledger.Add(x.ledgerKey(), t)
}

func (x *exchange) ledgerKey() slugledger.Key {
	return slugledger.Key{Workspace: x.call.Workspace, Service: x.call.Service.Name}
}

// recordObjectives counts whether the response met the objectives of the service.
// Refusals that the caller caused and requests that the caller canceled do not count.
func (x *exchange) recordObjectives(ctx context.Context, refusal *slugrefusal.Refusal) {
	if x.call.Service == nil || ctx.Err() != nil || refusal != nil && refusal.Status() < 500 {
		return
	}
	now := time.Now()
	o := x.call.Service.Objectives
	k := slugburn.Key{Service: x.call.Service.Name, Workspace: x.call.Workspace, Class: x.call.Class}
	first := x.meter.hasFirst && withinLimit(x.meter.timeToFirst, o.FirstTokenMs)
	x.cfg.Burn.Add(k, slugburn.FirstToken, countOf(first), now)
	x.cfg.Burn.Add(k, slugburn.BetweenTokens, x.meter.gapCount, now)
	complete := refusal == nil && withinLimit(now.Sub(x.call.Received), o.CompletionMs)
	x.cfg.Burn.Add(k, slugburn.Completion, countOf(complete), now)
}

func countOf(good bool) slugburn.Count {
	if good {
		return slugburn.Count{Good: 1, Total: 1}
	}
	return slugburn.Count{Total: 1}
}

func withinLimit(d time.Duration, limitMs int) bool {
	return limitMs == 0 || d <= time.Duration(limitMs)*time.Millisecond
}

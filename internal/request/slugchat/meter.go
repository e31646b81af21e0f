package slugchat

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/authority/slugledger"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugburn"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
)

// meter measures one answer.
type meter struct {
	// lastNs is the time of the last event in nanoseconds since 1970.
	lastNs atomic.Int64
	first  time.Duration
	begun  bool
	gaps   slugburn.Count
	// pending is the number of events since the last count.
	pending int64
	// billed is the number of tokens counted so far.
	billed int64
}

// billEvery is the number of tokens that are counted together.
const billEvery = 64

// idle returns the time since the last event.
func (m *meter) idle(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, m.lastNs.Load()))
}

// event measures one event and reports whether it was the first.
func (m *meter) event(x *exchange, now time.Time) bool {
	last := m.lastNs.Swap(now.UnixNano())
	m.pending++
	if m.pending >= billEvery {
		x.flush()
	}
	if !m.begun {
		m.begun = true
		m.first = now.Sub(x.call.Received)
		return true
	}
	m.gaps.Total++
	if limit := x.call.Service.Objectives.BetweenTokensMs; limit == 0 || now.UnixNano()-last <= int64(limit)*int64(time.Millisecond) {
		m.gaps.Good++
	}
	return false
}

// flush counts the tokens that were relayed since the last flush.
func (x *exchange) flush() {
	tokens := int64(x.writer.Tokens())
	x.cfg.Ledger.Add(x.billed(), slugledger.Totals{OutputTokens: tokens - x.meter.billed})
	x.meter.billed = tokens
	x.meter.pending = 0
}

// bill counts what the answer cost. The prompt of an answer that did not become
// whole is not billed, since the endpoint did not tell its cost.
func (x *exchange) bill(whole bool) {
	if x.call.Service == nil || x.writer.Tokens() == 0 && !whole {
		return
	}
	x.flush()
	t := slugledger.Totals{Requests: 1}
	if u, ok := x.writer.Usage(); ok && whole {
		t.PromptTokens, t.CachedTokens = u.PromptTokens, u.CachedTokens
	}
	x.cfg.Ledger.Add(x.billed(), t)
}

func (x *exchange) billed() slugledger.Key {
	return slugledger.Key{Workspace: x.call.Workspace, Service: x.call.Service.Name}
}

// rate counts whether the answer met the objectives. Refusals that are the
// caller's own fault and answers that the caller gave up do not count.
func (x *exchange) rate(ctx context.Context, refusal *slugrefusal.Refusal) {
	if x.call.Service == nil || ctx.Err() != nil || refusal != nil && refusal.Status() < 500 {
		return
	}
	now := time.Now()
	o := x.call.Service.Objectives
	k := slugburn.Key{Service: x.call.Service.Name, Workspace: x.call.Workspace, Class: x.call.Class}
	first := x.meter.begun && within(x.meter.first, o.FirstTokenMs)
	x.cfg.Burn.Add(k, slugburn.FirstToken, one(first), now)
	x.cfg.Burn.Add(k, slugburn.BetweenTokens, x.meter.gaps, now)
	whole := refusal == nil && within(now.Sub(x.call.Received), o.CompletionMs)
	x.cfg.Burn.Add(k, slugburn.Completion, one(whole), now)
}

func one(good bool) slugburn.Count {
	if good {
		return slugburn.Count{Good: 1, Total: 1}
	}
	return slugburn.Count{Total: 1}
}

func within(d time.Duration, limitMs int) bool {
	return limitMs == 0 || d <= time.Duration(limitMs)*time.Millisecond
}

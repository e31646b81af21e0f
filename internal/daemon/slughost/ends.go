package slughost

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugbacklog"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

const (
	// endsInterval is how long the ends of prompts are collected for the owners of their
	// engines, so that an owner gets one message at most in that time. An announcement to the
	// same owner takes them along.
	endsInterval = 50 * time.Millisecond
	// maxPendingEnds bounds the ends that are collected for one owner.
	maxPendingEnds = 256
	// percentOfOne is what a factor of 1 is in percent.
	percentOfOne = 100
)

// endsKey names an engine.
type endsKey struct {
	service  slugname.Service
	endpoint slugname.Endpoint
}

// endReports collects the ends of prompts for the owners of their engines.
type endReports struct {
	mu      sync.Mutex
	pending map[slugname.Process]map[endsKey][]slugplacement.PromptEnd
	// timed is set while a timer runs that sends what is pending.
	timed bool
}

func newEndReports() *endReports {
	return &endReports{pending: map[slugname.Process]map[endsKey][]slugplacement.PromptEnd{}}
}

// Add adds the end of a prompt for an owner. first reports whether it is the first one to be
// sent by a timer, full whether it was dropped.
func (r *endReports) Add(owner slugname.Process, s slugname.Service, e slugplacement.PromptEnd) (first, full bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	byEngine := r.pending[owner]
	if byEngine == nil {
		byEngine = map[endsKey][]slugplacement.PromptEnd{}
		r.pending[owner] = byEngine
	}
	n := 0
	for _, list := range byEngine {
		n += len(list)
	}
	if n >= maxPendingEnds {
		return false, true
	}
	k := endsKey{s, e.Endpoint}
	byEngine[k] = append(byEngine[k], e)
	first = !r.timed
	r.timed = true
	return first, false
}

// Take returns what is pending for an owner.
func (r *endReports) Take(owner slugname.Process, now time.Time) []slugpeer.PromptEnds {
	r.mu.Lock()
	byEngine := r.pending[owner]
	delete(r.pending, owner)
	r.mu.Unlock()
	var out []slugpeer.PromptEnds
	for k, list := range byEngine {
		out = append(out, encodeEnds(k, list, now))
	}
	return out
}

// Owners returns the owners for whom ends are pending, and lets the next one start a timer.
func (r *endReports) Owners() (out []slugname.Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timed = false
	for owner := range r.pending {
		out = append(out, owner)
	}
	return out
}

// ownsEndpoint reports whether this process is the owner of an endpoint.
func (h *Host) ownsEndpoint(e slugname.Endpoint, dc slugname.DataCentre) bool {
	owner, known := h.owners.Owner(e, dc)
	return known && owner == h.member.Self().Process
}

// promptEnded returns the function that passes the end of a service's prompt to the owner of
// the engine, or returns true if that is this process.
func (h *Host) promptEnded(s slugname.Service) func(slugplacement.PromptEnd) bool {
	return func(e slugplacement.PromptEnd) bool {
		owner, known := h.owners.Owner(e.Endpoint, e.DataCentre)
		if !known {
			return false
		}
		if owner == h.member.Self().Process {
			return true
		}
		first, full := h.ends.Add(owner, s, e)
		if full {
			h.metrics.Add("promptEndsLost", 1)
		}
		if first {
			time.AfterFunc(endsInterval, h.sendEnds)
		}
		return false
	}
}

// sendEnds sends the pending ends of prompts to the owners of their engines.
func (h *Host) sendEnds() {
	for _, name := range h.ends.Owners() {
		ends := h.ends.Take(name, time.Now())
		owner, known := h.member.Record(name)
		if known && len(ends) > 0 {
			go h.sendEndsTo(owner, ends)
		}
	}
}

// sendEndsTo sends ends of prompts to an owner. If the message is lost, the owner counts the
// prompts until they expire.
func (h *Host) sendEndsTo(owner slugmember.Record, ends []slugpeer.PromptEnds) {
	ctx, cancel := context.WithTimeout(h.aborted, announceTimeout)
	defer cancel()
	h.metrics.Add("promptEndMessages", 1)
	if _, err := h.transport.Call(ctx, owner, slugpeer.Message{Protocol: slugpeer.Protocol, Ends: ends}); err != nil {
		h.metrics.Add("promptEndsLost", int64(len(ends)))
	}
}

// handleEnds records the ends of prompts that a peer announced to this process.
func (h *Host) handleEnds(list []slugpeer.PromptEnds) {
	now := time.Now()
	for _, x := range list {
		p := h.placer(x.Service)
		for _, end := range x.Ends {
			e := slugplacement.PromptEnd{Endpoint: x.Endpoint, End: slugbacklog.End{
				Ticket: slugbacklog.Ticket(end.Ticket), At: now.Add(-time.Duration(end.AgeMs) * time.Millisecond), Served: end.Served,
			}}
			if x.Percent > 0 {
				e.Factor, e.FactorAt = float64(x.Percent)/percentOfOne, now.Add(-time.Duration(x.PercentAgeMs)*time.Millisecond)
			}
			p.RecordEnd(e, now)
		}
		h.metrics.Add("promptEndsReceived", int64(len(x.Ends)))
	}
}

// encodeEnds converts the ends of prompts at an engine for a peer. The last one has the latest
// factor.
func encodeEnds(k endsKey, list []slugplacement.PromptEnd, now time.Time) slugpeer.PromptEnds {
	out := slugpeer.PromptEnds{Service: k.service, Endpoint: k.endpoint, Ends: make([]slugpeer.PromptEnd, len(list))}
	for i, e := range list {
		out.Ends[i] = slugpeer.PromptEnd{Ticket: uint32(e.Ticket), AgeMs: millisecondsSince(e.At, now), Served: e.Served}
	}
	if last := list[len(list)-1]; last.Factor > 0 {
		out.Percent, out.PercentAgeMs = percent(last.Factor), millisecondsSince(last.FactorAt, now)
	}
	return out
}

// millisecondsSince returns the time since at in milliseconds, as far as that can be sent.
func millisecondsSince(at, now time.Time) uint16 {
	return uint16(min(max(0, now.Sub(at).Milliseconds()), math.MaxUint16))
}

// percent returns a factor in percent, as far as that can be sent.
func percent(factor float64) uint16 {
	return uint16(min(max(1, math.Round(factor*percentOfOne)), math.MaxUint16))
}

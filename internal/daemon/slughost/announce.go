package slughost

import (
	"context"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugbacklog"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

// announceTimeout limits the time of an announcement. Without an answer the prompt goes to
// the endpoint that was chosen before.
const announceTimeout = 100 * time.Millisecond

// owner returns the process that owns an endpoint in a data centre. All prompts for the
// endpoint are announced to its owner.
func (h *Host) owner(e slugname.Endpoint, dc slugname.DataCentre) (slugmember.Record, bool) {
	p, ok := h.owners.Owner(e, dc)
	if !ok {
		return slugmember.Record{}, false
	}
	return h.member.Record(p)
}

// announce announces a prompt for the chosen endpoint to its owner. It returns the
// queueing delay, work and cached tokens to expect there, or false if the owner gave no
// answer. With hold above 0, a deferred prompt waits there for its turn for that long.
func (h *Host) announce(ctx context.Context, s slugname.Service, c *slugplacement.Choice, t slugplacement.Terms, hold time.Duration) (slugplacement.Forecast, bool) {
	f, ok := h.askOwner(ctx, s, c, t, hold)
	h.metrics.Add("prompts.announced", 1)
	if f.Deferred {
		h.metrics.Add("prompts.deferred", 1)
	}
	if f.Declined {
		h.metrics.Add("prompts.declined", 1)
	}
	return f, ok
}

// askOwner implements announce.
func (h *Host) askOwner(ctx context.Context, s slugname.Service, c *slugplacement.Choice, t slugplacement.Terms, hold time.Duration) (slugplacement.Forecast, bool) {
	owner, known := h.owner(c.Name, c.DataCentre)
	if !known {
		return slugplacement.Forecast{}, false
	}
	job, copied := c.Job()
	if owner.Process == h.member.Self().Process {
		return h.announceOwn(ctx, s, c.Name, job, copied, t, hold)
	}
	a := slugpeer.Announcement{Service: s, Endpoint: c.Name, Parts: encodeParts(job), Copied: uint32(copied)}
	m := slugpeer.Message{
		Announcement: &a, Ticket: uint32(job.Ticket), MaxWaitUs: t.MaxWait.Microseconds(), Yield: encodeYield(t, hold),
	}
	answer, ok := h.sendAnnouncement(ctx, owner, m, announceTimeout+hold)
	if !ok {
		return slugplacement.Forecast{}, false
	}
	f := decodeForecast(answer.Forecast)
	f.Declined, f.Deferred, f.ReadyIn = answer.Declined, answer.Deferred, time.Duration(max(0, answer.ReadyUs))*time.Microsecond
	if x := answer.Holder; x != nil {
		f.Holder = slugplacement.Holder{Endpoint: x.Endpoint, Tokens: int(x.Tokens), ReadyIn: time.Duration(max(0, x.ReadyUs)) * time.Microsecond}
	}
	if b := answer.Better; b != nil {
		f.Hint = slugplacement.Hint{Endpoint: b.Endpoint, Wait: time.Duration(b.WaitUs) * time.Microsecond}
	}
	return f, true
}

// withdrawAnnouncement withdraws an announcement.
func (h *Host) withdrawAnnouncement(s slugname.Service, c *slugplacement.Choice, f slugplacement.Forecast) {
	owner, known := h.owner(c.Name, c.DataCentre)
	if !known {
		return
	}
	job, _ := c.Job()
	instead, readyIn := c.Instead()
	if owner.Process == h.member.Self().Process {
		h.placer(s).WithdrawAnnouncement(c.Name, job, f, time.Now())
		h.placer(s).RecordSent(instead, job, readyIn, time.Now())
		return
	}
	a := slugpeer.Announcement{Service: s, Endpoint: c.Name, Parts: encodeParts(job), Withdraw: encodeForecast(f)}
	m := slugpeer.Message{Announcement: &a, Ticket: uint32(job.Ticket)}
	if instead != "" {
		m.Instead = &slugpeer.BetterEndpoint{Endpoint: instead, WaitUs: readyIn.Microseconds()}
	}
	// If this message is lost, the announced work counts until it would have been done.
	go h.sendAnnouncement(context.Background(), owner, m, announceTimeout)
}

// sendAnnouncement sends an announcement, or its withdrawal, to the owner of the endpoint.
func (h *Host) sendAnnouncement(ctx context.Context, owner slugmember.Record, m slugpeer.Message, timeout time.Duration) (slugpeer.Message, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	m.Protocol = slugpeer.Protocol
	m.Ends = h.ends.Take(owner.Process, time.Now())
	answer, err := h.transport.Call(ctx, owner, m)
	return answer, err == nil && answer.Forecast != nil
}

// handleAnnouncement handles an announcement, or its withdrawal, from a peer. It declines a
// prompt that would wait longer than the sender accepts, and defers one that yields and would be
// late.
func (h *Host) handleAnnouncement(m slugpeer.Message, answer *slugpeer.Message) {
	a := m.Announcement
	job := decodeJob(a.Parts)
	job.Ticket = slugbacklog.Ticket(m.Ticket)
	if a.Withdraw != nil {
		h.placer(a.Service).WithdrawAnnouncement(a.Endpoint, job, decodeForecast(a.Withdraw), time.Now())
		if x := m.Instead; x != nil {
			h.placer(a.Service).RecordSent(x.Endpoint, job, time.Duration(max(0, x.WaitUs))*time.Microsecond, time.Now())
		}
		answer.Forecast = a.Withdraw
		return
	}
	terms, hold := decodeYield(m.Yield)
	terms.MaxWait = time.Duration(max(0, m.MaxWaitUs)) * time.Microsecond
	forecast, ok := h.announceOwn(h.aborted, a.Service, a.Endpoint, job, int(a.Copied), terms, hold)
	if !ok {
		return
	}
	if forecast.Hint.Endpoint != "" {
		answer.Better = &slugpeer.BetterEndpoint{Endpoint: forecast.Hint.Endpoint, WaitUs: forecast.Hint.Wait.Microseconds()}
	}
	answer.Forecast, answer.Declined, answer.Deferred = encodeForecast(forecast), forecast.Declined, forecast.Deferred
	answer.ReadyUs = forecast.ReadyIn.Microseconds()
	if x := forecast.Holder; x.Endpoint != "" {
		answer.Holder = &slugpeer.PartHolder{Endpoint: x.Endpoint, Tokens: uint32(max(0, x.Tokens)), ReadyUs: x.ReadyIn.Microseconds()}
	}
}

// encodeForecast converts the result of an announcement for a peer.
func encodeForecast(f slugplacement.Forecast) *slugpeer.Forecast {
	return &slugpeer.Forecast{WaitUs: f.Wait.Microseconds(), WorkUs: f.Work.Microseconds(), Cached: uint32(f.Cached)}
}

// decodeForecast converts the result of an announcement from a peer.
func decodeForecast(f *slugpeer.Forecast) slugplacement.Forecast {
	return slugplacement.Forecast{
		Wait: time.Duration(f.WaitUs) * time.Microsecond, Work: time.Duration(f.WorkUs) * time.Microsecond, Cached: int(f.Cached),
	}
}

// encodeParts converts the parts of a prompt for a peer.
func encodeParts(j slugplacement.Job) []slugpeer.PromptPart {
	out := make([]slugpeer.PromptPart, len(j.Parts))
	for i, p := range j.Parts {
		out[i] = slugpeer.PromptPart{ID: string(p.ID), Tokens: uint32(max(0, p.Tokens))}
	}
	return out
}

// decodeJob converts the parts of a prompt from a peer.
func decodeJob(parts []slugpeer.PromptPart) (j slugplacement.Job) {
	for _, p := range parts {
		j.Parts = append(j.Parts, slugplacement.Part{ID: slugplacement.PartID(p.ID), Tokens: int(p.Tokens)})
		j.Tokens += int(p.Tokens)
	}
	return j
}

package slughost

import (
	"context"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

// announceTimeout bounds the question what a prompt will find at an endpoint. Without an
// answer it goes where it would have gone.
const announceTimeout = 100 * time.Millisecond

// owner returns the process that answers for an endpoint: all prompts for it are
// announced there.
func (h *Host) owner(e slugname.Endpoint) (slugmember.Record, bool) {
	owners := slugmember.Closest(string(e), h.candidates(), 1)
	if len(owners) == 0 {
		return slugmember.Record{}, false
	}
	return h.member.Record(owners[0])
}

// announce announces a prompt for the endpoint that was chosen, and returns what it will
// find there.
func (h *Host) announce(ctx context.Context, s slugname.Service, c *slugplacement.Choice) (slugplacement.Announced, bool) {
	owner, known := h.owner(c.Name)
	if !known {
		return slugplacement.Announced{}, false
	}
	job, copied := c.Job()
	if owner.Process == h.member.Self().Process {
		return h.placer(s).Announce(c.Name, job, copied, time.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	m := slugpeer.Reserve{Service: s, Endpoint: c.Name, Parts: partsFor(job), Copied: uint32(copied)}
	answer, err := h.link.Call(ctx, owner, slugpeer.Message{Protocol: slugpeer.Protocol, Reserve: &m})
	if err != nil || answer.Reserved == nil {
		return slugplacement.Announced{}, false
	}
	return announced(*answer.Reserved), true
}

// takeBack undoes an announcement.
func (h *Host) takeBack(s slugname.Service, c *slugplacement.Choice, a slugplacement.Announced) {
	owner, known := h.owner(c.Name)
	job, _ := c.Job()
	switch {
	case !known:
		return
	case owner.Process == h.member.Self().Process:
		h.placer(s).TakeBack(c.Name, job, a, time.Now())
		return
	}
	undo := slugpeer.Reserved{WaitUs: a.Wait.Microseconds(), WorkUs: a.Work.Microseconds(), Cached: uint32(a.Cached)}
	m := slugpeer.Reserve{Service: s, Endpoint: c.Name, Parts: partsFor(job), Undo: &undo}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
		defer cancel()
		// Work that is not taken back counts until it would have been done.
		_, _ = h.link.Call(ctx, owner, slugpeer.Message{Protocol: slugpeer.Protocol, Reserve: &m})
	}()
}

// peerAnnounces takes an announcement of a peer.
func (h *Host) peerAnnounces(r slugpeer.Reserve) *slugpeer.Reserved {
	var job slugplacement.Job
	for _, p := range r.Parts {
		job.Parts = append(job.Parts, slugplacement.Part{ID: slugplacement.PartID(p.ID), Tokens: int(p.Tokens)})
		job.Tokens += int(p.Tokens)
	}
	if r.Undo != nil {
		h.placer(r.Service).TakeBack(r.Endpoint, job, announced(*r.Undo), time.Now())
		return r.Undo
	}
	a, ok := h.placer(r.Service).Announce(r.Endpoint, job, int(r.Copied), time.Now())
	if !ok {
		return nil
	}
	return &slugpeer.Reserved{WaitUs: a.Wait.Microseconds(), WorkUs: a.Work.Microseconds(), Cached: uint32(a.Cached)}
}

func announced(r slugpeer.Reserved) slugplacement.Announced {
	return slugplacement.Announced{
		Wait: time.Duration(r.WaitUs) * time.Microsecond, Work: time.Duration(r.WorkUs) * time.Microsecond, Cached: int(r.Cached),
	}
}

// partsFor returns the parts of a prompt for a peer.
func partsFor(j slugplacement.Job) []slugpeer.PromptPart {
	out := make([]slugpeer.PromptPart, len(j.Parts))
	for i, p := range j.Parts {
		out[i] = slugpeer.PromptPart{ID: string(p.ID), Tokens: uint32(max(0, p.Tokens))}
	}
	return out
}

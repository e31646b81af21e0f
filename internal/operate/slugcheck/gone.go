package slugcheck

import "time"

// goneSlack is how long after its caller has left a request may still be sent to an endpoint.
const goneSlack = 500 * time.Millisecond

// gone finds requests that were sent to endpoints although their callers had left. A stop of the host
// excuses nothing: what it reads afterwards has no caller.
func (o *Observation) gone() (out []Broken) {
	goneAt := map[RequestID]Attempt{}
	for _, a := range o.Attempts {
		if !a.GoneAt.IsZero() {
			goneAt[a.ID] = a
		}
	}
	for _, list := range [][]Arrival{o.Arrivals, o.Prompts} {
		for _, x := range list {
			a, ok := goneAt[x.ID]
			if ok && x.SentAt.Sub(a.GoneAt) > goneSlack && !o.heldUp(a.GoneAt, x.SentAt) {
				out = append(out, a.broken(Gone, "sent to %s %d ms after its caller had left or its time was over", x.Endpoint, x.SentAt.Sub(a.GoneAt).Milliseconds()))
			}
		}
	}
	return out
}

// heldUp reports whether the machine held up the soak, and the hosts with it, between two times.
func (o *Observation) heldUp(since, until time.Time) bool {
	for _, y := range o.Outages {
		if y.Host == AllHosts && y.From.Before(until) && y.To.After(since) {
			return true
		}
	}
	return false
}

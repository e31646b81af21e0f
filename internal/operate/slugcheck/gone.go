package slugcheck

import "time"

// goneSlack is how long after its caller has left a request may still reach an endpoint.
const goneSlack = 500 * time.Millisecond

// gone finds requests that reached endpoints although their callers had left. A stop of the host
// excuses nothing: what it reads afterwards has no caller.
func (o *Observation) gone() (out []Broken) {
	left := map[RequestID]Attempt{}
	for _, a := range o.Attempts {
		if a.End == Left || a.End == Abandoned || a.End == TimedOut {
			left[a.ID] = a
		}
	}
	for _, list := range [][]Arrival{o.Arrivals, o.Prompts} {
		for _, x := range list {
			a, ok := left[x.ID]
			if ok && x.At.Sub(a.EndedAt) > goneSlack && !o.held(x, a.EndedAt) {
				out = append(out, a.broken(Gone, "reached %s %d ms after its caller had left", x.Endpoint, x.At.Sub(a.EndedAt).Milliseconds()))
			}
		}
	}
	return out
}

// held reports whether an arrival may have been sent before the given time and held up since, by the
// soak or by the machine.
func (o *Observation) held(x Arrival, since time.Time) bool {
	for _, h := range o.Holds {
		if h.Endpoint == x.Endpoint && h.From.Before(x.At) && h.To.After(since) {
			return true
		}
	}
	for _, y := range o.Outages {
		if y.Host == AllHosts && y.From.Before(x.At) && y.To.After(since) {
			return true
		}
	}
	return false
}

package slugcheck

import (
	"slices"
	"time"
)

// readSlack is the time that a host has to have run after the last byte of a request so that
// the request counts as read if its connection is closed only then. It is the slack that the
// platform states for requests that cross the close of a connection.
const readSlack = 200 * time.Millisecond

// responseMargin is the part of the time limit that hosts reserve for sending the end of a
// response (responseMargin in slugdispatch). A response that is cut then has reached its limit.
const responseMargin = 20 * time.Millisecond

// lost finds requests that were read and got no response, and streams that were cut, at hosts
// that were not killed. Silence of an endpoint is no excuse.
func (o *Observation) lost() (out []Broken) {
	arrivals := o.arrivals()
	for _, a := range o.Attempts {
		switch {
		case a.End == TimedOut && a.Status == 0 && !o.out(a, false):
			out = append(out, a.broken(Lost, "no response at the time limit"))
		case a.End != Closed || !a.EndedAt.Before(a.Deadline.Add(-responseMargin)) || o.out(a, true):
		case a.Status == 0 && (len(arrivals[a.ID]) > 0 || o.ranFor(a) > readSlack):
			out = append(out, a.broken(Lost, "no response, received by %d endpoints", len(arrivals[a.ID])))
		case a.Status != 0 && !o.brokenOff(a, arrivals[a.ID]):
			out = append(out, a.broken(Lost, "response cut after event %d of %d, received by %d endpoints", a.After+len(a.Events), a.Last, len(arrivals[a.ID])))
		}
	}
	return out
}

// ranFor returns how long the host of an attempt ran during the attempt. A request that
// arrives while a process is stopped stays in the kernel.
func (o *Observation) ranFor(a Attempt) (d time.Duration) {
	from := a.SentAt
	stops := slices.Clone(o.Outages)
	slices.SortFunc(stops, func(x, y Outage) int { return x.From.Compare(y.From) })
	for _, x := range stops {
		if x.Host == a.Host && !x.Killed && x.To.After(from) && x.From.Before(a.EndedAt) {
			d += max(0, x.From.Sub(from))
			from = x.To
		}
	}
	return d + max(0, a.EndedAt.Sub(from))
}

// out reports whether the host of an attempt was killed during the attempt or, unless
// killedOnly is true, stopped.
func (o *Observation) out(a Attempt, killedOnly bool) bool {
	for _, x := range o.Outages {
		if (x.Host == a.Host || x.Host == AllHosts) && (x.Killed || !killedOnly) && !x.From.After(a.EndedAt) && !x.To.Before(a.SentAt) {
			return true
		}
	}
	return false
}

// brokenOff reports whether a connection on which an endpoint received the request was reset
// before the attempt ended.
func (o *Observation) brokenOff(a Attempt, arrivals []Arrival) bool {
	for _, x := range arrivals {
		for _, b := range o.Breaks {
			if b.Connection == x.Connection && !b.At.Before(x.At) && !b.At.After(a.EndedAt) {
				return true
			}
		}
	}
	return false
}

package slugcheck

import (
	"fmt"
	"net/http"
)

// twice finds requests that ran more than once although they may run once.
func (o *Observation) twice() (out []Broken) {
	arrivals := o.arrivals()
	for _, a := range o.Attempts {
		if n := runs(arrivals[a.ID]); n > 1 && (a.Kind == Unsafe || a.Kind == Once) {
			out = append(out, a.broken(Twice, "ran %d times", n))
		}
	}
	return out
}

// refused finds requests that ran although their response states that they did not.
func (o *Observation) refused() (out []Broken) {
	arrivals := o.arrivals()
	for _, a := range o.Attempts {
		if n := runs(arrivals[a.ID]); n > 0 && NotRun(a.Status) {
			out = append(out, a.broken(Refused, "refused as not run, and ran %d times", n))
		}
	}
	return out
}

// NotRun reports whether a status states that the request did not run and never will.
func NotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// memory finds processes that used more memory than they may.
func (o *Observation) memory() (out []Broken) {
	for _, m := range o.Memory {
		if m.Peak > m.Limit {
			out = append(out, Broken{Promise: MemoryUsed, Detail: fmt.Sprintf("%s: used %d MB, %d allowed", m.Process, m.Peak>>20, m.Limit>>20)})
		}
	}
	return out
}

// ended finds processes that ended by themselves.
func (o *Observation) ended() (out []Broken) {
	for _, x := range o.Exits {
		out = append(out, Broken{Ended, "", x.At, x.Process + ": " + x.Detail})
	}
	return out
}

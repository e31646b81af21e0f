package slugcheck

import "net/http"

// mixed finds responses that belong to another request, and successes that no endpoint made.
func (o *Observation) mixed() (out []Broken) {
	for _, a := range o.Attempts {
		if a.Status == 0 {
			continue
		}
		if a.EchoedID != "" && a.EchoedID != a.ID {
			out = append(out, a.broken(Mixed, "response to request %q", a.EchoedID))
		}
		if a.Status != http.StatusOK {
			continue
		}
		if !a.Signed {
			out = append(out, a.broken(Mixed, "success without a signature"))
		}
		if !a.Kind.stream() && a.End == Complete && a.Body != AnswerTo(a.ID) {
			out = append(out, a.broken(Mixed, "body %q", a.Body))
		}
		for _, e := range a.Events {
			if e.Work != a.Work {
				out = append(out, a.broken(Mixed, "event %d is of %q instead of %q", e.Number, e.Work, a.Work))
				break
			}
		}
	}
	return out
}

// AnswerTo returns the body with which endpoints respond to a request that is no stream.
func AnswerTo(id RequestID) string { return "answer to " + string(id) }

// order finds streams with missing or repeated events, with events of two software versions
// or, where that is not allowed, of two runs, and streams that end before their last event.
func (o *Observation) order() (out []Broken) {
	versions := map[Work]string{}
	for _, a := range o.Attempts {
		if !a.Kind.stream() || a.Status != http.StatusOK {
			continue
		}
		for i, e := range a.Events {
			if e.Number != a.After+i+1 {
				out = append(out, a.broken(Order, "event %d follows event %d", e.Number, a.After+i))
				break
			}
			if a.Kind == Once && e.Run != a.Events[0].Run {
				out = append(out, a.broken(Order, "event %d is of run %s, the first of %s", e.Number, e.Run, a.Events[0].Run))
				break
			}
			if v, ok := versions[a.Work]; ok && v != e.Version {
				out = append(out, a.broken(Order, "event %d is of software version %s, the first of %s", e.Number, e.Version, v))
				break
			}
			versions[a.Work] = e.Version
		}
		if a.End == Complete && a.After+len(a.Events) < a.Last {
			out = append(out, a.broken(Order, "ends as complete after event %d of %d", a.After+len(a.Events), a.Last))
		}
	}
	return out
}

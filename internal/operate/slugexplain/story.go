package slugexplain

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
)

// Explanation is what the logs tell of one request.
type Explanation struct {
	Request string `json:"request"`
	// Lines are those of the request, and what the logs tell of the endpoints that took
	// part shortly before and while it ran.
	Lines []Line `json:"lines"`
	// Cause is the likely cause of its outcome in a sentence.
	Cause string `json:"cause"`
}

const (
	// contextBefore is how long contextBefore a request what happened to its endpoints is told.
	contextBefore = 5 * time.Second
	// slowPrefillFactor is the number of times its prediction that a prompt must have taken to be
	// called unexpected.
	slowPrefillFactor = 3
)

// Explain returns what happened to a request.
func (l *Log) Explain(request string) Explanation {
	s := Explanation{Request: request}
	endpoints := map[string]bool{}
	var first, last time.Time
	for _, x := range l.Lines {
		if x.Request != request {
			continue
		}
		if first.IsZero() {
			first = x.Time
		}
		last = x.Time
		s.Lines = append(s.Lines, x)
		for _, e := range append(x.listField("endpoints"), x.stringField("endpoint")) {
			endpoints[e] = true
		}
	}
	s.Cause = likelyCause(s.Lines, l)
	delete(endpoints, "")
	for _, x := range l.Lines {
		about := x.Event == slugevent.EndpointGone || x.Event == slugevent.EndpointChanged
		if about && endpoints[x.stringField("endpoint")] && x.Time.After(first.Add(-contextBefore)) && x.Time.Before(last) {
			s.Lines = append(s.Lines, x)
		}
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return s
}

// likelyCause returns the likely likelyCause of a request's outcome.
func likelyCause(lines []Line, l *Log) string {
	if len(lines) == 0 {
		return causeWithoutLines(l)
	}
	end, failed := Line{}, []Line{}
	for _, x := range lines {
		switch x.Event {
		case slugevent.AttemptFailed:
			failed = append(failed, x)
		case slugevent.RequestServed, slugevent.RequestRefused, slugevent.RequestFailed:
			end = x
		}
	}
	switch end.Event {
	case slugevent.RequestServed:
		return servedCause(end, lines, failed)
	case slugevent.RequestRefused:
		return refusedCause(end, failed)
	case slugevent.RequestFailed:
		return fmt.Sprintf("Failed after %.0f ms: %s.%s", end.numberField("tookMs"), end.stringField("error"), failedAttempts(failed))
	}
	return "Its end is in no log: the process ended first, or the line was dropped." + failedAttempts(failed)
}

func causeWithoutLines(l *Log) string {
	for _, x := range l.Lines {
		if x.Event == slugevent.LinesDropped {
			return "No line names it; some lines were dropped, so it may have been served."
		}
	}
	return "No line names it: it reached none of the hosts whose logs were given."
}

func servedCause(end Line, lines, failed []Line) string {
	s := fmt.Sprintf("Served in %.0f ms, first part after %.0f ms.", end.numberField("tookMs"), end.numberField("firstMs"))
	s += failedAttempts(failed)
	for _, x := range lines {
		if x.Event == slugevent.EndpointChosen && x.numberField("tookMs") > slowPrefillFactor*max(1, x.numberField("predictedMs")) {
			s += fmt.Sprintf(" Its prompt took %.0f ms at %s where %.0f ms were expected: work that nobody had announced, or a slow engine.",
				x.numberField("tookMs"), x.stringField("endpoint"), x.numberField("predictedMs"))
		}
	}
	return s
}

// refusalReasons explains the codes of refusals.
var refusalReasons = map[string]string{
	"overloaded":   "no endpoint could have answered in the caller's time",
	"cutOff":       "the host had no fresh word of the configuration, so a withdrawn key might still have worked",
	"keyUnknown":   "the key is in no configuration in force, or was withdrawn",
	"routeUnknown": "no route matches",
	"notReady":     "the host had no configuration yet",
	"deadline":     "the caller's time was over before an endpoint took it",
	"timeout":      "the route's time was over",
}

func refusedCause(end Line, failed []Line) string {
	code := end.stringField("code")
	why := refusalReasons[code]
	if why == "" {
		why = end.stringField("reason")
	}
	s := fmt.Sprintf("Refused (%s, ran: %s): %s.", code, end.stringField("ran"), why)
	if r := end.stringField("reason"); r != "" && r != why {
		s += " The host said: " + r + "."
	}
	if age := end.numberField("wordAgeMs"); age > 0 {
		s += fmt.Sprintf(" It decided on configuration %.0f, whose freshness was %.0f ms old.", end.numberField("configuration"), age)
	}
	return s + failedAttempts(failed)
}

// failedAttempts tells of the failedAttempts that failed, the last one with its error.
func failedAttempts(failed []Line) string {
	if len(failed) == 0 {
		return ""
	}
	x := failed[len(failed)-1]
	return fmt.Sprintf(" %d of its attempts failed, the last at %s (%s): %s.", len(failed), x.stringField("endpoint"), x.stringField("stage"), x.stringField("error"))
}

// Write prints a story, a line an event.
func (s Explanation) Write(w io.Writer) {
	var begin time.Time
	if len(s.Lines) > 0 {
		begin = s.Lines[0].Time
	}
	for _, x := range s.Lines {
		_, _ = fmt.Fprintf(w, "%8.3f s  %-20s %d %s%s\n", x.Time.Sub(begin).Seconds(), x.Process, x.Event, x.Message, formatFields(x.Fields))
	}
	_, _ = fmt.Fprintf(w, "cause: %s\n", s.Cause)
}

// formatFields prints fields in order of name.
func formatFields(fields map[string]any) string {
	var names []string
	for n := range fields {
		names = append(names, n)
	}
	sort.Strings(names)
	var out strings.Builder
	for _, n := range names {
		_, _ = fmt.Fprintf(&out, " %s=%v", n, fields[n])
	}
	return out.String()
}

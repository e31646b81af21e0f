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

// Explanation is what the logs contain about one request.
type Explanation struct {
	Request string `json:"request"`
	// Lines holds the lines of the request, and the lines about changes of the endpoints
	// that it was sent to, from shortly before the request until its end.
	Lines []Line `json:"lines"`
	// Cause describes the likely cause of the outcome.
	Cause string `json:"cause"`
}

const (
	// contextBefore is how long before the first line of a request lines about its
	// endpoints are included.
	contextBefore = 5 * time.Second
	// slowPrefillFactor is how many times its prediction a prefill must take to be named
	// in the cause.
	slowPrefillFactor = 3
)

// Explain explains what happened to a request.
func (l *Log) Explain(request string) Explanation {
	s := Explanation{Request: request}
	endpoints := map[string]bool{}
	var first, last time.Time
	for _, line := range l.Lines {
		if line.Request != request {
			continue
		}
		if first.IsZero() {
			first = line.Time
		}
		last = line.Time
		s.Lines = append(s.Lines, line)
		for _, e := range append(line.listField("endpoints"), line.stringField("endpoint")) {
			endpoints[e] = true
		}
	}
	s.Cause = likelyCause(s.Lines, l)
	delete(endpoints, "")
	for _, line := range l.Lines {
		isEndpointChange := line.Event == slugevent.EndpointGone || line.Event == slugevent.EndpointChanged
		if isEndpointChange && endpoints[line.stringField("endpoint")] && line.Time.After(first.Add(-contextBefore)) && line.Time.Before(last) {
			s.Lines = append(s.Lines, line)
		}
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return s
}

// likelyCause describes the likely cause of a request's outcome.
func likelyCause(lines []Line, l *Log) string {
	if len(lines) == 0 {
		return causeWithoutLines(l)
	}
	end, failed := Line{}, []Line{}
	for _, line := range lines {
		switch line.Event {
		case slugevent.AttemptFailed:
			failed = append(failed, line)
		case slugevent.RequestServed, slugevent.RequestRefused, slugevent.RequestFailed:
			end = line
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
	return "No log line records its end: the process ended first, or the line was dropped." + failedAttempts(failed)
}

func causeWithoutLines(l *Log) string {
	for _, line := range l.Lines {
		if line.Event == slugevent.LinesDropped {
			return "No log line mentions it; some lines were dropped, so it may have been served."
		}
	}
	return "No log line mentions it: it reached none of the hosts whose logs were given."
}

func servedCause(end Line, lines, failed []Line) string {
	s := fmt.Sprintf("Served in %.0f ms, first output after %.0f ms.", end.numberField("tookMs"), end.numberField("firstMs"))
	s += failedAttempts(failed)
	for _, line := range lines {
		if line.Event == slugevent.EndpointChosen && line.numberField("tookMs") > slowPrefillFactor*max(1, line.numberField("predictedMs")) {
			s += fmt.Sprintf(" Its prefill took %.0f ms at %s instead of the predicted %.0f ms: the engine was slow, or had load that the gate did not know of.",
				line.numberField("tookMs"), line.stringField("endpoint"), line.numberField("predictedMs"))
		}
	}
	return s
}

// refusalReasons explains the refusal codes.
var refusalReasons = map[string]string{
	"overloaded":   "no endpoint could have answered before the caller's deadline",
	"cutOff":       "the host could not confirm that its configuration was current, so it might have accepted a revoked key",
	"keyUnknown":   "the key is not in the configuration in force, or was revoked",
	"routeUnknown": "no route matches",
	"notReady":     "the host had no configuration yet",
	"deadline":     "the caller's deadline passed before an endpoint accepted the request",
	"timeout":      "the timeout of the route passed",
}

func refusedCause(end Line, failed []Line) string {
	code := end.stringField("code")
	reason := refusalReasons[code]
	if reason == "" {
		reason = end.stringField("reason")
	}
	s := fmt.Sprintf("Refused (%s, ran: %s): %s.", code, end.stringField("ran"), reason)
	if r := end.stringField("reason"); r != "" && r != reason {
		s += " The host reported: " + r + "."
	}
	if age := end.numberField("wordAgeMs"); age > 0 {
		s += fmt.Sprintf(" It used configuration %.0f, last confirmed %.0f ms earlier.", end.numberField("configuration"), age)
	}
	return s + failedAttempts(failed)
}

// failedAttempts describes the failed attempts, with the error of the last one.
func failedAttempts(failed []Line) string {
	if len(failed) == 0 {
		return ""
	}
	line := failed[len(failed)-1]
	return fmt.Sprintf(" Failed attempts: %d, the last at %s (%s): %s.", len(failed), line.stringField("endpoint"), line.stringField("stage"), line.stringField("error"))
}

// Write prints one line per event, and then the cause.
func (s Explanation) Write(w io.Writer) {
	var begin time.Time
	if len(s.Lines) > 0 {
		begin = s.Lines[0].Time
	}
	for _, line := range s.Lines {
		_, _ = fmt.Fprintf(w, "%8.3f s  %-20s %d %s%s\n", line.Time.Sub(begin).Seconds(), line.Process, line.Event, line.Message, formatFields(line.Fields))
	}
	_, _ = fmt.Fprintf(w, "cause: %s\n", s.Cause)
}

// formatFields formats fields in the order of their names.
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

package slugwhere

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Write writes the answer as text.
func (a *Answer) Write(w io.Writer) {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("host %s, configuration %d confirmed %s ago, load of peers %s old", a.HostName, a.Configuration, ms(a.ConfigurationAgeMs), ms(a.PeerLoadsAgeMs))
	if a.Route != "" {
		line("route %s (%s), workspace %s", a.Route, a.Kind, cmp.Or(string(a.Workspace), "none"))
	}
	if a.Service != "" {
		line("service %s%s, time limit %s", a.Service, weights(a.Services), ms(a.TimeoutMs))
	}
	switch {
	case a.Refusal != nil:
		line("would be refused: %s (status %d): %s", a.Refusal.Code, a.Refusal.Status, a.Refusal.Message)
		if a.Refusal.RetryAfterMs > 0 {
			line("retry after %s", ms(a.Refusal.RetryAfterMs))
		}
	case a.ExpectedMs > 0:
		line("would be sent, first token or response expected after %.1f ms%s", a.ExpectedMs, guessed(a.Measured))
	default:
		line("would be sent, time to the first token not known yet")
	}
	for _, s := range a.Stages {
		s.write(w)
	}
	for _, x := range a.LeftOut {
		line("left out: %s: %s", x.Endpoint, x.Reason)
	}
}

// write writes a stage with a table of its candidates, the best first.
func (s Stage) write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "\n%s: %s", s.Stage, cmp.Or(string(s.Chosen), "no endpoint"))
	if s.FetchFrom != "" {
		_, _ = fmt.Fprintf(w, ", which fetches KV cache from %s", s.FetchFrom)
	}
	_, _ = fmt.Fprintln(w)
	list := slices.Clone(s.Candidates)
	slices.SortStableFunc(list, func(x, y Candidate) int {
		return cmp.Or(rank(s.Chosen == y.Endpoint)-rank(s.Chosen == x.Endpoint), rank(x.RuledOut != "")-rank(y.RuledOut != ""), cmp.Compare(x.ExpectedMs, y.ExpectedMs))
	})
	tab := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(tab, "ENDPOINT\tDATA CENTRE\tROLE\tEXPECTED\tWAIT\tCACHED\tSTREAMS\tPROMPTS\tSLOWNESS\tFAILURES\tRULED OUT, NOTES")
	for _, c := range list {
		expected, wait := "-", "-"
		if c.RuledOut == "" {
			expected, wait = fmt.Sprintf("%.1f ms", c.ExpectedMs), fmt.Sprintf("%.1f ms", c.WaitMs)
		}
		_, _ = fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%s\t%d\t%d+%d of %d\t%.0f+%.0f ms\t%.2f%s\t%.1f%s\t%s\n",
			c.Endpoint, c.DataCentre, cmp.Or(string(c.Role), "-"), expected, wait, c.CachedTokens, c.OwnStreams, c.PeerStreams, c.Slots,
			c.OwnPromptsMs, c.PeerPromptsMs, c.Slowness, age(c.SlownessAgeMs), c.Failures, age(c.FailuresAgeMs), c.notes())
	}
	// Errors of the output show at the end of the command.
	_ = tab.Flush()
}

// notes returns what ruled the endpoint out, and what else is known of it.
func (c Candidate) notes() string {
	var notes []string
	add := func(given bool, format string, args ...any) {
		if given {
			notes = append(notes, fmt.Sprintf(format, args...))
		}
	}
	add(c.RuledOut != "", "%s", c.RuledOut)
	add(c.Leaving, "is leaving")
	add(c.WaitAskedMs > 0, "asked to be left alone for %s", ms(c.WaitAskedMs))
	add(c.AvoidedForMs > 0, "avoided for %s", ms(c.AvoidedForMs))
	if c.Limit != nil {
		add(true, "limit of %g/s stated %s ago, permit in %s", c.Limit.PerSecond, ms(c.Limit.AgeMs), ms(c.Limit.PermitInMs))
	}
	add(c.CacheReported, "reports its cache")
	if c.ForecastAgeMs != nil {
		add(true, "forecast of its owner %s ago", ms(*c.ForecastAgeMs))
	}
	if c.LastPromptMs != nil {
		add(true, "last prompt %s ago", ms(*c.LastPromptMs))
	}
	return cmp.Or(strings.Join(notes, "; "), "-")
}

// weights returns the services of a route if there is more than one.
func weights(list []Service) string {
	if len(list) < 2 {
		return ""
	}
	var parts []string
	for _, s := range list {
		parts = append(parts, fmt.Sprintf("%s %g", s.Name, s.Weight))
	}
	return ", drawn from " + strings.Join(parts, ", ")
}

func guessed(measured bool) string {
	if measured {
		return ""
	}
	return " (guessed, nothing is measured yet)"
}

func age(n *int64) string {
	if n == nil {
		return ""
	}
	return fmt.Sprintf(" (%s ago)", ms(*n))
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func rank(b bool) int {
	if b {
		return 1
	}
	return 0
}

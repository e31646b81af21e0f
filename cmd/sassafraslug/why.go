package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/daemon/slugduties"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugoperatorapi"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
)

func addWhy(t *tool) {
	c := t.app.Command("why", "Show the latest decisions about a service with their inputs.")
	service := c.Arg("service", "Name of the service.").Required().String()
	t.register(c, func(ctx context.Context) error { return t.why(ctx, *service) })
}

func (t *tool) why(ctx context.Context, service string) error {
	decisions, err := t.decisions(ctx, service)
	if err != nil {
		return err
	}
	return t.print(slugoperatorapi.DecisionList{Decisions: decisions}, func(w io.Writer) {
		for _, d := range decisions {
			_, _ = fmt.Fprintf(w, "%s  %s  %s\n", d.At.UTC().Format(time.RFC3339), d.Duty, d.Decision)
			for _, k := range slices.Sorted(maps.Keys(d.Inputs)) {
				_, _ = fmt.Fprintf(w, "    %s = %.3g\n", k, d.Inputs[k])
			}
		}
	})
}

// decisions returns the decisions about a service that all live control processes remember,
// sorted by time.
func (t *tool) decisions(ctx context.Context, service string) ([]slugduties.Decision, error) {
	var s slugoperatorapi.Status
	if err := t.getDocument(ctx, "/v1/status", &s); err != nil {
		return nil, err
	}
	out := []slugduties.Decision{}
	for _, p := range s.Processes {
		var x slugoperatorapi.DecisionList
		if p.Kind != slugmember.KindControl || !p.Alive || t.withControl(p.OperatorsAddress).getDocument(ctx, "/v1/why", &x) != nil {
			continue
		}
		for _, d := range x.Decisions {
			if strings.Contains(string(d.Duty), "/"+service) || strings.Contains(d.Decision, service) {
				out = append(out, d)
			}
		}
	}
	slices.SortFunc(out, func(a, b slugduties.Decision) int { return a.At.Compare(b.At) })
	return out, nil
}

package main

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"text/tabwriter"

	"github.com/sassafraslug/sassafraslug/internal/daemon/slugoperatorapi"
)

func addStatus(t *tool) {
	c := t.app.Command("status", "Show processes and endpoints, or the state of a change.")
	change := c.Flag("change", "ID of a change.").String()
	t.register(c, func(ctx context.Context) error {
		if *change != "" {
			return t.changeStatus(ctx, *change)
		}
		return t.status(ctx)
	})
}

func (t *tool) changeStatus(ctx context.Context, id string) error {
	var x slugoperatorapi.Change
	if err := t.getDocument(ctx, "/v1/changes/"+url.PathEscape(id), &x); err != nil {
		return err
	}
	return t.showChange(x)
}

func (t *tool) status(ctx context.Context) error {
	var x slugoperatorapi.Status
	if err := t.getDocument(ctx, "/v1/status", &x); err != nil {
		return err
	}
	return t.print(x, func(w io.Writer) { printStatus(w, x) })
}

func printStatus(w io.Writer, x slugoperatorapi.Status) {
	_, _ = fmt.Fprintf(w, "revision %d, store reachable: %t\n\n", x.Revision, x.StoreReachable)
	tab := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(tab, "PROCESS\tDATA CENTRE\tSTATE\tREVISION\tCONFIRMED\tCALLERS\tOPERATORS")
	for _, p := range x.Processes {
		_, _ = fmt.Fprintf(tab, "%s\t%s\t%s\t%d\t%d ms\t%s\t%s\n", p.Process, p.DataCentre, processState(p), p.Revision, p.ConfigAgeMs, p.CallersAddress, p.OperatorsAddress)
	}
	_, _ = fmt.Fprintln(tab, "\nENDPOINT\tDATA CENTRE\tSTATE\tROLE\tVERSION\tPRICE\tADDRESS")
	for _, p := range x.Plans {
		for _, e := range p.Endpoints {
			price := "regular"
			if e.Cheap {
				price = "cheap"
			}
			_, _ = fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", e.Name, p.DataCentre, e.State, e.Role, e.Version, price, e.Address)
		}
	}
	_ = tab.Flush()
}

func processState(p slugoperatorapi.ProcessStatus) string {
	switch {
	case !p.Alive:
		return "silent"
	case p.Leaving:
		return "leaving"
	case p.StoreLost:
		return "without store"
	default:
		return "live"
	}
}

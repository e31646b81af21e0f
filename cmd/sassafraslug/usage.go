package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/daemon/slugoperatorapi"
)

func addUsage(t *tool) {
	c := t.app.Command("usage", "Show the usage reports of the latest windows.")
	windows := c.Flag("windows", "Number of usage windows.").Default("10").Int()
	t.register(c, func(ctx context.Context) error { return t.usage(ctx, *windows) })
}

func (t *tool) usage(ctx context.Context, windows int) error {
	var x slugoperatorapi.Usage
	if err := t.getDocument(ctx, fmt.Sprintf("/v1/usage?windows=%d", windows), &x); err != nil {
		return err
	}
	return t.print(x, func(w io.Writer) {
		tab := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
		_, _ = fmt.Fprintln(tab, "WINDOW\tWORKSPACE\tSERVICE\tREQUESTS\tPROMPT\tCACHED\tOUTPUT")
		for _, r := range x.Reports {
			at := time.Unix(int64(r.Window), 0).UTC().Format(time.RFC3339)
			for _, l := range r.Lines {
				_, _ = fmt.Fprintf(tab, "%s\t%s\t%s\t%d\t%d\t%d\t%d\n", at, l.Workspace, l.Service, l.Requests, l.PromptTokens, l.CachedTokens, l.OutputTokens)
			}
		}
		_ = tab.Flush()
	})
}

package main

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"text/tabwriter"

	"github.com/sassafraslug/sassafraslug/internal/authority/sluglease"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugoperatorapi"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
)

func addDuties(t *tool) {
	c := t.app.Command("duties", "Show duties, or release one.")
	t.register(c.Command("list", "List the duties with their holders.").Default(), t.duties)
	release := c.Command("release", "Make the holder release a duty, so that another process takes it over.")
	duty := release.Arg("duty", "Name of the duty.").Required().String()
	t.register(release, func(ctx context.Context) error { return t.release(ctx, sluglease.Duty(*duty)) })
}

// allDuties returns the newest known record of each duty, and the operators' addresses of
// the live control processes. It asks every live control process, since each has the newest
// records of the duties that it holds, and leaves out those that fail to respond.
func (t *tool) allDuties(ctx context.Context) (map[sluglease.Duty]sluglease.Record, map[slugname.Process]string, error) {
	var s slugoperatorapi.Status
	if err := t.getDocument(ctx, "/v1/status", &s); err != nil {
		return nil, nil, err
	}
	records := map[sluglease.Duty]sluglease.Record{}
	addresses := map[slugname.Process]string{}
	for _, p := range s.Processes {
		if p.Kind != slugmember.KindControl || !p.Alive {
			continue
		}
		addresses[p.Process] = p.OperatorsAddress
		var x slugoperatorapi.Duties
		if t.withControl(p.OperatorsAddress).getDocument(ctx, "/v1/duties", &x) != nil {
			continue
		}
		for _, d := range x.Duties {
			if known, ok := records[d.Duty]; !ok || d.Fence > known.Fence || d.Fence == known.Fence && d.Renewals >= known.Renewals {
				records[d.Duty] = d.Record
			}
		}
	}
	return records, addresses, nil
}

// withControl returns a copy of the tool that uses the control process at another address.
func (t *tool) withControl(address string) *tool {
	c := *t
	c.control = &address
	return &c
}

func (t *tool) duties(ctx context.Context) error {
	records, _, err := t.allDuties(ctx)
	if err != nil {
		return err
	}
	return t.print(records, func(w io.Writer) {
		tab := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
		_, _ = fmt.Fprintln(tab, "DUTY\tHOLDER\tFENCE\tRELEASED\tUNCONFIRMED")
		for _, d := range sortedDuties(records) {
			r := records[d]
			_, _ = fmt.Fprintf(tab, "%s\t%s\t%d\t%t\t%d\n", d, r.Holder, r.Fence, r.Released, len(r.Unconfirmed))
		}
		_ = tab.Flush()
	})
}

func (t *tool) release(ctx context.Context, d sluglease.Duty) error {
	records, addresses, err := t.allDuties(ctx)
	if err != nil {
		return err
	}
	address, ok := addresses[records[d].Holder]
	if !ok {
		return &exitError{exitRefused, fmt.Errorf("duty %q has no live holder", d)}
	}
	client, err := t.withControl(address).client()
	if err != nil {
		return err
	}
	if err := wrapUnreachable(client.Post(ctx, "/v1/duties/release?duty="+url.QueryEscape(string(d)), nil, nil)); err != nil {
		return err
	}
	return t.print(records[d], func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s releases %s and will not claim it again for a while\n", records[d].Holder, d)
	})
}

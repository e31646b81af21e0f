package main

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"text/tabwriter"

	"github.com/sassafraslug/sassafraslug/internal/authority/sluglease"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugoperate"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
)

func addDuties(t *cli) {
	c := t.app.Command("duties", "Show or move duties.")
	t.register(c.Command("list", "Show who holds which duty.").Default(), t.duties)
	release := c.Command("release", "Make the holder give a duty up to another process.")
	duty := release.Arg("duty", "Name of the duty.").Required().String()
	t.register(release, func(ctx context.Context) error { return t.release(ctx, sluglease.Duty(*duty)) })
}

// allDuties asks every live control process, since each knows its own duties best.
func (t *cli) allDuties(ctx context.Context) (map[sluglease.Duty]sluglease.Record, map[slugname.Process]string, error) {
	var s slugoperate.Status
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
		var x slugoperate.Duties
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

// withControl returns the tool for another control process.
func (t *cli) withControl(address string) *cli {
	c := *t
	c.control = &address
	return &c
}

func (t *cli) duties(ctx context.Context) error {
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

func (t *cli) release(ctx context.Context, d sluglease.Duty) error {
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
		_, _ = fmt.Fprintf(w, "%s gives up %s and does not claim it for a while\n", records[d].Holder, d)
	})
}

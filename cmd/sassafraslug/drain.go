package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugoperatorapi"
)

func addDrain(t *tool) {
	c := t.app.Command("drain", "Stop sending new requests to a host or an endpoint.")
	name := c.Arg("name", "Name of the host or endpoint, as shown by status.").Required().String()
	undo := c.Flag("undo", "Send it requests again.").Bool()
	t.register(c, func(ctx context.Context) error { return t.drain(ctx, *name, *undo) })
}

func (t *tool) drain(ctx context.Context, name string, undo bool) error {
	x, err := t.resolveDrainTarget(ctx, name)
	if err != nil {
		return err
	}
	x.Undo = undo
	client, err := t.client()
	if err != nil {
		return err
	}
	if err := wrapUnreachable(client.Post(ctx, "/v1/drain", x, nil)); err != nil {
		return err
	}
	return t.print(x, func(w io.Writer) {
		if undo {
			_, _ = fmt.Fprintf(w, "%s receives new requests again\n", name)
			return
		}
		_, _ = fmt.Fprintf(w, "%s receives no new requests; follow its state with: sassafraslug status\n", name)
	})
}

// resolveDrainTarget finds out whether a name belongs to a host or to an endpoint.
func (t *tool) resolveDrainTarget(ctx context.Context, name string) (slugoperatorapi.Drain, error) {
	var s slugoperatorapi.Status
	if err := t.getDocument(ctx, "/v1/status", &s); err != nil {
		return slugoperatorapi.Drain{}, err
	}
	for _, p := range s.Processes {
		if string(p.Host) == name {
			return slugoperatorapi.Drain{Host: p.Host}, nil
		}
	}
	var known []string
	for _, p := range s.Plans {
		for _, e := range p.Endpoints {
			if string(e.Name) == name {
				return slugoperatorapi.Drain{Endpoint: slugname.Endpoint(name)}, nil
			}
			known = append(known, string(e.Name))
		}
	}
	return slugoperatorapi.Drain{}, &exitError{exitRefused, fmt.Errorf("%q is neither a host nor an endpoint; endpoints: %s", name, strings.Join(known, ", "))}
}

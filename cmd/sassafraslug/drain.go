package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugoperate"
)

func addDrain(t *tool) {
	c := t.app.Command("drain", "Give a host or an endpoint no new work.")
	name := c.Arg("name", "Host or endpoint, as status shows it.").Required().String()
	undo := c.Flag("undo", "Give it work again.").Bool()
	t.command(c, func(ctx context.Context) error { return t.drain(ctx, *name, *undo) })
}

func (t *tool) drain(ctx context.Context, name string, undo bool) error {
	x, err := t.findDrain(ctx, name)
	if err != nil {
		return err
	}
	x.Undo = undo
	client, err := t.client()
	if err != nil {
		return err
	}
	if err := reached(client.Post(ctx, "/v1/drain", x, nil)); err != nil {
		return err
	}
	return t.show(x, func(w io.Writer) {
		if undo {
			_, _ = fmt.Fprintf(w, "%s is given work again\n", name)
			return
		}
		_, _ = fmt.Fprintf(w, "%s is given no new work; watch it with: sassafraslug status\n", name)
	})
}

// findDrain tells whether a name is a host's or an endpoint's.
func (t *tool) findDrain(ctx context.Context, name string) (slugoperate.Drain, error) {
	var s slugoperate.Status
	if err := t.get(ctx, "/v1/status", &s); err != nil {
		return slugoperate.Drain{}, err
	}
	for _, p := range s.Processes {
		if string(p.Host) == name {
			return slugoperate.Drain{Host: p.Host}, nil
		}
	}
	var known []string
	for _, p := range s.Plans {
		for _, e := range p.Endpoints {
			if string(e.Name) == name {
				return slugoperate.Drain{Endpoint: slugname.Endpoint(name)}, nil
			}
			known = append(known, string(e.Name))
		}
	}
	return slugoperate.Drain{}, &status{exitRefused, fmt.Errorf("%q is neither a host nor an endpoint; endpoints: %s", name, strings.Join(known, ", "))}
}

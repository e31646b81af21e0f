package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugoperatorapi"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
)

func addApply(t *tool) {
	c := t.app.Command("apply", "Apply a manifest.")
	file := c.Arg("file", "Manifest in JSON; - reads standard input.").Required().String()
	base := c.Flag("base", "Revision that the manifest is based on.").Required().Uint64()
	change := c.Flag("change", "ID of the change; applying the same ID again has no further effect.").String()
	t.register(c, func(ctx context.Context) error {
		return t.apply(ctx, *file, slugconfig.Revision(*base), slugstore.ChangeID(*change))
	})
}

func (t *tool) apply(ctx context.Context, file string, base slugconfig.Revision, id slugstore.ChangeID) error {
	b, err := readFile(file)
	if err != nil {
		return err
	}
	client, err := t.client()
	if err != nil {
		return err
	}
	if id == "" {
		id = slugstore.RandomChangeID()
	}
	x, err := client.Apply(ctx, b, base, id)
	if err != nil {
		return t.explainApplyError(err, id)
	}
	return t.showChange(x)
}

// explainApplyError prints the conflicts of a refused manifest and returns the error with its exit
// status.
func (t *tool) explainApplyError(err error, id slugstore.ChangeID) error {
	var response *slugoperatorapi.ResponseError
	if !errors.As(err, &response) {
		return &exitError{exitUnknown, errors.Wrapf(err, "the outcome is unknown; ask with: sassafraslug status --change %s", id)}
	}
	var conflict slugoperatorapi.Conflict
	if response.Status == 409 && json.Unmarshal(response.Body, &conflict) == nil {
		_ = t.print(conflict, func(w io.Writer) {
			for _, d := range conflict.Diff {
				_, _ = fmt.Fprintf(w, "differs: %s %s %s\n", d.Kind, d.Name, d.Change)
			}
		})
	}
	return err
}

// showChange prints the state of a change. It returns an error with the status exitUnknown
// if the change is not accepted.
func (t *tool) showChange(x slugoperatorapi.Change) error {
	err := t.print(x, func(w io.Writer) {
		switch {
		case x.Revision == 0:
			_, _ = fmt.Fprintf(w, "change %s is unknown: it was never made, or was made too long ago\n", x.ID)
		case x.Accepted:
			_, _ = fmt.Fprintf(w, "revision %d is accepted (change %s)\n", x.Revision, x.ID)
		default:
			_, _ = fmt.Fprintf(w, "revision %d is stored but not yet accepted (change %s)\n", x.Revision, x.ID)
		}
		if x.Revision > 0 && len(x.Unconfirmed) > 0 {
			_, _ = fmt.Fprintf(w, "not confirmed by: %s\n", joinNames(x.Unconfirmed))
		}
	})
	if err == nil && !x.Accepted {
		return &exitError{exitUnknown, errors.New("the change is not accepted")}
	}
	return err
}

func joinNames(names []slugname.Host) string {
	out := make([]string, len(names))
	for i, n := range names {
		out[i] = string(n)
	}
	return strings.Join(out, ", ")
}

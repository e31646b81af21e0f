package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/sassafraslug/sassafraslug/internal/daemon/slugoperatorapi"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

func addManifest(t *tool) {
	c := t.app.Command("manifest", "Check and show manifests.")
	check := c.Command("check", "Check a manifest and print all of its errors.")
	file := check.Arg("file", "Manifest in JSON; - reads standard input.").Required().String()
	t.register(check, func(context.Context) error { return t.checkManifest(*file) })
	t.register(c.Command("schema", "Print the JSON Schema of manifests."), func(context.Context) error {
		*t.json = true
		return t.print(slugmanifest.NewSchema(), nil)
	})
	t.register(c.Command("show", "Print the manifest in force."), t.showManifest)
}

// readFile reads a file, or standard input if the name is -.
func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, slugmanifest.MaxManifestBytes+1))
	}
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, &exitError{exitUsage, err}
	}
	return b, nil
}

func (t *tool) checkManifest(file string) error {
	b, err := readFile(file)
	if err != nil {
		return err
	}
	m, problems := slugmanifest.Decode(b)
	if len(problems) == 0 {
		return t.print(slugoperatorapi.InvalidManifest{Problems: slugmanifest.Problems{}}, func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "the manifest is valid: %d services, %d workspaces, %d rules\n", len(m.Services), len(m.Workspaces), len(m.Rules))
		})
	}
	if err := t.print(slugoperatorapi.InvalidManifest{Error: "the manifest is not valid", Problems: problems}, func(w io.Writer) {
		for _, p := range problems {
			_, _ = fmt.Fprintf(w, "%s: %q: %s\n", p.Path, p.Value, p.Reason)
		}
	}); err != nil {
		return err
	}
	return &exitError{exitRefused, fmt.Errorf("%s has %d errors", file, len(problems))}
}

// showManifest prints the manifest alone, without its revision, so that the output can be
// edited and applied.
func (t *tool) showManifest(ctx context.Context) error {
	var m slugoperatorapi.Manifest
	if err := t.getDocument(ctx, "/v1/manifest", &m); err != nil {
		return err
	}
	*t.json = true
	return t.print(m.Manifest, nil)
}

package main

import (
	"context"
	"io"
	"os"

	"github.com/sassafraslug/sassafraslug/internal/daemon/slugoperatorapi"
	"github.com/sassafraslug/sassafraslug/internal/operate/slugburnreport"
)

func addBurn(t *tool) {
	c := t.app.Command("burn", "Show the burn rates of the service-level objectives.")
	svg := c.Flag("svg", "Write a bar chart as SVG to this file.").PlaceHolder("FILE").String()
	t.register(c, func(ctx context.Context) error { return t.burn(ctx, *svg) })
}

func (t *tool) burn(ctx context.Context, svg string) error {
	var x slugoperatorapi.Burn
	if err := t.getDocument(ctx, "/v1/burn", &x); err != nil {
		return err
	}
	if svg != "" {
		if err := os.WriteFile(svg, slugburnreport.SVG(x), 0o644); err != nil {
			return err
		}
	}
	return t.print(x, func(w io.Writer) { slugburnreport.Table(w, x) })
}

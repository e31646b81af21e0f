package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/sassafraslug/sassafraslug/internal/operate/slugslope"
)

func addBench(t *tool) {
	c := t.app.Command("bench", "Measure.")
	slopes := c.Command("slopes", "Measure how state, messages, processor time and memory grow with the size of the system.")
	file := slopes.Flag("result", "Write the result as JSON to this file.").PlaceHolder("FILE").String()
	quick := slopes.Flag("quick", "Measure only the smallest points of each series.").Bool()
	t.register(slopes, func(ctx context.Context) error { return t.measureSlopes(ctx, *file, *quick) })
	tables := c.Command("tables", "Print the tables of the capacity page from a result.")
	from := tables.Arg("file", "Result file of bench slopes.").Required().String()
	t.register(tables, func(context.Context) error { return t.printTables(*from) })
}

func (t *tool) measureSlopes(ctx context.Context, file string, quick bool) error {
	r, err := slugslope.New(slugslope.Config{Quick: quick, Progress: os.Stderr}).Run(ctx)
	if err != nil {
		return err
	}
	if file != "" {
		b, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(file, append(b, '\n'), 0o644); err != nil {
			return err
		}
	}
	return t.print(r, func(w io.Writer) { r.Tables(w) })
}

func (t *tool) printTables(file string) error {
	b, err := readFile(file)
	if err != nil {
		return err
	}
	var r slugslope.Result
	if err := json.Unmarshal(b, &r); err != nil {
		return &exitError{exitUsage, fmt.Errorf("%s: %w", file, err)}
	}
	r.Tables(t.out)
	return nil
}

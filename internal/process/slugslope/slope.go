// Package slugslope measures what the state, messages, processor time and memory of
// each role grow with.
//
// # Usage
//
//	r, err := slugslope.New(slugslope.Config{Progress: os.Stderr}).Run(ctx)
//	r.Tables(os.Stdout)
package slugslope

import (
	"context"
	"fmt"
	"io"
)

// Config makes a Slope.
type Config struct {
	// Quick measures fewer and smaller points.
	Quick bool
	// Progress takes a line a point.
	Progress io.Writer
}

// Slope measures.
type Slope struct {
	cfg Config
}

// New returns a Slope.
func New(cfg Config) *Slope { return &Slope{cfg: cfg} }

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is what was measured against one quantity.
type Series struct {
	Name   string  `json:"name"`
	Unit   string  `json:"unit"`
	Per    string  `json:"per"`
	Points []Point `json:"points"`
	// Intercept and Slope are the least-squares fit; Error is the slope's standard
	// error.
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	Error     float64 `json:"error"`
	// At is the value of Per at the target size.
	At     float64 `json:"at"`
	Budget float64 `json:"budget"`
}

// Result is all series.
type Result struct {
	Series []Series `json:"series"`
}

// Run measures all series.
func (s *Slope) Run(ctx context.Context) (*Result, error) {
	return &Result{}, ctx.Err()
}

// Tables prints the tables of the page on capacity.
func (r *Result) Tables(w io.Writer) {
	for _, s := range r.Series {
		_, _ = fmt.Fprintln(w, s.Name)
	}
}

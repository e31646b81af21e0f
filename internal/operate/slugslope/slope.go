// Package slugslope is a scaling benchmark. It measures how the state, messages, processor
// time and memory of each role grow with the size of the system, fits a line to each series
// of measurements, and extrapolates it to the target size.
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
	"math"

	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
)

// Config configures a Benchmark.
type Config struct {
	// Quick measures only the smallest points of each series.
	Quick bool
	// Progress receives one line per series.
	Progress io.Writer
}

// Benchmark measures all series.
type Benchmark struct {
	cfg Config
}

// New returns a Benchmark.
func New(cfg Config) *Benchmark { return &Benchmark{cfg: cfg} }

// Point is one measurement: the value Y at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is a series of measurements of one value at different sizes.
type Series struct {
	// Role is the part of the system that the value belongs to.
	Role string `json:"role"`
	// Name describes the value.
	Name string `json:"name"`
	Unit string `json:"unit"`
	// Per is the unit of the size that was varied.
	Per    string  `json:"per"`
	Points []Point `json:"points"`
	// Intercept and Slope are the least-squares fit. StandardError is the standard error of
	// the slope.
	Intercept     float64 `json:"intercept"`
	Slope         float64 `json:"slope"`
	StandardError float64 `json:"error"`
	// Target is the size at which the value is extrapolated.
	Target float64 `json:"at"`
	// Budget is the largest allowed value at the target size; 0 means no budget.
	Budget float64 `json:"budget"`
	// Mechanism names the design decision that limits the growth of the value.
	Mechanism string `json:"mechanism"`
}

// Result holds all series.
type Result struct {
	Series []Series `json:"series"`
}

// ValueAtTarget returns the value at the target size according to the fit.
func (s Series) ValueAtTarget() float64 { return s.Intercept + s.Slope*s.Target }

// Verdict reports whether the value at the target size is within the budget.
func (s Series) Verdict() string {
	switch {
	case s.Budget == 0:
		return "no budget set"
	case s.ValueAtTarget() <= s.Budget:
		return "within"
	default:
		return "OVER"
	}
}

// fitLine fits a line to the points by least squares.
func (s *Series) fitLine() {
	n := float64(len(s.Points))
	var sx, sy, sxx, sxy float64
	for _, p := range s.Points {
		sx, sy, sxx, sxy = sx+p.X, sy+p.Y, sxx+p.X*p.X, sxy+p.X*p.Y
	}
	d := n*sxx - sx*sx
	if d == 0 {
		s.Intercept = sy / n
		return
	}
	s.Slope = (n*sxy - sx*sy) / d
	s.Intercept = (sy - s.Slope*sx) / n
	if n < 3 {
		return
	}
	var residual float64
	for _, p := range s.Points {
		e := p.Y - s.Intercept - s.Slope*p.X
		residual += e * e
	}
	s.StandardError = math.Sqrt(residual / (n - 2) / (sxx - sx*sx/n))
}

// experiment is a series together with the way in which its points are measured.
type experiment struct {
	Series
	sizes []float64
	// measureAt measures the value at one size.
	measureAt func(ctx context.Context, x float64) (float64, error)
}

// quickPointCount is the number of points per series in a quick run.
const quickPointCount = 2

// Run measures all series.
func (b *Benchmark) Run(ctx context.Context) (*Result, error) {
	r := &Result{}
	for _, e := range experiments() {
		sizes := e.sizes
		if b.cfg.Quick {
			sizes = sizes[:min(quickPointCount, len(sizes))]
		}
		for _, x := range sizes {
			y, err := e.measureAt(ctx, x)
			if err != nil {
				return r, slugfault.Wrap(err, "measure "+e.Name, "")
			}
			e.Points = append(e.Points, Point{x, y})
		}
		e.fitLine()
		_, _ = fmt.Fprintf(b.cfg.Progress, "%s: %s: %.4g %s per %s\n", e.Role, e.Name, e.Slope, e.Unit, e.Per)
		r.Series = append(r.Series, e.Series)
	}
	return r, nil
}

// Tables prints one Markdown table per role, for the capacity page.
func (r *Result) Tables(w io.Writer) {
	role := ""
	for _, s := range r.Series {
		if s.Role != role {
			role = s.Role
			_, _ = fmt.Fprintf(w, "\n### %s\n\n| value | measured points | slope ± error | at the target | budget | verdict | mechanism |\n| --- | --- | --- | --- | --- | --- | --- |\n", role)
		}
		_, _ = fmt.Fprintf(w, "| %s (%s) |", s.Name, s.Unit)
		for i, p := range s.Points {
			if i > 0 {
				_, _ = fmt.Fprint(w, ",")
			}
			_, _ = fmt.Fprintf(w, " %g: %.4g", p.X, p.Y)
		}
		budget := "none"
		if s.Budget > 0 {
			budget = fmt.Sprintf("%g", s.Budget)
		}
		_, _ = fmt.Fprintf(w, " | %.3g ± %.1g per %s | %.4g at %g | %s | %s | %s |\n", s.Slope, s.StandardError, s.Per, s.ValueAtTarget(), s.Target, budget, s.Verdict(), s.Mechanism)
	}
}

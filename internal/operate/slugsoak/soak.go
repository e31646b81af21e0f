// Package slugsoak plays seeds one after another and reports the promises that they broke.
//
// # Usage
//
//	s := slugsoak.New(slugsoak.Config{First: 1, Seeds: 10, Shape: shape, Logs: "soak", Play: play, Out: os.Stdout})
//	result, err := s.Run(ctx)
package slugsoak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/operate/slugcheck"
	"github.com/sassafraslug/sassafraslug/internal/operate/slugmergedlog"
	"github.com/sassafraslug/sassafraslug/internal/operate/slugschedule"
)

// Config configures a Soak.
type Config struct {
	// First is the first seed, and Seeds the number of seeds.
	First slugschedule.Seed
	Seeds int
	Shape slugschedule.Shape
	// Logs is the directory that takes a directory for each seed. That of a seed that broke
	// no promise is removed.
	Logs string
	// Play plays a schedule, and writes logs with the extension .log to a directory.
	Play func(ctx context.Context, s slugschedule.Schedule, directory string) (*slugcheck.Observation, error)
	// Out takes the progress.
	Out io.Writer
}

// SeedResult is the outcome of a seed.
type SeedResult struct {
	Seed     slugschedule.Seed  `json:"seed"`
	Attempts int                `json:"attempts"`
	Faults   int                `json:"faults"`
	Broken   []slugcheck.Broken `json:"broken"`
}

// Result is the outcome of all seeds.
type Result struct {
	Seeds []SeedResult `json:"seeds"`
}

// Broken returns the number of broken promises.
func (r *Result) Broken() (n int) {
	for _, s := range r.Seeds {
		n += len(s.Broken)
	}
	return n
}

// Soak plays seeds.
type Soak struct {
	cfg Config
}

// New returns a Soak.
func New(cfg Config) *Soak { return &Soak{cfg} }

// Run plays all seeds, and returns early with an error if one could not be played.
func (s *Soak) Run(ctx context.Context) (*Result, error) {
	r := &Result{}
	for n := range s.cfg.Seeds {
		x, err := s.seed(ctx, s.cfg.First+slugschedule.Seed(n))
		if err != nil {
			return r, err
		}
		r.Seeds = append(r.Seeds, x)
	}
	return r, nil
}

// seed plays a seed.
func (s *Soak) seed(ctx context.Context, seed slugschedule.Seed) (SeedResult, error) {
	schedule := slugschedule.New(seed, s.cfg.Shape)
	dir := filepath.Join(s.cfg.Logs, fmt.Sprintf("seed-%d", seed))
	// Logs of an earlier run would be merged into those of this one.
	if err := os.RemoveAll(dir); err != nil {
		return SeedResult{}, err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return SeedResult{}, err
	}
	o, err := s.cfg.Play(ctx, schedule, dir)
	if err != nil {
		return SeedResult{}, err
	}
	r := SeedResult{seed, len(o.Attempts), len(schedule.Faults), o.Check()}
	if len(r.Broken) == 0 {
		s.printf("seed %d: held (%s)\n", seed, counts(o, schedule))
		return r, os.RemoveAll(dir)
	}
	s.printf("seed %d: BROKEN %d times (%s), logs in %s\n%s", seed, len(r.Broken), counts(o, schedule), dir, schedule)
	for _, b := range r.Broken[:min(len(r.Broken), maxShown)] {
		s.printf("%s %s\n", b.At.Format(timeFormat), b)
	}
	return r, report(dir, schedule, o, r.Broken)
}

func (s *Soak) printf(format string, args ...any) {
	// A failure to print progress shows at the next process that starts.
	_, _ = fmt.Fprintf(s.cfg.Out, format, args...)
}

const (
	timeFormat = "15:04:05.000"
	// maxShown is the number of broken promises of a seed that are printed and for which log
	// lines are collected. All are listed in the report.
	maxShown = 10
	// around is the time before and after a broken promise from which log lines are collected.
	// It covers the time limit of a request.
	around = 6 * time.Second
)

// counts summarizes what callers saw.
func counts(o *slugcheck.Observation, s slugschedule.Schedule) string {
	served, refused, unsent, failed := 0, 0, 0, 0
	for _, a := range o.Attempts {
		switch {
		case a.Status == 200 && a.End == slugcheck.Complete:
			served++
		case slugcheck.NotRun(a.Status):
			refused++
		case a.End == slugcheck.Unsent:
			unsent++
		default:
			failed++
		}
	}
	text := fmt.Sprintf("%d faults, %d attempts: %d served, %d refused, %d failed, %d without a connection", len(s.Faults), len(o.Attempts), served, refused, failed, unsent)
	for _, x := range o.Outages {
		if x.Host == slugcheck.AllHosts {
			text += fmt.Sprintf("; held up for %s at %s", x.To.Sub(x.From).Round(time.Millisecond), x.From.Format(timeFormat))
		}
	}
	return text
}

// report writes the schedule, the broken promises and the lines around them to a directory.
func report(dir string, s slugschedule.Schedule, o *slugcheck.Observation, broken []slugcheck.Broken) error {
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintln(&b, s)
	for _, x := range broken {
		fmt.Fprintln(&b, x.At.Format(timeFormat), x)
		describe(&b, o, x.ID)
	}
	if err := os.WriteFile(filepath.Join(dir, "broken.txt"), []byte(b.String()), 0o644); err != nil {
		return err
	}
	for n, x := range broken[:min(len(broken), maxShown)] {
		lines, err := slugmergedlog.Around(logs, x.At, around)
		if err != nil {
			return err
		}
		b.Reset()
		fmt.Fprintln(&b, x)
		for _, l := range lines {
			fmt.Fprintln(&b, l)
		}
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("around-%d.txt", n+1)), []byte(b.String()), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// describe writes what callers and endpoints saw of a request, and of others for the same work.
func describe(w io.Writer, o *slugcheck.Observation, id slugcheck.RequestID) {
	var work slugcheck.Work
	for _, a := range o.Attempts {
		if a.ID == id {
			work = a.Work
		}
	}
	for _, a := range o.Attempts {
		if id == "" || a.Work != work {
			continue
		}
		_, _ = fmt.Fprintf(w, "  attempt %s at host %d, sent %s, deadline %s, %s with status %d at %s, events %d to %d of %d, body %q\n", a.ID, a.Host, a.SentAt.Format(timeFormat), a.Deadline.Format(timeFormat), a.End, a.Status, a.EndedAt.Format(timeFormat), a.After, a.After+len(a.Events), a.Last, a.Body)
		for _, x := range o.Arrivals {
			if x.ID == a.ID {
				_, _ = fmt.Fprintf(w, "    received by %s at %s from %s, ran %t\n", x.Endpoint, x.At.Format(timeFormat), x.Connection, x.Ran)
			}
		}
	}
}

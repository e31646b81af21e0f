package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/operate/slugcheck"
	"github.com/sassafraslug/sassafraslug/internal/operate/slugschedule"
	"github.com/sassafraslug/sassafraslug/internal/operate/slugsoak"
	"github.com/sassafraslug/sassafraslug/platform/slugsoakrig"
)

// soakOptions holds the flags of the soak command.
type soakOptions struct {
	seed     *uint64
	seeds    *int
	duration *time.Duration
	hosts    *int
	logs     *string
	program  *string
}

// minSoak is the shortest duration that leaves time for a series of faults.
const minSoak = 2 * time.Second

func addSoak(t *tool) {
	c := t.app.Command("soak", "Run host programs as separate processes on this machine, inject faults from outside and check what callers and endpoints see.")
	o := soakOptions{
		seed:     c.Flag("seed", "First seed; a seed determines the faults.").Default("1").Uint64(),
		seeds:    c.Flag("seeds", "Number of seeds.").Default("1").Int(),
		duration: c.Flag("duration", "Duration of the load for each seed.").Default("10s").Duration(),
		hosts:    c.Flag("hosts", "Number of hosts.").Default("3").Int(),
		logs:     c.Flag("logs", "Directory for the logs of seeds that break a promise; without it, a new temporary one.").PlaceHolder("DIR").String(),
		program:  c.Flag("host-program", "Host program; without it, sassafraslug-host beside this program.").PlaceHolder("FILE").String(),
	}
	t.register(c, func(ctx context.Context) error { return t.soak(ctx, o) })
}

func (t *tool) soak(ctx context.Context, o soakOptions) error {
	if *o.hosts < 1 || *o.hosts > slugsoakrig.MaxHosts || *o.seeds < 1 || *o.duration < minSoak {
		return &exitError{exitUsage, fmt.Errorf("hosts %d, seeds %d, duration %s: must be 1 to %d, at least 1 and at least %s", *o.hosts, *o.seeds, *o.duration, slugsoakrig.MaxHosts, minSoak)}
	}
	program, err := hostProgram(*o.program)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	logs := *o.logs
	if logs == "" {
		if logs, err = os.MkdirTemp("", "sassafraslug-soak-"); err != nil {
			return err
		}
		// It stays if it holds the logs of a seed.
		defer func() { _ = os.Remove(logs) }()
	}
	progress := t.out
	if *t.json {
		progress = os.Stderr
	}
	result, err := slugsoak.New(slugsoak.Config{
		First: slugschedule.Seed(*o.seed), Seeds: *o.seeds, Logs: logs, Out: progress,
		Shape: slugschedule.Shape{Hosts: *o.hosts, Endpoints: slugsoakrig.EndpointsFor(*o.hosts), Duration: *o.duration},
		Play: func(ctx context.Context, s slugschedule.Schedule, directory string) (*slugcheck.Observation, error) {
			rig := slugsoakrig.New(slugsoakrig.Config{Program: program, Hosts: *o.hosts, Directory: directory, Progress: progress})
			return rig.Play(ctx, s, *o.duration)
		},
	}).Run(ctx)
	if err != nil {
		return err
	}
	if n := result.Broken(); n > 0 {
		err = &exitError{exitFailed, fmt.Errorf("promises were broken %d times", n)}
	}
	if printErr := t.print(result, func(io.Writer) {}); printErr != nil {
		return printErr
	}
	return err
}

// hostProgram returns the path of the host program.
func hostProgram(path string) (string, error) {
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		path = filepath.Join(filepath.Dir(self), "sassafraslug-host")
	}
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("host program, which go build -o bin/ ./cmd/... builds: %w", err)
	}
	return filepath.Abs(path)
}

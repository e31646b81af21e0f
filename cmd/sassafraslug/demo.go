package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/operate/slugburnreport"
	"github.com/sassafraslug/sassafraslug/internal/operate/slugdemo"
	"github.com/sassafraslug/sassafraslug/internal/operate/slugsystem"
)

// demoOptions holds the flags of the demo command.
type demoOptions struct {
	duration *time.Duration
	hosts    *int
	seed     *uint64
	file     *string
	hold     *bool
	logs     *string
}

func addDemo(t *tool) {
	c := t.app.Command("demo", "Run a complete system on this machine under load and faults, and check its guarantees.")
	o := demoOptions{
		duration: c.Flag("duration", "Duration of the load.").Default("20s").Duration(),
		hosts:    c.Flag("hosts", "Number of hosts.").Default("9").Int(),
		seed:     c.Flag("seed", "Random seed of the load.").Default("1").Uint64(),
		file:     c.Flag("result", "Write the result as JSON to this file.").PlaceHolder("FILE").String(),
		hold:     c.Flag("hold", "Print addresses, keys and example commands, and keep the system running.").Bool(),
		logs:     c.Flag("logs", "Write the logs of all processes to this file.").PlaceHolder("FILE").String(),
	}
	t.register(c, func(ctx context.Context) error { return t.demo(ctx, o) })
}

func (t *tool) demo(ctx context.Context, o demoOptions) error {
	if *o.hosts < 3 || *o.duration < 5*time.Second {
		return &exitError{exitUsage, fmt.Errorf("hosts %d, duration %s: must be at least 3 and 5s", *o.hosts, *o.duration)}
	}
	progress := t.out
	if *t.json {
		progress = os.Stderr
	}
	cfg := slugdemo.Config{Duration: *o.duration, Hosts: *o.hosts, Seed: *o.seed, Progress: progress}
	if *o.logs != "" {
		f, err := os.Create(*o.logs)
		if err != nil {
			return &exitError{exitUsage, err}
		}
		defer func() { _ = f.Close() }()
		cfg.Log = f
	}
	if *o.hold {
		cfg.Ready = func(s *slugsystem.System, d slugdemo.Deployment) { t.printInstructionsAndWait(ctx, s, d) }
	}
	r, err := slugdemo.New(cfg).Run(ctx)
	if *o.hold && ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	return t.reportDemoResult(r, *o.file)
}

// printInstructionsAndWait prints how to use the running system and waits until ctx ends.
func (t *tool) printInstructionsAndWait(ctx context.Context, s *slugsystem.System, d slugdemo.Deployment) {
	key := d.Keys["dojo-manila"]
	address := s.GateAddresses()[0]
	_, _ = fmt.Fprintf(t.out, "\ncontrol: %s\ngates:   %v\n", s.Hosts()[0].Control.Address(), s.GateAddresses())
	for w, k := range d.Keys {
		_, _ = fmt.Fprintf(t.out, "key of %s: %s\n", w, k)
	}
	_, _ = fmt.Fprintf(t.out, `
curl -s http://%[1]s/v1/addresses?service=assistant
curl -sN http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -d '{"model":"lineage","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"review"}]}'
curl -s http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -d '{"model":"lineage","max_tokens":12,"messages":[{"role":"user","content":"review"}]}'
curl -s http://%[1]s/services/records/promotions -H 'Authorization: Bearer %[2]s' -H 'Idempotency-Key: trial-1' -d '{"belt":"black"}'

The system runs until it is interrupted.
`, address, key)
	<-ctx.Done()
}

// reportDemoResult writes the result to a file if one is given, prints the burn rates and the
// guarantees, and returns an error if a guarantee did not hold.
func (t *tool) reportDemoResult(r *slugdemo.Result, file string) error {
	if file != "" {
		b, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(file, append(b, '\n'), 0o644); err != nil {
			return err
		}
	}
	err := t.print(r, func(w io.Writer) {
		_, _ = fmt.Fprintln(w)
		slugburnreport.Table(w, *r.Burn)
		_, _ = fmt.Fprintln(w)
		for _, p := range r.Guarantees {
			verdict := "held  "
			if !p.Held {
				verdict = "BROKEN"
			}
			_, _ = fmt.Fprintf(w, "%s  %s (%s)\n", verdict, p.Name, p.Evidence)
		}
	})
	if n := r.Violations(); err == nil && n > 0 {
		return &exitError{exitFailed, fmt.Errorf("%d guarantees did not hold", n)}
	}
	return err
}

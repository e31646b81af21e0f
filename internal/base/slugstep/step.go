// Package slugstep runs a daemon as one ordered list of steps under one
// errgroup.
//
// Each step starts in order. A step that has work to do for as long as the
// process lives puts it into the group. A step that is optional says why it was
// skipped.
//
// # Usage
//
//	err := slugstep.Run(ctx, log, []slugstep.Step{
//		{Name: "load settings", Run: d.loadSettings},
//		{Name: "serve tls", Skip: d.noCertificate, Run: d.serveTLS},
//	})
package slugstep

import (
	"context"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"golang.org/x/sync/errgroup"
)

// Step is one part of a daemon's run.
type Step struct {
	// Name says what the step does, in lower case.
	Name string
	// Skip returns the reason to leave the step out, or "". It may be nil.
	Skip func() string
	// Run does the step. Work that lasts goes into the group, and ends when the
	// context does.
	Run func(ctx context.Context, g *errgroup.Group) error
}

// Run starts the steps in order and waits for the work that they put into the
// group. It returns the first error, wrapped with the name of its step.
func Run(ctx context.Context, log *slugevent.Log, steps []Step) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, s := range steps {
		if reason := skipReason(s); reason != "" {
			log.Emit(slugevent.StepSkipped, slugevent.Fields{"step": s.Name, "reason": reason})
			continue
		}
		if err := s.Run(ctx, g); err != nil {
			err = slugfault.Wrap(err, s.Name, "")
			g.Go(func() error { return err })
			break
		}
		log.Emit(slugevent.StepDone, slugevent.Fields{"step": s.Name})
	}
	return g.Wait()
}

func skipReason(s Step) string {
	if s.Skip == nil {
		return ""
	}
	return s.Skip()
}

// Package slugstep runs a daemon as an ordered list of startup steps in one errgroup.
//
// The steps run one after another. A step starts long-running work as a goroutine of the
// group. An optional step can be skipped, and the reason is logged.
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

// Step is one startup step of a daemon.
type Step struct {
	// Name describes the step in lower case, for logs and errors.
	Name string
	// Skip returns the reason to skip the step, or "" to run it. It may be nil.
	Skip func() string
	// Run performs the step. It starts long-running work in g, which must end when ctx
	// does.
	Run func(ctx context.Context, g *errgroup.Group) error
}

// Run runs the steps in order and then waits for the work that they started in the group.
// The first error cancels the context and is returned. An error of a step is wrapped with
// the step's name.
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

// Command sassafraslug is the operators' command line.
//
// Exit statuses: 0 done, 1 failed, 2 wrong usage, 3 refused (nothing was changed),
// 4 unreachable, 5 the outcome is not known or not yet accepted.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugguard"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugoperate"
)

// Exit statuses.
const (
	exitDone        = 0
	exitFailed      = 1
	exitUsage       = 2
	exitRefused     = 3
	exitUnreachable = 4
	exitUnknown     = 5
)

// status is an error with the exit status that it leads to.
type status struct {
	code int
	err  error
}

// Error returns the message.
func (s *status) Error() string { return s.err.Error() }

// tool is one run of the command line.
type tool struct {
	app       *kingpin.Application
	out       io.Writer
	json      *bool
	control   *string
	tokenFile *string
	commands  map[string]func(context.Context) error
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := newTool(os.Stdout).run(ctx, os.Args[1:], os.Stderr)
	stop()
	os.Exit(code)
}

// newTool returns the command line with all commands.
func newTool(out io.Writer) *tool {
	app := kingpin.New("sassafraslug", "Operates the sassafraslug serving system.")
	app.HelpFlag.Short('h')
	app.UsageWriter(out)
	app.Terminate(nil)
	t := &tool{app: app, out: out, commands: map[string]func(context.Context) error{}}
	t.json = app.Flag("json", "Print JSON.").Bool()
	t.control = app.Flag("control", "Operators' address of a control process.").Envar("SASSAFRASLUG_CONTROL").Default("127.0.0.1:8091").String()
	t.tokenFile = app.Flag("token-file", "File with the operators' token.").Envar("SASSAFRASLUG_TOKEN_FILE").String()
	for _, add := range []func(*tool){
		addApply, addBench, addBurn, addDemo, addDrain, addDuties, addExplain, addKey, addManifest, addSettings, addStatus, addUsage, addWhy,
	} {
		add(t)
	}
	return t
}

// command adds a command with what it does.
func (t *tool) command(c *kingpin.CmdClause, do func(context.Context) error) {
	t.commands[c.FullCommand()] = do
}

// run runs one command and returns the exit status.
func (t *tool) run(ctx context.Context, args []string, errOut io.Writer) int {
	name, err := t.app.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "sassafraslug: %s, try --help\n", err)
		return exitUsage
	}
	do, ok := t.commands[name]
	if !ok {
		return exitDone
	}
	if err := do(ctx); err != nil {
		_, _ = fmt.Fprintf(errOut, "sassafraslug: %s\n", err)
		return exitCode(err)
	}
	return exitDone
}

func exitCode(err error) int {
	var s *status
	if errors.As(err, &s) {
		return s.code
	}
	var a *slugoperate.AnswerError
	if !errors.As(err, &a) {
		return exitFailed
	}
	switch a.Status {
	case 400, 401, 403, 404, 409, 413, 422:
		return exitRefused
	case 503:
		return exitUnknown
	}
	return exitFailed
}

// client returns a client of the control process.
func (t *tool) client() (*slugoperate.Client, error) {
	token, err := slugguard.ReadToken(*t.tokenFile)
	if err != nil {
		return nil, &status{exitUsage, err}
	}
	return slugoperate.New(slugoperate.Config{Address: *t.control, Token: token}), nil
}

// get reads a document from the control process.
func (t *tool) get(ctx context.Context, path string, answer any) error {
	c, err := t.client()
	if err != nil {
		return err
	}
	return reached(c.Get(ctx, path, answer))
}

// reached gives errors without an answer their own exit status.
func reached(err error) error {
	var a *slugoperate.AnswerError
	if err == nil || errors.As(err, &a) {
		return err
	}
	return &status{exitUnreachable, err}
}

// show prints a document as JSON, or as text with f.
func (t *tool) show(document any, f func(io.Writer)) error {
	if !*t.json {
		f(t.out)
		return nil
	}
	e := json.NewEncoder(t.out)
	e.SetIndent("", "  ")
	return e.Encode(document)
}

// Command sassafraslug is the command-line tool for operators.
//
// Exit statuses: 0 success, 1 failure, 2 usage error, 3 refused without any change,
// 4 control process unreachable, 5 outcome unknown or change not yet accepted.
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
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugoperatorapi"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugoperatorauth"
)

// Exit statuses.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitRefused     = 3
	exitUnreachable = 4
	exitUnknown     = 5
)

// exitError is an error with an exit status.
type exitError struct {
	code int
	err  error
}

// Error returns the message of the wrapped error.
func (e *exitError) Error() string { return e.err.Error() }

// tool holds the application, the global flags and the commands.
type tool struct {
	app       *kingpin.Application
	out       io.Writer
	json      *bool
	control   *string
	tokenFile *string
	commands  map[string]func(context.Context) error
	// helped is set once a help text was printed because of a flag.
	helped bool
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := newTool(os.Stdout).run(ctx, os.Args[1:], os.Stderr)
	stop()
	os.Exit(code)
}

// newTool returns a tool with all commands.
func newTool(out io.Writer) *tool {
	app := kingpin.New("sassafraslug", "Command-line tool to operate the sassafraslug serving system.")
	app.HelpFlag.Short('h')
	app.UsageWriter(out)
	t := &tool{app: app, out: out, commands: map[string]func(context.Context) error{}}
	app.Terminate(func(int) { t.helped = true })
	t.json = app.Flag("json", "Print the output as JSON.").Bool()
	t.control = app.Flag("control", "Operators' address of a control process.").Envar("SASSAFRASLUG_CONTROL").Default("127.0.0.1:8091").String()
	t.tokenFile = app.Flag("token-file", "File that holds the operators' token.").Envar("SASSAFRASLUG_TOKEN_FILE").String()
	for _, add := range []func(*tool){
		addApply, addBench, addBurn, addDemo, addDrain, addDuties, addExplain, addKey, addManifest, addSettings, addSoak, addStatus, addUsage, addWhere, addWhy,
	} {
		add(t)
	}
	return t
}

// register sets the function that runs a command.
func (t *tool) register(c *kingpin.CmdClause, do func(context.Context) error) {
	t.commands[c.FullCommand()] = do
}

// run parses the arguments, runs the command and returns the exit status.
func (t *tool) run(ctx context.Context, args []string, errOut io.Writer) int {
	name, err := t.app.Parse(args)
	if t.helped {
		return exitOK
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "sassafraslug: %s, try --help\n", err)
		return exitUsage
	}
	do, ok := t.commands[name]
	if !ok {
		return exitOK
	}
	if err := do(ctx); err != nil {
		_, _ = fmt.Fprintf(errOut, "sassafraslug: %s\n", err)
		return exitCode(err)
	}
	return exitOK
}

// exitCode returns the exit status of an error. The control process responds with 503 if a
// call to the store failed, after which a change may or may not have been made.
func exitCode(err error) int {
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	var a *slugoperatorapi.ResponseError
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
func (t *tool) client() (*slugoperatorapi.Client, error) {
	token, err := slugoperatorauth.ReadToken(*t.tokenFile)
	if err != nil {
		return nil, &exitError{exitUsage, err}
	}
	return slugoperatorapi.New(slugoperatorapi.Config{Address: *t.control, Token: token}), nil
}

// getDocument gets a JSON document from the control process.
func (t *tool) getDocument(ctx context.Context, path string, document any) error {
	c, err := t.client()
	if err != nil {
		return err
	}
	return wrapUnreachable(c.Get(ctx, path, document))
}

// wrapUnreachable gives an error without a response the exit status exitUnreachable.
func wrapUnreachable(err error) error {
	var a *slugoperatorapi.ResponseError
	if err == nil || errors.As(err, &a) {
		return err
	}
	return &exitError{exitUnreachable, err}
}

// print prints a document as JSON with --json, or else as text by calling f.
func (t *tool) print(document any, f func(io.Writer)) error {
	if !*t.json {
		f(t.out)
		return nil
	}
	e := json.NewEncoder(t.out)
	e.SetIndent("", "  ")
	return e.Encode(document)
}

package main

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func runCLI(args ...string) (int, string, string) {
	var out, errOut bytes.Buffer
	code := newCLI(&out).run(context.Background(), args, &errOut)
	return code, out.String(), errOut.String()
}

func TestCommandsPage(t *testing.T) {
	t.Setenv("COLUMNS", "80")
	var b strings.Builder
	b.WriteString("# Commands\n\nMade from the code by `go test ./cmd/sassafraslug -update`, and held to it by a test. Exit statuses: 0 done, 1 failed, 2 wrong usage, 3 refused and nothing changed, 4 unreachable, 5 outcome unknown or not yet accepted.\n\n```\n")
	var out bytes.Buffer
	tool := newCLI(&out)
	tool.app.UsageTemplate(kingpin.LongHelpTemplate).Usage(nil)
	assert.Assert(t, strings.Contains(out.String(), "manifest check"))
	for line := range strings.SplitSeq(out.String(), "\n") {
		b.WriteString(strings.TrimRight(line, " ") + "\n")
	}
	golden.Assert(t, b.String()+"```\n", "../../../docs/COMMANDS.md")
}

func TestErrors(t *testing.T) {
	for _, tt := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"nonsense"}, exitUsage, "expected command"},
		{[]string{"apply", "x.json"}, exitUsage, "required flag"},
		{[]string{"apply", "nowhere.json", "--base", "1"}, exitUsage, "nowhere.json"},
		{[]string{"manifest", "check", "../../internal/version/slugmanifest/testdata/wrong.json"}, exitRefused, "has 22 errors"},
		{[]string{"--control", "127.0.0.1:1", "status"}, exitUnreachable, "call control (127.0.0.1:1)"},
		{[]string{"--control", "127.0.0.1:1", "apply", "../../examples/manifest.json", "--base", "0"}, exitUnknown, "ask with: sassafraslug status --change"},
		{[]string{"demo", "--hosts", "1"}, exitUsage, "at least 3 and 5s"},
		{[]string{"settings", "show", "nowhere.ini"}, exitRefused, "nowhere.ini"},
	} {
		code, _, errOut := runCLI(tt.args...)
		assert.Equal(t, code, tt.code, "%v: %s", tt.args, errOut)
		assert.Assert(t, strings.Contains(errOut, tt.want), "%v: %s", tt.args, errOut)
	}
}

func TestKeyNew(t *testing.T) {
	code, out, _ := runCLI("--json", "key", "new")
	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.Contains(out, `"sha256"`) && strings.Contains(out, `"slug-key-`))
}

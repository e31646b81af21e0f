package slugevent

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// catalogue returns the required contents of docs/EVENTS.md.
func catalogue() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nEvery log line is a JSON object with the fields `event`, `process`, `level`, `msg` and `time`, and the fields of its event. This page is generated from the code by `go test ./internal/base/slugevent -update`, and a test keeps it up to date.\n\n| event | level | message | what to do |\n| --- | --- | --- | --- |\n")
	var events []Event
	for e := range All() {
		events = append(events, e)
	}
	slices.SortFunc(events, func(a, b Event) int { return cmp.Compare(a, b) })
	for _, e := range events {
		d := e.Describe()
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e, d.Level, d.Message, d.Action)
	}
	return b.String()
}

// Guards against an outdated docs/EVENTS.md; -update writes the file.
func TestCatalogueIsUpToDate(t *testing.T) {
	golden.Assert(t, catalogue(), "../../../../docs/EVENTS.md")
}

// Guards against an event constant without a description, which would be logged with a
// placeholder. The ranges must end with the last constant of each group.
func TestEveryEventIsDescribed(t *testing.T) {
	for _, r := range [][2]Event{{StepDone, LinesDropped}, {ConfigurationInForce, WatchMoved}, {DutyTaken, CallFailed}, {RequestRefused, AttemptFailed}} {
		for e := r[0]; e <= r[1]; e++ {
			_, ok := All()[e]
			assert.Assert(t, ok, "event %d", e)
		}
	}
}

// Guards against log lines without the fields that operators and tools search for.
func TestEmitWritesFields(t *testing.T) {
	var b bytes.Buffer
	New(&b, logrus.InfoLevel, "gate").Emit(DutyTaken, Fields{"duty": "usage/north"})
	for _, part := range []string{`"event":300`, `"duty":"usage/north"`, `"process":"gate"`, `"msg":"duty taken"`} {
		assert.Assert(t, strings.Contains(b.String(), part), "%s in %s", part, b.String())
	}
}

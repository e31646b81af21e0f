package slugexplain

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func readTestLog(t *testing.T) *Log {
	t.Helper()
	f, err := os.Open("testdata/day.log")
	assert.NilError(t, err)
	defer func() { _ = f.Close() }()
	l, err := Read(Source{"day.log", f})
	assert.NilError(t, err)
	return l
}

// The explanations of a slow, an interrupted, a refused and an unlogged request are compared
// with golden files, to guard against a wrong cause or a missing line.
func TestExplain(t *testing.T) {
	l := readTestLog(t)
	for _, id := range []string{"r-late", "r-cut", "r-refused", "r-unknown"} {
		var out bytes.Buffer
		l.Explain(id).Write(&out)
		golden.Assert(t, out.String(), id+".golden")
	}
}

// The counts and the chart of a log are compared with golden files, to guard against failures
// that are counted under another minute or cause.
func TestSummary(t *testing.T) {
	s := readTestLog(t).Summary()
	var out bytes.Buffer
	s.Write(&out)
	golden.Assert(t, out.String(), "summary.golden")
	golden.Assert(t, string(s.SVG()), "summary.svg.golden")
}

// A line over maxLineBytes must fail with the name of its log. Otherwise the scanner would end
// there, and the rest of the log would be missing without notice.
func TestReadNamesTheLogOfALineThatIsTooLong(t *testing.T) {
	_, err := Read(Source{"big.log", strings.NewReader(strings.Repeat("x", 2*maxLineBytes))})
	assert.ErrorContains(t, err, "big.log")
}

// Lines with arbitrary content, such as fields of another type, must not cause a panic.
func FuzzRead(f *testing.F) {
	day, err := os.ReadFile("testdata/day.log")
	assert.NilError(f, err)
	f.Add(day)
	f.Add([]byte(`{"event":1e300,"time":"2026-10-15T20:39:01Z","endpoints":[1,null]}`))
	f.Fuzz(func(_ *testing.T, b []byte) {
		l, err := Read(Source{"fuzz", bytes.NewReader(b)})
		if err != nil {
			return
		}
		for _, x := range l.Lines {
			l.Explain(x.Request).Write(&bytes.Buffer{})
		}
		l.Summary().SVG()
	})
}

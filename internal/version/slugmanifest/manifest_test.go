package slugmanifest

import (
	"encoding/json"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against an example manifest that is no longer valid.
func TestDecodeExample(t *testing.T) {
	b, err := os.ReadFile("../../../examples/manifest.json")
	assert.NilError(t, err)
	_, problems := Decode(b)
	assert.Equal(t, len(problems), 0, "%s", problems.Error())
}

// Guards against a check that is missing, or that hides the problems after it.
func TestDecodeReportsEveryProblem(t *testing.T) {
	_, problems := Decode(golden.Get(t, "wrong.json"))
	golden.Assert(t, problems.Error()+"\n", "wrong.golden")
}

// Guards against silently ignoring misspelt fields, wrong types and trailing data.
func TestDecodeRejectsMalformedInput(t *testing.T) {
	for _, tt := range []struct{ text, want string }{
		{`{"services":[],"colour":1}`, `"colour": unknown field`},
		{`{"services":1}`, `services: "number": a value of type []slugmanifest.Service is needed`},
		{`{"services":[]} x`, `$: "trailing data": only one JSON object is allowed`},
		{`{`, "unexpected EOF"},
	} {
		_, problems := Decode([]byte(tt.text))
		assert.ErrorContains(t, problems, tt.want)
	}
}

// Guards against unnoticed changes of the published JSON Schema; -update accepts them.
func TestSchema(t *testing.T) {
	b, err := json.MarshalIndent(NewSchema(), "", "  ")
	assert.NilError(t, err)
	golden.Assert(t, string(b)+"\n", "schema.golden")
}

// FuzzDecode checks that a valid manifest is still valid after it is encoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"services":[{"name":"a","kind":"engine"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, problems := Decode(b)
		if len(problems) > 0 || m == nil {
			return
		}
		again, err := json.Marshal(m)
		assert.NilError(t, err)
		_, problems = Decode(again)
		assert.Equal(t, len(problems), 0, "a valid manifest must stay valid")
	})
}

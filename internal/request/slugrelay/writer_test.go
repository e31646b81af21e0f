package slugrelay

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEventOfSeveralLines guards against a payload of several lines that reaches the caller
// as more than one event.
func TestEventOfSeveralLines(t *testing.T) {
	for payload, want := range map[string]string{"a": "data: a\n\n", "a\n\nb": "data: a\ndata: \ndata: b\n\n"} {
		recorder := httptest.NewRecorder()
		assert.NilError(t, New(recorder, Config{Stream: true}).Event([]byte(payload), true))
		assert.Equal(t, recorder.Body.String(), want)
	}
}

package slugname

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against accepting names that are not valid as part of an object name, an address
// or a metric name.
func TestValid(t *testing.T) {
	for _, tt := range []struct {
		name Service
		want bool
	}{
		{"assistant", true},
		{"a", true},
		{"a.b-c9", true},
		{"", false},
		{"-a", false},
		{"a-", false},
		{"Upper", false},
		{"a/b", false},
		{Service(strings.Repeat("a", MaxLength)), true},
		{Service(strings.Repeat("a", MaxLength+1)), false},
	} {
		assert.Equal(t, tt.name.Valid(), tt.want, string(tt.name))
	}
}

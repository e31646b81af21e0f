package slugdemo

import (
	"maps"
	"slices"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

// sortedNames returns the workspaces in order, so that runs are alike.
func sortedNames[V any](m map[slugname.Workspace]V) []slugname.Workspace {
	return slices.Sorted(maps.Keys(m))
}

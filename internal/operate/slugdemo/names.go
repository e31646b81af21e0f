package slugdemo

import (
	"maps"
	"slices"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

// sortedWorkspaces returns the workspaces in the order of their names, so that runs with
// the same seed generate the same load.
func sortedWorkspaces[V any](m map[slugname.Workspace]V) []slugname.Workspace {
	return slices.Sorted(maps.Keys(m))
}

package slugdemo

import (
	"maps"
	"slices"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

// sortedWorkspaces returns the workspaces in order, so that runs are alike.
func sortedWorkspaces[V any](m map[slugname.Workspace]V) []slugname.Workspace {
	return slices.Sorted(maps.Keys(m))
}

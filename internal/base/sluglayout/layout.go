// Package sluglayout knows the areas of the source tree and which of them may
// import which. Its test holds the tree to it.
//
// # Usage
//
//	ok := sluglayout.Allowed("request", "decision")
package sluglayout

import "slices"

// Area is a folder under internal/ that groups packages by what they do.
type Area string

// areas lists the areas, each of which may import those before it and itself.
var areas = []Area{
	"base", "version", "decision", "membership", "connection",
	"fleet", "authority", "request", "daemon", "operate",
}

// Standin is the area of the stand-ins, which tests, demos and trials use.
const Standin Area = "standin"

// Known reports whether a is an area.
func Known(a Area) bool { return a == Standin || slices.Contains(areas, a) }

// Allowed reports whether a package of one area may import one of another.
// Stand-ins may import all areas, and only the area operate imports stand-ins.
func Allowed(from, to Area) bool {
	switch {
	case from == Standin:
		return true
	case to == Standin:
		return from == "operate"
	}
	return slices.Index(areas, from) >= slices.Index(areas, to)
}

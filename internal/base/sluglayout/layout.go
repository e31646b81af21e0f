// Package sluglayout defines which areas of the source tree may import which others. Its
// test checks the imports of all packages under internal/.
//
// # Usage
//
//	ok := sluglayout.Allowed("request", "decision")
package sluglayout

import "slices"

// Area is a directory under internal/ that groups packages by purpose.
type Area string

// areas lists the areas in order: each may import itself and those before it.
var areas = []Area{
	"base", "version", "decision", "membership", "connection",
	"fleet", "authority", "request", "daemon", "operate",
}

// Standin is the area of simulated services, which tests, demos and experiments use.
const Standin Area = "standin"

// Known reports whether a is an area.
func Known(a Area) bool { return a == Standin || slices.Contains(areas, a) }

// Allowed reports whether packages of the area from may import packages of the area to.
// Standin may import all areas, and may itself be imported only by operate.
func Allowed(from, to Area) bool {
	switch {
	case from == Standin:
		return true
	case to == Standin:
		return from == "operate"
	}
	return slices.Index(areas, from) >= slices.Index(areas, to)
}

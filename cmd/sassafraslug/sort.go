package main

import (
	"maps"
	"slices"

	"github.com/sassafraslug/sassafraslug/internal/authority/sluglease"
)

func sortedDuties(m map[sluglease.Duty]sluglease.Record) []sluglease.Duty {
	return slices.Sorted(maps.Keys(m))
}

// Package slugname holds the named types of the identifiers that all parts of
// the system share.
//
// # Usage
//
//	var service slugname.Name[slugname.ServiceKind]
//
// In practice the aliases below are used:
//
//	func route(s slugname.Service, w slugname.Workspace) slugname.Endpoint
package slugname

import "regexp"

// Name is an identifier of one kind of thing. Names of different kinds do not
// convert into each other without a visible conversion.
type Name[K any] string

// The kinds of things that have names.
type (
	serviceKind    struct{}
	workspaceKind  struct{}
	dataCentreKind struct{}
	regionKind     struct{}
	modelKind      struct{}
	endpointKind   struct{}
	hostKind       struct{}
	processKind    struct{}
)

// Aliases for the names in use.
type (
	// Service names a group of endpoints that answer the same calls.
	Service = Name[serviceKind]
	// Workspace names a tenant whose keys authenticate its callers.
	Workspace = Name[workspaceKind]
	// DataCentre names a failure domain inside a region.
	DataCentre = Name[dataCentreKind]
	// Region names a group of data centres.
	Region = Name[regionKind]
	// Model names a model that engines load.
	Model = Name[modelKind]
	// Endpoint names one back end: a model engine or a plain server.
	Endpoint = Name[endpointKind]
	// Host names one entry host.
	Host = Name[hostKind]
	// Process names one incarnation of a daemon.
	Process = Name[processKind]
)

// MaxLength is the greatest number of bytes in a name.
const MaxLength = 63

var pattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// Valid reports whether n is 1 to MaxLength lower-case letters, digits, dots
// and hyphens, beginning and ending with a letter or digit.
func (n Name[K]) Valid() bool {
	return len(n) <= MaxLength && pattern.MatchString(string(n))
}

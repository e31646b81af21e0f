// Package slugname defines a distinct string type for each kind of identifier, so that
// the compiler rejects an identifier of the wrong kind.
//
// # Usage
//
//	func route(s slugname.Service, w slugname.Workspace) slugname.Endpoint
package slugname

import "regexp"

// Name is an identifier of kind K. Names of different kinds need an explicit conversion.
type Name[K any] string

// Type parameters that tell the kinds of names apart.
type (
	serviceKind    struct{}
	workspaceKind  struct{}
	dataCentreKind struct{}
	regionKind     struct{}
	modelKind      struct{}
	endpointKind   struct{}
	hostKind       struct{}
	processKind    struct{}
	versionKind    struct{}
)

// The kinds of names.
type (
	// Service is the name of a group of endpoints that answer the same calls.
	Service = Name[serviceKind]
	// Workspace is the name of a customer whose keys authenticate its callers.
	Workspace = Name[workspaceKind]
	// DataCentre is the name of a failure domain within a region.
	DataCentre = Name[dataCentreKind]
	// Region is the name of a group of data centres.
	Region = Name[regionKind]
	// Model is the name of a model that engines load.
	Model = Name[modelKind]
	// Endpoint is the name of a back end: a model engine or a plain server.
	Endpoint = Name[endpointKind]
	// Host is the name of a machine that accepts callers.
	Host = Name[hostKind]
	// Process is the name of one run of a daemon; a restart gets a new name.
	Process = Name[processKind]
	// SoftwareVersion is the version of the software of an endpoint.
	SoftwareVersion = Name[versionKind]
)

// MaxLength is the maximum length of a name in bytes.
const MaxLength = 63

var validPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// Valid reports whether n consists of 1 to MaxLength lower-case letters, digits, dots and
// hyphens, and starts and ends with a letter or digit.
func (n Name[K]) Valid() bool {
	return len(n) <= MaxLength && validPattern.MatchString(string(n))
}

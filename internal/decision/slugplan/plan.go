// Package slugplan is the list of a service's endpoints in one data centre, with
// the role and the state of each. The holder of the roles duty writes it; gates
// follow it.
//
// # Usage
//
//	version, err := store.Put(ctx, slugplan.Name(service, dataCentre), expected, plan)
package slugplan

import (
	"strings"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

// Prefix begins the names of plan objects.
const Prefix = "plans/"

// Name returns the name of a plan's object.
func Name(s slugname.Service, d slugname.DataCentre) string {
	return Prefix + string(s) + "/" + string(d)
}

// ParseName returns the service and the data centre in the name of an object.
func ParseName(name string) (slugname.Service, slugname.DataCentre, bool) {
	service, dataCentre, ok := strings.Cut(strings.TrimPrefix(name, Prefix), "/")
	return slugname.Service(service), slugname.DataCentre(dataCentre), ok
}

// Role is the kind of work that an engine takes.
type Role string

// The roles.
const (
	// RoleMixed engines take all work.
	RoleMixed Role = "mixed"
	// RolePrefill engines take requests that are mostly prompt.
	RolePrefill Role = "prefill"
	// RoleDecode engines take requests that are mostly output.
	RoleDecode Role = "decode"
)

// State says whether an endpoint takes new work.
type State string

// The states.
const (
	// StateServing endpoints take new work.
	StateServing State = "serving"
	// StateDraining endpoints finish their work before a change.
	StateDraining State = "draining"
	// StateLeaving endpoints finish their work before they end.
	StateLeaving State = "leaving"
)

// Speed is what work costs on an endpoint.
type Speed struct {
	// PrefillPerSecond is the number of prompt tokens processed in a second.
	PrefillPerSecond float64 `json:"prefillPerSecond,omitempty"`
	// StepBase is the time of a decode step without streams.
	StepBase time.Duration `json:"stepBaseNs,omitempty"`
	// StepPerStream is added to a decode step for each stream.
	StepPerStream time.Duration `json:"stepPerStreamNs,omitempty"`
	// Chunk is the number of prompt tokens that one step processes. While it does,
	// the streams of the batch wait for their next token.
	Chunk int `json:"chunk,omitempty"`
}

// Endpoint is one line of a plan.
type Endpoint struct {
	Name    slugname.Endpoint        `json:"name"`
	Address string                   `json:"address"`
	Kind    slugmanifest.ServiceKind `json:"kind"`
	Cheap   bool                     `json:"cheap,omitempty"`
	Role    Role                     `json:"role,omitempty"`
	State   State                    `json:"state"`
	// Version is the version of the model that is loaded.
	Version string `json:"version,omitempty"`
	// Streams is the number of requests that the endpoint runs at a time.
	Streams int `json:"streams"`
	// Pieces is the size of the KV cache.
	Pieces         int `json:"pieces,omitempty"`
	TokensPerPiece int `json:"tokensPerPiece,omitempty"`
	Speed          Speed
}

// Plan is the content of one object.
type Plan struct {
	Service    slugname.Service    `json:"service"`
	DataCentre slugname.DataCentre `json:"dataCentre"`
	// Fence is the fence of the duty under which the plan was made.
	Fence     uint64     `json:"fence"`
	Endpoints []Endpoint `json:"endpoints"`
}

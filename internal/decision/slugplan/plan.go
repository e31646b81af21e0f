// Package slugplan defines the plan of a service in one data centre: its endpoints with
// their roles and states. The holder of the roles duty writes plans; gates follow them.
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

// Prefix starts the name of every plan object.
const Prefix = "plans/"

// Name returns the name of the object that holds a plan.
func Name(s slugname.Service, d slugname.DataCentre) string {
	return Prefix + string(s) + "/" + string(d)
}

// ParseName returns the service and the data centre in the name of a plan object. It
// reports false if the name has no data centre.
func ParseName(name string) (slugname.Service, slugname.DataCentre, bool) {
	service, dataCentre, ok := strings.Cut(strings.TrimPrefix(name, Prefix), "/")
	return slugname.Service(service), slugname.DataCentre(dataCentre), ok
}

// Role is the kind of work that an engine accepts.
type Role string

// Possible values of Role.
const (
	// RoleMixed engines accept all work.
	RoleMixed Role = "mixed"
	// RolePrefill engines accept requests that are mostly prompt.
	RolePrefill Role = "prefill"
	// RoleDecode engines accept requests that are mostly output.
	RoleDecode Role = "decode"
)

// State says whether an endpoint accepts new work.
type State string

// Possible values of State.
const (
	// StateServing endpoints accept new work.
	StateServing State = "serving"
	// StateDraining endpoints finish their work before a change.
	StateDraining State = "draining"
	// StateLeaving endpoints finish their work before they stop.
	StateLeaving State = "leaving"
)

// Speed holds the processing speed of an endpoint.
type Speed struct {
	// PrefillPerSecond is the number of prompt tokens processed per second.
	PrefillPerSecond float64 `json:"prefillPerSecond,omitempty"`
	// StepBase is the duration of a decode step without streams.
	StepBase time.Duration `json:"stepBaseNs,omitempty"`
	// StepPerStream is the time that each stream adds to a decode step.
	StepPerStream time.Duration `json:"stepPerStreamNs,omitempty"`
	// Chunk is the number of prompt tokens that one step processes. Meanwhile the
	// streams of the batch wait for their next token.
	Chunk int `json:"chunk,omitempty"`
}

// Endpoint is one endpoint of a plan.
type Endpoint struct {
	Name    slugname.Endpoint        `json:"name"`
	Address string                   `json:"address"`
	Kind    slugmanifest.ServiceKind `json:"kind"`
	Cheap   bool                     `json:"cheap,omitempty"`
	Role    Role                     `json:"role,omitempty"`
	State   State                    `json:"state"`
	// Version is the version of the loaded model.
	Version string `json:"version,omitempty"`
	// Streams is the number of requests that the endpoint runs concurrently.
	Streams int `json:"streams"`
	// Pieces is the size of the KV cache in blocks of TokensPerPiece tokens.
	Pieces         int `json:"pieces,omitempty"`
	TokensPerPiece int `json:"tokensPerPiece,omitempty"`
	Speed          Speed
}

// Plan is the content of a plan object.
type Plan struct {
	Service    slugname.Service    `json:"service"`
	DataCentre slugname.DataCentre `json:"dataCentre"`
	// Fence is the fence of the duty under which the plan was written.
	Fence     uint64     `json:"fence"`
	Endpoints []Endpoint `json:"endpoints"`
}

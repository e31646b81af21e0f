package slugquota

import "github.com/sassafraslug/sassafraslug/internal/base/slugname"

const (
	// maxDemands bounds the workspaces in a request, and maxNeeds the waiting requests of all of
	// them, so that it has at most 8 KB. Others are sent with the next request.
	maxDemands = 64
	maxNeeds   = 256
)

// Request is what a host sends to the owner of a slot.
type Request struct {
	_    struct{} `cbor:",toarray"`
	Slot uint8
	// LoanMs is how long the host lends its shares of the slot to the owner, in milliseconds,
	// or 0 if it does not. Hosts is the number of hosts that it knows; its shares are 1/Hosts.
	LoanMs uint32
	Hosts  uint32
	// Withdraw ends the loan. The host uses its shares elsewhere once this is answered.
	Withdraw bool
	Demands  []Demand
}

// Demand is what a host needs for one workspace.
type Demand struct {
	_         struct{} `cbor:",toarray"`
	Workspace slugname.Workspace
	// Held are the tokens that the host keeps, Returned the granted ones that it gives back.
	Held, Returned uint64
	// NotRun are the tokens of requests that did not run, the first of which were taken AgeMs
	// milliseconds ago.
	NotRun uint64
	AgeMs  uint32
	// Needs are the costs of waiting requests.
	Needs []uint64
	// PerSecond is the mean demand in tokens per second, MeanCost that of one request.
	PerSecond float32
	MeanCost  float32
}

// Answer is the answer of the owner.
type Answer struct {
	_ struct{} `cbor:",toarray"`
	// SpacingMs is the shortest time between requests of the host, in milliseconds.
	SpacingMs uint32
	// Grants answer the demands of the request, in their order.
	Grants []Grant
}

// Grant is the answer to one Demand.
type Grant struct {
	_ struct{} `cbor:",toarray"`
	// Tokens are granted in addition to those held. They cover some of the needs, in their
	// order, and what the host may hold ahead of demand, which is Target.
	Tokens, Target uint64
	// Level is what is left in the bucket, Rate how fast it fills per second.
	Level, Rate float32
	// Unlimited is set if the owner knows of no quota of the workspace.
	Unlimited bool
}

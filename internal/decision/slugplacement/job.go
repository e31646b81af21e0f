package slugplacement

import (
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugbacklog"
)

// PartID identifies a part of a prompt that requests can share.
type PartID string

// Part is one part of a prompt.
type Part struct {
	ID     PartID
	Tokens int
}

// Job describes the work of one request.
type Job struct {
	// Parts are the parts of the prompt in order; the last one is specific to the
	// request.
	Parts []Part
	// Tokens is the length of the prompt.
	Tokens int
	// Output is the maximum number of tokens of the response.
	Output int
	// Priority is the urgency; 0 is the most urgent.
	Priority int
	// Version is the only software version that may generate the response; empty means any.
	Version slugname.SoftwareVersion
	// Counted is set if the prompt already counts in the demand.
	Counted bool
	// DataCentre is the data centre of the host that received the request.
	DataCentre slugname.DataCentre
	// Ticket identifies the announcement of the prompt; 0 means that its end is not reported.
	Ticket slugbacklog.Ticket
}

// lastSharedPart returns the last part that can be shared, which determines the home
// endpoint of the prompt, or "" if there is none.
func (j Job) lastSharedPart() PartID {
	if len(j.Parts) < 2 {
		return ""
	}
	return j.Parts[len(j.Parts)-2].ID
}

// sharedParts returns all parts but the last.
func (j Job) sharedParts() []Part { return j.Parts[:max(0, len(j.Parts)-1)] }

// sharedTokens returns the number of tokens of all parts but the last.
func (j Job) sharedTokens() int {
	n := 0
	for _, p := range j.sharedParts() {
		n += p.Tokens
	}
	return n
}

// PartIDs returns the IDs of the parts in order.
func (j Job) PartIDs() []string {
	ids := make([]string, len(j.Parts))
	for i, p := range j.Parts {
		ids[i] = string(p.ID)
	}
	return ids
}

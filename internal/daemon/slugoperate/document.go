// Package slugoperate holds the documents of the operators' API and its client.
//
// # Usage
//
//	c := slugoperate.New(slugoperate.Config{Address: "127.0.0.1:8091", Token: token})
//	result, err := c.Apply(ctx, manifest, base, changeID)
package slugoperate

import (
	"github.com/sassafraslug/sassafraslug/internal/authority/slugreport"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugduties"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugburn"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"github.com/sassafraslug/sassafraslug/internal/version/slugdiff"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

// Manifest is the configuration in force.
type Manifest struct {
	Revision slugconfig.Revision    `json:"revision"`
	Manifest *slugmanifest.Manifest `json:"manifest"`
}

// Change is the state of one change of the configuration.
type Change struct {
	ID slugstore.ChangeID `json:"id"`
	// Revision is 0 when the change is not known.
	Revision slugconfig.Revision `json:"revision"`
	// Accepted tells that a majority of the hosts has the revision in force and the
	// others refuse requests with keys until they have.
	Accepted bool `json:"accepted"`
	// Unconfirmed are the hosts that have not acknowledged.
	Unconfirmed []slugname.Host `json:"unconfirmed"`
}

// Conflict tells why a change was not made.
type Conflict struct {
	Error    string                `json:"error"`
	Revision slugconfig.Revision   `json:"revision"`
	Diff     []slugdiff.Difference `json:"diff"`
}

// Invalid lists the errors of a manifest.
type Invalid struct {
	Error    string                `json:"error"`
	Problems slugmanifest.Problems `json:"problems"`
}

// Failure is any other error.
type Failure struct {
	Error string `json:"error"`
}

// ProcessStatus is the state of one process.
type ProcessStatus struct {
	slugmember.Record
	Alive    bool                `json:"alive"`
	Leaving  bool                `json:"leaving"`
	Revision slugconfig.Revision `json:"revision"`
	// WordAgeMs is how long ago the process had word of the newest configuration.
	WordAgeMs int64 `json:"wordAgeMs"`
	StoreLost bool  `json:"storeLost"`
}

// Status is the state of the system as one process sees it.
type Status struct {
	Revision slugconfig.Revision `json:"revision"`
	// StoreAnswers tells whether the platform's store answers this process.
	StoreAnswers bool            `json:"storeAnswers"`
	Processes    []ProcessStatus `json:"processes"`
	Plans        []slugplan.Plan `json:"plans"`
}

// Drain asks for a host or an endpoint to be drained, or no longer.
type Drain struct {
	Host     slugname.Host     `json:"host,omitempty"`
	Endpoint slugname.Endpoint `json:"endpoint,omitempty"`
	Undo     bool              `json:"undo,omitempty"`
}

// BurnLine is one line of the report on service-level burn.
type BurnLine struct {
	slugburn.Line
	// Share is the wanted share of good events.
	Share float64 `json:"share"`
	// Rates are the burn rates over slugburn.Windows.
	Rates []float64 `json:"rates"`
}

// Burn is the report on service-level burn.
type Burn struct {
	Lines []BurnLine `json:"lines"`
	// Missing are the gates that did not answer.
	Missing []slugname.Host `json:"missing"`
}

// Usage is a list of reports, the newest first.
type Usage struct {
	Reports []slugreport.Report `json:"reports"`
}

// Duties lists duties.
type Duties struct {
	Duties []slugduties.Status `json:"duties"`
}

// Why lists decisions.
type Why struct {
	Decisions []slugduties.Decision `json:"decisions"`
}

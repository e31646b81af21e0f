// Package slugoperatorapi defines the documents of the operator API and implements its client.
//
// # Usage
//
//	c := slugoperatorapi.New(slugoperatorapi.Config{Address: "127.0.0.1:8091", Token: token})
//	result, err := c.Apply(ctx, manifest, base, changeID)
package slugoperatorapi

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

// Manifest is the manifest that is in effect, with its revision.
type Manifest struct {
	Revision slugconfig.Revision    `json:"revision"`
	Manifest *slugmanifest.Manifest `json:"manifest"`
}

// Change is the status of a configuration change.
type Change struct {
	ID slugstore.ChangeID `json:"id"`
	// Revision is 0 when the change is not known.
	Revision slugconfig.Revision `json:"revision"`
	// Accepted reports whether a majority of the hosts uses the revision. The other hosts
	// refuse requests with keys until they use it too.
	Accepted bool `json:"accepted"`
	// Unconfirmed lists the hosts that have not acknowledged the revision.
	Unconfirmed []slugname.Host `json:"unconfirmed"`
}

// Conflict reports that a change was rejected because its base is not the current
// revision. Diff is the difference between the current and the submitted manifest.
type Conflict struct {
	Error    string                `json:"error"`
	Revision slugconfig.Revision   `json:"revision"`
	Diff     []slugdiff.Difference `json:"diff"`
}

// InvalidManifest reports the problems of an invalid manifest.
type InvalidManifest struct {
	Error    string                `json:"error"`
	Problems slugmanifest.Problems `json:"problems"`
}

// ErrorResponse reports any other error.
type ErrorResponse struct {
	Error string `json:"error"`
}

// ProcessStatus is the status of a process.
type ProcessStatus struct {
	slugmember.Record
	Alive    bool                `json:"alive"`
	Leaving  bool                `json:"leaving"`
	Revision slugconfig.Revision `json:"revision"`
	// ConfigAgeMs is the time since the process last confirmed that its configuration was
	// the newest.
	ConfigAgeMs int64 `json:"wordAgeMs"`
	StoreLost   bool  `json:"storeLost"`
}

// Status is the status of the cluster as seen by one process.
type Status struct {
	Revision slugconfig.Revision `json:"revision"`
	// StoreReachable reports whether this process can reach the platform's store.
	StoreReachable bool            `json:"storeAnswers"`
	Processes      []ProcessStatus `json:"processes"`
	Plans          []slugplan.Plan `json:"plans"`
}

// Drain is a request to drain a host or an endpoint, or to undo that.
type Drain struct {
	Host     slugname.Host     `json:"host,omitempty"`
	Endpoint slugname.Endpoint `json:"endpoint,omitempty"`
	Undo     bool              `json:"undo,omitempty"`
}

// BurnLine is one line of the burn-rate report.
type BurnLine struct {
	slugburn.Line
	// Share is the target share of good events.
	Share float64 `json:"share"`
	// Rates are the burn rates over the windows in slugburn.Windows.
	Rates []float64 `json:"rates"`
}

// Burn is the burn-rate report on the service-level objectives.
type Burn struct {
	Lines []BurnLine `json:"lines"`
	// Missing lists the hosts whose gates did not respond.
	Missing []slugname.Host `json:"missing"`
}

// Usage lists usage reports, newest first.
type Usage struct {
	Reports []slugreport.Report `json:"reports"`
}

// Duties lists the duties and their state.
type Duties struct {
	Duties []slugduties.Status `json:"duties"`
}

// DecisionList lists the recent decisions of the duties and their inputs.
type DecisionList struct {
	Decisions []slugduties.Decision `json:"decisions"`
}

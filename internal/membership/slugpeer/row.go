// Package slugpeer lets every process know what the others tell of themselves:
// the revision in force, its freshness, whether they leave, the demand of the
// workspaces they serve, suspected requests and acknowledged plans.
//
// Each process owns one row. Rows spread by push and pull with a few random
// peers a second. A digest carries the version and the heartbeat of every row, so
// that a row is sent only when it has changed.
//
// # Usage
//
//	t := slugpeer.New(slugpeer.Config{Self: id, Call: link.Call, Peers: member.Records})
//	t.Update(func(r *slugpeer.Row) { r.Leaving = true })
//	go t.Run(ctx)
package slugpeer

import (
	"context"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugsuspect"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
)

// Protocol is the version of the messages between processes.
const Protocol = 1

// Row is what a process tells of itself. Only its owner changes it.
type Row struct {
	Process  slugname.Process    `cbor:"1,keyasint"`
	Kind     slugmember.Kind     `cbor:"2,keyasint"`
	Host     slugname.Host       `cbor:"3,keyasint"`
	Revision slugconfig.Revision `cbor:"4,keyasint"`
	Leaving  bool                `cbor:"5,keyasint,omitempty"`
	// Demand is the requests a second of each workspace with a limit.
	Demand map[slugname.Workspace]float32 `cbor:"6,keyasint,omitempty"`
	// Running is the number of running requests of each workspace with a limit.
	Running map[slugname.Workspace]uint32 `cbor:"7,keyasint,omitempty"`
	// Suspicions are requests that were in flight at crashes.
	Suspicions []slugsuspect.Suspicion `cbor:"8,keyasint,omitempty"`
	// Plans are the versions of the plans that the process acts on.
	Plans map[string]slugstore.Version `cbor:"9,keyasint,omitempty"`
	// HostsLeaving are hosts that the platform's list shows as leaving.
	HostsLeaving []slugname.Host `cbor:"10,keyasint,omitempty"`
	// StoreLost tells that the process gets no answer from the store.
	StoreLost bool `cbor:"11,keyasint,omitempty"`
	// Busy maps draining endpoints to this process's requests there.
	Busy map[slugname.Endpoint]uint32 `cbor:"12,keyasint,omitempty"`
	// Released counts the duties that the process has released.
	Released uint32 `cbor:"13,keyasint,omitempty"`
	// Loads is the process's own work at endpoints.
	Loads map[slugname.Endpoint]Load `cbor:"14,keyasint,omitempty"`
	// Holds tells that the process holds the duties of the system.
	Holds bool `cbor:"15,keyasint,omitempty"`
	// Work is what callers asked of each service.
	Work map[slugname.Service]Work `cbor:"16,keyasint,omitempty"`
	// Draining are endpoints that the process knows to leave.
	Draining []slugname.Endpoint `cbor:"17,keyasint,omitempty"`
	// Planned are the roles that engines were told to take lately.
	Planned map[slugname.Endpoint]slugplan.Role `cbor:"18,keyasint,omitempty"`
}

// Load is a process's own work at one endpoint.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// PrefillMs is the time that waiting and running prompts need.
	PrefillMs uint32
	// Streams are requests that run or wait.
	Streams uint32
	// CacheTokens are the tokens of KV cache that they need.
	CacheTokens uint32
}

// Work is what a process's callers asked of a service lately.
type Work struct {
	_ struct{} `cbor:",toarray"`
	// PrefillBusy is the number of engines that prompts keep busy.
	PrefillBusy float32
	// Streams is the mean number of answers under way.
	Streams float32
}

// WindowCount is the number of requests that began to run in an accounting window.
type WindowCount struct {
	_      struct{} `cbor:",toarray"`
	Window int64
	Counts map[slugname.Workspace]uint32
}

// Total returns the requests of all workspaces.
func (c WindowCount) Total() (n uint32) {
	for _, x := range c.Counts {
		n += x
	}
	return n
}

// Entry is one row's state in a digest.
type Entry struct {
	_         struct{} `cbor:",toarray"`
	ID        slugmember.ID
	Version   uint32
	Heartbeat uint32
	// WordAge is how long ago the owner had word of the newest configuration, in
	// units of wordUnit.
	WordAge uint32
	// HeardAge is how long ago the sender heard the heartbeat, in the same unit. Word
	// that comes late through others must not make a silent process look alive.
	HeardAge uint32
}

// wordUnit is the resolution of Entry.WordAge.
const wordUnit = 100 * time.Millisecond

// noWord is the WordAge of a process that never had word.
const noWord = 1 << 20

// VersionedRow is a row on its way to another process.
type VersionedRow struct {
	Version uint32 `cbor:"1,keyasint"`
	Row     Row    `cbor:"2,keyasint"`
}

// Message is one message between processes.
type Message struct {
	Protocol int            `cbor:"1,keyasint"`
	Digest   []Entry        `cbor:"2,keyasint,omitempty"`
	Rows     []VersionedRow `cbor:"3,keyasint,omitempty"`
	// Want are rows that the sender lacks or has in an older version.
	Want []slugmember.ID `cbor:"6,keyasint,omitempty"`
	// WantBundle asks for the configuration of a revision or a later one.
	WantBundle slugconfig.Revision `cbor:"4,keyasint,omitempty"`
	// Bundle is an encoded configuration.
	Bundle []byte `cbor:"5,keyasint,omitempty"`
	// ClockNs is the sender's count of the time of day in nanoseconds since 1970.
	ClockNs int64 `cbor:"7,keyasint,omitempty"`
	// Follow asks for what is new of objects in the store.
	Follow *Follow `cbor:"8,keyasint,omitempty"`
	// News answers Follow.
	News *News `cbor:"9,keyasint,omitempty"`
	// Usage are the sender's requests that began to run, by accounting window.
	Usage []WindowCount `cbor:"10,keyasint,omitempty"`
	// Announce announces a prompt for an endpoint, and Announced answers it.
	Announce  *Announce  `cbor:"11,keyasint,omitempty"`
	Announced *Announced `cbor:"12,keyasint,omitempty"`
}

// Announce announces a prompt for an endpoint.
type Announce struct {
	_        struct{} `cbor:",toarray"`
	Service  slugname.Service
	Endpoint slugname.Endpoint
	// Parts are the prompt's parts in order.
	Parts []PromptPart
	// Copied is the number of its tokens whose KV cache the endpoint will copy.
	Copied uint32
	// Undo takes an earlier announcement back, with what was answered to it.
	Undo *Announced
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Tokens uint32
}

// Announced tells what an announced prompt will find at its endpoint.
type Announced struct {
	_ struct{} `cbor:",toarray"`
	// WaitUs is how long it will wait and WorkUs how long it will then need, in
	// microseconds.
	WaitUs, WorkUs int64
	// Cached is the number of its tokens that the endpoint keeps.
	Cached uint32
}

// Follow asks for what changed of the objects under a prefix after a version.
type Follow struct {
	_      struct{} `cbor:",toarray"`
	Prefix string
	After  slugstore.Version
	// WaitMs is how long the answer may wait for a change.
	WaitMs uint32
}

// News is what a process knows of objects in the store.
type News struct {
	_ struct{} `cbor:",toarray"`
	// Revision is the version to go on from, 0 if the process knows nothing.
	Revision slugstore.Version
	// Whole tells that the values are all objects, and not changes only.
	Whole  bool
	Values []slugstore.Value
	// HeldMs is how long the answer waited, and AgeMs how old the process's knowledge
	// was after that.
	HeldMs, AgeMs uint32
}

// Carrier carries messages between processes.
type Carrier struct {
	// Address is where the process takes messages.
	Address string
	// Hash is the hash of the process's certificate.
	Hash slugmember.CertificateHash
	// SetLookup sets how the certificates of peers are looked up.
	SetLookup func(func(slugmember.CertificateHash) (slugmember.Record, bool))
	// Call sends a message and returns its answer.
	Call func(ctx context.Context, to slugmember.Record, m Message) (Message, error)
	// Serve answers messages until ctx ends.
	Serve func(ctx context.Context, f func(slugname.Process, Message) Message) error
	// Bytes returns the payload bytes sent and received so far.
	Bytes func() uint64
	Close func() error
}

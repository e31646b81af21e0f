// Package slugpeer spreads the state of every process to all others by gossip: the
// revision in effect and its freshness, whether the process is leaving, the demand of the
// workspaces it serves, suspected requests and acknowledged plans.
//
// Each process owns one row. In each round, once a second by default, it exchanges rows
// with a few random peers, by push and pull. A digest carries the versions and heartbeats
// of rows, so that a row is sent only if it has changed.
//
// # Usage
//
//	t := slugpeer.New(slugpeer.Config{Self: record, Call: transport.Call, Peers: member.Records, LastConfirmed: follower.LastConfirmed})
//	t.Update(func(r *slugpeer.Row) { r.Leaving = true })
//	go t.Run(ctx)
package slugpeer

import (
	"context"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugorigin"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugquarantine"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugquota"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugsuspect"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
)

// Protocol is the version of the message format.
const Protocol = 1

// Row is the state that a process publishes to its peers. Only its owner changes it.
type Row struct {
	Process  slugname.Process    `cbor:"1,keyasint"`
	Kind     slugmember.Kind     `cbor:"2,keyasint"`
	Host     slugname.Host       `cbor:"3,keyasint"`
	Revision slugconfig.Revision `cbor:"4,keyasint"`
	Leaving  bool                `cbor:"5,keyasint,omitempty"`
	// Demand is the rate of requests per second of each workspace with a limit.
	Demand map[slugname.Workspace]float32 `cbor:"6,keyasint,omitempty"`
	// Running is the number of running requests of each workspace with a limit.
	Running map[slugname.Workspace]uint32 `cbor:"7,keyasint,omitempty"`
	// Suspicions are requests that were in flight when endpoints crashed.
	Suspicions []slugsuspect.Suspicion `cbor:"8,keyasint,omitempty"`
	// Plans are the versions of the plans in use.
	Plans map[string]slugstore.Version `cbor:"9,keyasint,omitempty"`
	// HostsLeaving are the hosts that are leaving according to the platform's list.
	HostsLeaving []slugname.Host `cbor:"10,keyasint,omitempty"`
	// StoreUnavailable reports that the process gets no response from the store.
	StoreUnavailable bool `cbor:"11,keyasint,omitempty"`
	// Busy is the number of outstanding requests of the process at each draining endpoint.
	Busy map[slugname.Endpoint]uint32 `cbor:"12,keyasint,omitempty"`
	// Released is the number of duties that the process has released.
	Released uint32 `cbor:"13,keyasint,omitempty"`
	// Loads is the load that the process has placed on each endpoint.
	Loads map[slugname.Endpoint]Load `cbor:"14,keyasint,omitempty"`
	// HoldsDuties reports that the process holds the lease on the duties of the system.
	HoldsDuties bool `cbor:"15,keyasint,omitempty"`
	// ServiceLoads is the recent load from callers of each service.
	ServiceLoads map[slugname.Service]ServiceLoad `cbor:"16,keyasint,omitempty"`
	// Draining are the endpoints that the process knows to be leaving.
	Draining []slugname.Endpoint `cbor:"17,keyasint,omitempty"`
	// PlannedRoles are the roles that engines were recently ordered to take.
	PlannedRoles map[slugname.Endpoint]slugplan.Role `cbor:"18,keyasint,omitempty"`
	// Paces are the paces of the engines of each service as measured by the process.
	Paces map[slugname.Service]Pace `cbor:"19,keyasint,omitempty"`
	// CutOff reports that the process refuses requests with keys, because its configuration
	// may be out of date.
	CutOff bool `cbor:"20,keyasint,omitempty"`
	// Slowness is how many percent of the time at a usual engine work takes at engines of
	// which the process is the owner, apart from what their load causes at the moment. Engines
	// that are about as fast as usual are left out.
	Slowness map[slugname.Endpoint]uint16 `cbor:"22,keyasint,omitempty"`
	// LostPaths is the number of endpoints that the process reaches only through peers.
	LostPaths uint32 `cbor:"23,keyasint,omitempty"`
}

// Pace is the measured pace of the engines of a service.
type Pace struct {
	_ struct{} `cbor:",toarray"`
	// FixedUs is the time of a call that does not depend on the prompt, in microseconds.
	FixedUs uint32
	// PerTokenNs and PerPairNs are the times of each token to process and of each pair of
	// tokens, in nanoseconds.
	PerTokenNs, PerPairNs float64
	// Samples is the number of prompts measured.
	Samples uint32
}

// Load is the load that one process has placed on one endpoint.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// PrefillMs is the prefill time of all waiting and running prompts, in milliseconds.
	PrefillMs uint32
	// Streams is the number of waiting and running requests.
	Streams uint32
	// CacheTokens is the number of KV cache tokens that these requests need.
	CacheTokens uint32
}

// ServiceLoad is the recent load on a service from the callers of one process.
type ServiceLoad struct {
	_ struct{} `cbor:",toarray"`
	// PrefillBusy is the number of engines that prefills keep busy.
	PrefillBusy float32
	// Streams is the mean number of responses in progress.
	Streams float32
}

// WindowCount is the number of requests of each workspace that began to run in one
// accounting window.
type WindowCount struct {
	_      struct{} `cbor:",toarray"`
	Window int64
	Counts map[slugname.Workspace]uint32
}

// Total returns the number of requests of all workspaces.
func (c WindowCount) Total() (n uint32) {
	for _, count := range c.Counts {
		n += count
	}
	return n
}

// Entry describes one row in a digest.
type Entry struct {
	_         struct{} `cbor:",toarray"`
	ID        slugmember.ID
	Version   uint32
	Heartbeat uint32
	// ConfirmedAge is the time since the configuration of the owner was last confirmed to be
	// the newest, in units of ageUnit, or unknownAge.
	ConfirmedAge uint32
	// HeartbeatAge is the time since the sender saw the heartbeat grow, in units of
	// ageUnit. Without it, heartbeats that arrive late through other processes would make
	// a silent process look alive.
	HeartbeatAge uint32
}

// ageUnit is the resolution of the ages in an Entry.
const ageUnit = 100 * time.Millisecond

// unknownAge is the ConfirmedAge of a process whose configuration was never confirmed. It is
// also the largest age that is sent.
const unknownAge = 1 << 20

// VersionedRow is a row with its version, as sent between processes.
type VersionedRow struct {
	Version uint32 `cbor:"1,keyasint"`
	Row     Row    `cbor:"2,keyasint"`
	// Heartbeat and HeartbeatAge are those of an Entry. Without them, the row of a process that
	// has ended would make it look alive to a process that did not know it. Earlier builds send
	// neither.
	Heartbeat    uint32 `cbor:"3,keyasint,omitempty"`
	HeartbeatAge uint32 `cbor:"4,keyasint,omitempty"`
}

// Message is a request or an answer between processes.
type Message struct {
	Protocol int            `cbor:"1,keyasint"`
	Digest   []Entry        `cbor:"2,keyasint,omitempty"`
	Rows     []VersionedRow `cbor:"3,keyasint,omitempty"`
	// Want are the rows that the sender lacks or has in an older version.
	Want []slugmember.ID `cbor:"6,keyasint,omitempty"`
	// WantBundle requests the configuration of a revision, or of a later one.
	WantBundle slugconfig.Revision `cbor:"4,keyasint,omitempty"`
	// Bundle is the encoded configuration that answers WantBundle.
	Bundle []byte `cbor:"5,keyasint,omitempty"`
	// ClockNs is the time by the sender's own clock, in nanoseconds since the Unix epoch.
	ClockNs int64 `cbor:"7,keyasint,omitempty"`
	// Follow requests the changes of objects in the store.
	Follow *Follow `cbor:"8,keyasint,omitempty"`
	// Changes is the answer to Follow.
	Changes *Changes `cbor:"9,keyasint,omitempty"`
	// Usage are the sender's counts of requests that began to run, by accounting window.
	Usage []WindowCount `cbor:"10,keyasint,omitempty"`
	// Announcement describes a prompt that is about to be sent to an endpoint, and Forecast
	// is the answer to it.
	Announcement *Announcement `cbor:"11,keyasint,omitempty"`
	Forecast     *Forecast     `cbor:"12,keyasint,omitempty"`
	// MaxWaitUs is the longest wait that the sender of an announcement accepts, in
	// microseconds, or 0 for any. Declined answers that the prompt would wait longer and was
	// not counted.
	MaxWaitUs int64 `cbor:"13,keyasint,omitempty"`
	Declined  bool  `cbor:"14,keyasint,omitempty"`
	// Evidence are entries about requests that may crash endpoints. CompareEvidence asks for
	// all entries of the receiver in return.
	Evidence        []Evidence `cbor:"15,keyasint,omitempty"`
	CompareEvidence bool       `cbor:"16,keyasint,omitempty"`
	// Origins are the software versions that began streams of the sender.
	Origins []slugorigin.Origin `cbor:"17,keyasint,omitempty"`
	// FindOrigin asks which software version began a stream, and Origin is the answer.
	FindOrigin *OriginQuery  `cbor:"18,keyasint,omitempty"`
	Origin     *OriginAnswer `cbor:"19,keyasint,omitempty"`
	// Observed is the time in which the sender of Origin observed which versions serve.
	Observed *ObservedSpan `cbor:"20,keyasint,omitempty"`
	// Quota asks the owner of some workspaces for tokens of their quotas, and QuotaAnswer is the
	// answer.
	Quota       *slugquota.Request `cbor:"21,keyasint,omitempty"`
	QuotaAnswer *slugquota.Answer  `cbor:"22,keyasint,omitempty"`
	// Ends are the ends of prompts that the sender announced to the receiver. They may come
	// with an announcement and need no answer.
	Ends []PromptEnds `cbor:"25,keyasint,omitempty"`
	// Ticket identifies the announced prompt in Ends; 0 means that its end is not reported.
	Ticket uint32 `cbor:"26,keyasint,omitempty"`
	// Better, beside Forecast, names an engine of the same owner at which the announced prompt
	// would be done sooner. It was not announced for that one.
	Better *BetterEndpoint `cbor:"27,keyasint,omitempty"`
	// Yield is set in announcements of prompts that yield to others if they would be late, and
	// Deferred answers that such a prompt has to wait and was not counted.
	Yield    *Yield `cbor:"28,keyasint,omitempty"`
	Deferred bool   `cbor:"29,keyasint,omitempty"`
	// ReadyUs, beside Forecast, is the time until the endpoint has processed the cached tokens,
	// in microseconds. Before that, others cannot fetch them.
	ReadyUs int64 `cbor:"30,keyasint,omitempty"`
	// Holder, beside Forecast, names an engine that has more of the prompt cached.
	Holder *PartHolder `cbor:"31,keyasint,omitempty"`
	// Instead, beside a withdrawn announcement, names the engine to which the prompt is sent
	// instead, with the time until that has processed it.
	Instead *BetterEndpoint `cbor:"32,keyasint,omitempty"`
	// Notices are what endpoints have said in responses that passed through the sender and the
	// receiver.
	Notices []EndpointNotice `cbor:"33,keyasint,omitempty"`
}

// EndpointNotice is what an endpoint has said in a response to a peer.
type EndpointNotice struct {
	_           struct{} `cbor:",toarray"`
	Service     slugname.Service
	Endpoint    slugname.Endpoint
	Incarnation int64
	Address     string
	Leaving     bool
	// WaitMs is the time for which the endpoint wants no requests, in milliseconds.
	WaitMs uint32
}

// PartHolder is an engine that has the first tokens of a prompt cached, or will have processed
// them after ReadyUs, in microseconds.
type PartHolder struct {
	_        struct{} `cbor:",toarray"`
	Endpoint slugname.Endpoint
	Tokens   uint32
	ReadyUs  int64
}

// Yield says when an announced prompt is late, and for how long it may wait for its turn.
type Yield struct {
	_ struct{} `cbor:",toarray"`
	// OnTimeWaitUs is the longest wait with which the prompt is not late, in microseconds.
	OnTimeWaitUs int64
	// DeadlineUs is the time until the deadline of the prompt, in microseconds.
	DeadlineUs int64
	// HoldUs is how long the owner may hold its answer until the prompt has its turn, in
	// microseconds.
	HoldUs int64
	// Aged is set once half of the time until the deadline has passed.
	Aged bool
	// Priority is the urgency of the prompt; 0 is the most urgent.
	Priority uint8
}

// BetterEndpoint is an engine with the wait of a prompt there, in microseconds.
type BetterEndpoint struct {
	_        struct{} `cbor:",toarray"`
	Endpoint slugname.Endpoint
	WaitUs   int64
}

// PromptEnds are the ends of prompts at one endpoint, and the load observed there.
type PromptEnds struct {
	_        struct{} `cbor:",toarray"`
	Service  slugname.Service
	Endpoint slugname.Endpoint
	Ends     []PromptEnd
	// Percent is how long work took at the endpoint, in percent of the usual time, PercentAgeMs
	// milliseconds ago; 0 if that is not known.
	Percent, PercentAgeMs uint16
}

// PromptEnd is the end of the processing of an announced prompt.
type PromptEnd struct {
	_      struct{} `cbor:",toarray"`
	Ticket uint32
	// AgeMs is the time since the end in milliseconds.
	AgeMs uint16
	// Served is set if the endpoint processed the prompt.
	Served bool
}

// OriginQuery asks which software version of a service began a stream.
type OriginQuery struct {
	_       struct{} `cbor:",toarray"`
	Service slugname.Service
	Key     slugorigin.Key
}

// OriginAnswer is what a process knows of a stream.
type OriginAnswer struct {
	_ struct{} `cbor:",toarray"`
	// Version is empty if the process does not know the stream.
	Version slugname.SoftwareVersion
	// Versions served while the stream may have begun. Complete is set if the process has
	// observed the service for all of that time; ObservedSpan says up to when.
	Versions []slugname.SoftwareVersion
	Complete bool
}

// ObservedSpan is a time in which a process knew without interruption which endpoints serve.
type ObservedSpan struct {
	_ struct{} `cbor:",toarray"`
	// FromMs and ToMs are the times since its begin, rounded down, and since its end, rounded
	// up, in milliseconds.
	FromMs, ToMs uint32
}

// Evidence holds the entries of one service about requests that may crash endpoints.
type Evidence struct {
	_       struct{} `cbor:",toarray"`
	Service slugname.Service
	Entries []slugquarantine.Entry
}

// Announcement describes a prompt that is about to be sent to an endpoint, or withdraws an
// earlier announcement.
type Announcement struct {
	_        struct{} `cbor:",toarray"`
	Service  slugname.Service
	Endpoint slugname.Endpoint
	// Parts are the parts of the prompt in order.
	Parts []PromptPart
	// Copied is the number of tokens of the prompt whose KV cache the endpoint will copy
	// from another one.
	Copied uint32
	// Withdraw, if set, withdraws an earlier announcement. It holds the answer to that
	// announcement.
	Withdraw *Forecast
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Tokens uint32
}

// Forecast is the expected wait and work of an announced prompt at its endpoint.
type Forecast struct {
	_ struct{} `cbor:",toarray"`
	// WaitUs is how long the prompt will wait, and WorkUs how long it will then be
	// processed, in microseconds.
	WaitUs, WorkUs int64
	// Cached is the number of tokens of the prompt in the cache of the endpoint.
	Cached uint32
}

// Follow requests the changes of the objects under a prefix after a version.
type Follow struct {
	_      struct{} `cbor:",toarray"`
	Prefix string
	After  slugstore.Version
	// WaitMs is how long the answer may wait for a change.
	WaitMs uint32
}

// Changes is what a process knows about objects in the store.
type Changes struct {
	_ struct{} `cbor:",toarray"`
	// Revision is the version to continue from, or 0 if the process knows nothing yet.
	Revision slugstore.Version
	// Complete reports that Values are all objects rather than changes.
	Complete bool
	Values   []slugstore.Value
	// HeldMs is how long the call was held open, and AgeMs the time since the process's
	// knowledge was last current when the answer was sent.
	HeldMs, AgeMs uint32
}

// Transport carries messages between processes.
type Transport struct {
	// Address is where this process receives messages.
	Address string
	// Hash is the hash of this process's certificate.
	Hash slugmember.CertificateHash
	// SetLookup sets the function that finds the process with a certificate. It
	// authenticates peers.
	SetLookup func(func(slugmember.CertificateHash) (slugmember.Record, bool))
	// Call sends a message to a process and returns the answer.
	Call func(ctx context.Context, to slugmember.Record, m Message) (Message, error)
	// Serve answers messages with f until ctx ends.
	Serve func(ctx context.Context, f func(slugname.Process, Message) Message) error
	// Open opens a stream to a process, and SetStreams sets the function that handles the
	// streams of peers. It must be set before Serve.
	Open       func(ctx context.Context, to slugmember.Record) (Stream, error)
	SetStreams func(func(slugname.Process, Stream))
	// Bytes returns the number of payload bytes sent and received so far.
	Bytes func() uint64
	Close func() error
}

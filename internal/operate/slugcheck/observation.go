// Package slugcheck finds broken promises in what callers and endpoints saw of a system, and
// nothing else: the logs and the state of the system are not consulted.
//
// # Usage
//
//	for _, b := range observation.Check() {
//		fmt.Println(b)
//	}
package slugcheck

import (
	"fmt"
	"slices"
	"time"
)

// RequestID identifies one attempt of a caller.
type RequestID string

// Work identifies what a caller wants, over all attempts at it. It is the request's body.
type Work string

// Kind says how often a request may run.
type Kind string

// Kinds of requests.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests may run once.
	Unsafe Kind = "unsafe"
	// Resumable streams may be continued by another run.
	Resumable Kind = "resumable"
	// Once are streams that may run once.
	Once Kind = "once"
)

// stream reports whether responses are streams of events.
func (k Kind) stream() bool { return k == Resumable || k == Once }

// End is how an attempt ended.
type End string

// Ends of attempts.
const (
	// Complete means that the response ended as the protocol says.
	Complete End = "complete"
	// Closed means that the connection ended before that.
	Closed End = "closed"
	// Unsent means that the request was not sent completely.
	Unsent End = "unsent"
	// TimedOut means that the caller waited until the time limit and a second more.
	TimedOut End = "timedOut"
	// Abandoned means that the caller gave up a stream without events for too long.
	Abandoned End = "abandoned"
	// Left means that the caller closed the connection before its time limit.
	Left End = "left"
)

// Event is an event of a stream, as the endpoint marked it.
type Event struct {
	Number int
	Work   Work
	// Version is the version of the endpoint's software, and Run identifies the run.
	Version, Run string
}

// Attempt is one request of a caller and its response.
type Attempt struct {
	ID   RequestID
	Work Work
	Kind Kind
	// Host is the number of the host that received the request.
	Host int
	// SentAt is when the last byte was sent.
	SentAt, EndedAt time.Time
	// LeaveAt is when the caller closes the connection if the response is not complete by then;
	// zero means that it waits.
	LeaveAt time.Time
	// GoneAt is when the caller had closed its connection, or when its time was over as the host
	// counts it, whichever came first. A host that is told of both later may still send the request.
	GoneAt time.Time
	// Deadline is the end of the caller's time limit, which is no later than that of the
	// route.
	Deadline time.Time
	// Status is the status of the response; 0 means that there was none.
	Status int
	// EchoedID is the ID that the response bears.
	EchoedID RequestID
	// Signed reports whether the response bears the signature of an endpoint.
	Signed bool
	// Body is the body of a response that is no stream.
	Body string
	// After is the number of the event after which a stream is taken up, and Last the number
	// of its last event.
	After, Last int
	Events      []Event
	End         End
}

// Arrival is a request that an endpoint received, except those for a prompt only.
type Arrival struct {
	ID       RequestID
	Endpoint string
	// Connection is the address from which the endpoint was called.
	Connection string
	// SentAt is when the bytes of the host had reached the machine of the endpoint, and At when the
	// endpoint had read them.
	SentAt, At time.Time
	Ran        bool
}

// Break is the reset of a connection to an endpoint by the soak.
type Break struct {
	Connection string
	At         time.Time
}

// Outage is a span in which a host did not run because of the soak, or in which the soak itself
// was held up by the machine.
type Outage struct {
	// Host is the number of the host, or AllHosts.
	Host     int
	From, To time.Time
	// Killed is true if the process was killed, and false if it was stopped for a while.
	Killed bool
}

// AllHosts is the host of an Outage in which the machine held up the soak.
const AllHosts = -1

// Exit is the end of a process that the soak did not cause.
type Exit struct {
	Process string
	At      time.Time
	Detail  string
}

// Memory is the most memory that a process used, and that it may use, in bytes.
type Memory struct {
	Process     string
	Peak, Limit int64
}

// Observation is what callers and endpoints saw during a run, and what the soak did.
type Observation struct {
	Attempts []Attempt
	Arrivals []Arrival
	// Prompts are the requests for a prompt only.
	Prompts []Arrival
	Breaks  []Break
	Outages []Outage
	Exits   []Exit
	Memory  []Memory
}

// Promise is the name of a promise.
type Promise string

// Promises that are checked.
const (
	Lost    Promise = "LOST"
	Mixed   Promise = "MIXED"
	Order   Promise = "ORDER"
	Twice   Promise = "TWICE"
	Refused Promise = "REFUSED"
	Ended   Promise = "ENDED"
	Gone    Promise = "GONE"
	// MemoryUsed is broken by a process that uses more memory than it may.
	MemoryUsed Promise = "MEMORY"
)

// Broken is a broken promise.
type Broken struct {
	Promise Promise
	// ID is the request, and empty for Ended and MemoryUsed.
	ID     RequestID
	At     time.Time
	Detail string
}

// String returns the broken promise as one line.
func (b Broken) String() string { return fmt.Sprintf("%s %s: %s", b.Promise, b.ID, b.Detail) }

// Check returns all broken promises in order of time.
func (o *Observation) Check() []Broken {
	out := slices.Concat(o.lost(), o.mixed(), o.order(), o.twice(), o.refused(), o.gone(), o.ended(), o.memory())
	slices.SortStableFunc(out, func(a, b Broken) int { return a.At.Compare(b.At) })
	return out
}

// arrivals returns the arrivals by request.
func (o *Observation) arrivals() map[RequestID][]Arrival {
	out := map[RequestID][]Arrival{}
	for _, a := range o.Arrivals {
		out[a.ID] = append(out[a.ID], a)
	}
	return out
}

// runs returns the number of runs among arrivals.
func runs(arrivals []Arrival) (n int) {
	for _, a := range arrivals {
		if a.Ran {
			n++
		}
	}
	return n
}

func (a Attempt) broken(p Promise, format string, args ...any) Broken {
	return Broken{p, a.ID, a.EndedAt, fmt.Sprintf("%s at host %d, status %d, %s after %d ms: ", a.Kind, a.Host, a.Status, a.End, a.EndedAt.Sub(a.SentAt).Milliseconds()) + fmt.Sprintf(format, args...)}
}

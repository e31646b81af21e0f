package slugdispatch

import (
	"net/http"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugload"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugnotice"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
)

// RequestID is the ID that the caller sent with the request. It identifies the request
// over all attempts at endpoints, but not over repetitions by the caller.
type RequestID string

// Call is a caller's request, independent of the protocol over which it arrived.
type Call struct {
	ID     RequestID
	Method string
	Host   string
	// Path selects the route; Target is the request target exactly as the caller sent it.
	Path   string
	Target string
	// Header holds the headers to forward to the endpoint.
	Header http.Header
	Body   []byte
	// Key is the caller's API key, or empty if the request has none.
	Key string
	// Timeout is the timeout that the caller asked for; 0 means none.
	Timeout time.Duration
	// Received is the time at which the request had arrived completely. It may have been read later.
	Received time.Time
	// Prompt describes the prompt of a model request, for placement.
	Prompt slugplacement.Job
	// ResumeAfter is the ID of the last event that the caller of a stream already has.
	ResumeAfter string
	// Resumes is the ID of the request that brought the first event of that stream.
	Resumes RequestID
}

// Target describes one attempt: the endpoint and the parameters to send along.
type Target struct {
	Address  string
	Endpoint slugname.Endpoint
	// Workspace is empty on open routes.
	Workspace slugname.Workspace
	// Remaining is the time remaining until the request's deadline.
	Remaining time.Duration
	// Priority is the scheduling priority; 0 is the most urgent.
	Priority int
	// CacheSource locates the KV cache of the processed prompt; empty if there is none.
	CacheSource string
	// FetchFrom is the address of an endpoint that has the KV cache of a prefix of the
	// prompt; empty if none is known.
	FetchFrom string
	// ResumeAfter is the ID of the event after which the endpoint resumes the stream.
	ResumeAfter string
	// Idempotent requests may be repeated and may reuse connections.
	Idempotent bool
}

// ResponseHead holds what the status and headers of an endpoint's response say.
type ResponseHead struct {
	Status int
	// ID is the request to which the response belongs, empty if it does not name exactly one.
	ID RequestID
	// NotRun is set if the endpoint states that it did not run the request.
	NotRun bool
	// WrongEndpoint is set if an endpoint other than the expected one responded.
	WrongEndpoint bool
	// Signed is set if the response carries a signature of the endpoint.
	Signed bool
	// Limit is the rate limit that the endpoint states. LimitUnreadable is set if it states
	// one that cannot be read.
	Limit           slugplacement.Limit
	LimitUnreadable bool
	// Responder is the endpoint that responded, empty if the response does not name it.
	Responder slugname.Endpoint
	// Notice is what the endpoint says about itself. NoticeUnreadable is set if it states a
	// time to wait that cannot be read.
	Notice           slugnotice.Notice
	NoticeUnreadable bool
	// Load is the load that the endpoint states. LoadUnreadable is set if it states one that
	// cannot be read.
	Load           slugload.Report
	LoadUnreadable bool
}

// Handle identifies the KV cache of a processed prompt at its endpoint.
type Handle struct {
	ID     string
	Tokens int
	// StartedAt is the start (incarnation) that the endpoint stated with the handle, 0 if none.
	StartedAt int64
}

// Codec translates between this package and the wire protocol of the endpoints.
type Codec struct {
	// EncodeRun encodes a request that the endpoint is to run.
	EncodeRun func(*Call, Target) slugsend.Request
	// SetRemaining replaces the time remaining until the request's deadline in a header of a run or
	// prefill.
	SetRemaining func(http.Header, time.Duration)
	// EncodePrefill encodes a request of which the endpoint processes only the prompt.
	EncodePrefill func(*Call, Target) slugsend.Request
	// EncodeRelease encodes a request to delete a KV cache that is no longer needed.
	EncodeRelease func(address string, handle string) slugsend.Request
	// CacheSource encodes the location of a KV cache for the endpoint that loads it.
	CacheSource func(address string, handle string) string
	// DecodeHead decodes the status and headers of a response.
	DecodeHead func(*http.Response) ResponseHead
	// DecodeHandle decodes the body of a response to a prefill request.
	DecodeHandle func([]byte) (Handle, error)
	// CopyHeader copies the response headers that the caller may see.
	CopyHeader func(to, from http.Header)
}

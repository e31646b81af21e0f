package slugdispatch

import (
	"net/http"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
)

// RequestID identifies one try of a caller.
type RequestID string

// Call is a caller's request, whatever the interface through which it came.
type Call struct {
	ID     RequestID
	Method string
	Host   string
	// Path selects the route; Target is the request's target as the caller wrote it.
	Path   string
	Target string
	// Header holds what is forwarded.
	Header http.Header
	Body   []byte
	// Key is the caller's key, empty when there is none.
	Key string
	// Patience is how long the caller waits; 0 means that it did not say.
	Patience time.Duration
	// Received is when the request had been read.
	Received time.Time
	// Prompt describes the work of a model request.
	Prompt slugplacement.Job
	// ResumeAfter is the last event that the caller of a stream already has.
	ResumeAfter string
}

// Target is where and how a request is sent on.
type Target struct {
	Address  string
	Endpoint slugname.Endpoint
	// Workspace is empty on open routes.
	Workspace slugname.Workspace
	// Left is the time that the endpoint has.
	Left time.Duration
	// Priority is the urgency, 0 first.
	Priority int
	// Source says where the prompt's KV cache is kept; empty means nowhere.
	Source string
	// FetchFrom is the address of an endpoint that keeps the beginning of the prompt;
	// empty means that none is known.
	FetchFrom string
	// ResumeAfter is the last event that is not wanted again.
	ResumeAfter string
	// Idempotent requests may share connections and be repeated.
	Idempotent bool
}

// Head is what the head of an endpoint's answer says.
type Head struct {
	Status int
	// ID is the request that the answer belongs to.
	ID RequestID
	// NotRun tells that the endpoint did not run the request.
	NotRun bool
	// Wrong tells that another endpoint than the expected one answered.
	Wrong bool
	// Signed tells that the endpoint vouches for the answer.
	Signed bool
}

// Handle names the KV cache of a processed prompt.
type Handle struct {
	ID     string
	Tokens int
}

// Codec translates between the product and what endpoints speak.
type Codec struct {
	// Run encodes a request that is to be run.
	Run func(*Call, Target) slugsend.Request
	// Prefill encodes a request whose prompt only is to be processed.
	Prefill func(*Call, Target) slugsend.Request
	// Release encodes the removal of a KV cache that nobody takes.
	Release func(address string, handle string) slugsend.Request
	// Source names a KV cache at an endpoint for another endpoint.
	Source func(address string, handle string) string
	// Head reads the head of an answer.
	Head func(*http.Response) Head
	// Handle reads the answer to Prefill.
	Handle func([]byte) (Handle, error)
	// Forward copies the headers of an answer that the caller gets.
	Forward func(to, from http.Header)
}

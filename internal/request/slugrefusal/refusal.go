// Package slugrefusal defines the error response to a caller whose request was not
// served. It states whether the request may have run, so that the caller knows whether
// it is safe to repeat.
//
// # Usage
//
//	return slugrefusal.NotRun(slugrefusal.CodeKeyUnknown, "the key is not known")
//	...
//	refusal.Write(w)
package slugrefusal

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Ran states whether a refused request may have run.
type Ran string

// The values of Ran.
const (
	// RanNo is used only if no byte of the request was sent to an endpoint, or if the
	// endpoint itself stated that it did not run the request.
	RanNo Ran = "no"
	// RanUnknown is used in all other cases.
	RanUnknown Ran = "unknown"
)

// Code identifies the reason of a refusal.
type Code string

// The values of Code.
const (
	CodeKeyMissing        Code = "keyMissing"
	CodeKeyUnknown        Code = "keyUnknown"
	CodeForbidden         Code = "forbidden"
	CodeModelUnknown      Code = "modelUnknown"
	CodeServiceUnknown    Code = "serviceUnknown"
	CodeRouteUnknown      Code = "routeUnknown"
	CodeRequestMalformed  Code = "requestMalformed"
	CodeBodyTooLarge      Code = "bodyTooLarge"
	CodeBodyTooSlow       Code = "bodyTooSlow"
	CodeOverloaded        Code = "overloaded"
	CodeDeadline          Code = "deadline"
	CodeLimit             Code = "limit"
	CodeNoEndpoint        Code = "noEndpoint"
	CodeCutOff            Code = "cutOff"
	CodeNotReady          Code = "notReady"
	CodeQuarantined       Code = "quarantined"
	CodeEndpointFailed    Code = "endpointFailed"
	CodeEndpointRefused   Code = "endpointRefused"
	CodeClaimUnavailable  Code = "claimUnavailable"
	CodeClaimMismatch     Code = "claimMismatch"
	CodeOutcomeUnknown    Code = "outcomeUnknown"
	CodeUpgrade           Code = "upgradeUnsupported"
	CodeInternal          Code = "internal"
	CodeStreamInterrupted Code = "streamInterrupted"
	CodeTimeout           Code = "timeout"
	// CodeQuarantinedUnrun refuses a request that crashed endpoints before. Unlike
	// CodeQuarantined, its status lets the caller repeat the request later.
	CodeQuarantinedUnrun Code = "quarantinedUnrun"
	// CodeStreamUnresumable refuses to take up a stream, because the software version that
	// began it is unknown or does not serve. The request can be sent anew.
	CodeStreamUnresumable Code = "streamUnresumable"
)

// RanHeader is the response header that carries Ran.
const RanHeader = "Sassafraslug-Ran"

// statuses maps codes to HTTP statuses.
var statuses = map[Code]int{
	CodeKeyMissing: http.StatusUnauthorized, CodeKeyUnknown: http.StatusUnauthorized,
	CodeForbidden: http.StatusForbidden, CodeModelUnknown: http.StatusNotFound,
	CodeServiceUnknown: http.StatusNotFound, CodeRouteUnknown: http.StatusNotFound,
	CodeRequestMalformed: http.StatusBadRequest, CodeBodyTooLarge: http.StatusRequestEntityTooLarge,
	CodeBodyTooSlow: http.StatusRequestTimeout, CodeOverloaded: http.StatusServiceUnavailable,
	CodeDeadline: http.StatusServiceUnavailable, CodeLimit: http.StatusTooManyRequests,
	CodeNoEndpoint: http.StatusServiceUnavailable, CodeCutOff: http.StatusServiceUnavailable,
	CodeNotReady: http.StatusServiceUnavailable, CodeQuarantined: http.StatusUnprocessableEntity,
	CodeEndpointFailed: http.StatusBadGateway, CodeEndpointRefused: http.StatusServiceUnavailable,
	CodeClaimUnavailable: http.StatusServiceUnavailable, CodeClaimMismatch: http.StatusUnprocessableEntity,
	CodeOutcomeUnknown: http.StatusConflict, CodeUpgrade: http.StatusNotImplemented,
	CodeTimeout: http.StatusGatewayTimeout, CodeQuarantinedUnrun: http.StatusServiceUnavailable,
	CodeStreamUnresumable: http.StatusServiceUnavailable,
	CodeInternal:          http.StatusInternalServerError, CodeStreamInterrupted: http.StatusBadGateway,
}

// Refusal is the reason for which a request was not served. It implements error.
type Refusal struct {
	Code    Code
	Message string
	Ran     Ran
	// RetryAfter is the delay after which to retry, or 0 if retrying does not help.
	RetryAfter time.Duration
	// Addresses lists other hosts to which the caller may turn.
	Addresses []string
}

// NotRun returns a refusal of a request that did not run.
func NotRun(c Code, format string, args ...any) *Refusal {
	return &Refusal{Code: c, Message: fmt.Sprintf(format, args...), Ran: RanNo}
}

// MayHaveRun returns a refusal of a request that may have run.
func MayHaveRun(c Code, format string, args ...any) *Refusal {
	return &Refusal{Code: c, Message: fmt.Sprintf(format, args...), Ran: RanUnknown}
}

// WithRetryAfter sets RetryAfter and returns the refusal.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// Error implements error. It returns the code and the message.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Message }

// Status returns the HTTP status of the refusal, which is 500 for an unlisted code.
func (r *Refusal) Status() int {
	if s, ok := statuses[r.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// errorDocument is the JSON form of a refusal.
type errorDocument struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Code              Code     `json:"code"`
	Message           string   `json:"message"`
	Ran               Ran      `json:"ran"`
	RetryAfterSeconds float64  `json:"retryAfterSeconds,omitempty"`
	Addresses         []string `json:"addresses,omitempty"`
}

// JSON returns the refusal as a JSON document.
func (r *Refusal) JSON() []byte {
	b, err := json.Marshal(errorDocument{errorBody{r.Code, r.Message, r.Ran, r.RetryAfter.Seconds(), r.Addresses}})
	if err != nil {
		return []byte(`{"error":{"code":"internal","ran":"unknown"}}`)
	}
	return b
}

// Write sends the refusal as an HTTP response.
func (r *Refusal) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(RanHeader, string(r.Ran))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(r.Status())
	_, _ = w.Write(append(r.JSON(), '\n'))
}

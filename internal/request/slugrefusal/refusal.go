// Package slugrefusal is the answer to a caller whose request was not served. It
// says truthfully whether the request ran.
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

// Ran says whether a refused request had any effect.
type Ran string

// The values of Ran.
const (
	// RanNo is said only when no byte of the request left for an endpoint or the
	// endpoint itself said that it did not run it.
	RanNo Ran = "no"
	// RanUnknown is said in all other cases.
	RanUnknown Ran = "unknown"
)

// Code tells refusals apart.
type Code string

// The codes.
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
	// CodeQuarantinedUnrun refuses a request that crashed endpoints before, where the
	// caller may repeat it.
	CodeQuarantinedUnrun Code = "quarantinedUnrun"
)

// RanHeader carries Ran in refusals.
const RanHeader = "Sassafraslug-Ran"

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
	CodeInternal: http.StatusInternalServerError, CodeStreamInterrupted: http.StatusBadGateway,
}

// Refusal is a refused request. It is an error.
type Refusal struct {
	Code    Code
	Message string
	Ran     Ran
	// RetryAfter is when to try again, 0 when trying again does not help.
	RetryAfter time.Duration
	// Addresses are other hosts to try.
	Addresses []string
}

// NotRun returns a refusal of a request that had no effect.
func NotRun(c Code, format string, args ...any) *Refusal {
	return &Refusal{Code: c, Message: fmt.Sprintf(format, args...), Ran: RanNo}
}

// Unknown returns a refusal of a request that may have had an effect.
func Unknown(c Code, format string, args ...any) *Refusal {
	return &Refusal{Code: c, Message: fmt.Sprintf(format, args...), Ran: RanUnknown}
}

// After sets when to try again and returns the refusal.
func (r *Refusal) After(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// Error returns the code and the message.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Message }

// Status returns the HTTP status.
func (r *Refusal) Status() int {
	if s, ok := statuses[r.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// document is the refusal in JSON.
type document struct {
	Error body `json:"error"`
}

type body struct {
	Code              Code     `json:"code"`
	Message           string   `json:"message"`
	Ran               Ran      `json:"ran"`
	RetryAfterSeconds float64  `json:"retryAfterSeconds,omitempty"`
	Addresses         []string `json:"addresses,omitempty"`
}

// JSON returns the refusal as a JSON document.
func (r *Refusal) JSON() []byte {
	b, err := json.Marshal(document{body{r.Code, r.Message, r.Ran, r.RetryAfter.Seconds(), r.Addresses}})
	if err != nil {
		return []byte(`{"error":{"code":"internal","ran":"unknown"}}`)
	}
	return b
}

// Write sends the refusal.
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

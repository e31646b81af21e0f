package slugsend

import (
	"net/http"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/decision/slugnotice"
)

// LeavingHeader is the response header by which an endpoint declares that it is leaving. It
// concerns only the host to which the endpoint responds.
const LeavingHeader = "Engine-Leaving"

// Response is a response of an endpoint, as passed to Config.Responded.
type Response struct {
	// Address is the address of the endpoint.
	Address string
	// SentAt is when the request was sent.
	SentAt time.Time
	// Notice is what the endpoint says about itself. Err is set if a part of it cannot be read.
	Notice slugnotice.Notice
	Err    error
}

// responded passes what a response says about the endpoint to Config.Responded.
func (s *Sender) responded(address string, sentAt time.Time, resp *http.Response) {
	if s.onResponse == nil {
		return
	}
	r := Response{Address: address, SentAt: sentAt}
	leaving := resp.Header.Get(LeavingHeader)
	r.Notice.Leaving = leaving != "" && leaving != "0"
	if resp.StatusCode == http.StatusServiceUnavailable {
		r.Notice.RetryAfter, r.Err = slugnotice.ParseRetryAfter(resp.Header.Get("Retry-After"), time.Now())
	}
	s.onResponse(r)
}

package slugdispatch

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// maxBufferedResponseBytes bounds the part of a response that is read before anything is
// written to the caller. If reading fails within it, the request can still be retried.
const maxBufferedResponseBytes = 256 << 10

// bufferedResponse is a response that is not a stream of events, the beginning of which has
// been read.
type bufferedResponse struct {
	*http.Response
	beginning []byte
	// whole is set if the beginning is all of it.
	whole bool
}

// bufferResponse reads a response up to maxBufferedResponseBytes.
func bufferResponse(r *http.Response) (*bufferedResponse, error) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedResponseBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	return &bufferedResponse{r, b, len(b) < maxBufferedResponseBytes}, nil
}

// relayResponse relays a response. One that is longer than what is buffered is relayed as it
// arrives, and is cut for the caller where it is cut here. No other attempt may follow it.
func (d *dispatch) relayResponse(r *bufferedResponse) error {
	defer func() { _ = r.Body.Close() }()
	length := len(r.beginning)
	if !r.whole {
		length = int(r.ContentLength)
	}
	d.writeHeader(r.Response, length)
	d.timeToFirst = time.Since(d.call.Received)
	if _, err := (callerWriter{d.w}).Write(r.beginning); err != nil || r.whole {
		return err
	}
	if _, err := io.Copy(callerWriter{d.w}, r.Body); err != nil {
		return noRetry(errors.Wrap(err, "relay response"))
	}
	return nil
}

// writeHeader writes the status and headers of a response; a length of -1 means unknown.
func (d *dispatch) writeHeader(resp *http.Response, length int) {
	d.headerWritten = true
	d.cfg.Codec.CopyHeader(d.w.Header(), resp.Header)
	if length >= 0 {
		d.w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	d.w.WriteHeader(resp.StatusCode)
}

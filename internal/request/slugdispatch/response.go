package slugdispatch

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugmemory"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
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
	hold  *slugmemory.Hold
}

// bufferResponse reads a response up to maxBufferedResponseBytes, or less if the memory for
// that is exhausted.
func bufferResponse(e *slugsend.Exchange) (*bufferedResponse, error) {
	hold := e.Hold()
	b, err := hold.ReadAll(io.LimitReader(e.Response.Body, maxBufferedResponseBytes))
	exhausted := errors.Is(err, slugmemory.ErrExhausted)
	if err != nil && !exhausted {
		hold.Release()
		return nil, errors.Wrap(err, "read response")
	}
	return &bufferedResponse{e.Response, b, !exhausted && len(b) < maxBufferedResponseBytes, hold}, nil
}

// relayResponse relays a response. One that is longer than what is buffered is relayed as it
// arrives, and is cut for the caller where it is cut here. No other attempt may follow it.
func (d *dispatch) relayResponse(r *bufferedResponse) error {
	defer r.hold.Release()
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

package slugsend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugmemory"
	"github.com/sassafraslug/sassafraslug/internal/base/slugpresence"
)

// ErrCallerLeft means that a request was not sent because its caller has left, and ErrTimeOver that
// its time was over.
var (
	ErrCallerLeft = errors.New("the caller has left")
	ErrTimeOver   = errors.New("the time of the request is over")
)

// handover is a request on its way to an endpoint.
type handover struct {
	request  Request
	presence *slugpresence.Presence
	// ctx is the context of the HTTP request, which cancel ends.
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu       sync.Mutex
	exchange *Exchange
	record   slugpresence.Handover
	// refusal is why the request was not written.
	refusal error
}

func newHandover(ctx context.Context, request Request, memory *slugmemory.Budget) *handover {
	h := &handover{
		request: request, presence: slugpresence.Of(ctx), exchange: &Exchange{memory: memory},
		record: slugpresence.Handover{Purpose: request.Purpose, Cause: request.Cause, DecidedAt: time.Now()},
	}
	h.ctx, h.cancel = context.WithCancelCause(ctx)
	h.ctx = httptrace.WithClientTrace(h.ctx, &httptrace.ClientTrace{GotConn: h.connected, WroteRequest: h.written})
	return h
}

// check returns why the request must not be sent any more, or nil. Timers and reads that became
// due while the process stood still run in any order, so that neither the context nor the
// connection of the caller needs to have ended here.
func (h *handover) check() error {
	if h.ctx.Err() != nil {
		return context.Cause(h.ctx)
	}
	if deadline, ok := h.ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return ErrTimeOver
	}
	if h.request.CheckTime != nil {
		if err := h.request.CheckTime(); err != nil {
			return err
		}
	}
	left := h.presence.Left(h.ctx)
	switch {
	case h.ctx.Err() != nil:
		// Other reasons than the caller's end may cut the look short.
		return context.Cause(h.ctx)
	case left:
		return ErrCallerLeft
	}
	return nil
}

const (
	// maxLookTime is the time that a look at the caller may take to count.
	maxLookTime = 5 * time.Millisecond
	// maxLooks is the number of looks after which a request is written nevertheless.
	maxLooks = 3
)

// checkNow is like check, and checks again what may have changed since: on a busy host a goroutine is
// held up most often when it returns from the kernel, which is where it looks at the caller.
func (h *handover) checkNow() error {
	for range maxLooks {
		beganAt := time.Now()
		if err := h.check(); err != nil {
			return err
		}
		if time.Since(beganAt) < maxLookTime {
			break
		}
	}
	return nil
}

// connected is called when the request has a connection, before it is encoded.
func (h *handover) connected(i httptrace.GotConnInfo) {
	h.mu.Lock()
	h.record.ConnectedAt = time.Now()
	h.mu.Unlock()
	if h.request.SetRemaining != nil {
		h.request.SetRemaining(h.request.Header)
	}
	if h.request.Connected != nil {
		h.request.Connected()
	}
	// On a host without processor time to spare, the goroutine that writes may run much later.
	setGuard(i.Conn, func() error { return h.beginWrite(i) })
}

// beginWrite is called right before the first byte is written, and fails if the request must not be.
// net/http then closes the connection, and takes no other one as the context has ended.
func (h *handover) beginWrite(i httptrace.GotConnInfo) error {
	err := h.checkNow()
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.refusal = err
		h.cancel(err)
		return err
	}
	h.exchange.Sent, h.exchange.Reused, h.exchange.conn = true, i.Reused, i.Conn
	h.record.SeenAt = h.presence.SeenAt()
	return nil
}

// written is called when the request was written, or that has failed.
func (h *handover) written(i httptrace.WroteRequestInfo) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i.Err == nil {
		h.record.WrittenAt = time.Now()
	}
}

// end records the handover and returns the exchange, with the response if there is one, and why
// the request was not written.
func (h *handover) end(address string, resp *http.Response) (*Exchange, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// The trace may still be called when a connection is opened after the request has failed.
	e := *h.exchange
	if e.Sent {
		h.record.Address, h.record.Through = address, peerOf(e.conn, address)
		h.presence.Record(h.record)
	}
	if resp == nil {
		h.cancel(nil)
		return &e, h.refusal
	}
	e.Response = resp
	resp.Body = &releasingBody{resp.Body, h.cancel}
	e.boundFailure()
	return &e, nil
}

// peerOf returns the address of the peer through which a connection to an endpoint leads, or "".
func peerOf(c net.Conn, endpoint string) string {
	if a := c.RemoteAddr().String(); a != endpoint {
		return a
	}
	return ""
}

// releasingBody is the body of a response, at whose end its context is released.
type releasingBody struct {
	io.ReadCloser
	release context.CancelCauseFunc
}

// Close implements io.Closer.
func (b *releasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.release(nil)
	return err
}

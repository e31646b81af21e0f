// Package slugsend sends HTTP requests to endpoints and reports whether any part of a
// request may have been sent.
//
// When a reused connection fails, net/http retries requests that it considers
// replayable, for example those with an Idempotency-Key header. Requests that must not
// be repeated therefore use a new connection and a body that cannot be rewound.
//
// # Usage
//
//	s := slugsend.New(slugsend.Config{})
//	resp, sent, err := s.Send(ctx, slugsend.Request{Method: "POST", URL: url, Body: body})
package slugsend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbody"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/base/slughttp"
	"github.com/sassafraslug/sassafraslug/internal/base/slugmemory"
)

const (
	// dialTimeout limits the time to establish a connection.
	dialTimeout = time.Second
	// idleTimeout closes pooled connections that are not in use.
	idleTimeout = 10 * time.Second
	// maxIdlePerHost limits the idle pooled connections to one endpoint.
	maxIdlePerHost = 32
)

// NotRunHeader is the response header by which an endpoint declares that it refused
// the request without running it.
const NotRunHeader = "Engine-Not-Run"

// Config configures a Sender.
type Config struct {
	// Dial opens connections; nil means a NewDialer with UserTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Responded is called with each response, before it is returned; it may be nil.
	Responded func(Response)
	// Memory is the budget for received bytes; nil means no limit.
	Memory *slugmemory.Budget
}

// Sender sends HTTP requests to endpoints. It doesn't follow redirects.
type Sender struct {
	// pooled reuses connections; fresh opens a new one for each request.
	pooled *http.Client
	fresh  *http.Client
	// onResponse is Config.Responded.
	onResponse func(Response)
	memory     *slugmemory.Budget
}

// Request is one request to an endpoint.
type Request struct {
	Method string
	URL    string
	// Host is the value of the Host header; empty means the host of the URL.
	Host string
	// Target is the request target to send unchanged in the request line; empty means
	// that of the URL.
	Target string
	Header http.Header
	Body   []byte
	// Repeatable allows sending the request more than once. Repeatable requests use
	// pooled connections.
	Repeatable bool
	// Connected is called as soon as the request has a connection; it may be nil.
	Connected func()
	// SetRemaining is called when the request has a connection, and sets in the header what is left
	// of its time; it may be nil.
	SetRemaining func(http.Header)
	// CheckTime fails if the time of the request is over. It is called right before the request is
	// written, and may be nil.
	CheckTime func() error
	// Purpose says what the endpoint is to do, and Cause why it is asked, for the log.
	Purpose, Cause string
}

// New returns a Sender.
func New(cfg Config) *Sender {
	if cfg.Dial == nil {
		cfg.Dial = NewDialer(UserTimeout).DialContext
	}
	return &Sender{pooled: newClient(cfg, false), fresh: newClient(cfg, true), onResponse: cfg.Responded, memory: cfg.Memory}
}

func newClient(cfg Config, fresh bool) *http.Client {
	transport := slughttp.NewTransport(guardDial(cfg.Dial))
	transport.DisableKeepAlives, transport.DisableCompression = fresh, true
	transport.IdleConnTimeout, transport.MaxIdleConnsPerHost = idleTimeout, maxIdlePerHost
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Hold returns a part of the memory for received bytes. It must be released.
func (s *Sender) Hold() *slugmemory.Hold { return s.memory.Hold() }

// CloseIdle closes the idle pooled connections.
func (s *Sender) CloseIdle() { s.pooled.CloseIdleConnections() }

// unreplayableBody hides the type of its reader from net/http, which then cannot rewind
// the body to send it again.
type unreplayableBody struct{ io.Reader }

// Close implements io.Closer and does nothing.
func (unreplayableBody) Close() error { return nil }

// Exchange is a request with its response, if there is one.
type Exchange struct {
	// Response is the response, or nil if there is none.
	Response *http.Response
	// Sent is true as soon as the first byte is written. It is false only if no byte of the request
	// was written.
	Sent bool
	// Reused is set if the connection has served another request before.
	Reused bool
	conn   net.Conn
	memory *slugmemory.Budget
}

// Hold returns the memory for what is read of the response. It must be released.
func (e *Exchange) Hold() *slugmemory.Hold { return e.memory.Hold() }

// Refusal says what a response states about whether the request ran.
type Refusal int

const (
	// NoRefusal means that the response does not state that the request was not run.
	NoRefusal Refusal = iota
	// CertainRefusal means that the request was not run.
	CertainRefusal
	// DoubtfulRefusal means that the response states it, but may answer another request.
	DoubtfulRefusal
)

// RequestIDHeader carries the ID of a request. Endpoints repeat it in refusals.
const RequestIDHeader = "X-Request-Id"

// Refusal reports whether the response refuses the request with the given ID. A refusal
// without an ID is believed only on a connection that has served no other request.
func (e *Exchange) Refusal(id string) Refusal {
	if e.Response.Header.Get(NotRunHeader) == "" {
		return NoRefusal
	}
	switch ids := e.Response.Header.Values(RequestIDHeader); {
	case len(ids) == 0 && !e.Reused, len(ids) == 1 && ids[0] == id:
		return CertainRefusal
	}
	return DoubtfulRefusal
}

// Abort closes the response body and the connection, so that late data on the
// connection cannot be mistaken for the response to another request.
func (e *Exchange) Abort() {
	if e.conn != nil {
		_ = e.conn.Close()
	}
	if e.Response != nil {
		_ = e.Response.Body.Close()
	}
}

// Open sends a request and waits for the response headers. The Exchange is never nil,
// even if there is an error. A request whose caller has left, as the Presence in ctx tells, or whose
// time is over before its first byte is written, is not written: the error is ErrCallerLeft,
// ErrTimeOver, that of Request.CheckTime, or the cause with which ctx ended. Reading the body of a
// failure, which has a status of 400 or more, fails if that is longer than 4 MiB or takes longer
// than 2 s.
func (s *Sender) Open(ctx context.Context, request Request) (*Exchange, error) {
	h := newHandover(ctx, request, s.memory)
	r, err := s.newHTTPRequest(h.ctx, request)
	if err != nil {
		h.cancel(err)
		return h.exchange, slugfault.Wrap(err, "create request", request.URL)
	}
	if err := h.check(); err != nil {
		h.cancel(err)
		return h.exchange, slugfault.Wrap(err, "send request", r.URL.Host)
	}
	c := s.fresh
	if request.Repeatable {
		c = s.pooled
	}
	sentAt := time.Now()
	resp, err := c.Do(r)
	if err == nil {
		s.responded(r.URL.Host, sentAt, resp)
	}
	e, refusal := h.end(r.URL.Host, resp)
	if refusal != nil {
		err = refusal
	}
	return e, slugfault.Wrap(err, "send request", r.URL.Host)
}

// Send sends a request and returns the response. sent is false only if no byte of the
// request was written to a connection.
func (s *Sender) Send(ctx context.Context, request Request) (resp *http.Response, sent bool, err error) {
	e, err := s.Open(ctx, request)
	return e.Response, e.Sent, err
}

func (s *Sender) newHTTPRequest(ctx context.Context, request Request) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, request.Method, request.URL, http.NoBody)
	if err != nil {
		return nil, err
	}
	if request.Header != nil {
		r.Header = request.Header
	}
	if request.Host != "" {
		r.Host = request.Host
	}
	if request.Target != "" {
		// URL.Opaque is written to the request line without re-encoding.
		r.URL.Opaque = request.Target
	}
	if len(request.Body) > 0 {
		r.Body = unreplayableBody{bytes.NewReader(request.Body)}
		r.ContentLength = int64(len(request.Body))
	}
	if !request.Repeatable {
		r.GetBody = nil
	}
	return r, nil
}

// maxDocument limits the response that Get reads.
const maxDocument slugbody.Limit = 4 << 20

// ErrStatus means that an endpoint answered Get with a status other than 200.
var ErrStatus = errors.New("unexpected status")

// Get fetches url and returns the response body. A body that exceeds maxDocument is an error.
func (s *Sender) Get(ctx context.Context, url string) ([]byte, error) {
	e, err := s.Open(ctx, Request{Method: http.MethodGet, URL: url, Repeatable: true})
	if err != nil {
		return nil, err
	}
	resp, hold := e.Response, e.Hold()
	// The caller decodes the document at once.
	defer hold.Release()
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, slugfault.Wrap(errors.Wrapf(ErrStatus, "%d", resp.StatusCode), "get document", url)
	}
	b, err := hold.ReadAll(maxDocument.Reader(resp.Body))
	return b, slugfault.Wrap(err, "read document", url)
}

// Package slugsend sends requests to endpoints and knows whether any byte of a
// request may have left.
//
// net/http resends a request on a dead reused connection when it deems the
// request replayable, among others one with an Idempotency-Key. Requests that must
// not be repeated therefore use a fresh connection and a body that cannot be
// rewound.
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
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
)

const (
	// dialTimeout bounds the setup of a connection.
	dialTimeout = time.Second
	// idleFor is how long a pooled connection may wait for its next request.
	idleFor = 10 * time.Second
	// maxIdlePerHost bounds the pooled connections to one endpoint.
	maxIdlePerHost = 32
	// maxHeaderBytes bounds the headers of an answer.
	maxHeaderBytes = 64 << 10
)

// NotRunHeader marks an endpoint's refusal of a request that it did not run.
const NotRunHeader = "Engine-Not-Run"

// Config makes a Sender.
type Config struct {
	// Dial opens connections; nil opens TCP connections with TCP_USER_TIMEOUT.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Sender sends requests to endpoints.
type Sender struct {
	pooled *http.Client
	fresh  *http.Client
}

// Request is one request to an endpoint.
type Request struct {
	Method string
	URL    string
	// Host is the host name in the request; empty means that of the URL.
	Host string
	// Target is the request's target as it goes over the wire; empty means that of the
	// URL.
	Target string
	Header http.Header
	Body   []byte
	// Repeatable requests may be sent twice. They use pooled connections.
	Repeatable bool
}

// New returns a Sender.
func New(cfg Config) *Sender {
	if cfg.Dial == nil {
		cfg.Dial = NewDialer(UserTimeout).DialContext
	}
	return &Sender{pooled: client(cfg, false), fresh: client(cfg, true)}
}

func client(cfg Config, fresh bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            cfg.Dial,
			DisableKeepAlives:      fresh,
			DisableCompression:     true,
			IdleConnTimeout:        idleFor,
			MaxIdleConnsPerHost:    maxIdlePerHost,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// CloseIdle closes the pooled connections that are not in use.
func (s *Sender) CloseIdle() { s.pooled.CloseIdleConnections() }

// body is a request body that cannot be rewound.
type body struct{ io.Reader }

// Close does nothing.
func (body) Close() error { return nil }

// Exchange is a request that was sent, with its answer.
type Exchange struct {
	// Answer is nil when there is none.
	Answer *http.Response
	// Sent is false only when no byte of the request was handed to a connection.
	Sent bool
	conn net.Conn
}

// Drop closes the connection, so that nothing that still comes on it is taken for
// the answer to another request.
func (e *Exchange) Drop() {
	if e.conn != nil {
		_ = e.conn.Close()
	}
	if e.Answer != nil {
		_ = e.Answer.Body.Close()
	}
}

// Open sends a request and waits for the head of the answer. The Exchange is never
// nil.
func (s *Sender) Open(ctx context.Context, x Request) (*Exchange, error) {
	var mu sync.Mutex
	e := &Exchange{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			mu.Lock()
			defer mu.Unlock()
			e.Sent, e.conn = true, i.Conn
		},
	})
	r, err := s.request(ctx, x)
	if err != nil {
		return e, slugfault.Wrap(err, "make request", x.URL)
	}
	c := s.fresh
	if x.Repeatable {
		c = s.pooled
	}
	answer, err := c.Do(r)
	mu.Lock()
	defer mu.Unlock()
	// A late connection must not change what the caller sees from here on.
	out := *e
	out.Answer = answer
	return &out, slugfault.Wrap(err, "send request", r.URL.Host)
}

// Send sends a request and returns the answer. sent is false only when no byte
// of the request was handed to a connection.
func (s *Sender) Send(ctx context.Context, x Request) (resp *http.Response, sent bool, err error) {
	e, err := s.Open(ctx, x)
	return e.Answer, e.Sent, err
}

func (s *Sender) request(ctx context.Context, x Request) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, x.Method, x.URL, http.NoBody)
	if err != nil {
		return nil, err
	}
	if x.Header != nil {
		r.Header = x.Header
	}
	if x.Host != "" {
		r.Host = x.Host
	}
	if x.Target != "" {
		// An opaque target reaches the endpoint as the caller wrote it.
		r.URL.Opaque = x.Target
	}
	if len(x.Body) > 0 {
		r.Body = body{bytes.NewReader(x.Body)}
		r.ContentLength = int64(len(x.Body))
	}
	if !x.Repeatable {
		r.GetBody = nil
	}
	return r, nil
}

// maxDocumentBytes bounds a small answer that is read whole.
const maxDocumentBytes = 4 << 20

// ErrStatus says that an endpoint answered with another status than 200.
var ErrStatus = errors.New("unexpected status")

// Get reads a small document from an endpoint.
func (s *Sender) Get(ctx context.Context, url string) ([]byte, error) {
	resp, _, err := s.Send(ctx, Request{Method: http.MethodGet, URL: url, Repeatable: true})
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, slugfault.Wrap(errors.Wrapf(ErrStatus, "%d", resp.StatusCode), "get document", url)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxDocumentBytes))
	return b, slugfault.Wrap(err, "read document", url)
}

// Package slugwhere defines the document with which a host says where a request would go now,
// its client, and its output as text.
//
// # Usage
//
//	c := slugwhere.New(slugwhere.Config{Address: "10.0.0.1:8085"})
//	answer, err := c.Ask(ctx, slugwhere.Question{Host: "example.org", Path: "/chat", Key: key})
//	answer.Write(os.Stdout)
package slugwhere

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbody"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/base/slughttp"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
)

const (
	// Path is the path of the document on a host's metrics address.
	Path = "/where"
	// MaxQuestion limits the size of a question. The parts of the longest prompts take some
	// kilobytes.
	MaxQuestion slugbody.Limit = 256 << 10
	// maxAnswer limits the size of an answer. Each of 6,400 endpoints takes less than 1 KB for
	// each of two stages.
	maxAnswer slugbody.Limit = 16 << 20
	// callTimeout limits the time of a call.
	callTimeout = 10 * time.Second
)

// Part is a part of a prompt.
type Part struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// Question describes a request. It has either Route, or Host and Path.
type Question struct {
	Route string `json:"route,omitempty"`
	Host  string `json:"host,omitempty"`
	Path  string `json:"path,omitempty"`
	// Key is the caller's API key. It is sent in the body, which no process logs.
	Key   string `json:"key,omitempty"`
	Parts []Part `json:"parts,omitempty"`
	// Tokens is the length of the prompt, and Output the most tokens of the response.
	Tokens int `json:"tokens,omitempty"`
	Output int `json:"output,omitempty"`
	// TimeoutMs is the time limit of the caller; 0 means that of the route.
	TimeoutMs int64 `json:"timeoutMs,omitempty"`
}

// Answer says where a request would be sent at first, and why. Times are in milliseconds, and
// ages count from a measurement; an age is missing if there was none.
type Answer struct {
	HostName slugname.Host `json:"hostName"`
	// Configuration is the version that decided; 0 if there is none.
	Configuration      slugconfig.Revision `json:"configuration"`
	ConfigurationAgeMs int64               `json:"configurationAgeMs"`
	// PeerLoadsAgeMs is the time since the load that other hosts report was last taken over.
	PeerLoadsAgeMs int64              `json:"peerLoadsAgeMs"`
	Route          string             `json:"route,omitempty"`
	Kind           string             `json:"kind,omitempty"`
	Workspace      slugname.Workspace `json:"workspace,omitempty"`
	Service        slugname.Service   `json:"service,omitempty"`
	// Services are all services of the route with their weights. Service is drawn from them,
	// as for a request.
	Services   []Service `json:"services,omitempty"`
	TimeoutMs  int64     `json:"timeoutMs"`
	WouldSend  bool      `json:"wouldSend"`
	Refusal    *Refusal  `json:"refusal,omitempty"`
	ExpectedMs float64   `json:"expectedMs"`
	// Measured is set if ExpectedMs, the expected time to the first token or to a plain
	// response, rests on measurements.
	Measured bool    `json:"measured"`
	Stages   []Stage `json:"stages"`
	// LeftOut are the registered endpoints that take no new work, with the reason.
	LeftOut []LeftOut `json:"leftOut,omitempty"`
}

// Service is a service of a route.
type Service struct {
	Name   slugname.Service `json:"name"`
	Weight float64          `json:"weight"`
}

// Refusal is the response that the caller would get instead.
type Refusal struct {
	Code    slugrefusal.Code `json:"code"`
	Status  int              `json:"status"`
	Message string           `json:"message"`
	// RetryAfterMs holds a random part, as for a request; 0 means that there is none.
	RetryAfterMs int64 `json:"retryAfterMs"`
}

// Stage is a stage of the request.
type Stage struct {
	// Stage is "run" for a plain request, "prefill" or "decode".
	Stage string `json:"stage"`
	// Chosen is the endpoint that would be chosen; empty if there is none.
	Chosen slugname.Endpoint `json:"chosen,omitempty"`
	// FetchFrom is the address from which the engine would fetch KV cache.
	FetchFrom  string      `json:"fetchFrom,omitempty"`
	Candidates []Candidate `json:"candidates"`
}

// Candidate returns the candidate with a name, or an empty one if there is none.
func (s Stage) Candidate(name slugname.Endpoint) Candidate {
	for _, c := range s.Candidates {
		if c.Endpoint == name {
			return c
		}
	}
	return Candidate{}
}

// Candidate is what the host knows of an endpoint.
type Candidate struct {
	Endpoint        slugname.Endpoint        `json:"endpoint"`
	Incarnation     int64                    `json:"incarnation"`
	Address         string                   `json:"address"`
	DataCentre      slugname.DataCentre      `json:"dataCentre"`
	Role            slugplan.Role            `json:"role,omitempty"`
	SoftwareVersion slugname.SoftwareVersion `json:"softwareVersion,omitempty"`
	Slots           int                      `json:"slots"`
	// RuledOut is the reason for which the endpoint is no candidate.
	RuledOut string `json:"ruledOut,omitempty"`
	// ExpectedMs orders the candidates: the expected time there with penalties for failures
	// and distance, of which the prompt waits WaitMs.
	ExpectedMs    float64 `json:"expectedMs,omitempty"`
	WaitMs        float64 `json:"waitMs,omitempty"`
	CachedTokens  int     `json:"cachedTokens,omitempty"`
	CacheReported bool    `json:"cacheReported,omitempty"`
	// OwnStreams and OwnPromptsMs are the requests and the work of prompts of this host there,
	// PeerStreams and PeerPromptsMs those that other hosts report.
	OwnStreams    int     `json:"ownStreams"`
	OwnPromptsMs  float64 `json:"ownPromptsMs"`
	PeerStreams   int     `json:"peerStreams"`
	PeerPromptsMs float64 `json:"peerPromptsMs"`
	ForecastAgeMs *int64  `json:"forecastAgeMs,omitempty"`
	Slowness      float64 `json:"slowness"`
	SlownessAgeMs *int64  `json:"slownessAgeMs,omitempty"`
	Failures      float64 `json:"failures"`
	FailuresAgeMs *int64  `json:"failuresAgeMs,omitempty"`
	AvoidedForMs  int64   `json:"avoidedForMs,omitempty"`
	Limit         *Limit  `json:"limit,omitempty"`
	Leaving       bool    `json:"leaving,omitempty"`
	WaitAskedMs   int64   `json:"waitAskedMs,omitempty"`
	LastPromptMs  *int64  `json:"lastPromptAgeMs,omitempty"`
}

// Limit is the rate limit that an endpoint stated.
type Limit struct {
	PerSecond  float64 `json:"perSecond"`
	AgeMs      int64   `json:"ageMs"`
	PermitInMs int64   `json:"permitInMs"`
}

// LeftOut is an endpoint that takes no new work.
type LeftOut struct {
	Endpoint slugname.Endpoint `json:"endpoint"`
	Reason   string            `json:"reason"`
}

// Failure is the document with which a host rejects a question.
type Failure struct {
	Error string `json:"error"`
}

// Config configures a Client.
type Config struct {
	// Address is the metrics address of a host.
	Address string
	// Dial opens connections; nil means TCP connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client asks one host.
type Client struct{ cfg Config }

// New returns a Client. It opens no connection yet.
func New(cfg Config) *Client { return &Client{cfg: cfg} }

// Ask asks where a request would go now.
func (c *Client) Ask(ctx context.Context, q Question) (*Answer, error) {
	const step = "ask host"
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, b, err := c.call(ctx, q)
	if err != nil {
		return nil, slugfault.Wrap(err, step, c.cfg.Address)
	}
	if status != http.StatusOK {
		var f Failure
		if json.Unmarshal(b, &f) != nil || f.Error == "" {
			f.Error = string(slugbody.Excerpt(b))
		}
		return nil, slugfault.Wrap(errors.Newf("status %d: %s", status, f.Error), step, c.cfg.Address)
	}
	var a Answer
	err = json.Unmarshal(b, &a)
	if err == nil && a.HostName == "" {
		err = errors.New("it names no host; is this the metrics address of a host?")
	}
	if err != nil {
		return nil, slugfault.Wrap(err, "decode answer", c.cfg.Address)
	}
	return &a, nil
}

// call sends a question and reads the response.
func (c *Client) call(ctx context.Context, q Question) (status int, body []byte, err error) {
	b, err := json.Marshal(q)
	if err != nil {
		return 0, nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.cfg.Address+Path, bytes.NewReader(b))
	if err != nil {
		return 0, nil, err
	}
	transport := slughttp.NewTransport(c.cfg.Dial)
	transport.DisableKeepAlives = true
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return 0, nil, errors.Mark(err, ErrUnreachable)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err = maxAnswer.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// ErrUnreachable marks the error of a call without a response.
var ErrUnreachable = errors.New("host is unreachable")

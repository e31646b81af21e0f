// Package slugplatformapi is the client of the platform's smaller interfaces: the
// host list, endpoint ordering and usage reports.
//
// # Usage
//
//	c := slugplatformapi.New(slugplatformapi.Config{BaseURL: url, Do: client.Do})
//	hosts, err := c.Hosts(ctx)
package slugplatformapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugledger"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

// maxResponseBytes bounds an answer.
const maxResponseBytes = 16 << 20

// Errors of the interfaces.
var (
	// ErrFenced says that an order was refused because of an old fence.
	ErrFenced = errors.New("order refused: old fence")
	// ErrNoneAvailable says that no endpoint is to be had now.
	ErrNoneAvailable = errors.New("no endpoint available")
)

// Config makes a Client.
type Config struct {
	BaseURL string
	// Do performs a request.
	Do func(*http.Request) (*http.Response, error)
}

// Client calls the platform.
type Client struct {
	cfg Config
}

// New returns a Client.
func New(cfg Config) *Client { return &Client{cfg: cfg} }

// Host is one line of the host list, which lags.
type Host struct {
	Name       slugname.Host       `json:"name"`
	DataCentre slugname.DataCentre `json:"dataCentre"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// StateLeaving is the state of a host that will end.
const StateLeaving = "leaving"

// Hosts returns the host list.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var hosts []Host
	return hosts, c.call(ctx, "read host list", http.MethodGet, "/hosts", nil, &hosts)
}

// Endpoint is one endpoint as the ordering interface lists it.
type Endpoint struct {
	Name       slugname.Endpoint        `json:"name"`
	Service    slugname.Service         `json:"service"`
	Kind       slugmanifest.ServiceKind `json:"kind"`
	DataCentre slugname.DataCentre      `json:"dataCentre"`
	Address    string                   `json:"address"`
	Cheap      bool                     `json:"cheap"`
	// Leaving is set when the endpoint was released or will be reclaimed.
	Leaving bool `json:"leaving"`
	// EndsAtMs is the time of a reclaim in milliseconds since 1970, or 0.
	EndsAtMs int64 `json:"endsAtMs"`
}

// Offering is what the ordering interface says of itself and its endpoints.
type Offering struct {
	// ChecksFences tells that orders with an old fence are refused.
	ChecksFences bool `json:"checksFences"`
	// RequestNumbers tells that a repeated number has one effect.
	RequestNumbers bool       `json:"requestNumbers"`
	Endpoints      []Endpoint `json:"endpoints"`
}

// Endpoints returns the endpoints of a data centre.
func (c *Client) Endpoints(ctx context.Context, d slugname.DataCentre) (Offering, error) {
	var o Offering
	return o, c.call(ctx, "list endpoints", http.MethodGet, "/ordering/"+url.PathEscape(string(d))+"/endpoints", nil, &o)
}

// Order sends a journaled order for endpoints of a data centre.
func (c *Client) Order(ctx context.Context, d slugname.DataCentre, body json.RawMessage) (Endpoint, error) {
	var e Endpoint
	return e, c.call(ctx, "order endpoint", http.MethodPost, "/ordering/"+url.PathEscape(string(d))+"/orders", body, &e)
}

// Report sends a region's usage report of a window. A repeated report must be the
// same.
func (c *Client) Report(ctx context.Context, r slugname.Region, w slugledger.Window, body []byte) error {
	return c.call(ctx, "send usage report", http.MethodPut, fmt.Sprintf("/usage/windows/%s-%d", r, w), body, nil)
}

func (c *Client) call(ctx context.Context, step, method, path string, body []byte, result any) error {
	err := c.do(ctx, method, path, body, result)
	return slugfault.Wrap(err, step, c.cfg.BaseURL)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, result any) error {
	r, err := http.NewRequestWithContext(ctx, method, c.cfg.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	// The body is sent once: a repeated order is the caller's decision.
	r.GetBody = nil
	resp, err := c.cfg.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	switch {
	case resp.StatusCode == http.StatusPreconditionFailed:
		return ErrFenced
	case resp.StatusCode == http.StatusServiceUnavailable && method == http.MethodPost:
		return ErrNoneAvailable
	case resp.StatusCode != http.StatusOK:
		return errors.Newf("status %d: %s", resp.StatusCode, bytes.TrimSpace(b))
	case result == nil:
		return nil
	}
	return json.Unmarshal(b, result)
}

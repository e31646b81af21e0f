// Package slugplatformapi is a client for the platform's host list, endpoint ordering and
// usage reporting APIs.
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
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugledger"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbody"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

// maxResponse bounds the size of a response body.
const maxResponse slugbody.Limit = 16 << 20

// Errors returned by a Client.
var (
	// ErrFenced reports that an order was rejected because its fence is out of date.
	ErrFenced = errors.New("order refused: old fence")
	// ErrNoneAvailable reports that no endpoint is available now.
	ErrNoneAvailable = errors.New("no endpoint available")
)

// Config configures a Client.
type Config struct {
	BaseURL string
	// Do sends an HTTP request.
	Do func(*http.Request) (*http.Response, error)
}

// Client calls the platform APIs.
type Client struct {
	cfg Config
}

// New returns a Client.
func New(cfg Config) *Client { return &Client{cfg: cfg} }

// Host is an entry of the host list. The list lags behind the actual hosts.
type Host struct {
	Name       slugname.Host       `json:"name"`
	DataCentre slugname.DataCentre `json:"dataCentre"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// StateLeaving is the state of a host that is about to be terminated.
const StateLeaving = "leaving"

// Hosts returns the host list.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var hosts []Host
	return hosts, c.call(ctx, "read host list", http.MethodGet, "/hosts", nil, &hosts)
}

// Endpoint is an endpoint as listed by the ordering API.
type Endpoint struct {
	Name       slugname.Endpoint        `json:"name"`
	Service    slugname.Service         `json:"service"`
	Kind       slugmanifest.ServiceKind `json:"kind"`
	DataCentre slugname.DataCentre      `json:"dataCentre"`
	Address    string                   `json:"address"`
	Cheap      bool                     `json:"cheap"`
	// Leaving reports that the endpoint was released or will be reclaimed.
	Leaving bool `json:"leaving"`
	// EndsAtMs is the time of a reclaim in Unix milliseconds, or 0.
	EndsAtMs int64 `json:"endsAtMs"`
}

// Offering describes the ordering API of a data centre and its endpoints.
type Offering struct {
	// ChecksFences reports that orders with an old fence are rejected.
	ChecksFences bool `json:"checksFences"`
	// RequestNumbers reports that orders are deduplicated by their number.
	RequestNumbers bool       `json:"requestNumbers"`
	Endpoints      []Endpoint `json:"endpoints"`
}

// Endpoints returns the offering of a data centre.
func (c *Client) Endpoints(ctx context.Context, d slugname.DataCentre) (Offering, error) {
	var o Offering
	return o, c.call(ctx, "list endpoints", http.MethodGet, "/ordering/"+url.PathEscape(string(d))+"/endpoints", nil, &o)
}

// Order sends a journaled order to a data centre.
func (c *Client) Order(ctx context.Context, d slugname.DataCentre, body json.RawMessage) (Endpoint, error) {
	var e Endpoint
	return e, c.call(ctx, "order endpoint", http.MethodPost, "/ordering/"+url.PathEscape(string(d))+"/orders", body, &e)
}

// SendReport sends the usage report of a region and window. A repeated report must have the
// same body.
func (c *Client) SendReport(ctx context.Context, r slugname.Region, w slugledger.Window, body []byte) error {
	return c.call(ctx, "send usage report", http.MethodPut, fmt.Sprintf("/usage/windows/%s-%d", r, w), body, nil)
}

// call sends a request and decodes the response into result unless that is nil.
func (c *Client) call(ctx context.Context, step, method, path string, body []byte, result any) error {
	err := c.do(ctx, method, path, body, result)
	return slugfault.Wrap(err, step, c.cfg.BaseURL)
}

// do does the work of call. Its errors do not name the step and the server; call adds
// these.
func (c *Client) do(ctx context.Context, method, path string, body []byte, result any) error {
	r, err := http.NewRequestWithContext(ctx, method, c.cfg.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	// Prevents the transport from resending the body: only the caller may decide to
	// repeat an order.
	r.GetBody = nil
	resp, err := c.cfg.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := maxResponse.ReadAll(resp.Body)
	switch {
	case err != nil && !errors.Is(err, slugbody.ErrTooLong):
		return err
	// A refusal holds even if its body is too long.
	case resp.StatusCode == http.StatusPreconditionFailed:
		return ErrFenced
	case resp.StatusCode == http.StatusServiceUnavailable && method == http.MethodPost:
		return ErrNoneAvailable
	case resp.StatusCode != http.StatusOK:
		return errors.Newf("status %d: %s", resp.StatusCode, slugbody.Excerpt(b))
	case err != nil:
		return err
	case result == nil:
		return nil
	}
	return json.Unmarshal(b, result)
}

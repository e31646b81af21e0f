package slugoperatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugbody"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/base/slughttp"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
)

// callTimeout limits the time of a call, including the wait for acknowledgements of a
// change.
const callTimeout = 30 * time.Second

// maxResponse limits the size of a response body.
const maxResponse slugbody.Limit = 64 << 20

// Config configures a Client.
type Config struct {
	// Address is the operator API address of a control process.
	Address string
	Token   string
	// Dial opens connections; nil means TCP connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client is a client of the operator API.
type Client struct {
	cfg    Config
	client *http.Client
}

// New returns a Client. It opens no connection yet.
func New(cfg Config) *Client {
	transport := slughttp.NewTransport(cfg.Dial)
	transport.DisableKeepAlives = true
	return &Client{cfg: cfg, client: &http.Client{Timeout: callTimeout, Transport: transport}}
}

// ResponseError is a response with a status other than 200.
type ResponseError struct {
	Status int
	Body   []byte
}

// Error returns the error message in the response, or its status and body.
func (e *ResponseError) Error() string {
	var f ErrorResponse
	if json.Unmarshal(e.Body, &f) == nil && f.Error != "" {
		return f.Error
	}
	return fmt.Sprintf("status %d: %s", e.Status, bytes.TrimSpace(e.Body))
}

// Get requests path and decodes the document into response.
func (c *Client) Get(ctx context.Context, path string, response any) error {
	return c.call(ctx, http.MethodGet, path, nil, response)
}

// Post sends a document and decodes the result into response, unless response is nil.
func (c *Client) Post(ctx context.Context, path string, document, response any) error {
	b, err := json.Marshal(document)
	if err != nil {
		return slugfault.Wrap(err, "encode request", path)
	}
	return c.call(ctx, http.MethodPost, path, b, response)
}

// Apply submits a manifest as the successor of revision base. It is idempotent for the
// same id.
func (c *Client) Apply(ctx context.Context, manifest []byte, base slugconfig.Revision, id slugstore.ChangeID) (Change, error) {
	var change Change
	path := fmt.Sprintf("/v1/apply?base=%d&change=%s", base, url.QueryEscape(string(id)))
	return change, c.call(ctx, http.MethodPost, path, manifest, &change)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, response any) error {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.cfg.Address+path, bytes.NewReader(body))
	if err != nil {
		return slugfault.Wrap(err, "create request", c.cfg.Address)
	}
	if c.cfg.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return slugfault.Wrap(err, "call control", c.cfg.Address)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := maxResponse.ReadAll(resp.Body)
	if err != nil {
		return slugfault.Wrap(err, "read response", c.cfg.Address)
	}
	if resp.StatusCode != http.StatusOK {
		return slugfault.Wrap(&ResponseError{resp.StatusCode, b}, method+" "+path, c.cfg.Address)
	}
	if response == nil {
		return nil
	}
	return slugfault.Wrap(json.Unmarshal(b, response), "decode response", c.cfg.Address)
}

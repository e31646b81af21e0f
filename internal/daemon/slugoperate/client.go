package slugoperate

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
)

// callTimeout bounds one call; it covers the wait for acknowledgements.
const callTimeout = 30 * time.Second

// maxResponseBytes bounds an answer.
const maxResponseBytes = 64 << 20

// Config makes a Client.
type Config struct {
	// Address is the operators' address of a control process.
	Address string
	Token   string
	// Dial opens connections; nil opens TCP connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls the operators' API.
type Client struct {
	cfg    Config
	client *http.Client
}

// New returns a Client.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DialContext: cfg.Dial, DisableKeepAlives: true}}}
}

// AnswerError is an answer other than 200.
type AnswerError struct {
	Status int
	Body   []byte
}

// Error returns the message of the answer.
func (e *AnswerError) Error() string {
	var f Failure
	if json.Unmarshal(e.Body, &f) == nil && f.Error != "" {
		return f.Error
	}
	return fmt.Sprintf("status %d: %s", e.Status, bytes.TrimSpace(e.Body))
}

// Get reads a document into answer.
func (c *Client) Get(ctx context.Context, path string, response any) error {
	return c.call(ctx, http.MethodGet, path, nil, response)
}

// Post sends a document and reads the answer, unless answer is nil.
func (c *Client) Post(ctx context.Context, path string, document, response any) error {
	b, err := json.Marshal(document)
	if err != nil {
		return slugfault.Wrap(err, "encode request", path)
	}
	return c.call(ctx, http.MethodPost, path, b, response)
}

// Apply sends a manifest. A repeated call with the same id has one effect.
func (c *Client) Apply(ctx context.Context, manifest []byte, base slugconfig.Revision, id slugstore.ChangeID) (Change, error) {
	var change Change
	path := fmt.Sprintf("/v1/apply?base=%d&change=%s", base, url.QueryEscape(string(id)))
	return change, c.call(ctx, http.MethodPost, path, manifest, &change)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, response any) error {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.cfg.Address+path, bytes.NewReader(body))
	if err != nil {
		return slugfault.Wrap(err, "make request", c.cfg.Address)
	}
	if c.cfg.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return slugfault.Wrap(err, "call control", c.cfg.Address)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return slugfault.Wrap(err, "read answer", c.cfg.Address)
	}
	if resp.StatusCode != http.StatusOK {
		return slugfault.Wrap(&AnswerError{resp.StatusCode, b}, method+" "+path, c.cfg.Address)
	}
	if response == nil {
		return nil
	}
	return slugfault.Wrap(json.Unmarshal(b, response), "decode answer", c.cfg.Address)
}

// Package slugorder sends orders to engines and reads their descriptions.
//
// A connection that carries an order is reset when its timeout expires, so that the
// kernel does not deliver old bytes after a network partition heals.
//
// # Usage
//
//	c := slugorder.New(slugorder.Config{})
//	info, err := c.ReadInfo(ctx, address)
//	err = c.Send(ctx, address, body)
package slugorder

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugjournal"
	"github.com/sassafraslug/sassafraslug/internal/authority/sluglease"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbody"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/base/slughttp"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/connection/slugsend"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// Action is what an order asks an engine to do.
type Action string

// Actions of an order.
const (
	// ActionSetRole changes the role of the engine.
	ActionSetRole Action = "setRole"
	// ActionLoad loads a version of the model.
	ActionLoad Action = "load"
)

// Order is the body of an order to an engine.
type Order struct {
	Number  slugjournal.Number `json:"number"`
	Fence   sluglease.Fence    `json:"fence"`
	Holder  slugname.Process   `json:"holder"`
	Action  Action             `json:"action"`
	Role    slugplan.Role      `json:"role,omitempty"`
	Version string             `json:"version,omitempty"`
}

// EngineInfo is the description that an engine gives of itself.
type EngineInfo struct {
	Endpoint     slugname.Endpoint `json:"endpoint"`
	Incarnation  int               `json:"incarnation"`
	ChecksFences bool              `json:"checksFences"`
	Model        slugname.Model    `json:"model"`
	Version      string            `json:"version"`
	Role         slugplan.Role     `json:"role"`
	// Pieces is the size of the KV cache in blocks of TokensPerPiece tokens.
	Pieces         int  `json:"pieces"`
	TokensPerPiece int  `json:"tokensPerPiece"`
	MaxStreams     int  `json:"maxStreams"`
	Resumes        bool `json:"resumes"`
	// Idle reports that no request is running or queued.
	Idle             bool    `json:"idle"`
	PrefillPerSecond float64 `json:"prefillPerSecond"`
	StepBaseUs       int64   `json:"stepBaseUs"`
	StepPerStreamUs  int64   `json:"stepPerStreamUs"`
	// PrefillChunk is the number of prompt tokens that one step processes.
	PrefillChunk int `json:"prefillChunk"`
}

// Speed returns the speed of the engine for cost estimates.
func (info EngineInfo) Speed() slugplan.Speed {
	return slugplan.Speed{
		PrefillPerSecond: info.PrefillPerSecond,
		StepBase:         time.Duration(info.StepBaseUs) * time.Microsecond,
		StepPerStream:    time.Duration(info.StepPerStreamUs) * time.Microsecond,
		Chunk:            info.PrefillChunk,
	}
}

// Errors returned by a Client.
var (
	// ErrFenced reports that the engine rejected an order because its fence is out of
	// date.
	ErrFenced = errors.New("order refused: old fence")
	// ErrRefused reports that the engine rejected an order for another reason.
	ErrRefused = errors.New("order refused")
)

const (
	// orderUserTimeout is the TCP user timeout: how long sent bytes may stay
	// unacknowledged before the connection is closed.
	orderUserTimeout = 2 * time.Second
	// maxResponse bounds the size of a response body.
	maxResponse slugbody.Limit = 1 << 20
)

// Config configures a Client.
type Config struct {
	// Dial opens connections that discard unsent bytes when closed; nil opens TCP
	// connections that do so.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends orders to engines.
type Client struct {
	client *http.Client
}

// New returns a Client. Every request uses its own connection.
func New(cfg Config) *Client {
	if cfg.Dial == nil {
		cfg.Dial = slugsend.NewResetDialer(orderUserTimeout).DialContext
	}
	transport := slughttp.NewTransport(cfg.Dial)
	transport.DisableKeepAlives = true
	return &Client{client: &http.Client{Transport: transport}}
}

// ReadInfo reads the description of an engine.
func (c *Client) ReadInfo(ctx context.Context, address string) (EngineInfo, error) {
	var info EngineInfo
	b, err := c.do(ctx, http.MethodGet, "http://"+address+"/engine/greeting", nil)
	if err == nil {
		err = json.Unmarshal(b, &info)
	}
	return info, slugfault.Wrap(err, "read engine info", address)
}

// Send sends the body of a journaled order and waits for its outcome.
func (c *Client) Send(ctx context.Context, address string, body json.RawMessage) error {
	_, err := c.do(ctx, http.MethodPost, "http://"+address+"/engine/orders", body)
	return slugfault.Wrap(err, "send order", address)
}

// do sends a request and returns the body of a successful response.
func (c *Client) do(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Prevents the transport from resending the body: only the caller may decide to
	// repeat an order.
	r.GetBody = nil
	resp, err := c.client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := maxResponse.ReadAll(resp.Body)
	switch {
	case err != nil && !errors.Is(err, slugbody.ErrTooLong):
		return nil, err
	// A refusal holds even if its body is too long.
	case resp.StatusCode == http.StatusPreconditionFailed:
		return nil, ErrFenced
	case resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError:
		return nil, errors.Wrapf(ErrRefused, "status %d: %s", resp.StatusCode, slugbody.Excerpt(b))
	case err != nil:
		return nil, err
	case resp.StatusCode != http.StatusOK:
		return nil, errors.Newf("status %d", resp.StatusCode)
	}
	return b, nil
}

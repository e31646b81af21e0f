// Package slugcaller is a client of the serving system for one workspace. It looks up
// the addresses of gates, caches them for as long as the response allows, and retries a
// request only when that is safe.
//
// # Usage
//
//	c := slugcaller.New(slugcaller.Config{SeedAddresses: []string{"127.0.0.1:8080"}, Key: key})
//	response, err := c.Chat(ctx, slugcaller.ChatRequest{Model: "lineage", Prompt: "...", MaxTokens: 64})
package slugcaller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugdirectory"
)

// Config configures a Client.
type Config struct {
	// SeedAddresses are the gate addresses that are used for the first lookup, and after the
	// looked up ones when those expire.
	SeedAddresses []string
	// Key is the API key of the workspace.
	Key string
	// MaxAttempts limits the attempts of one request; 0 means defaultMaxAttempts.
	MaxAttempts int
	// Transport sends the requests; nil means a new transport.
	Transport *http.Transport
}

// Client sends requests for one workspace. It is safe for concurrent use.
type Client struct {
	cfg        Config
	httpClient *http.Client

	mu        sync.Mutex
	addresses []string
	expiresAt time.Time
}

const defaultMaxAttempts = 5

// New returns a Client.
func New(cfg Config) *Client {
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultMaxAttempts
	}
	if cfg.Transport == nil {
		cfg.Transport = &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}
	}
	return &Client{cfg: cfg, httpClient: &http.Client{Transport: cfg.Transport}}
}

// Refusal is the error of a request that the system refused.
type Refusal struct {
	Status int
	Code   string
	// Ran is "no" if the request certainly had no effect.
	Ran     string
	Message string
	// RetryAfter is the least delay before a retry.
	RetryAfter time.Duration
}

// Error returns the status, the code and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused %d %s (ran %s): %s", r.Status, r.Code, r.Ran, r.Message)
}

// ChatRequest is a chat completion request.
type ChatRequest struct {
	Model string
	// System is the first message of the chat, unless it is empty.
	System    string
	Prompt    string
	MaxTokens int
	Stream    bool
	// Class is sent in a header unless it is empty.
	Class string
	// Deadline is sent in a header unless it is 0. The client itself does not enforce it.
	Deadline time.Duration
}

// ChatAnswer is the response to a ChatRequest.
type ChatAnswer struct {
	RequestID        string
	Text             string
	TimeToFirstToken time.Duration
	TotalTime        time.Duration
	// LongestTokenGap is the longest time between two events of a streamed response.
	LongestTokenGap time.Duration
}

// Body returns the request as JSON.
func (r ChatRequest) Body() []byte {
	messages := []map[string]string{{"role": "user", "content": r.Prompt}}
	if r.System != "" {
		messages = append([]map[string]string{{"role": "system", "content": r.System}}, messages...)
	}
	b, _ := json.Marshal(map[string]any{"model": r.Model, "max_tokens": r.MaxTokens, "stream": r.Stream, "messages": messages})
	return b
}

// Address returns a random cached gate address. It looks the addresses up first if the
// cache is empty or expired.
func (c *Client) Address(ctx context.Context) (string, error) {
	c.mu.Lock()
	cached := time.Now().Before(c.expiresAt) && len(c.addresses) > 0
	c.mu.Unlock()
	if !cached {
		if err := c.refreshAddresses(ctx); err != nil {
			return "", err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses[rand.IntN(len(c.addresses))], nil
}

// InvalidateAddresses expires the cached addresses, so that the next request looks them
// up again.
func (c *Client) InvalidateAddresses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expiresAt = time.Time{}
}

func (c *Client) refreshAddresses(ctx context.Context) error {
	c.mu.Lock()
	candidates := append(append([]string{}, c.addresses...), c.cfg.SeedAddresses...)
	c.mu.Unlock()
	var failures error
	for _, a := range candidates {
		response, err := c.queryGate(ctx, a)
		if err == nil && len(response.Addresses) > 0 {
			c.cacheAddresses(response)
			return nil
		}
		failures = errors.CombineErrors(failures, err)
	}
	return slugfault.Wrap(errors.CombineErrors(failures, errors.New("no gate returned any address")), "look up addresses", "")
}

func (c *Client) queryGate(ctx context.Context, address string) (slugdirectory.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	var answer slugdirectory.Answer
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/addresses", http.NoBody)
	if err != nil {
		return answer, err
	}
	r.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	resp, err := c.httpClient.Do(r)
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return answer, errors.Newf("gate %s answered the lookup with status %d", address, resp.StatusCode)
	}
	return answer, json.NewDecoder(resp.Body).Decode(&answer)
}

func (c *Client) cacheAddresses(a slugdirectory.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = c.addresses[:0]
	for _, x := range a.Addresses {
		c.addresses = append(c.addresses, x.Address)
	}
	c.expiresAt = time.Now().Add(time.Duration(a.MaxAgeSeconds) * time.Second)
}

// Chat sends a completion request and returns the complete response. It retries after any
// failure, since repeating a completion is safe, except after a refusal with a status
// below 500 other than 429.
func (c *Client) Chat(ctx context.Context, req ChatRequest) (ChatAnswer, error) {
	var a ChatAnswer
	var err error
	for attempt := range c.cfg.MaxAttempts {
		if a, err = c.sendChat(ctx, req); err == nil {
			return a, nil
		}
		var refusal *Refusal
		if errors.As(err, &refusal) && refusal.Status < 500 && refusal.Status != http.StatusTooManyRequests {
			return a, err
		}
		if ctx.Err() != nil || !c.backOff(ctx, attempt, refusal) {
			return a, err
		}
	}
	return a, err
}

// backOff expires the cached addresses and waits before the next attempt. The delay is random,
// below a limit that begins at 100 ms and doubles with each attempt, but at least the
// refusal's RetryAfter. It reports false if ctx ended.
func (c *Client) backOff(ctx context.Context, attempt int, r *Refusal) bool {
	c.InvalidateAddresses()
	d := time.Duration(rand.Int64N(int64(100*time.Millisecond) << attempt))
	if r != nil && r.RetryAfter > d {
		d = r.RetryAfter
	}
	return slugbackoff.Sleep(ctx, d) == nil
}

func (c *Client) sendChat(ctx context.Context, req ChatRequest) (ChatAnswer, error) {
	address, err := c.Address(ctx)
	if err != nil {
		return ChatAnswer{}, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(req.Body()))
	if err != nil {
		return ChatAnswer{}, err
	}
	r.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	if req.Class != "" {
		r.Header.Set("Sassafraslug-Class", req.Class)
	}
	if req.Deadline > 0 {
		r.Header.Set("Sassafraslug-Deadline-Ms", strconv.FormatInt(req.Deadline.Milliseconds(), 10))
	}
	start := time.Now()
	resp, err := c.httpClient.Do(r)
	if err != nil {
		return ChatAnswer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	a := ChatAnswer{RequestID: resp.Header.Get("X-Request-Id")}
	if resp.StatusCode != http.StatusOK {
		return a, ReadRefusal(resp)
	}
	if req.Stream {
		err = a.readStream(resp.Body, start)
	} else {
		err = a.readDocument(resp.Body)
		a.TimeToFirstToken = time.Since(start)
	}
	a.TotalTime = time.Since(start)
	return a, err
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Error struct {
		Code              string  `json:"code"`
		Message           string  `json:"message"`
		Ran               string  `json:"ran"`
		RetryAfterSeconds float64 `json:"retryAfterSeconds"`
	} `json:"error"`
}

// ReadRefusal returns the refusal in a response as a *Refusal, or another error if the
// body holds none.
func ReadRefusal(resp *http.Response) error {
	b, err := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	if err != nil {
		return err
	}
	return parseRefusal(resp.StatusCode, b)
}

func parseRefusal(status int, b []byte) error {
	var d refusalBody
	if json.Unmarshal(b, &d) != nil || d.Error.Code == "" {
		return errors.Newf("answer with status %d holds no refusal: %s", status, b)
	}
	return &Refusal{status, d.Error.Code, d.Error.Ran, d.Error.Message, time.Duration(d.Error.RetryAfterSeconds * float64(time.Second))}
}

// streamChunk is the part of a streamed event that holds the text.
type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// ErrIncompleteAnswer is returned for a stream that ended without its last event, and
// for a response without choices.
var ErrIncompleteAnswer = errors.New("answer is incomplete")

func (a *ChatAnswer) readStream(r io.Reader, start time.Time) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<20)
	var text strings.Builder
	defer func() { a.Text = text.String() }()
	last := start
	failed := false
	for s.Scan() {
		line := s.Text()
		failed = failed || line == "event: error"
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
			continue
		case failed:
			return parseRefusal(http.StatusBadGateway, []byte(data))
		case data == "[DONE]":
			return nil
		}
		now := time.Now()
		if a.TimeToFirstToken == 0 {
			a.TimeToFirstToken = now.Sub(start)
		} else {
			a.LongestTokenGap = max(a.LongestTokenGap, now.Sub(last))
		}
		last = now
		var c streamChunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return err
		}
		for _, x := range c.Choices {
			text.WriteString(x.Delta.Content)
		}
	}
	return errors.CombineErrors(ErrIncompleteAnswer, s.Err())
}

// completionBody is the JSON body of a response that is not streamed.
type completionBody struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

func (a *ChatAnswer) readDocument(r io.Reader) error {
	var d completionBody
	if err := json.NewDecoder(r).Decode(&d); err != nil {
		return err
	}
	if len(d.Choices) == 0 {
		return ErrIncompleteAnswer
	}
	a.Text = d.Choices[0].Message.Content
	return nil
}

// PlainRequest is a request to a plain service.
type PlainRequest struct {
	Service string
	Method  string
	// Path begins with a slash.
	Path string
	Body []byte
	// IdempotencyKey makes the system run retries of one request once. Without it, a
	// request that is not Idempotent is retried only if it certainly did not run.
	IdempotencyKey string
	// Idempotent requests are retried after any failure.
	Idempotent bool
}

// Plain sends a request to a plain service and returns the status and body of its response.
func (c *Client) Plain(ctx context.Context, req PlainRequest) (int, []byte, error) {
	var last error
	for attempt := range c.cfg.MaxAttempts {
		status, body, err := c.sendPlain(ctx, req)
		if err == nil {
			return status, body, nil
		}
		last = err
		var refusal *Refusal
		refused := errors.As(err, &refusal)
		if refused && refusal.Status < 500 && refusal.Status != http.StatusTooManyRequests {
			return refusal.Status, nil, err
		}
		safe := req.Idempotent || req.IdempotencyKey != "" || refused && refusal.Ran == "no"
		if !safe || !c.backOff(ctx, attempt, refusal) {
			return 0, nil, err
		}
	}
	return 0, nil, last
}

func (c *Client) sendPlain(ctx context.Context, req PlainRequest) (int, []byte, error) {
	address, err := c.Address(ctx)
	if err != nil {
		return 0, nil, err
	}
	r, err := http.NewRequestWithContext(ctx, req.Method, "http://"+address+"/services/"+req.Service+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return 0, nil, err
	}
	// With GetBody and an idempotency key, net/http would resend the body by itself after a
	// connection error, beside the retries of Plain.
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	if req.IdempotencyKey != "" {
		r.Header.Set("Idempotency-Key", req.IdempotencyKey)
	}
	resp, err := c.httpClient.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get("Sassafraslug-Ran") != "" {
		return 0, nil, ReadRefusal(resp)
	}
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}

// CloseIdleConnections closes the connections that are not in use.
func (c *Client) CloseIdleConnections() { c.cfg.Transport.CloseIdleConnections() }

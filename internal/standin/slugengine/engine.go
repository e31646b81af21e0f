// Package slugengine implements a fake of a model engine. It does continuous batching
// with chunked prefill, caches prompt prefixes in limited memory, honours priorities,
// resumes and cancels streams, reports its load with a configurable lag, and takes
// orders to change its role or load model weights, with or without checking fences.
// docs/PROTOCOLS.md specifies the protocol.
//
// The text of a response is a function of the prompt, so that tests can tell a complete
// response from a damaged one.
//
// # Usage
//
//	e := slugengine.New(slugengine.Config{Name: "assistant-1", Model: "lineage"})
//	go e.Run(ctx)
//	http.Serve(listener, e.Handler())
package slugengine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config sets the capabilities of the engine and the time that its work takes. Zero
// sizes and times get defaults, except ReportLag.
type Config struct {
	Name  string
	Model string
	// ChecksFences makes the engine reject orders with an outdated fence and remember the
	// outcomes of orders.
	ChecksFences bool
	// Pieces is the size of the KV cache in pieces, which are its units of allocation. A
	// piece holds TokensPerPiece tokens.
	Pieces         int
	TokensPerPiece int
	// PrefillPerSecond is the prefill throughput in prompt tokens per second.
	PrefillPerSecond int
	// StepBase is the fixed part of the duration of a step. A step can prefill as many
	// tokens as PrefillPerSecond allows in this time.
	StepBase time.Duration
	// StepPerStream is the time that each decoding stream adds to a step.
	StepPerStream time.Duration
	// MaxStreams is the maximum number of streams in the batch.
	MaxStreams int
	// MaxQueue is the maximum number of waiting streams.
	MaxQueue int
	// ReportLag is the minimum age of the load reports that the engine serves, if it has
	// one of that age.
	ReportLag time.Duration
	// OrderTime is the time that an order takes to complete.
	OrderTime time.Duration
	// RestartAfter is the time from a crash until the engine accepts requests again.
	RestartAfter time.Duration
	// KeepStreams is the time for which an ended stream can still be resumed.
	KeepStreams time.Duration
	// PoisonMarker is a text that makes the engine crash when a prompt contains it. Empty
	// means none.
	PoisonMarker string
	// RewriteEvent, if set, returns the events to write in place of an event of a stream. Tests use
	// it to damage streams.
	RewriteEvent func(request string, sequence int, event []byte) [][]byte
}

// Engine is the fake engine.
type Engine struct {
	cfg Config

	mu sync.Mutex
	// workReady wakes Run when a request was queued.
	workReady    chan struct{}
	incarnation  int
	down         bool
	restartTimer *time.Timer
	role         string
	version      string
	streams      map[string]*stream
	queue        []*stream
	running      []*stream
	cache        *prefixCache
	// fence is the highest fence of all orders so far.
	fence uint64
	// outcomes are the outcomes of accepted orders by order number. It stays empty unless
	// ChecksFences is set.
	outcomes map[string]OrderOutcome
	orders   []Order
	reports  []timedReport
	// executed is the number of times that each request was accepted, by request ID.
	executed map[string]int
	// seenKeys are the places in requests that contained an API key.
	seenKeys []string
	// silent is unused.
	silent   map[string]bool
	refusing bool
	leaving  bool
	// retryAfter is the time to wait that rejections state; empty means none.
	retryAfter string
	// requested holds the times at which requests arrived, rejected ones too.
	requested []time.Time
	// cachedTokens is the total number of prompt tokens found in the prefix cache.
	cachedTokens int
}

// New returns an idle engine. It processes requests while Run runs.
func New(cfg Config) *Engine {
	setDefaults(&cfg)
	return &Engine{
		cfg:       cfg,
		workReady: make(chan struct{}, 1),
		role:      "mixed",
		streams:   map[string]*stream{},
		cache:     newPrefixCache(cfg.Pieces, cfg.TokensPerPiece),
		outcomes:  map[string]OrderOutcome{},
		executed:  map[string]int{},
		silent:    map[string]bool{},
	}
}

func setDefaults(c *Config) {
	setDefault(&c.Pieces, 1000)
	setDefault(&c.TokensPerPiece, 16)
	setDefault(&c.PrefillPerSecond, 20000)
	setDefault(&c.StepBase, 10*time.Millisecond)
	setDefault(&c.StepPerStream, 250*time.Microsecond)
	setDefault(&c.MaxStreams, 32)
	setDefault(&c.MaxQueue, 64)
	setDefault(&c.OrderTime, 50*time.Millisecond)
	setDefault(&c.RestartAfter, time.Second)
	setDefault(&c.KeepStreams, 30*time.Second)
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// Handler returns the HTTP handler of the engine. While the engine is down it aborts
// all connections.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /engine/greeting", e.getGreeting)
	mux.HandleFunc("POST /v1/chat/completions", e.postCompletion)
	mux.HandleFunc("POST /v1/completions", e.postCompletion)
	mux.HandleFunc("GET /engine/streams/{request}", e.getStream)
	mux.HandleFunc("DELETE /engine/streams/{request}", e.deleteStream)
	mux.HandleFunc("GET /engine/load", e.getLoad)
	mux.HandleFunc("GET /engine/cacheEvents", e.getCacheEvents)
	mux.HandleFunc("POST /engine/orders", e.postOrder)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.recordKeys(r)
		if e.isDown() {
			panic(http.ErrAbortHandler)
		}
		if e.isLeaving() {
			w.Header().Set(LeavingHeader, "1")
		}
		mux.ServeHTTP(w, r)
	})
}

// recordKeys records which parts of a request contain an API key, which is recognized by
// its prefix.
func (e *Engine) recordKeys(r *http.Request) {
	for name, values := range r.Header {
		for _, v := range values {
			if strings.Contains(v, "slug-key-") {
				e.mu.Lock()
				e.seenKeys = append(e.seenKeys, name)
				e.mu.Unlock()
			}
		}
	}
	if strings.Contains(r.URL.RawQuery, "slug-key-") {
		e.mu.Lock()
		e.seenKeys = append(e.seenKeys, "query")
		e.mu.Unlock()
	}
}

// SeenKeys returns the names of the request headers that contained an API key, and
// "query" for each query string that did. A gateway must not forward API keys to engines.
func (e *Engine) SeenKeys() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.seenKeys...)
}

// Executed returns how often the engine accepted each request, by request ID.
func (e *Engine) Executed() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.executed))
	for k, v := range e.executed {
		out[k] = v
	}
	return out
}

// Incarnation returns the number of crashes so far.
func (e *Engine) Incarnation() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// Role returns the current role of the engine.
func (e *Engine) Role() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role
}

// Crash ends all streams without a terminal event and drops the queue, the prefix cache
// and the outcomes of orders. The role, the loaded version and the fence are kept. The
// engine accepts requests again after RestartAfter.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// crash implements Crash; e.mu is held.
func (e *Engine) crash() {
	if e.down {
		return
	}
	e.down = true
	e.incarnation++
	for _, s := range e.streams {
		s.crashed = true
		s.wake()
	}
	e.streams = map[string]*stream{}
	e.queue, e.running = nil, nil
	e.cache = newPrefixCache(e.cfg.Pieces, e.cfg.TokensPerPiece)
	e.outcomes = map[string]OrderOutcome{}
	e.restartTimer = time.AfterFunc(e.cfg.RestartAfter, e.restart)
}

func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
}

func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// StallStreams stalls the open connections of all current streams permanently: they stay
// open but deliver nothing more. New connections work.
func (e *Engine) StallStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.stalls++
		s.wake()
	}
}

// SetRefusing makes the engine reject all new requests as not run, or stops that.
func (e *Engine) SetRefusing(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusing = on
}

// SetRetryAfter makes rejections state a time to wait, the value of Retry-After; empty means
// none.
func (e *Engine) SetRetryAfter(value string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retryAfter = value
}

// SetLeaving makes all responses say that the engine is leaving, or stops that.
func (e *Engine) SetLeaving(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = on
}

func (e *Engine) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// Calls returns the number of requests that arrived after a time, rejected ones too.
func (e *Engine) Calls(after time.Time) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, at := range e.requested {
		if at.After(after) {
			n++
		}
	}
	return n
}

// Greeting describes the capabilities and the state of the engine.
type Greeting struct {
	Endpoint       string `json:"endpoint"`
	Incarnation    int    `json:"incarnation"`
	ChecksFences   bool   `json:"checksFences"`
	Model          string `json:"model"`
	Version        string `json:"version"`
	Role           string `json:"role"`
	Pieces         int    `json:"pieces"`
	TokensPerPiece int    `json:"tokensPerPiece"`
	MaxStreams     int    `json:"maxStreams"`
	Resumes        bool   `json:"resumes"`
	Idle           bool   `json:"idle"`
	// PrefillPerSecond, StepBaseUs, StepPerStreamUs and PrefillChunk are the parameters of
	// the engine's cost model: tokens per second, microseconds per step, microseconds per
	// decoding stream in a step, and prompt tokens per step.
	PrefillPerSecond float64 `json:"prefillPerSecond"`
	StepBaseUs       int64   `json:"stepBaseUs"`
	StepPerStreamUs  int64   `json:"stepPerStreamUs"`
	PrefillChunk     int     `json:"prefillChunk"`
}

func (e *Engine) getGreeting(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	greeting := Greeting{
		Endpoint: e.cfg.Name, Incarnation: e.incarnation, ChecksFences: e.cfg.ChecksFences,
		Model: e.cfg.Model, Version: e.version, Role: e.role, Pieces: e.cfg.Pieces, TokensPerPiece: e.cfg.TokensPerPiece,
		MaxStreams: e.cfg.MaxStreams, Resumes: true, Idle: len(e.running)+len(e.queue) == 0,
		PrefillPerSecond: float64(e.cfg.PrefillPerSecond), StepBaseUs: e.cfg.StepBase.Microseconds(),
		StepPerStreamUs: e.cfg.StepPerStream.Microseconds(), PrefillChunk: e.prefillChunk(),
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, greeting)
}

// Run processes requests until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		duration := e.step()
		if duration == 0 {
			select {
			case <-ctx.Done():
			case <-e.workReady:
			}
			continue
		}
		t := time.NewTimer(duration)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// step runs one iteration of the batch and returns its duration, or 0 if the engine is
// idle.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordLoad()
	e.admit()
	if len(e.running) == 0 {
		return 0
	}
	duration := e.cfg.StepBase
	remaining := e.running[:0]
	prefillBudget := e.prefillChunk()
	for _, s := range e.running {
		if s.canceled {
			e.endStream(s)
			continue
		}
		if s.prefillLeft > 0 {
			n := min(prefillBudget, s.prefillLeft)
			s.prefillLeft -= n
			prefillBudget -= n
			duration += time.Duration(float64(n) / float64(e.cfg.PrefillPerSecond) * float64(time.Second))
			remaining = append(remaining, s)
			continue
		}
		if e.poisoned(s) {
			e.crash()
			return e.cfg.StepBase
		}
		duration += e.cfg.StepPerStream
		if !e.emitToken(s) {
			remaining = append(remaining, s)
		}
	}
	e.running = remaining
	return duration
}

// prefillChunk returns the number of prompt tokens that one step can process.
func (e *Engine) prefillChunk() int {
	return max(1, int(float64(e.cfg.PrefillPerSecond)*e.cfg.StepBase.Seconds()))
}

func (e *Engine) poisoned(s *stream) bool {
	return e.cfg.PoisonMarker != "" && strings.Contains(s.prompt, e.cfg.PoisonMarker)
}

// admit moves waiting streams into the batch while it has room, those with the lowest
// priority number first; e.mu is held.
func (e *Engine) admit() {
	for len(e.running) < e.cfg.MaxStreams && len(e.queue) > 0 {
		best := 0
		for i, s := range e.queue {
			if s.priority < e.queue[best].priority {
				best = i
			}
		}
		s := e.queue[best]
		e.queue = append(e.queue[:best], e.queue[best+1:]...)
		s.cachedTokens = e.cache.lookUpAndInsert(s.salt, s.prompt)
		e.cachedTokens += s.cachedTokens
		s.prefillLeft = max(1, promptTokens(s.prompt)+s.generated-s.cachedTokens)
		e.running = append(e.running, s)
	}
}

// bytesPerToken is the number of bytes of a prompt that count as one token.
const bytesPerToken = 4

func promptTokens(prompt string) int { return len(prompt)/bytesPerToken + 1 }

// Token returns the token at an index of the response to a prompt; the first index is 0.
func Token(prompt string, index int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%d:%s", index, prompt))
	return fmt.Sprintf("w%x ", h%0xfff)
}

// Answer returns the first n tokens of the response to a prompt.
func Answer(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Started returns the number of requests that the engine accepted, with repeats.
func (e *Engine) Started() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, x := range e.executed {
		n += x
	}
	return n
}

// Version returns the loaded version of the model.
func (e *Engine) Version() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// SetMaxStreams changes the maximum number of streams in the batch.
func (e *Engine) SetMaxStreams(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cfg.MaxStreams = n
}

// Running returns the number of streams in the batch.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// CachedTokens returns the total number of prompt tokens found in the prefix cache.
func (e *Engine) CachedTokens() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cachedTokens
}

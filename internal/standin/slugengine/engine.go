// Package slugengine is a small stand-in of a model engine. It batches
// continuously, caches prompt prefixes in limited memory, honours priorities,
// resumes and cancels streams, reports its load with a lag, and takes orders to
// change its role or load weights, checking fences or not. docs/PROTOCOLS.md
// describes what it speaks.
//
// The text of an answer depends on the prompt alone, so that a test can tell a
// whole answer from a damaged one.
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

// Config sets what the engine can do and what its work costs.
type Config struct {
	Name  string
	Model string
	// ChecksFences makes the engine refuse orders with an old fence.
	ChecksFences bool
	// Pieces is the size of the KV cache.
	Pieces int
	// TokensPerPiece is the number of tokens that one piece holds.
	TokensPerPiece int
	// PrefillPerSecond is the number of prompt tokens processed in a second.
	PrefillPerSecond int
	// StepBase is the time of a decode step without streams.
	StepBase time.Duration
	// StepPerStream is added to a decode step for each stream.
	StepPerStream time.Duration
	// MaxStreams is the greatest batch.
	MaxStreams int
	// MaxQueue is the number of streams that may wait.
	MaxQueue int
	// ReportLag delays load reports.
	ReportLag time.Duration
	// OrderTime is how long an order takes.
	OrderTime time.Duration
	// RestartAfter is the time from a crash until the engine serves again.
	RestartAfter time.Duration
	// KeepStreams is how long an ended stream can be resumed.
	KeepStreams time.Duration
	// PoisonMarker makes the engine crash on a prompt that contains it.
	PoisonMarker string
	// Emit, when set, replaces an event by the events to write instead.
	Emit func(request string, sequence int, event []byte) [][]byte
}

// Engine is the stand-in.
type Engine struct {
	cfg Config

	mu          sync.Mutex
	work        chan struct{}
	incarnation int
	down        bool
	restarts    *time.Timer
	role        string
	version     string
	streams     map[string]*stream
	queue       []*stream
	running     []*stream
	cache       *prefixCache
	fence       uint64
	outcomes    map[string]OrderOutcome
	orders      []Order
	reports     []timedReport
	executed    map[string]int
	seenKeys    []string
	silent      map[string]bool
	refuse      bool
	// cachedTokens is the number of prompt tokens found in the cache.
	cachedTokens int
}

// New returns an idle engine.
func New(cfg Config) *Engine {
	setDefaults(&cfg)
	return &Engine{
		cfg:      cfg,
		work:     make(chan struct{}, 1),
		role:     "mixed",
		streams:  map[string]*stream{},
		cache:    newPrefixCache(cfg.Pieces, cfg.TokensPerPiece),
		outcomes: map[string]OrderOutcome{},
		executed: map[string]int{},
		silent:   map[string]bool{},
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

// Handler serves the engine's protocol.
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
		e.noteKeys(r)
		if e.isDown() {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

// noteKeys records headers that look like credentials.
func (e *Engine) noteKeys(r *http.Request) {
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

// SeenKeys returns the places in which the engine was shown a key.
func (e *Engine) SeenKeys() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.seenKeys...)
}

// Executed returns how often each request was started here.
func (e *Engine) Executed() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.executed))
	for k, v := range e.executed {
		out[k] = v
	}
	return out
}

// Incarnation returns how often the engine has crashed.
func (e *Engine) Incarnation() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// Role returns the engine's role.
func (e *Engine) Role() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role
}

// Crash ends all streams without a terminal event and forgets all state. The
// engine serves again after RestartAfter.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// crash is Crash with e.mu held.
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
	e.restarts = time.AfterFunc(e.cfg.RestartAfter, e.restart)
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

// Silence makes all connections of present streams go silent for good. New
// connections work.
func (e *Engine) Silence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.generation++
		s.wake()
	}
}

// Refuse makes the engine answer "not run" to all new requests.
func (e *Engine) Refuse(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refuse = on
}

// Greeting is what an engine says of itself.
type Greeting struct {
	Endpoint     string `json:"endpoint"`
	Incarnation  int    `json:"incarnation"`
	ChecksFences bool   `json:"checksFences"`
	Model        string `json:"model"`
	Version      string `json:"version"`
	Role         string `json:"role"`
	Pieces       int    `json:"pieces"`
	// TokensPerPiece is the number of tokens that one piece holds.
	TokensPerPiece int  `json:"tokensPerPiece"`
	MaxStreams     int  `json:"maxStreams"`
	Resumes        bool `json:"resumes"`
	Idle           bool `json:"idle"`
	// PrefillPerSecond, StepBaseUs, StepPerStreamUs and PrefillChunk tell what work
	// costs.
	PrefillPerSecond float64 `json:"prefillPerSecond"`
	StepBaseUs       int64   `json:"stepBaseUs"`
	StepPerStreamUs  int64   `json:"stepPerStreamUs"`
	PrefillChunk     int     `json:"prefillChunk"`
}

func (e *Engine) getGreeting(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	g := Greeting{
		Endpoint: e.cfg.Name, Incarnation: e.incarnation, ChecksFences: e.cfg.ChecksFences,
		Model: e.cfg.Model, Version: e.version, Role: e.role, Pieces: e.cfg.Pieces, TokensPerPiece: e.cfg.TokensPerPiece,
		MaxStreams: e.cfg.MaxStreams, Resumes: true, Idle: len(e.running)+len(e.queue) == 0,
		PrefillPerSecond: float64(e.cfg.PrefillPerSecond), StepBaseUs: e.cfg.StepBase.Microseconds(),
		StepPerStreamUs: e.cfg.StepPerStream.Microseconds(), PrefillChunk: e.chunk(),
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, g)
}

// Run does the engine's work until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		d := e.step()
		if d == 0 {
			select {
			case <-ctx.Done():
			case <-e.work:
			}
			continue
		}
		t := time.NewTimer(d)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// step does one iteration of the batch and returns how long it takes.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report()
	e.admit()
	if len(e.running) == 0 {
		return 0
	}
	cost := e.cfg.StepBase
	kept := e.running[:0]
	budget := e.chunk()
	for _, s := range e.running {
		if s.canceled {
			e.finish(s)
			continue
		}
		if s.prefillLeft > 0 {
			n := min(budget, s.prefillLeft)
			s.prefillLeft -= n
			budget -= n
			cost += time.Duration(float64(n) / float64(e.cfg.PrefillPerSecond) * float64(time.Second))
			kept = append(kept, s)
			continue
		}
		if e.poisoned(s) {
			e.crash()
			return e.cfg.StepBase
		}
		cost += e.cfg.StepPerStream
		if !e.emitToken(s) {
			kept = append(kept, s)
		}
	}
	e.running = kept
	return cost
}

// chunk returns the number of prompt tokens that one step processes.
func (e *Engine) chunk() int {
	return max(1, int(float64(e.cfg.PrefillPerSecond)*e.cfg.StepBase.Seconds()))
}

func (e *Engine) poisoned(s *stream) bool {
	return e.cfg.PoisonMarker != "" && strings.Contains(s.prompt, e.cfg.PoisonMarker)
}

// admit moves waiting streams into the batch, the most urgent first.
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
		s.cachedTokens = e.cache.use(s.salt, s.prompt)
		e.cachedTokens += s.cachedTokens
		s.prefillLeft = max(1, promptTokens(s.prompt)+s.done-s.cachedTokens)
		e.running = append(e.running, s)
	}
}

// bytesPerToken is the length of a token in the stand-in.
const bytesPerToken = 4

func promptTokens(prompt string) int { return len(prompt)/bytesPerToken + 1 }

// Token returns the token with the given index of the answer to a prompt.
func Token(prompt string, index int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%d:%s", index, prompt))
	return fmt.Sprintf("w%x ", h%0xfff)
}

// Answer returns the first n tokens of the answer to a prompt.
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

// Started returns the number of requests that were started here.
func (e *Engine) Started() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, x := range e.executed {
		n += x
	}
	return n
}

// Version returns the version of the model that is loaded.
func (e *Engine) Version() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// SetStreams changes the greatest batch.
func (e *Engine) SetStreams(n int) {
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

// CachedTokens returns the number of prompt tokens that were found in the cache.
func (e *Engine) CachedTokens() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cachedTokens
}

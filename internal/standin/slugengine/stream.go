package slugengine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// stream is a request that the engine accepted, with the events of its response.
type stream struct {
	requestID    string
	prompt       string
	salt         string
	priority     int
	chat         bool
	maxTokens    int
	generated    int
	prefillLeft  int
	cachedTokens int
	// events are all events so far. Sequence numbers start at 1.
	events   [][]byte
	ended    bool
	crashed  bool
	canceled bool
	// stalls is the number of calls of StallStreams. A connection that was opened before the
	// last of them delivers nothing more.
	stalls int
	// changed is closed and replaced by wake.
	changed chan struct{}
}

// wake notifies all connections that relay the stream; the engine's mu is held.
func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Continuation asks an engine to continue a response that another engine began.
type Continuation struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// completionRequest is the body of a chat or text completion request.
type completionRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	// Continuation is set if the request continues a response.
	Continuation *Continuation `json:"continuation"`
}

const (
	// defaultMaxTokens is the length of a response if the request doesn't set one.
	defaultMaxTokens = 16
	// NotRunHeader marks rejections of requests that were not run and can be retried
	// safely.
	NotRunHeader = "Engine-Not-Run"
	// LeavingHeader marks the responses of an engine that is leaving.
	LeavingHeader = "Engine-Leaving"
)

// Prompt returns the prompt of a request's body in the form that Token and Answer take.
func Prompt(body []byte) string {
	var c completionRequest
	_ = json.Unmarshal(body, &c)
	return c.canonicalPrompt()
}

// canonicalPrompt returns the prompt in canonical JSON, so that it doesn't depend on how
// the client formatted it.
func (c completionRequest) canonicalPrompt() string {
	return canonicalJSON(c.Messages) + canonicalJSON(c.Prompt)
}

func canonicalJSON(raw json.RawMessage) string {
	var v any
	if json.Unmarshal(raw, &v) != nil {
		return ""
	}
	b, _ := json.Marshal(v)
	return string(b)
}

func (e *Engine) postCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		writeNotRun(w, r, http.StatusBadRequest, err.Error())
		return
	}
	s := newStream(r, c)
	if reason := e.enqueue(s, c); reason != "" {
		e.mu.Lock()
		retryAfter := e.retryAfter
		e.mu.Unlock()
		if retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
		}
		writeNotRun(w, r, http.StatusServiceUnavailable, reason)
		return
	}
	e.relay(w, r, s, 0)
}

func newStream(r *http.Request, c completionRequest) *stream {
	priority, _ := strconv.Atoi(r.Header.Get("Priority"))
	s := &stream{
		requestID: r.Header.Get("X-Request-Id"), prompt: c.canonicalPrompt(),
		salt: r.Header.Get("Cache-Salt"), priority: priority, maxTokens: c.MaxTokens,
		chat:    r.URL.Path == "/v1/chat/completions",
		changed: make(chan struct{}),
	}
	if s.maxTokens <= 0 {
		s.maxTokens = defaultMaxTokens
	}
	return s
}

func writeNotRun(w http.ResponseWriter, r *http.Request, status int, reason string) {
	w.Header().Set(NotRunHeader, "1")
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	http.Error(w, reason, status)
}

// enqueue adds a stream to the queue. It returns a reason if the stream is rejected,
// else an empty string.
func (e *Engine) enqueue(s *stream, c completionRequest) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requested = append(e.requested, time.Now())
	if c.Model != "" && c.Model != e.cfg.Model {
		return "model " + c.Model + " is not loaded"
	}
	if e.refusing || len(e.queue) >= e.cfg.MaxQueue {
		return "queue is full or requests are refused"
	}
	if e.streams[s.requestID] != nil {
		return "a stream with this request ID exists"
	}
	if c.Continuation != nil {
		if c.Continuation.Text != Answer(s.prompt, c.Continuation.Tokens) {
			return "text of the continuation differs from the answer to the prompt"
		}
		s.generated = c.Continuation.Tokens
	}
	e.executed[s.requestID]++
	e.streams[s.requestID] = s
	e.queue = append(e.queue, s)
	select {
	case e.workReady <- struct{}{}:
	default:
	}
	return ""
}

func (e *Engine) getStream(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.streams[r.PathValue("request")]
	e.mu.Unlock()
	if s == nil {
		http.Error(w, "no stream has this request ID", http.StatusNotFound)
		return
	}
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	e.relay(w, r, s, after)
}

func (e *Engine) deleteStream(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	if s := e.streams[r.PathValue("request")]; s != nil {
		s.canceled = true
	}
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// relay writes the events after a sequence number to w until the stream or the request
// ends.
func (e *Engine) relay(w http.ResponseWriter, r *http.Request, s *stream, after int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	e.mu.Lock()
	stallsAtStart := s.stalls
	e.mu.Unlock()
	for {
		e.mu.Lock()
		events := s.events[min(after, len(s.events)):]
		ended, crashed, stalled, changed := s.ended, s.crashed, s.stalls != stallsAtStart, s.changed
		e.mu.Unlock()
		if crashed {
			panic(http.ErrAbortHandler)
		}
		if stalled {
			<-r.Context().Done()
			return
		}
		for _, event := range events {
			after++
			e.writeEvent(w, s.requestID, after, event)
		}
		flush(w)
		if ended && len(events) == 0 {
			return
		}
		if len(events) > 0 {
			continue
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) writeEvent(w io.Writer, request string, sequence int, event []byte) {
	if e.cfg.RewriteEvent == nil {
		_, _ = w.Write(event)
		return
	}
	for _, replacement := range e.cfg.RewriteEvent(request, sequence, event) {
		_, _ = w.Write(replacement)
	}
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// emitToken appends the next token to a stream and reports whether the stream ended;
// e.mu is held.
func (e *Engine) emitToken(s *stream) bool {
	if s.generated < s.maxTokens {
		s.append(s.encodeChunk(Token(s.prompt, s.generated), "", nil))
		s.generated++
	}
	if s.generated < s.maxTokens {
		s.wake()
		return false
	}
	s.append(s.encodeChunk("", "stop", &usage{promptTokens(s.prompt), s.generated, s.cachedTokens}))
	s.append("[DONE]")
	e.endStream(s)
	return true
}

// endStream ends a stream and, after KeepStreams, removes it; e.mu is held.
func (e *Engine) endStream(s *stream) {
	s.ended = true
	s.wake()
	time.AfterFunc(e.cfg.KeepStreams, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.streams[s.requestID] == s {
			delete(e.streams, s.requestID)
		}
	})
}

func (s *stream) append(data string) {
	s.events = append(s.events, fmt.Appendf(nil, "id: %s:%d\ndata: %s\n\n", s.requestID, len(s.events)+1, data))
}

// usage is the token usage of a request, sent in the last chunk.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

type completionChunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Text         string  `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

func (s *stream) encodeChunk(content, finish string, u *usage) string {
	c := completionChunk{ID: s.requestID, Object: "text_completion", Choices: []choice{{}}, Usage: u}
	if s.chat {
		c.Object = "chat.completion.chunk"
		c.Choices[0].Delta = &delta{Content: content}
	} else {
		c.Choices[0].Text = content
	}
	if finish != "" {
		c.Choices[0].FinishReason = &finish
	}
	b, _ := json.Marshal(c)
	return string(b)
}

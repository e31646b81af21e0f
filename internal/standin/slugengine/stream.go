package slugengine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// stream is one request in the engine.
type stream struct {
	request      string
	prompt       string
	salt         string
	priority     int
	chat         bool
	maxTokens    int
	done         int
	prefillLeft  int
	cachedTokens int
	// events are all events so far; the first has sequence 1.
	events   [][]byte
	ended    bool
	crashed  bool
	canceled bool
	// generation grows when the present connections go silent.
	generation int
	changed    chan struct{}
}

// wake ends all waits for the stream; the engine's lock is held.
func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Continuation asks an engine to go on after tokens that another one made.
type Continuation struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// completion is the body of a request.
type completion struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	// Continuation is set to go on with an answer.
	Continuation *Continuation `json:"continuation"`
}

const (
	// defaultMaxTokens is the length of an answer when none is asked for.
	defaultMaxTokens = 16
	// NotRunHeader marks refusals of requests that were not run.
	NotRunHeader = "Engine-Not-Run"
)

// Prompt returns what the engine takes as the prompt of a request's body.
func Prompt(body []byte) string {
	var c completion
	_ = json.Unmarshal(body, &c)
	return c.text()
}

// text returns the prompt in one spelling, however its JSON was written.
func (c completion) text() string { return respell(c.Messages) + respell(c.Prompt) }

func respell(raw json.RawMessage) string {
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
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	s := newStream(r, c)
	if reason := e.accept(s, c); reason != "" {
		refuse(w, http.StatusServiceUnavailable, reason)
		return
	}
	e.relay(w, r, s, 0)
}

func newStream(r *http.Request, c completion) *stream {
	priority, _ := strconv.Atoi(r.Header.Get("Priority"))
	s := &stream{
		request: r.Header.Get("X-Request-Id"), prompt: c.text(),
		salt: r.Header.Get("Cache-Salt"), priority: priority, maxTokens: c.MaxTokens,
		chat:    r.URL.Path == "/v1/chat/completions",
		changed: make(chan struct{}),
	}
	if s.maxTokens <= 0 {
		s.maxTokens = defaultMaxTokens
	}
	return s
}

func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(NotRunHeader, "1")
	http.Error(w, reason, status)
}

// accept queues a stream, or returns why not.
func (e *Engine) accept(s *stream, c completion) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Model != "" && c.Model != e.cfg.Model {
		return "model " + c.Model + " is not loaded"
	}
	if e.refuse || len(e.queue) >= e.cfg.MaxQueue {
		return "queue is full"
	}
	if e.streams[s.request] != nil {
		return "request is running"
	}
	if c.Continuation != nil {
		if c.Continuation.Text != Answer(s.prompt, c.Continuation.Tokens) {
			return "continuation does not fit the prompt"
		}
		s.done = c.Continuation.Tokens
	}
	e.executed[s.request]++
	e.streams[s.request] = s
	e.queue = append(e.queue, s)
	select {
	case e.work <- struct{}{}:
	default:
	}
	return ""
}

func (e *Engine) getStream(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.streams[r.PathValue("request")]
	e.mu.Unlock()
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
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

// relay writes the events after a sequence number until the stream ends.
func (e *Engine) relay(w http.ResponseWriter, r *http.Request, s *stream, after int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	e.mu.Lock()
	generation := s.generation
	e.mu.Unlock()
	for {
		e.mu.Lock()
		events := s.events[min(after, len(s.events)):]
		ended, crashed, silent, changed := s.ended, s.crashed, s.generation != generation, s.changed
		e.mu.Unlock()
		if crashed {
			panic(http.ErrAbortHandler)
		}
		if silent {
			<-r.Context().Done()
			return
		}
		for _, event := range events {
			after++
			e.write(w, s.request, after, event)
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

func (e *Engine) write(w io.Writer, request string, sequence int, event []byte) {
	if e.cfg.Emit == nil {
		_, _ = w.Write(event)
		return
	}
	for _, x := range e.cfg.Emit(request, sequence, event) {
		_, _ = w.Write(x)
	}
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// emitToken appends the next token and reports whether the stream ended; the
// engine's lock is held.
func (e *Engine) emitToken(s *stream) bool {
	if s.done < s.maxTokens {
		s.append(s.chunk(Token(s.prompt, s.done), "", nil))
		s.done++
	}
	if s.done < s.maxTokens {
		s.wake()
		return false
	}
	s.append(s.chunk("", "stop", &usage{promptTokens(s.prompt), s.done, s.cachedTokens}))
	s.append("[DONE]")
	e.finish(s)
	return true
}

// finish ends a stream and forgets it later; the engine's lock is held.
func (e *Engine) finish(s *stream) {
	s.ended = true
	s.wake()
	time.AfterFunc(e.cfg.KeepStreams, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.streams[s.request] == s {
			delete(e.streams, s.request)
		}
	})
}

func (s *stream) append(data string) {
	s.events = append(s.events, fmt.Appendf(nil, "id: %s:%d\ndata: %s\n\n", s.request, len(s.events)+1, data))
}

// usage is what the last chunk says of a request's cost.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

type chunk struct {
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

func (s *stream) chunk(content, finish string, u *usage) string {
	c := chunk{ID: s.request, Object: "text_completion", Choices: []choice{{}}, Usage: u}
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

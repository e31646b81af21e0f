// Package slugrelay writes an answer to its caller: events as they come to a
// caller that streams, one document to a caller that does not.
//
// # Usage
//
//	rw := slugrelay.New(w, slugrelay.Config{Stream: true, RequestID: id})
//	rw.Event(data)
//	rw.Finish()
package slugrelay

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
)

// Config says what the caller wants.
type Config struct {
	// Stream sends events as they come.
	Stream bool
	// Chat tells chat completions from plain ones.
	Chat      bool
	RequestID string
	Model     string
	// WriteTimeout bounds each write to the caller.
	WriteTimeout time.Duration
}

// Writer writes one answer.
type Writer struct {
	cfg  Config
	w    http.ResponseWriter
	ctrl *http.ResponseController

	mu      sync.Mutex
	started bool
	ended   bool
	failed  error
	// content is the text so far, as it stands between quotes in JSON.
	content []byte
	last    []byte
	tokens  int
}

// New returns a Writer that has sent nothing.
func New(w http.ResponseWriter, cfg Config) *Writer {
	return &Writer{cfg: cfg, w: w, ctrl: http.NewResponseController(w)}
}

var (
	dataPrefix   = []byte("data: ")
	eventEnd     = []byte("\n\n")
	keepAlive    = []byte(": keep-alive\n\n")
	doneEvent    = []byte("data: [DONE]\n\n")
	contentField = []byte(`"content":`)
	textField    = []byte(`"text":`)
)

// Event takes the payload of one event. flush sends what was written so far.
func (x *Writer) Event(data []byte, flush bool) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if text := x.text(data); len(text) > 0 {
		x.content = append(x.content, text...)
		x.tokens++
	}
	if !x.cfg.Stream {
		x.last = append(x.last[:0], data...)
		return nil
	}
	x.start()
	x.write(dataPrefix)
	x.write(data)
	x.write(eventEnd)
	if bytes.Contains(data, usageField) {
		x.last = append(x.last[:0], data...)
	}
	if flush {
		x.flush()
	}
	return x.failed
}

var usageField = []byte(`"usage":`)

// text returns the text of an event as it stands between quotes in JSON.
func (x *Writer) text(data []byte) []byte {
	field := textField
	if x.cfg.Chat {
		field = contentField
	}
	_, rest, ok := bytes.Cut(data, field)
	rest = bytes.TrimLeft(rest, " ")
	if !ok || len(rest) == 0 || rest[0] != '"' {
		return nil
	}
	rest = rest[1:]
	for i := 0; i < len(rest); i++ {
		switch rest[i] {
		case '\\':
			i++
		case '"':
			return rest[:i]
		}
	}
	return nil
}

// Tokens returns the number of events with text so far.
func (x *Writer) Tokens() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.tokens
}

// Started reports whether the caller has been sent anything.
func (x *Writer) Started() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.started
}

// Text returns the text so far.
func (x *Writer) Text() (string, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.decodeText()
}

func (x *Writer) decodeText() (string, error) {
	var s string
	quoted := append(append([]byte{'"'}, x.content...), '"')
	err := json.Unmarshal(quoted, &s)
	return s, slugfault.Wrap(err, "decode answer", "")
}

// KeepAlive sends a comment to a caller that streams, so that it notices when the
// connection goes silent.
func (x *Writer) KeepAlive() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.cfg.Stream || x.ended {
		return
	}
	x.start()
	x.write(keepAlive)
	x.flush()
}

// start sends the headers of a stream; x.mu is held.
func (x *Writer) start() {
	if x.started {
		return
	}
	x.started = true
	h := x.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	x.w.WriteHeader(http.StatusOK)
}

// write sends bytes and remembers the first failure; x.mu is held.
func (x *Writer) write(b []byte) {
	if x.failed == nil {
		_, x.failed = x.w.Write(b)
	}
}

// flush sends what is buffered, within the time bound; x.mu is held.
func (x *Writer) flush() {
	if x.failed != nil {
		return
	}
	if x.cfg.WriteTimeout > 0 {
		_ = x.ctrl.SetWriteDeadline(time.Now().Add(x.cfg.WriteTimeout))
	}
	x.failed = x.ctrl.Flush()
}

// Usage is what the engine said of a request's cost.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
}

// finalChunk is the part of the last event that matters here.
type finalChunk struct {
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

// Usage returns what the last event said of the cost, and false when it said
// nothing.
func (x *Writer) Usage() (Usage, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	var c finalChunk
	if json.Unmarshal(x.last, &c) != nil || c.Usage == nil {
		return Usage{}, false
	}
	return *c.Usage, true
}

// Finish ends a whole answer.
func (x *Writer) Finish() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ended = true
	if x.cfg.Stream {
		x.start()
		x.write(doneEvent)
		x.flush()
		return x.failed
	}
	b, err := x.document()
	if err != nil {
		return err
	}
	x.started = true
	x.w.Header().Set("Content-Type", "application/json")
	x.w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	x.write(b)
	x.flush()
	return x.failed
}

// answer is the document of a caller that does not stream.
type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (x *Writer) document() ([]byte, error) {
	text, err := x.decodeText()
	if err != nil {
		return nil, err
	}
	var c finalChunk
	_ = json.Unmarshal(x.last, &c)
	a := answer{ID: x.cfg.RequestID, Object: "text_completion", Created: time.Now().Unix(), Model: x.cfg.Model, Choices: []choice{{}}, Usage: c.Usage}
	if a.Usage != nil {
		a.Usage.TotalTokens = a.Usage.PromptTokens + a.Usage.CompletionTokens
	}
	if len(c.Choices) > 0 {
		a.Choices[0].FinishReason = c.Choices[0].FinishReason
	}
	if x.cfg.Chat {
		a.Object = "chat.completion"
		a.Choices[0].Message = &message{"assistant", text}
	} else {
		a.Choices[0].Text = &text
	}
	return json.Marshal(a)
}

// Refuse ends the answer with a refusal: as a document, or as the last event of
// a stream that has begun.
func (x *Writer) Refuse(r *slugrefusal.Refusal) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ended = true
	if !x.started {
		x.started = true
		r.Write(x.w)
		return
	}
	x.write([]byte("event: error\n"))
	x.write(dataPrefix)
	x.write(r.JSON())
	x.write(eventEnd)
	x.flush()
}

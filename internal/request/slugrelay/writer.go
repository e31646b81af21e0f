// Package slugrelay writes a completion to its caller: as server-sent events while they
// arrive if the caller streams, else as a single JSON document.
//
// # Usage
//
//	rw := slugrelay.New(w, slugrelay.Config{Stream: true, RequestID: id})
//	rw.Event(data, true)
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

// Config configures a Writer.
type Config struct {
	// Stream sends events as they arrive, instead of one document at the end.
	Stream bool
	// Chat selects the format of chat completions instead of text completions.
	Chat      bool
	RequestID string
	Model     string
	// WriteTimeout bounds each flush to the caller; 0 means no bound.
	WriteTimeout time.Duration
}

// Writer writes one completion. It is safe for concurrent use.
type Writer struct {
	cfg  Config
	w    http.ResponseWriter
	ctrl *http.ResponseController

	mu      sync.Mutex
	started bool
	ended   bool
	err     error
	// content is the text so far, still escaped as in a JSON string.
	content []byte
	// lastEvent is the event from which usage and finish reason are read.
	lastEvent []byte
	tokens    int
}

// New returns a Writer that has written nothing yet.
func New(w http.ResponseWriter, cfg Config) *Writer {
	return &Writer{cfg: cfg, w: w, ctrl: http.NewResponseController(w)}
}

var (
	dataPrefix       = []byte("data: ")
	eventEnd         = []byte("\n\n")
	keepAliveComment = []byte(": keep-alive\n\n")
	doneEvent        = []byte("data: [DONE]\n\n")
	contentField     = []byte(`"content":`)
	textField        = []byte(`"text":`)
)

// Event adds the payload of one event. If flush is set, it flushes to the caller what was
// written so far.
func (x *Writer) Event(data []byte, flush bool) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if text := x.text(data); len(text) > 0 {
		x.content = append(x.content, text...)
		x.tokens++
	}
	if !x.cfg.Stream {
		x.lastEvent = append(x.lastEvent[:0], data...)
		return nil
	}
	x.start()
	x.write(dataPrefix)
	x.write(data)
	x.write(eventEnd)
	if bytes.Contains(data, usageField) {
		x.lastEvent = append(x.lastEvent[:0], data...)
	}
	if flush {
		x.flush()
	}
	return x.err
}

var usageField = []byte(`"usage":`)

// text returns the text of an event, still escaped as in a JSON string. It scans for the
// field instead of decoding the whole event.
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

// Tokens returns the number of events with text so far. Each counts as one token.
func (x *Writer) Tokens() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.tokens
}

// Started reports whether anything was written to the caller.
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

// KeepAlive sends a comment to a caller that streams, so that the caller can tell a slow
// completion from a dead connection.
func (x *Writer) KeepAlive() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.cfg.Stream || x.ended {
		return
	}
	x.start()
	x.write(keepAliveComment)
	x.flush()
}

// start writes the status and headers of a stream; the caller holds x.mu.
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

// write writes bytes and keeps the first error; the caller holds x.mu.
func (x *Writer) write(b []byte) {
	if x.err == nil {
		_, x.err = x.w.Write(b)
	}
}

// flush sends what is buffered within the write timeout; the caller holds x.mu.
func (x *Writer) flush() {
	if x.err != nil {
		return
	}
	if x.cfg.WriteTimeout > 0 {
		_ = x.ctrl.SetWriteDeadline(time.Now().Add(x.cfg.WriteTimeout))
	}
	x.err = x.ctrl.Flush()
}

// Usage is the token usage that the engine reported for a request.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
}

// finalChunk is the part of the last event that is decoded.
type finalChunk struct {
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

// Usage returns the token usage in the last event, and false if it has none.
func (x *Writer) Usage() (Usage, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	var c finalChunk
	if json.Unmarshal(x.lastEvent, &c) != nil || c.Usage == nil {
		return Usage{}, false
	}
	return *c.Usage, true
}

// Finish ends a complete answer: with the [DONE] event if the caller streams, else by
// writing the document.
func (x *Writer) Finish() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ended = true
	if x.cfg.Stream {
		x.start()
		x.write(doneEvent)
		x.flush()
		return x.err
	}
	b, err := x.completionJSON()
	if err != nil {
		return err
	}
	x.started = true
	x.w.Header().Set("Content-Type", "application/json")
	x.w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	x.write(b)
	x.flush()
	return x.err
}

// completion is the JSON document for a caller that does not stream.
type completion struct {
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

func (x *Writer) completionJSON() ([]byte, error) {
	text, err := x.decodeText()
	if err != nil {
		return nil, err
	}
	var c finalChunk
	_ = json.Unmarshal(x.lastEvent, &c)
	a := completion{ID: x.cfg.RequestID, Object: "text_completion", Created: time.Now().Unix(), Model: x.cfg.Model, Choices: []choice{{}}, Usage: c.Usage}
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

// Refuse ends the answer with a refusal: as a JSON document if nothing was written yet,
// else as the last event of the stream.
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

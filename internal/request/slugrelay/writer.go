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

	mu       sync.Mutex
	started  bool
	ended    bool
	writeErr error
	// content is the text so far, still escaped as in a JSON string.
	content []byte
	// lastEvent is the payload of the event from which usage and finish reason are read:
	// the last one that contains the usage if the caller streams, else the last one.
	lastEvent []byte
	tokens    int
}

// New returns a Writer that has written nothing yet.
func New(w http.ResponseWriter, cfg Config) *Writer {
	return &Writer{cfg: cfg, w: w, ctrl: http.NewResponseController(w)}
}

var (
	dataPrefix       = []byte("data: ")
	lineEnd          = []byte("\n")
	eventEnd         = []byte("\n\n")
	keepAliveComment = []byte(": keep-alive\n\n")
	doneEvent        = []byte("data: [DONE]\n\n")
	contentField     = []byte(`"content":`)
	textField        = []byte(`"text":`)
)

// Event adds the payload of one event. If flush is set, it flushes to the caller what was
// written so far.
func (rw *Writer) Event(payload []byte, flush bool) error {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	if text := rw.escapedText(payload); len(text) > 0 {
		rw.content = append(rw.content, text...)
		rw.tokens++
	}
	if !rw.cfg.Stream {
		rw.lastEvent = append(rw.lastEvent[:0], payload...)
		return nil
	}
	rw.start()
	for line := range bytes.SplitSeq(payload, lineEnd) {
		rw.write(dataPrefix)
		rw.write(line)
		rw.write(lineEnd)
	}
	rw.write(lineEnd)
	if bytes.Contains(payload, usageField) {
		rw.lastEvent = append(rw.lastEvent[:0], payload...)
	}
	if flush {
		rw.flush()
	}
	return rw.writeErr
}

var usageField = []byte(`"usage":`)

// escapedText returns the text of an event, still escaped as in a JSON string. It scans
// for the field instead of decoding the whole event.
func (rw *Writer) escapedText(data []byte) []byte {
	field := textField
	if rw.cfg.Chat {
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
func (rw *Writer) Tokens() int {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	return rw.tokens
}

// Started reports whether anything was written to the caller.
func (rw *Writer) Started() bool {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	return rw.started
}

// Text returns the text so far.
func (rw *Writer) Text() (string, error) {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	return rw.decodeText()
}

func (rw *Writer) decodeText() (string, error) {
	var s string
	quoted := append(append([]byte{'"'}, rw.content...), '"')
	err := json.Unmarshal(quoted, &s)
	return s, slugfault.Wrap(err, "decode completion text", "")
}

// KeepAlive sends a comment to a caller that streams, so that the caller can tell a slow
// completion from a dead connection.
func (rw *Writer) KeepAlive() {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	if !rw.cfg.Stream || rw.ended {
		return
	}
	rw.start()
	rw.write(keepAliveComment)
	rw.flush()
}

// start writes the status and headers of a stream; the caller holds rw.mu.
func (rw *Writer) start() {
	if rw.started {
		return
	}
	rw.started = true
	h := rw.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	rw.w.WriteHeader(http.StatusOK)
}

// write writes bytes and keeps the first error; the caller holds rw.mu.
func (rw *Writer) write(b []byte) {
	if rw.writeErr == nil {
		_, rw.writeErr = rw.w.Write(b)
	}
}

// flush sends what is buffered within the write timeout; the caller holds rw.mu.
func (rw *Writer) flush() {
	if rw.writeErr != nil {
		return
	}
	if rw.cfg.WriteTimeout > 0 {
		_ = rw.ctrl.SetWriteDeadline(time.Now().Add(rw.cfg.WriteTimeout))
	}
	rw.writeErr = rw.ctrl.Flush()
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
func (rw *Writer) Usage() (Usage, bool) {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	var c finalChunk
	if json.Unmarshal(rw.lastEvent, &c) != nil || c.Usage == nil {
		return Usage{}, false
	}
	return *c.Usage, true
}

// Finish ends a complete response: with the [DONE] event if the caller streams, else by
// writing the document.
func (rw *Writer) Finish() error {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	rw.ended = true
	if rw.cfg.Stream {
		rw.start()
		rw.write(doneEvent)
		rw.flush()
		return rw.writeErr
	}
	b, err := rw.completionJSON()
	if err != nil {
		return err
	}
	rw.started = true
	rw.w.Header().Set("Content-Type", "application/json")
	rw.w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	rw.write(b)
	rw.flush()
	return rw.writeErr
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

func (rw *Writer) completionJSON() ([]byte, error) {
	text, err := rw.decodeText()
	if err != nil {
		return nil, err
	}
	var c finalChunk
	_ = json.Unmarshal(rw.lastEvent, &c)
	a := completion{ID: rw.cfg.RequestID, Object: "text_completion", Created: time.Now().Unix(), Model: rw.cfg.Model, Choices: []choice{{}}, Usage: c.Usage}
	if a.Usage != nil {
		a.Usage.TotalTokens = a.Usage.PromptTokens + a.Usage.CompletionTokens
	}
	if len(c.Choices) > 0 {
		a.Choices[0].FinishReason = c.Choices[0].FinishReason
	}
	if rw.cfg.Chat {
		a.Object = "chat.completion"
		a.Choices[0].Message = &message{"assistant", text}
	} else {
		a.Choices[0].Text = &text
	}
	return json.Marshal(a)
}

// Refuse ends the response with a refusal: as a JSON document if nothing was written yet,
// else as the last event of the stream.
func (rw *Writer) Refuse(r *slugrefusal.Refusal) {
	rw.mu.Lock()
	defer rw.mu.Unlock()
	rw.ended = true
	if !rw.started {
		rw.started = true
		r.Write(rw.w)
		return
	}
	rw.write([]byte("event: error\n"))
	rw.write(dataPrefix)
	rw.write(r.JSON())
	rw.write(eventEnd)
	rw.flush()
}

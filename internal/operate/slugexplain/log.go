// Package slugexplain analyses the logs of all processes. It explains what happened to one
// request, and counts refusals and failures by cause.
//
// # Usage
//
//	log, err := slugexplain.Read(sources...)
//	explanation := log.Explain("5255735d1b6a62f3")
//	summary := log.Summary()
package slugexplain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
)

// maxLineBytes limits the length of a log line. Read fails on a longer line.
const maxLineBytes = 1 << 20

// Line is one parsed log line.
type Line struct {
	Time    time.Time       `json:"time"`
	Process string          `json:"process"`
	Event   slugevent.Event `json:"event"`
	Message string          `json:"message"`
	// Request is the request ID, empty if the line concerns no request.
	Request string `json:"request,omitempty"`
	// Fields holds all other fields of the line except the level.
	Fields map[string]any `json:"fields"`
}

// Log holds the lines of all processes, sorted by time.
type Log struct {
	Lines []Line
	// Skipped is the number of lines that are not events of the system.
	Skipped int
}

// Source is a named log to read.
type Source struct {
	Name string
	io.Reader
}

// Read reads and merges logs. It ignores the text before the first brace of a line, such as
// a timestamp of a log collector. Lines in another format are skipped and counted.
func Read(sources ...Source) (*Log, error) {
	var l Log
	for _, s := range sources {
		scanner := bufio.NewScanner(s)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			if x, ok := parseLine(scanner.Bytes()); ok {
				l.Lines = append(l.Lines, x)
			} else {
				l.Skipped++
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, slugfault.Wrap(err, "read log", s.Name)
		}
	}
	slices.SortStableFunc(l.Lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	return &l, nil
}

func parseLine(b []byte) (Line, bool) {
	i := bytes.IndexByte(b, '{')
	if i < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(b[i:], &fields) != nil {
		return Line{}, false
	}
	var x Line
	event, _ := fields["event"].(float64)
	at, _ := fields["time"].(string)
	var err error
	if x.Time, err = time.Parse(time.RFC3339Nano, at); err != nil || event == 0 {
		return Line{}, false
	}
	x.Event = slugevent.Event(event)
	x.Process, _ = fields["process"].(string)
	x.Message, _ = fields["msg"].(string)
	x.Request, _ = fields["request"].(string)
	for _, name := range []string{"time", "event", "process", "msg", "request", "level"} {
		delete(fields, name)
	}
	x.Fields = fields
	return x, true
}

// stringField returns a text field, or an empty string if there is none.
func (l Line) stringField(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// numberField returns a number field, or 0 if there is none.
func (l Line) numberField(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

// listField returns the strings of a list field.
func (l Line) listField(name string) []string {
	list, _ := l.Fields[name].([]any)
	var out []string
	for _, x := range list {
		if s, ok := x.(string); ok {
			out = append(out, s)
		}
	}
	return out
}

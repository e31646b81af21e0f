// Package slugexplain tells from the logs of all processes what happened to a request,
// and what failed how often.
//
// # Usage
//
//	log, err := slugexplain.Read(files...)
//	story := log.Story("5255735d1b6a62f3")
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

// maxLineBytes bounds one log line; longer ones end the reading with an error.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	Time    time.Time       `json:"time"`
	Process string          `json:"process"`
	Event   slugevent.Event `json:"event"`
	Message string          `json:"message"`
	// Request is empty in lines that are about no request.
	Request string `json:"request,omitempty"`
	// Fields are all others.
	Fields map[string]any `json:"fields"`
}

// Log is the lines of all processes in the order of their times.
type Log struct {
	Lines []Line
	// Skipped is the number of lines that are not of the system's form.
	Skipped int
}

// Source is a log to read.
type Source struct {
	Name string
	io.Reader
}

// Read reads logs. What stands before the first brace of a line, such as a collector's
// own time, is left out. Lines of another form are skipped and counted.
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

// stringField returns a field as stringField, empty when there is none.
func (l Line) stringField(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// numberField returns a field as a numberField, 0 when there is none.
func (l Line) numberField(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

// listField returns a field that lists listField.
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

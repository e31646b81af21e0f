// Package slugmergedlog selects the lines of several logs around a time, in order of time.
//
// # Usage
//
//	lines, err := slugmergedlog.Around(files, at, 3*time.Second)
package slugmergedlog

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Line is a line of a log.
type Line struct {
	// File is the name of the log without its directory and extension.
	File string
	At   time.Time
	Text string
}

// maxLineBytes is the length of the longest line that is read, which exceeds that of all
// events.
const maxLineBytes = 4 << 20

// Around returns the lines of files whose time differs from at by no more than span. A line
// without a time, such as one of a stack, has that of the line before it.
func Around(files []string, at time.Time, span time.Duration) ([]Line, error) {
	var out []Line
	for _, file := range files {
		lines, err := read(file)
		if err != nil {
			return nil, err
		}
		for _, l := range lines {
			if l.At.Sub(at).Abs() <= span {
				out = append(out, l)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.At.Compare(b.At) })
	return out, nil
}

func read(file string) (out []Line, err error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	defer func() { _ = f.Close() }()
	name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	s := bufio.NewScanner(f)
	s.Buffer(nil, maxLineBytes)
	var last time.Time
	for s.Scan() {
		var fields struct {
			Time time.Time `json:"time"`
		}
		if json.Unmarshal(s.Bytes(), &fields) == nil && !fields.Time.IsZero() {
			last = fields.Time
		}
		out = append(out, Line{name, last, s.Text()})
	}
	return out, errors.Wrapf(s.Err(), "read log %s", file)
}

// String returns the line with the name of its log.
func (l Line) String() string { return l.File + " " + l.Text }

package main

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/operate/slugexplain"
)

func addExplain(t *tool) {
	c := t.app.Command("explain", "Explain from the logs of all processes what happened to a request, or count failures.")
	summary := c.Flag("summary", "Count refusals and failures by minute and cause; all arguments are log files.").Bool()
	svg := c.Flag("svg", "Write a bar chart of the summary as SVG to this file.").PlaceHolder("FILE").String()
	args := c.Arg("request and logs", "ID of the request, then log files; - reads standard input.").Required().Strings()
	t.register(c, func(context.Context) error {
		if *summary {
			return t.summarize(*args, *svg)
		}
		return t.explain((*args)[0], (*args)[1:])
	})
}

// explain prints what happened to a request.
func (t *tool) explain(request string, logs []string) error {
	if len(logs) == 0 {
		return &exitError{exitUsage, errors.New("explain: no log files given")}
	}
	l, err := readLogs(logs)
	if err != nil {
		return err
	}
	s := l.Explain(request)
	return t.print(s, s.Write)
}

// summarize prints the counts of refusals and failures, and plots them if svg names a file.
func (t *tool) summarize(logs []string, svg string) error {
	l, err := readLogs(logs)
	if err != nil {
		return err
	}
	s := l.Summary()
	if svg != "" {
		if err := os.WriteFile(svg, s.SVG(), 0o644); err != nil {
			return err
		}
	}
	return t.print(s, s.Write)
}

// readLogs reads and merges log files; the name - means standard input.
func readLogs(names []string) (*slugexplain.Log, error) {
	var sources []slugexplain.Source
	for _, name := range names {
		var r io.Reader = os.Stdin
		if name != "-" {
			f, err := os.Open(name)
			if err != nil {
				return nil, &exitError{exitRefused, err}
			}
			defer func() { _ = f.Close() }()
			r = f
		}
		sources = append(sources, slugexplain.Source{Name: name, Reader: r})
	}
	return slugexplain.Read(sources...)
}

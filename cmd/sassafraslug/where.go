package main

import (
	"context"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbody"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugwhere"
)

// maxKeyFile limits the size of a file with a key.
const maxKeyFile slugbody.Limit = 4 << 10

func addWhere(t *tool) {
	c := t.app.Command("where", "Ask a host where a request would go now, and why. Nothing is sent to an endpoint or counted. The exit status is 3 if the request would be refused.")
	address := c.Arg("address", "Metrics address of the host (setting metrics.listen).").Required().String()
	var q slugwhere.Question
	c.Flag("host", "Host name of the request.").StringVar(&q.Host)
	c.Flag("path", "Path of the request.").StringVar(&q.Path)
	c.Flag("route", "Name of the route, instead of host name and path.").StringVar(&q.Route)
	c.Flag("key", "API key; a key on the command line is visible to other users.").Envar("SASSAFRASLUG_API_KEY").StringVar(&q.Key)
	keyFile := c.Flag("key-file", "File with the API key; - reads standard input.").PlaceHolder("FILE").String()
	parts := c.Flag("part", "Part of the prompt with its length, in order; may be repeated.").PlaceHolder("ID:TOKENS").Strings()
	c.Flag("tokens", "Length of the prompt in tokens; without it, that of all parts.").IntVar(&q.Tokens)
	c.Flag("output", "Maximum length of the response in tokens.").IntVar(&q.Output)
	timeout := c.Flag("timeout", "Time limit of the caller; without it, that of the route.").Duration()
	t.register(c, func(ctx context.Context) error {
		q.TimeoutMs = timeout.Milliseconds()
		var err error
		if q.Parts, err = parseParts(*parts); err != nil {
			return &exitError{exitUsage, err}
		}
		if q.Tokens == 0 {
			for _, p := range q.Parts {
				q.Tokens += p.Tokens
			}
		}
		if *keyFile != "" {
			if q.Key, err = readKey(*keyFile); err != nil {
				return &exitError{exitUsage, err}
			}
		}
		return t.where(ctx, *address, q)
	})
}

// where asks a host and prints its answer.
func (t *tool) where(ctx context.Context, address string, q slugwhere.Question) error {
	if (q.Route == "") == (q.Host == "" || q.Path == "") {
		return &exitError{exitUsage, errors.New("where: either --route, or --host and --path are required")}
	}
	a, err := slugwhere.New(slugwhere.Config{Address: address}).Ask(ctx, q)
	if errors.Is(err, slugwhere.ErrUnreachable) {
		return &exitError{exitUnreachable, err}
	}
	if err != nil {
		return err
	}
	if err := t.print(a, a.Write); err != nil {
		return err
	}
	if a.Refusal != nil {
		return &exitError{exitRefused, errors.Newf("the request would be refused: %s", a.Refusal.Code)}
	}
	return nil
}

// parseParts parses the parts of a prompt. The ID may hold colons.
func parseParts(list []string) ([]slugwhere.Part, error) {
	var out []slugwhere.Part
	for _, text := range list {
		i := strings.LastIndexByte(text, ':')
		if i <= 0 {
			return nil, errors.Newf("where: part %q: ID:TOKENS expected", text)
		}
		n, err := strconv.Atoi(text[i+1:])
		if err != nil || n < 0 {
			return nil, errors.Newf("where: part %q: ID:TOKENS expected", text)
		}
		out = append(out, slugwhere.Part{ID: text[:i], Tokens: n})
	}
	return out, nil
}

// readKey reads a key from a file, or from standard input if the name is -.
func readKey(name string) (string, error) {
	var r io.Reader = os.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return "", err
		}
		defer func() { _ = f.Close() }()
		r = f
	}
	b, err := maxKeyFile.ReadAll(r)
	return strings.TrimSpace(string(b)), errors.Wrapf(err, "read the key from %s", name)
}

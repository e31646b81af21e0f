package slugstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
)

// Value is an object as a backend reads it.
type Value struct {
	Name    string
	Version Version
	// Bytes is the stored value, nil when the object does not exist.
	Bytes []byte
}

// Listing is the answer to a list or a watch call.
type Listing struct {
	// Values are the objects, or since a version the changed and removed ones.
	Values []Value
	// Revision is the version to go on from.
	Revision Version
}

// Backend speaks the protocol of one kind of store. All functions are safe for
// concurrent use. They fail with ErrConflict or ErrHistory where that is the store's
// answer, and with ErrUnavailable where there is no usable one.
type Backend struct {
	// Get reads an object; one that does not exist has no bytes.
	Get func(ctx context.Context, name string) (Value, error)
	// Write replaces, creates (expected 0) or removes (value nil) an object whose
	// version is still the expected one.
	Write func(ctx context.Context, name string, expected Version, value []byte) (Version, error)
	// List reads all objects whose names begin with a prefix.
	List func(ctx context.Context, prefix string) (Listing, error)
	// Watch waits for changes after a version. A listing without values says that
	// there was none in that time.
	Watch func(ctx context.Context, prefix string, after Version, wait time.Duration) (Listing, error)
}

// maxAnswerBytes bounds an answer that is read.
const maxAnswerBytes = 64 << 20

// httpBackend speaks the product's own protocol, which docs/PROTOCOLS.md lists.
type httpBackend struct {
	baseURL string
	send    func(*http.Request) (*http.Response, error)
}

func newHTTPBackend(baseURL string, do func(*http.Request) (*http.Response, error)) *Backend {
	b := &httpBackend{baseURL, do}
	return &Backend{
		Get: b.get, Write: b.write,
		List: func(ctx context.Context, prefix string) (Listing, error) {
			return b.list(ctx, prefix, url.Values{"prefix": {prefix}})
		},
		Watch: func(ctx context.Context, prefix string, after Version, wait time.Duration) (Listing, error) {
			q := url.Values{"prefix": {prefix}, "after": {fmt.Sprint(uint64(after))}, "waitMs": {fmt.Sprint(wait.Milliseconds())}}
			l, err := b.list(ctx, prefix, q)
			if err == nil && l.Revision == 0 {
				l.Revision = after
			}
			return l, err
		},
	}
}

func (b *httpBackend) get(ctx context.Context, name string) (Value, error) {
	status, header, body, err := b.do(ctx, http.MethodGet, "/store/objects/"+name, 0, nil)
	switch {
	case err != nil:
		return Value{}, err
	case status == http.StatusNotFound:
		return Value{Name: name, Version: parseVersion(header)}, nil
	case status != http.StatusOK:
		return Value{}, errors.Wrapf(ErrUnavailable, "status %d", status)
	}
	return Value{name, parseVersion(header), body}, nil
}

func (b *httpBackend) write(ctx context.Context, name string, expected Version, value []byte) (Version, error) {
	method := http.MethodPut
	if value == nil {
		method = http.MethodDelete
	}
	status, header, body, err := b.do(ctx, method, "/store/objects/"+name, expected, value)
	if err != nil {
		return 0, err
	}
	switch status {
	case http.StatusOK:
		return parseVersion(header), nil
	case http.StatusConflict:
		return 0, errors.Wrapf(ErrConflict, "version %d", parseVersion(header))
	case http.StatusRequestEntityTooLarge, http.StatusBadRequest:
		return 0, errors.Wrapf(ErrConflict, "refused: %s", bytes.TrimSpace(body))
	}
	return 0, errors.Wrapf(ErrUnavailable, "status %d", status)
}

// listAnswer is the answer to a list call.
type listAnswer struct {
	Revision Version `json:"revision"`
	Objects  []struct {
		Name    string  `json:"name"`
		Version Version `json:"version"`
		Value   []byte  `json:"value"`
		Deleted bool    `json:"deleted"`
	} `json:"objects"`
}

// list returns a listing of revision 0 when the store says that nothing changed.
func (b *httpBackend) list(ctx context.Context, prefix string, q url.Values) (Listing, error) {
	status, _, body, err := b.do(ctx, http.MethodGet, "/store/list?"+q.Encode(), 0, nil)
	if err != nil {
		return Listing{}, err
	}
	if status == http.StatusNotModified {
		return Listing{}, nil
	}
	if status != http.StatusOK {
		return Listing{}, errors.Wrapf(ErrUnavailable, "status %d", status)
	}
	var answer listAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return Listing{}, slugfault.Wrap(err, "decode list "+prefix, b.baseURL)
	}
	l := Listing{Revision: answer.Revision}
	for _, x := range answer.Objects {
		if x.Deleted {
			x.Value = nil
		}
		l.Values = append(l.Values, Value{x.Name, x.Version, x.Value})
	}
	return l, nil
}

func (b *httpBackend) do(ctx context.Context, method, path string, expected Version, value []byte) (int, http.Header, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, b.baseURL+path, bytes.NewReader(value))
	if err != nil {
		return 0, nil, nil, slugfault.Wrap(err, "make request", b.baseURL)
	}
	if method != http.MethodGet {
		r.Header.Set("If-Version", strconv.FormatUint(uint64(expected), 10))
	}
	resp, err := b.send(r)
	if err != nil {
		return 0, nil, nil, errors.Mark(err, ErrUnavailable)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, nil, errors.Mark(err, ErrUnavailable)
	}
	return resp.StatusCode, resp.Header, body, nil
}

func parseVersion(h http.Header) Version {
	v, _ := strconv.ParseUint(h.Get("Object-Version"), 10, 64)
	return Version(v)
}

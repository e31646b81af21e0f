package slugstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbody"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
)

// Value is an object as read from a backend.
type Value struct {
	Name    string
	Version Version
	// Bytes is the stored value, or nil if the object does not exist.
	Bytes []byte
}

// Listing is the result of a list or watch call.
type Listing struct {
	// Values are all objects for a list call, and the changed and removed objects for a
	// watch call.
	Values []Value
	// Revision is the version after which the next watch call continues.
	Revision Version
}

// Backend implements the protocol of one kind of store. All functions must be safe for
// concurrent use. They return ErrConflict or ErrCompacted if the store's response says so,
// and ErrUnavailable if there is no usable response.
type Backend struct {
	// Get reads an object. Value.Bytes is nil if it does not exist; Value.Version then holds
	// the era, and the revision if the store reports one.
	Get func(ctx context.Context, name string) (Value, error)
	// Write creates (expected is 0), replaces or deletes (value is nil) an object if its
	// current version equals expected. It returns the new version, or the era with revision 0
	// if the store reports no revision.
	Write func(ctx context.Context, name string, expected Version, value []byte) (Version, error)
	// List reads all objects whose names start with prefix.
	List func(ctx context.Context, prefix string) (Listing, error)
	// Watch waits for changes after a version. A listing without values means that there
	// was no change within wait.
	Watch func(ctx context.Context, prefix string, after Version, wait time.Duration) (Listing, error)
	// Era returns the newest era that any response has shown, and false before the first
	// one; nil means that the store is never restored from a copy.
	Era func() (Era, bool)
}

// maxResponse limits how much of a response is read.
const maxResponse slugbody.Limit = 64 << 20

// httpBackend implements this project's own store protocol, see docs/PROTOCOLS.md.
type httpBackend struct {
	baseURL string
	send    func(*http.Request) (*http.Response, error)
}

func newHTTPBackend(baseURL string, send func(*http.Request) (*http.Response, error)) *Backend {
	b := &httpBackend{baseURL, send}
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

// listResponse is the response to a list or watch call.
type listResponse struct {
	Revision Version `json:"revision"`
	Objects  []struct {
		Name    string  `json:"name"`
		Version Version `json:"version"`
		Value   []byte  `json:"value"`
		Deleted bool    `json:"deleted"`
	} `json:"objects"`
}

// list performs a list or watch call. It returns a Listing with revision 0 if the store
// reports that nothing has changed.
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
	var response listResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return Listing{}, slugfault.Wrap(err, "decode list "+prefix, b.baseURL)
	}
	l := Listing{Revision: response.Revision}
	for _, x := range response.Objects {
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
		return 0, nil, nil, slugfault.Wrap(err, "create request", b.baseURL)
	}
	if method != http.MethodGet {
		r.Header.Set("If-Version", strconv.FormatUint(uint64(expected), 10))
	}
	resp, err := b.send(r)
	if err != nil {
		return 0, nil, nil, errors.Mark(err, ErrUnavailable)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := maxResponse.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, nil, errors.Mark(err, ErrUnavailable)
	}
	return resp.StatusCode, resp.Header, body, nil
}

func parseVersion(h http.Header) Version {
	v, _ := strconv.ParseUint(h.Get("Object-Version"), 10, 64)
	return Version(v)
}

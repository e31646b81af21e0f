package slugadmit

import (
	"bytes"
	"net/http"
	"net/url"
	"slices"
	"strings"
)

// Key is a key as the caller presented it.
type Key string

// keyParameters are the query parameters in which a key may stand.
var keyParameters = []string{"api_key", "key"}

// FindKey returns the key that a caller presented: a bearer token, the X-Api-Key
// header or a query parameter.
func FindKey(r *http.Request) (Key, bool) {
	if scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " "); ok && strings.EqualFold(scheme, "bearer") {
		return Key(strings.TrimSpace(token)), true
	}
	if k := r.Header.Get("X-Api-Key"); k != "" {
		return Key(k), true
	}
	q := r.URL.Query()
	for _, p := range keyParameters {
		if k := q.Get(p); k != "" {
			return Key(k), true
		}
	}
	return "", false
}

// credentialHeaders carry credentials for this system and are never forwarded.
var credentialHeaders = []string{"Authorization", "X-Api-Key", "Proxy-Authorization"}

// hopHeaders belong to one connection.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Accept-Encoding", "Expect"}

// ForwardHeader returns the headers that an endpoint gets: without credentials,
// without headers of the connection, and without any in which the key stands.
func ForwardHeader(h http.Header, k Key) http.Header {
	out := h.Clone()
	for _, named := range h["Connection"] {
		for n := range strings.SplitSeq(named, ",") {
			out.Del(strings.TrimSpace(n))
		}
	}
	for _, n := range slices.Concat(credentialHeaders, hopHeaders) {
		out.Del(n)
	}
	for n, values := range out {
		if strings.HasPrefix(n, "Sassafraslug-") || n == "X-Request-Id" || containsKey(k, values...) || containsKey(k, n) {
			out.Del(n)
		}
	}
	return out
}

// ForwardQuery returns the query that an endpoint gets, without the parameters in
// which the key stands.
func ForwardQuery(raw string, k Key) string {
	if k == "" || raw == "" {
		return raw
	}
	var kept []string
	for p := range strings.SplitSeq(raw, "&") {
		decoded, err := url.QueryUnescape(p)
		if err != nil || containsKey(k, decoded) || containsKey(k, p) {
			continue
		}
		kept = append(kept, p)
	}
	return strings.Join(kept, "&")
}

// Leaks reports whether the key stands in the path or the body, from where it
// cannot be taken out without changing the request.
func (k Key) Leaks(path string, body []byte) bool {
	return k != "" && (containsKey(k, path) || bytes.Contains(body, []byte(k)))
}

func containsKey(k Key, values ...string) bool {
	if k == "" {
		return false
	}
	return slices.ContainsFunc(values, func(v string) bool {
		return strings.Contains(strings.ToLower(v), strings.ToLower(string(k)))
	})
}

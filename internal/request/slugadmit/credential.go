package slugadmit

import (
	"bytes"
	"net/http"
	"net/url"
	"slices"
	"strings"
)

// Key is an API key as the caller presented it.
type Key string

// keyParameters lists the query parameters that may carry the API key.
var keyParameters = []string{"api_key", "key"}

// FindKey returns the API key of a request, which is a bearer token, the X-Api-Key
// header or a query parameter, in this order.
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

// credentialHeaders carry credentials for this system and are never forwarded to
// endpoints.
var credentialHeaders = []string{"Authorization", "X-Api-Key", "Proxy-Authorization"}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Accept-Encoding", "Expect"}

// ForwardHeader returns the headers to forward. It drops credentials, hop-by-hop
// headers, headers of this system, and every header that contains the API key.
func ForwardHeader(header http.Header, key Key) http.Header {
	out := header.Clone()
	for _, named := range header["Connection"] {
		for n := range strings.SplitSeq(named, ",") {
			out.Del(strings.TrimSpace(n))
		}
	}
	for _, n := range slices.Concat(credentialHeaders, hopByHopHeaders) {
		out.Del(n)
	}
	for n, values := range out {
		if strings.HasPrefix(n, "Sassafraslug-") || n == "X-Request-Id" || containsKey(key, values...) || containsKey(key, n) {
			out.Del(n)
		}
	}
	return out
}

// ForwardQuery returns the query to forward, without the parameters that contain the
// API key.
func ForwardQuery(raw string, key Key) string {
	if key == "" || raw == "" {
		return raw
	}
	var kept []string
	for p := range strings.SplitSeq(raw, "&") {
		decoded, err := url.QueryUnescape(p)
		if err != nil || containsKey(key, decoded) || containsKey(key, p) {
			continue
		}
		kept = append(kept, p)
	}
	return strings.Join(kept, "&")
}

// Leaks reports whether the path or the body contains the key. It cannot be removed
// from there without changing the request.
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

// Package slugoperatorauth authenticates operators by the host's bearer token.
//
// # Usage
//
//	handler, err := slugoperatorauth.New(settings.OperatorsTokenFile, mux)
package slugoperatorauth

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"os"
	"strings"

	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
)

// Guard is an HTTP handler that checks the bearer token of each request. The /health and
// /ready paths need no token.
type Guard struct {
	hash     [sha256.Size]byte
	allowAll bool
	next     http.Handler
}

// New returns a Guard with the token in a file. With an empty file name it allows all
// requests; the settings permit that on loopback addresses only.
func New(file string, next http.Handler) (*Guard, error) {
	if file == "" {
		return &Guard{allowAll: true, next: next}, nil
	}
	token, err := ReadToken(file)
	if err != nil {
		return nil, err
	}
	return &Guard{hash: sha256.Sum256([]byte(token)), next: next}, nil
}

// ReadToken returns the token in a file, or "" for an empty file name.
func ReadToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return "", slugfault.Wrap(err, "read operator token", file)
	}
	token := strings.TrimSpace(string(b))
	if token == "" {
		return "", slugfault.New("read operator token", file, "token file is empty")
	}
	return token, nil
}

// ServeHTTP passes authorized requests to the next handler and refuses all others.
func (g *Guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.allowAll || r.URL.Path == "/health" || r.URL.Path == "/ready" || g.hasToken(r) {
		g.next.ServeHTTP(w, r)
		return
	}
	slugrefusal.NotRun(slugrefusal.CodeKeyUnknown, "operator token required: Authorization: Bearer TOKEN").Write(w)
}

// hasToken reports whether a request has the expected token. It compares hashes in
// constant time.
func (g *Guard) hasToken(r *http.Request) bool {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	return ok && subtle.ConstantTimeCompare(sum[:], g.hash[:]) == 1
}

// Package slugguard lets operators in who present the token of the host.
//
// # Usage
//
//	handler, err := slugguard.New(settings.OperatorsTokenFile, mux)
package slugguard

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"os"
	"strings"

	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
)

// Guard checks the token before each request. Health and readiness are open.
type Guard struct {
	hash     [sha256.Size]byte
	allowAll bool
	next     http.Handler
}

// New returns a Guard. An empty file name lets everybody in; the settings allow
// that on loopback addresses only.
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

// ReadToken returns the token in a file, and "" for an empty file name.
func ReadToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return "", slugfault.Wrap(err, "read operators' token", file)
	}
	token := strings.TrimSpace(string(b))
	if token == "" {
		return "", slugfault.New("read operators' token", file, "the file is empty")
	}
	return token, nil
}

// ServeHTTP passes requests on that present the token.
func (g *Guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.allowAll || r.URL.Path == "/health" || r.URL.Path == "/ready" || g.hasToken(r) {
		g.next.ServeHTTP(w, r)
		return
	}
	slugrefusal.NotRun(slugrefusal.CodeKeyUnknown, "an operator's token is needed: Authorization: Bearer TOKEN").Write(w)
}

func (g *Guard) hasToken(r *http.Request) bool {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	return ok && subtle.ConstantTimeCompare(sum[:], g.hash[:]) == 1
}

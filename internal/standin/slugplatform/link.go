package slugplatform

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Link is one process's way to the platform without sockets.
type Link struct {
	name    string
	handler http.Handler

	mu    sync.Mutex
	cut   bool
	delay time.Duration
	lose  int
}

// Errors of a link.
var (
	// ErrCut says that no request got through.
	ErrCut = errors.New("link is cut")
	// ErrAnswerLost says that the request took effect and its answer was lost.
	ErrAnswerLost = errors.New("answer was lost")
)

// Link returns a new way to the platform.
func (p *Platform) Link(name string) *Link {
	return &Link{name: name, handler: p.Handler()}
}

// Cut stops or restores all calls.
func (l *Link) Cut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

// Delay holds every call for d before it takes effect.
func (l *Link) Delay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// LoseAnswers drops the answers of the next n writes.
func (l *Link) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lose = n
}

// Do performs a request against the platform.
func (l *Link) Do(r *http.Request) (*http.Response, error) {
	cut, delay := l.state()
	if cut {
		return nil, errors.Wrapf(ErrCut, "link %s", l.name)
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	w := httptest.NewRecorder()
	l.handler.ServeHTTP(w, r)
	if r.Context().Err() != nil {
		return nil, r.Context().Err()
	}
	if cut, _ := l.state(); cut || l.takeLoss(r) {
		return nil, errors.Wrapf(ErrAnswerLost, "link %s", l.name)
	}
	return w.Result(), nil
}

func (l *Link) state() (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut, l.delay
}

func (l *Link) takeLoss(r *http.Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Method == http.MethodGet || l.lose == 0 {
		return false
	}
	l.lose--
	return true
}

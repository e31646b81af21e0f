package slugplatform

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Link is an in-process connection from one process to the platform, with fault
// injection. It calls the platform's handler directly instead of over a socket.
type Link struct {
	name    string
	handler http.Handler

	mu            sync.Mutex
	cut           bool
	delay         time.Duration
	answersToLose int
}

// Errors returned by Link.Do.
var (
	// ErrCut is returned for a request that didn't reach the platform.
	ErrCut = errors.New("link is disconnected")
	// ErrAnswerLost is returned for a request that took effect but whose response was
	// lost.
	ErrAnswerLost = errors.New("response was lost")
)

// Link returns a new link to the platform; the name appears in its errors.
func (p *Platform) Link(name string) *Link {
	return &Link{name: name, handler: p.Handler()}
}

// Cut disconnects the link, or restores it. A call in progress takes effect but its
// response is lost.
func (l *Link) Cut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

// Delay delays every call by d before it reaches the platform.
func (l *Link) Delay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// LoseResponses drops the responses to the next n requests other than GET, after they
// took effect.
func (l *Link) LoseResponses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answersToLose = n
}

// Do sends a request to the platform. Its signature is that of http.Client.Do.
func (l *Link) Do(r *http.Request) (*http.Response, error) {
	cut, delay := l.faults()
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
	if cut, _ := l.faults(); cut || l.loseResponse(r) {
		return nil, errors.Wrapf(ErrAnswerLost, "link %s", l.name)
	}
	return w.Result(), nil
}

func (l *Link) faults() (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut, l.delay
}

func (l *Link) loseResponse(r *http.Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Method == http.MethodGet || l.answersToLose == 0 {
		return false
	}
	l.answersToLose--
	return true
}

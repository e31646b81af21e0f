// Package slugplain is a small stand-in of a plain service, such as a records or
// reservation application. Some of its calls must not be repeated, and it counts
// how often it executed each.
//
// # Usage
//
//	s := slugplain.New("records-1")
//	http.Serve(listener, s.Handler())
package slugplain

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Execution is one call that took effect.
type Execution struct {
	RequestID string `json:"requestId"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body"`
}

// Service is the stand-in.
type Service struct {
	name string

	mu         sync.Mutex
	executions []Execution
	seenKeys   []string
	// dropAfter closes the connection after executing the next n calls.
	dropAfter int
	delay     time.Duration
	refuse    bool
}

// New returns a service.
func New(name string) *Service { return &Service{name: name} }

// DropAnswers makes the next n calls execute and then lose their connection.
func (s *Service) DropAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropAfter = n
}

// SetDelay makes every call take d.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Refuse makes the service answer "not run".
func (s *Service) Refuse(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = on
}

// Executions returns the calls that took effect.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}

// SeenKeys returns the headers in which the service was shown a key.
func (s *Service) SeenKeys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.seenKeys...)
}

// Load is a load report.
type Load struct {
	AgeMs   int64 `json:"ageMs"`
	Running int   `json:"running"`
}

// Handler serves the calls.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /plain/load", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(Load{})
	})
	mux.HandleFunc("/", s.call)
	return mux
}

// Answer is what a call returns.
type Answer struct {
	Service   string `json:"service"`
	Execution        // what was executed
	Number    int    `json:"number"`
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	x := Execution{RequestID: r.Header.Get("X-Request-Id"), Method: r.Method, Path: r.URL.RequestURI(), Body: string(body)}
	number, delay, drop, refused := s.execute(r, x)
	if refused {
		w.Header().Set("Engine-Not-Run", "1")
		http.Error(w, "not run", http.StatusServiceUnavailable)
		return
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	if drop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{Service: s.name, Execution: x, Number: number})
}

func (s *Service) execute(r *http.Request, x Execution) (number int, delay time.Duration, drop, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, values := range r.Header {
		if strings.Contains(strings.Join(values, " "), "slug-key-") {
			s.seenKeys = append(s.seenKeys, name)
		}
	}
	if s.refuse {
		return 0, 0, false, true
	}
	s.executions = append(s.executions, x)
	if s.dropAfter > 0 {
		s.dropAfter--
		drop = true
	}
	return len(s.executions), s.delay, drop, false
}

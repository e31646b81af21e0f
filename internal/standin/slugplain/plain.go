// Package slugplain implements a fake of a plain HTTP service, such as a records or
// reservation application, whose calls may have side effects. It records every call
// that it executes, so that tests can detect calls that were executed twice.
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

// Execution is a call that the service executed.
type Execution struct {
	RequestID string `json:"requestId"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body"`
}

// Service is the fake service.
type Service struct {
	name string

	mu         sync.Mutex
	executions []Execution
	seenKeys   []string
	// dropNext is the number of further calls to execute and then abort without a
	// response.
	dropNext int
	delay    time.Duration
	refusing bool
	leaving  bool
	// retryAfter is the time to wait that rejections state; empty means none.
	retryAfter string
	// calls are the times of the calls received, rejected ones too.
	calls []time.Time
	// refusedID is the ID of another request whose refusal is sent in place of responses.
	refusedID string
}

// New returns a service with the given name.
func New(name string) *Service { return &Service{name: name} }

// DropResponses makes the service execute the next n calls and then close their
// connections without a response.
func (s *Service) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropNext = n
}

// SetDelay delays the response to every call by d, after the call has executed.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetRefusing makes the service reject all calls as not run, or stops that.
func (s *Service) SetRefusing(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = on
}

// SetRetryAfter makes rejections state a time to wait, the value of Retry-After; empty means
// none.
func (s *Service) SetRetryAfter(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryAfter = value
}

// SetLeaving makes all responses say that the service is leaving, or stops that.
func (s *Service) SetLeaving(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = on
}

// Calls returns the number of calls received after a time, rejected ones too.
func (s *Service) Calls(after time.Time) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.calls {
		if at.After(after) {
			n++
		}
	}
	return n
}

// RepeatRefusal makes the service execute calls and respond with the refusal of an earlier
// request.
func (s *Service) RepeatRefusal(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedID = id
}

// Executions returns the calls executed so far, in order.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}

// SeenKeys returns the names of the request headers that contained an API key. A
// gateway must not forward API keys to services.
func (s *Service) SeenKeys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.seenKeys...)
}

// Load is a load report. The service always reports that it is idle.
type Load struct {
	AgeMs   int64 `json:"ageMs"`
	Running int   `json:"running"`
}

// Handler returns the HTTP handler of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /plain/load", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(Load{})
	})
	mux.HandleFunc("/", s.serveCall)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		leaving := s.leaving
		s.mu.Unlock()
		if leaving {
			w.Header().Set("Engine-Leaving", "1")
		}
		mux.ServeHTTP(w, r)
	})
}

// Answer is the response body of a call.
type Answer struct {
	Service   string `json:"service"`
	Execution        // the call as it was executed
	// Number is the number of calls executed so far, with this one.
	Number int `json:"number"`
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	execution := Execution{RequestID: r.Header.Get("X-Request-Id"), Method: r.Method, Path: r.URL.RequestURI(), Body: string(body)}
	number, delay, drop, refusedID := s.execute(r, execution)
	if refusedID != "" {
		w.Header().Set("Engine-Not-Run", "1")
		s.mu.Lock()
		retryAfter := s.retryAfter
		s.mu.Unlock()
		if retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
		}
		w.Header().Set("X-Request-Id", refusedID)
		http.Error(w, "service refuses all calls", http.StatusServiceUnavailable)
		return
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	if drop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{Service: s.name, Execution: execution, Number: number})
}

// execute records a call, unless calls are refused. It returns the number of calls so far
// and the faults to inject into the response; refusedID is the ID of the request whose
// refusal is the response.
func (s *Service) execute(r *http.Request, execution Execution) (number int, delay time.Duration, drop bool, refusedID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, values := range r.Header {
		if strings.Contains(strings.Join(values, " "), "slug-key-") {
			s.seenKeys = append(s.seenKeys, name)
		}
	}
	s.calls = append(s.calls, time.Now())
	if s.refusing {
		return 0, 0, false, execution.RequestID
	}
	s.executions = append(s.executions, execution)
	if s.dropNext > 0 {
		s.dropNext--
		drop = true
	}
	return len(s.executions), s.delay, drop, s.refusedID
}

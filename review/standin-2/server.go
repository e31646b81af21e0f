//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Stages of model servers; those of a plain service have none.
const (
	prefill = "prefill"
	decode  = "decode"
)

const (
	// crashTime is how long a server is gone after a crash.
	crashTime = 3 * time.Second
	// workTime is the time that a plain request or the prompt of a model request takes, and
	// eventTime the time before each event.
	workTime, eventTime = 10 * time.Millisecond, 10 * time.Millisecond
	// streamTokens is the number of tokens of an answer.
	streamTokens = 8
)

// arrival is a request that reached a server.
type arrival struct {
	at time.Time
	// id is the ID of the request, target its request line without the version, and path and
	// host what the server takes from it.
	id, target, path, host string
	// poison is set for requests on which servers crash.
	poison bool
	// server is the server, and after the event after which a stream goes on there.
	server, after string
}

// servers are the servers of all services.
type servers struct {
	rig *rig
	// poison reports whether a request crashes the servers that begin to run it; nil means that
	// none does.
	poison func(*http.Request) bool
	// crash is set if poison crashes servers.
	crash bool
	// streamTokens and eventTime replace the constants if they are set.
	streamTokens int
	eventTime    time.Duration

	mu       sync.Mutex
	arrivals []arrival
	crashes  []time.Time
	list     []*server
}

// server is one server, which starts again under its ID after a crash.
type server struct {
	*servers
	name, service, stage, address string

	mu      sync.Mutex
	running *http.Server
	version string
	born    int64
	handles int
	// silentTo is the end of the silence.
	silentTo time.Time
	// spoiltEvery is which of its answers has a spoilt status line; zero means none. answers counts
	// them.
	spoiltEvery, answers int
}

// add starts a server and registers it.
func (f *servers) add(service, stage string) error {
	port, err := freePort("127.0.0.1")
	if err != nil {
		return err
	}
	s := &server{servers: f, name: fmt.Sprintf("i-%d", len(f.list)), service: service, stage: stage, address: fmt.Sprintf("127.0.0.1:%d", port), version: "v1"}
	f.list = append(f.list, s)
	return s.start()
}

// start starts the server and writes its entry.
func (s *server) start() error {
	if err := s.listen(); err != nil {
		return err
	}
	s.register()
	return nil
}

// listen starts the server.
func (s *server) listen() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	x := &http.Server{Handler: s, MaxHeaderBytes: 1 << 20}
	s.mu.Lock()
	s.running, s.born = x, time.Now().UnixMilli()
	s.mu.Unlock()
	go func() { _ = x.Serve(l) }()
	return nil
}

// register writes the server's entry.
func (s *server) register() {
	s.mu.Lock()
	born, version := s.born, s.version
	s.mu.Unlock()
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": zone, "version": version, "slots": 64, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": born,
	}
	if s.stage != "" {
		entry["stage"] = s.stage
	}
	s.rig.store.Put("servers", s.name, entry)
}

// fail ends the server as a crash does. It is back after crashTime.
func (s *server) fail() {
	s.mu.Lock()
	x := s.running
	s.running = nil
	s.mu.Unlock()
	if x == nil {
		return
	}
	_ = x.Close()
	s.servers.mu.Lock()
	s.crashes = append(s.crashes, time.Now())
	n := len(s.crashes)
	s.servers.mu.Unlock()
	s.rig.note("server %s crashes (crash %d)", s.name, n)
	time.AfterFunc(crashTime, func() {
		if err := s.start(); err != nil {
			s.rig.note("server %s is not back: %v", s.name, err)
		}
	})
}

// closeAll ends all servers.
func (f *servers) closeAll() {
	for _, s := range f.list {
		s.mu.Lock()
		if s.running != nil {
			_ = s.running.Close()
		}
		s.mu.Unlock()
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.awaitSound()
	s.mu.Lock()
	born := s.born
	s.handles++
	handle := fmt.Sprintf("%x%06x", born, s.handles)
	s.mu.Unlock()
	if strings.HasPrefix(r.URL.Path, "/-/") {
		s.serveOwn(w, r, born)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.Header.Get("X-Expect-Instance") != s.name || (r.Header.Get("X-Stage") == prefill) != (s.stage == prefill) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	poison := s.poison != nil && s.poison(r)
	s.servers.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{time.Now(), id, r.Method + " " + r.RequestURI, r.URL.Path, r.Host, poison, s.name, r.Header.Get("Last-Event-Id")})
	s.servers.mu.Unlock()
	if s.stage == prefill {
		time.Sleep(workTime)
		_ = json.NewEncoder(w).Encode(map[string]any{"kv_handle": handle, "tokens": 1, "version": 1, "born": born})
		return
	}
	if poison && s.crash {
		s.fail()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Server-Signature", "signed."+s.name)
	if s.stage == "" {
		time.Sleep(workTime)
		s.mu.Lock()
		s.answers++
		spoilt := s.spoiltEvery > 0 && s.answers%s.spoiltEvery == 0
		s.mu.Unlock()
		if spoilt {
			s.spoil(w, id, "answer to "+id)
			return
		}
		_, _ = io.WriteString(w, "answer to "+id)
		return
	}
	s.serveStream(w, r, id)
}

// serveOwn answers the calls of the system itself.
func (s *server) serveOwn(w http.ResponseWriter, r *http.Request, born int64) {
	switch r.URL.Path {
	case "/-/kv-events":
		select {
		case <-time.After(time.Second):
		case <-r.Context().Done():
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"epoch": born, "next": 1, "lost": false, "events": []any{}, "born": born})
	case "/-/report":
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": s.stage, "models": []any{}, "busy": false, "sequence": 0, "born": born})
	}
}

// serveStream sends a stream with one token in each event.
func (s *server) serveStream(w http.ResponseWriter, r *http.Request, id string) {
	tokens, pause := streamTokens, eventTime
	if s.streamTokens > 0 {
		tokens, pause = s.streamTokens, s.eventTime
	}
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for last < tokens {
		time.Sleep(pause)
		s.awaitSound()
		last++
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d of %s by %s\n\n", last, last, id, version); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

// poisonAfter returns the time of the n-th crash, and the IDs of the poisonous requests that
// reached servers later than d after it.
func (f *servers) poisonAfter(n int, d time.Duration) (at time.Time, late map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < n {
		return at, nil
	}
	at, late = f.crashes[n-1], map[string]bool{}
	for _, a := range f.arrivals {
		if a.poison && a.at.After(at.Add(d)) {
			late[a.id] = true
		}
	}
	return at, late
}

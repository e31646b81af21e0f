package slugserve

import (
	"expvar"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slughead"
)

// Limits limit single heads and connections. They may change while the server runs, and then
// apply to what is read from then on.
type Limits struct {
	// HeaderBytes limits the request line, and all header lines together.
	HeaderBytes int
	// HeaderTimeout limits the time from the first byte of a head to its end.
	HeaderTimeout time.Duration
	// IdleTimeout is how long an idle connection stays open.
	IdleTimeout time.Duration
}

// Bounds bound what all callers together take of the process. Zero means no bound.
type Bounds struct {
	// Connections bounds the open connections. At the bound, connections that wait for a
	// request are closed in favour of new ones.
	Connections int
	// Requests bounds the requests that are handled at the same time.
	Requests int
	// HTTP2 bounds the HTTP/2 connections, each of which takes http2Cost. At the bound, one
	// without a request is closed in favour of a new one.
	HTTP2 int
	// Streams bounds the concurrent requests on an HTTP/2 connection; zero means a default.
	Streams int
	// BodyStall is how long a body may take beyond the time that its bytes take at BodyRate,
	// which is in bytes per second.
	BodyStall time.Duration
	BodyRate  int
	// WriteStall is how long a caller may take no byte of a response.
	WriteStall time.Duration
}

// bodyTime returns the time that n bytes of a body may take.
func (b *Bounds) bodyTime(n int) time.Duration {
	if b.BodyRate == 0 {
		return b.BodyStall
	}
	return b.BodyStall + time.Duration(float64(n)/float64(b.BodyRate)*float64(time.Second))
}

// counter is a number for the metrics.
type counter struct{ atomic.Int64 }

// counts are the numbers for the metrics of a server.
type counts struct {
	refusedLong, refusedMemory, refusedConnections, refusedRequests counter
	closedWaiting, stalledReads, stalledWrites                      counter
	requests, http2                                                 counter
}

// Export writes the number of connections and requests, and of those refused, into m.
func (s *Server) Export(m *expvar.Map) {
	s.mu.Lock()
	open := len(s.connections)
	s.mu.Unlock()
	for name, v := range map[string]int64{
		"connections": int64(open), "requests": s.counts.requests.Load(), "http2Connections": s.counts.http2.Load(),
		"refusedLongHeads": s.counts.refusedLong.Load(), "refusedHeadMemory": s.counts.refusedMemory.Load(),
		"refusedConnections": s.counts.refusedConnections.Load(), "refusedRequests": s.counts.refusedRequests.Load(),
		"closedWaiting": s.counts.closedWaiting.Load(), "stalledBodies": s.counts.stalledReads.Load(), "stalledResponses": s.counts.stalledWrites.Load(),
	} {
		n := new(expvar.Int)
		n.Set(v)
		m.Set(name, n)
	}
}

// limits returns the limits that apply now.
func (s *Server) limits() Limits {
	var l Limits
	if s.cfg.Limits != nil {
		l = s.cfg.Limits()
	}
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = s.cfg.MaxHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = headerTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = idleTimeout
	}
	return l
}

// refused counts and logs that a caller was refused or its connection closed.
func (s *Server) refused(n *counter, e slugevent.Event, c *connection, cause string) {
	n.Add(1)
	s.cfg.Log.Emit(e, slugevent.Fields{"caller": c.RemoteAddr().String(), "listener": s.cfg.Address, "cause": cause})
}

// admit begins a request, unless too many are being handled or its head, which HTTP/2 has kept
// already, finds no memory. The result ends the request; it is nil if the request was refused.
func (s *Server) admit(c *connection, w http.ResponseWriter, r *http.Request) (end func()) {
	running := s.counts.requests.Add(1)
	if s.cfg.Bounds.Requests > 0 && running > int64(s.cfg.Bounds.Requests) {
		s.counts.requests.Add(-1)
		s.refused(&s.counts.refusedRequests, slugevent.RequestsExhausted, c, tooManyRequests)
		refuseRequest(w)
		return nil
	}
	if r.ProtoMajor == 1 { // The head was counted as it was read.
		return func() { s.counts.requests.Add(-1) }
	}
	lines, size := 0, 0
	for name, values := range r.Header {
		for _, v := range values {
			lines, size = lines+1, size+len(name)+len(v)
		}
	}
	hold := s.cfg.HeadMemory.HoldOf(smallHead)
	if err := hold.Grow(slughead.Cost(lines, size)); err != nil {
		s.counts.requests.Add(-1)
		s.refused(&s.counts.refusedMemory, slugevent.HeadMemoryExhausted, c, err.Error())
		refuseRequest(w)
		return nil
	}
	return func() {
		hold.Release()
		s.counts.requests.Add(-1)
	}
}

// refuseRequest answers a request that was not handled.
func refuseRequest(w http.ResponseWriter) {
	w.Header().Set("Retry-After", retryAfter())
	w.WriteHeader(http.StatusServiceUnavailable)
}

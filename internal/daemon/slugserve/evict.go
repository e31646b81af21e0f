package slugserve

import (
	"net/http"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
)

// Causes in log lines.
const (
	tooManyConnections = "all connections have a request"
	tooManyRequests    = "too many requests are handled at the same time"
	roomForOthers      = "closed for a new connection"
)

// newGrace is how long a new connection counts as one whose first request is on its way, and how
// long a request that has begun to arrive is left alone.
const newGrace = time.Second

// sampledConnections is the number of connections among which one to close is looked for first,
// so that the cost of a new connection does not grow with their number.
const sampledConnections = 64

// rank says how readily a connection is closed for another one.
type rank int

const (
	// rankBusy connections have a request and are not closed.
	rankBusy rank = iota
	// rankSlow connections have had an incomplete head or body for newGrace. Nothing of such a
	// request has run.
	rankSlow
	// rankNew connections are new, so that their first request is probably on its way.
	rankNew
	// rankIdle connections wait for their next request.
	rankIdle
	// rankSilent connections have sent nothing for newGrace. Callers connect only when they
	// have a request to send.
	rankSilent
	// rankRefused connections have got their last response.
	rankRefused
)

// rank returns the rank of the connection, and the time by which it is compared to others of the
// same rank; c.mu is held.
func (c *connection) rank(now time.Time) (rank, time.Time) {
	switch {
	case c.lingers:
		return rankRefused, c.quietSince
	case !c.closedAt.IsZero():
	case c.http2:
		if c.streams == 0 {
			return rankIdle, c.quietSince
		}
	case c.phase == phaseIdle:
		return rankIdle, c.quietSince
	case c.phase == phaseNew && now.Sub(c.quietSince) >= newGrace:
		return rankSilent, c.quietSince
	case c.phase == phaseNew:
		return rankNew, c.quietSince
	case c.counter.InBody() && now.Sub(c.bodySince) >= newGrace, c.counter.InHead() && !c.handling && now.Sub(c.headSince) >= newGrace:
		return rankSlow, c.cutAt()
	}
	return rankBusy, c.quietSince
}

// makeRoom closes a connection of the highest rank if the bound is reached, and reports whether
// there is room for another one. s.mu is held.
func (s *Server) makeRoom() bool {
	bound := s.cfg.Bounds.Connections
	return bound == 0 || len(s.connections) < bound || s.evictOne(func(*connection) bool { return true })
}

// makeRoomHTTP2 does the same for HTTP/2 connections.
func (s *Server) makeRoomHTTP2() bool {
	bound := s.cfg.Bounds.HTTP2
	return bound == 0 || s.counts.http2.Load() < int64(bound) || s.evictOne(func(c *connection) bool { return c.http2 })
}

// evictOne closes the connection of the highest rank among those that may be closed, and reports
// whether there was one. Of several, it closes the one that has waited longest, or that would be
// cut first. s.mu is held, and the mutex of a connection while mayClose is called.
func (s *Server) evictOne(mayClose func(*connection) bool) bool {
	var best *connection
	var bestRank rank
	var bestSince time.Time
	now, seen := time.Now(), 0
	for c := range s.connections {
		c.mu.Lock()
		k, since := c.rank(now)
		if !mayClose(c) {
			k = rankBusy
		}
		c.mu.Unlock()
		if k != rankBusy && (k > bestRank || k == bestRank && since.Before(bestSince)) {
			best, bestRank, bestSince = c, k, since
		}
		if seen++; seen >= sampledConnections && best != nil {
			break
		}
	}
	return best != nil && best.evict(now)
}

// evict closes the connection unless it has become busy meanwhile. The server's mutex is held.
func (c *connection) evict(now time.Time) bool {
	c.mu.Lock()
	k, _ := c.rank(now)
	if k == rankBusy {
		c.mu.Unlock()
		return false
	}
	if c.closedAt.IsZero() {
		c.closedAt = now
	}
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
	c.hold.Release()
	c.mu.Unlock()
	if k != rankRefused {
		c.server.refused(&c.server.counts.closedWaiting, slugevent.ConnectionsExhausted, c, roomForOthers)
	}
	c.server.remove(c)
	// The peer notices the end of the connection in any case.
	_ = c.Conn.Close()
	return true
}

// refuseConnection answers a connection for which there is no room. Nothing was read on it.
func (s *Server) refuseConnection(c *connection) {
	s.refused(&s.counts.refusedConnections, slugevent.ConnectionsExhausted, c, tooManyConnections)
	writeRefusal(c.Conn, http.StatusServiceUnavailable)
	// The caller sees the end in any case.
	_ = c.Conn.Close()
}

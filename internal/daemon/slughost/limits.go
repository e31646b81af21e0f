package slughost

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugmemory"
	"github.com/sassafraslug/sassafraslug/internal/base/slugsettings"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugserve"
	"github.com/sassafraslug/sassafraslug/internal/request/slugdispatch"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
	"golang.org/x/sys/unix"
)

const (
	// connectionShare and requestShare are the parts of the descriptors for connections from
	// callers and for requests being served, each of which has a connection to an endpoint. The
	// rest is for the other listeners, the store, the peers and second attempts.
	connectionShare, requestShare = 0.40, 0.35
	// listenerShare is the part of the descriptors for each of the other listeners.
	listenerShare = 1.0 / 32
	// minListenerConnections is the least number of connections to one of the other listeners.
	minListenerConnections = 8
	// connectionMemory and requestMemory are the memory of the machine for each connection and
	// each request that is served. A silent connection takes about 20 KB, so that all of them
	// take a sixth of the memory.
	connectionMemory, requestMemory = 144e3, 192e3
	// http2Part is the part of the connections that may speak HTTP/2, which take 106 KB each. All
	// of them take a tenth of the memory.
	http2Part = 8
	// megabyte is the unit of limits.memoryMegabytes.
	megabyte = 1e6
	// receivedShare is the part of a known memory for what was received and is held.
	receivedShare = 0.25
	// overloadRetryAfter is the mean delay after which callers may return when too many requests
	// are served.
	overloadRetryAfter = time.Second
)

// descriptors returns the number of descriptors that the process may open.
func descriptors(l slugsettings.Limits) int64 {
	if l.Descriptors > 0 {
		return l.Descriptors
	}
	var r unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &r) != nil || r.Cur > maxDescriptors {
		return maxDescriptors
	}
	return int64(r.Cur)
}

// maxDescriptors is a number of descriptors that is as good as no limit.
const maxDescriptors = 1 << 20

// atMost returns n, or the number of parts of a known memory if that is less.
func atMost(n float64, l slugsettings.Limits, part float64) int {
	if l.MemoryMegabytes > 0 {
		n = min(n, l.MemoryMegabytes*megabyte/part)
	}
	return max(1, int(n))
}

// maxConnections returns the bound on connections from callers.
func maxConnections(l slugsettings.Limits) int {
	if l.Connections > 0 {
		return int(l.Connections)
	}
	return atMost(connectionShare*float64(descriptors(l)), l, connectionMemory)
}

// maxRequests returns the bound on requests that are served at the same time.
func maxRequests(l slugsettings.Limits) int {
	if l.Requests > 0 {
		return int(l.Requests)
	}
	return atMost(requestShare*float64(descriptors(l)), l, requestMemory)
}

// maxOtherConnections returns the bound on connections to each of the listeners for lookups,
// readiness checks and metrics.
func maxOtherConnections(l slugsettings.Limits) int {
	return max(minListenerConnections, atMost(listenerShare*float64(descriptors(l)), l, connectionMemory))
}

// receivedMemory returns the memory for what was received and is held.
func receivedMemory(l slugsettings.Limits) slugmemory.Bytes {
	if l.MemoryMegabytes == 0 {
		return maxReceived
	}
	return min(maxReceived, slugmemory.Bytes(receivedShare*megabyte*l.MemoryMegabytes))
}

// bounds returns the bounds of a listener.
func (h *Host) bounds(connections int) slugserve.Bounds {
	l := h.settings().Limits
	http2 := int(l.HTTP2Connections)
	if http2 == 0 {
		http2 = max(1, connections/http2Part)
	}
	return slugserve.Bounds{
		// The handlers of HTTP/2 streams are as many as those of HTTP/1 connections can be.
		Connections: connections, Requests: connections, HTTP2: http2, Streams: int(l.Streams),
		BodyStall: l.BodyStall, BodyRate: int(l.BodyRate), WriteStall: l.WriteStall,
	}
}

// callerLimits returns the limits of the configuration for callers.
func (h *Host) callerLimits() slugserve.Limits {
	t := h.follower.Table()
	if t == nil {
		return slugserve.Limits{}
	}
	return slugserve.Limits{HeaderBytes: t.Limits.MaxHeaderBytes, HeaderTimeout: t.Limits.HeaderTimeout, IdleTimeout: t.Limits.IdleTimeout}
}

// serveCall serves a request of a caller, unless as many are being served as the descriptors
// allow.
func (h *Host) serveCall(ctx context.Context, c *slugdispatch.Call, w http.ResponseWriter) error {
	running, bound := h.running.Add(1), h.requestBound
	defer h.running.Add(-1)
	if running > int64(bound) {
		h.overloaded.Add(1)
		h.log.Emit(slugevent.RequestsExhausted, slugevent.Fields{"request": c.ID, "listener": h.settings().CallersListen, "cause": "too many requests are served at the same time"})
		return slugrefusal.NotRun(slugrefusal.CodeOverloaded, "%d requests are being served", bound).WithRetryAfter(overloadRetryAfter/2 + rand.N(overloadRetryAfter))
	}
	return h.dispatcher.Serve(ctx, c, w)
}

// exportLimits writes what callers take of this process into the metrics.
func (h *Host) exportLimits() {
	for name, s := range map[string]*slugserve.Server{"requests": h.requests, "lookups": h.lookups, "readiness": h.readiness, "metrics": h.metricsServer} {
		m := new(expvar.Map).Init()
		s.Export(m)
		h.metrics.Set("listener."+name, m)
	}
	for name, v := range map[string]int64{
		"headBytes": int64(h.headMemory.Used()), "served": h.running.Load(), "refused": h.overloaded.Load(),
	} {
		n := new(expvar.Int)
		n.Set(v)
		h.metrics.Set("limits."+name, n)
	}
}

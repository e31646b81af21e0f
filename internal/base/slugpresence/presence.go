// Package slugpresence tells whether the caller of a request still waits for the response, when
// the request arrived, and when it was handed to endpoints.
//
// The server of the request puts a Presence into its context, and the sender to endpoints finds
// it there, whatever lies between them.
//
// # Usage
//
//	p := slugpresence.New(slugpresence.Config{ArrivedAt: conn.arrivedAt, EndAge: conn.endAge})
//	r = r.WithContext(p.Context(r.Context()))
//	...
//	received := slugpresence.Of(ctx).MarkRead()
//	...
//	if slugpresence.Of(ctx).Left(ctx) { ... }
//	slugpresence.Of(ctx).Record(handover)
package slugpresence

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Config configures a Presence.
type Config struct {
	// ArrivedAt returns when the last bytes that were read on the connection arrived, as far as
	// that is known.
	ArrivedAt func() time.Time
	// Left reports whether the caller has left, by all that the kernel has received, whether or not
	// it was read. It may wait a moment for what has arrived to be read, until ctx ends. Nil means
	// that it is not known.
	Left func(ctx context.Context) bool
	// EndAge returns how long ago the caller ended its connection; false means that it has not,
	// or that this is not known. It may be nil.
	EndAge func() (time.Duration, bool)
}

// Presence is what is known of the caller of one request. The methods of a nil Presence, that of
// a request without a caller, do nothing.
type Presence struct {
	cfg Config

	mu sync.Mutex
	// arrivedAt is when the request arrived, and readAt when it had been read; zero before.
	arrivedAt, readAt time.Time
	seenAt            time.Time
	handovers         []Handover
}

// Handover is one request to an endpoint that a caller's request led to.
type Handover struct {
	// Address is the address of the endpoint, and Through that of the peer through which it was
	// reached, if any.
	Address, Through string
	// Purpose says what the endpoint was to do, and Cause why it was asked.
	Purpose, Cause string
	// DecidedAt is when the endpoint was chosen and the sender called, ConnectedAt when the
	// request had a connection, and WrittenAt when it was written. WrittenAt is zero if that
	// failed.
	DecidedAt, ConnectedAt, WrittenAt time.Time
	// SeenAt is when the caller was last known to be there before the request was written.
	SeenAt time.Time
}

// New returns the Presence of a request that is about to be handled.
func New(cfg Config) *Presence { return &Presence{cfg: cfg, seenAt: time.Now()} }

// key is the context key of a Presence.
type key struct{}

// Left reports whether the caller has left.
func (p *Presence) Left(ctx context.Context) bool {
	if p == nil || p.cfg.Left == nil {
		return false
	}
	now := time.Now()
	if p.cfg.Left(ctx) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seenAt = now
	return false
}

// Without returns a context for work that goes on without its caller.
func Without(ctx context.Context) context.Context {
	var none *Presence
	return none.Context(context.WithoutCancel(ctx))
}

// Context returns a context that carries the Presence.
func (p *Presence) Context(ctx context.Context) context.Context {
	return context.WithValue(ctx, key{}, p)
}

// Of returns the Presence of the request that ctx belongs to, or nil.
func Of(ctx context.Context) *Presence {
	p, _ := ctx.Value(key{}).(*Presence)
	return p
}

// MarkRead records that the request has been read, and returns when it had arrived: in the kernel,
// if it waited there. A nil Presence returns the current time.
func (p *Presence) MarkRead() time.Time {
	now := time.Now()
	if p == nil {
		return now
	}
	arrivedAt := p.cfg.ArrivedAt()
	p.mu.Lock()
	defer p.mu.Unlock()
	if arrivedAt.After(now) {
		arrivedAt = now
	}
	p.arrivedAt, p.readAt = arrivedAt, now
	return arrivedAt
}

// SeenAt returns when the caller was last known to be there.
func (p *Presence) SeenAt() time.Time {
	if p == nil {
		return time.Time{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seenAt
}

// Record records that the request was handed to an endpoint.
func (p *Presence) Record(h Handover) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handovers = append(p.handovers, h)
}

// Timing describes where the time of a request went, for the log.
type Timing struct {
	// QueuedMs is the time from the arrival of the request to its reading.
	QueuedMs int64 `json:"queuedMs"`
	// EndMs is the time since the caller ended its connection, -1 if that is not known.
	EndMs int64 `json:"endMs"`
	// Handovers are the requests to endpoints.
	Handovers []HandoverTiming `json:"handovers,omitempty"`
}

// HandoverTiming describes a Handover. AtMs is the time from the arrival of the caller's request
// to the choice of the endpoint, ConnectMs that to the connection, and WriteMs that to the end of
// the write, -1 if there was none. UnseenMs bounds how long before the write the caller may have
// left.
type HandoverTiming struct {
	To        string `json:"to"`
	Through   string `json:"through,omitempty"`
	Purpose   string `json:"purpose"`
	Cause     string `json:"cause"`
	AtMs      int64  `json:"atMs"`
	ConnectMs int64  `json:"connectMs"`
	WriteMs   int64  `json:"writeMs"`
	UnseenMs  int64  `json:"unseenMs"`
}

// Timing returns where the time of the request went so far.
func (p *Presence) Timing() Timing {
	if p == nil {
		return Timing{EndMs: -1}
	}
	p.mu.Lock()
	handovers, arrivedAt, readAt := slices.Clone(p.handovers), p.arrivedAt, p.readAt
	p.mu.Unlock()
	t := Timing{QueuedMs: readAt.Sub(arrivedAt).Milliseconds(), EndMs: -1}
	if p.cfg.EndAge != nil {
		if age, known := p.cfg.EndAge(); known {
			t.EndMs = age.Milliseconds()
		}
	}
	for _, h := range handovers {
		x := HandoverTiming{
			To: h.Address, Through: h.Through, Purpose: h.Purpose, Cause: h.Cause, AtMs: h.DecidedAt.Sub(arrivedAt).Milliseconds(),
			ConnectMs: h.ConnectedAt.Sub(h.DecidedAt).Milliseconds(), WriteMs: -1, UnseenMs: h.ConnectedAt.Sub(h.SeenAt).Milliseconds(),
		}
		if !h.WrittenAt.IsZero() {
			x.WriteMs, x.UnseenMs = h.WrittenAt.Sub(h.ConnectedAt).Milliseconds(), h.WrittenAt.Sub(h.SeenAt).Milliseconds()
		}
		t.Handovers = append(t.Handovers, x)
	}
	return t
}

package slugscene

import (
	"time"

	"github.com/sassafraslug/sassafraslug/internal/decision/slugpick"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// Engine is a fake engine whose prefill, decoding, batching, cache and KV pieces
// cost time. It works in steps; each step makes one token for each stream whose
// prefill is done and processes one chunk of one prompt.
type Engine struct {
	Name    string
	Speed   slugplan.Speed
	Streams int
	// Pieces bounds the KV cache of running streams.
	Pieces int
	Cheap  bool
	Role   slugplan.Role

	queue   []*Request
	running []*Request
	cache   map[uint64]int
	order   []uint64
	used    int
	down    bool
	gone    bool
	// step is the end of the present step, zero when idle.
	step    time.Time
	chunked *Request
	reports []report
	changes int
	// busy is the time spent in steps.
	busy time.Duration
}

// report is a load report with its time.
type report struct {
	at time.Time
	slugpick.Report
}

const (
	tokensPerPiece = 16
	// cachedPrefixes is the number of prefixes that an engine keeps.
	cachedPrefixes = 24
)

func (r *Request) pieces() int { return int(r.Prompt+r.Output) / tokensPerPiece }

// push queues a request.
func (e *Engine) push(r *Request) { e.queue = append(e.queue, r) }

// start fills the batch and begins a step; it returns false when there is nothing
// to do.
func (e *Engine) start(now time.Time) bool {
	for len(e.queue) > 0 && len(e.running) < e.Streams && (e.used+e.queue[0].pieces() <= e.Pieces || len(e.running) == 0) {
		r := e.queue[0]
		e.queue = e.queue[1:]
		r.prefill = int(r.Prompt) - e.hit(r)
		e.used += r.pieces()
		e.running = append(e.running, r)
	}
	if len(e.running) == 0 {
		e.step = time.Time{}
		return false
	}
	d := e.Speed.StepBase
	e.chunked = nil
	for _, r := range e.running {
		if r.prefill > 0 {
			if e.chunked == nil {
				e.chunked = r
			}
			continue
		}
		d += e.Speed.StepPerStream
	}
	if e.chunked != nil {
		n := min(e.chunked.prefill, e.Speed.Chunk)
		d += time.Duration(float64(n) / e.Speed.PrefillPerSecond * float64(time.Second))
	}
	e.busy += d
	e.step = now.Add(d)
	return true
}

// hit returns the cached tokens of a request's prefix and caches it.
func (e *Engine) hit(r *Request) int {
	if r.Prefix == 0 {
		return 0
	}
	cached, ok := e.cache[r.Prefix]
	if !ok {
		e.cache[r.Prefix] = int(r.PrefixTokens)
		e.order = append(e.order, r.Prefix)
		if len(e.order) > cachedPrefixes {
			delete(e.cache, e.order[0])
			e.order = e.order[1:]
		}
	}
	return min(cached, int(r.Prompt)-1)
}

// finish ends the present step and returns the requests that are done.
func (e *Engine) finish(now time.Time) []*Request {
	var done []*Request
	kept := e.running[:0]
	for _, r := range e.running {
		if r == e.chunked {
			r.prefill = max(0, r.prefill-e.Speed.Chunk)
			kept = append(kept, r)
			continue
		}
		if r.prefill > 0 {
			kept = append(kept, r)
			continue
		}
		r.token(now)
		if r.made >= int(r.Output) {
			e.used -= r.pieces()
			done = append(done, r)
			continue
		}
		kept = append(kept, r)
	}
	e.running = kept
	return done
}

// load returns the present load.
func (e *Engine) load(now time.Time) slugpick.Report {
	l := slugpick.Report{TakenAt: now, Running: len(e.running), Queued: len(e.queue), FreePieces: max(0, e.Pieces-e.used)}
	for _, r := range e.running {
		l.PrefillTokens += slugpick.Tokens(r.prefill)
	}
	for _, r := range e.queue {
		l.PrefillTokens += r.Prompt
	}
	return l
}

// crash drops all requests and returns them.
func (e *Engine) crash() []*Request {
	lost := append(e.running, e.queue...)
	e.running, e.queue, e.used = nil, nil, 0
	e.cache, e.order = map[uint64]int{}, nil
	e.step = time.Time{}
	return lost
}

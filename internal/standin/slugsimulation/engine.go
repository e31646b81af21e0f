package slugsimulation

import (
	"time"

	"github.com/sassafraslug/sassafraslug/internal/decision/slugpick"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// Engine simulates a model engine: the time of prefill and decoding, continuous
// batching, the prefix cache and the limit of the KV cache. Each step generates one
// token for every request whose prefill is complete and processes one chunk of one
// prompt.
type Engine struct {
	Name  string
	Speed slugplan.Speed
	// Streams is the maximum number of requests in the batch.
	Streams int
	// Pieces is the size of the KV cache in pieces of tokensPerPiece tokens. It limits the
	// requests in the batch.
	Pieces int
	Cheap  bool
	Role   slugplan.Role

	queue   []*Request
	running []*Request
	// cache maps the cached prefixes to their lengths in tokens; cacheOrder lists them with
	// the oldest first.
	cache      map[uint64]int
	cacheOrder []uint64
	usedPieces int
	// down is set after a crash until the engine is back; gone is set when it was removed.
	down bool
	gone bool
	// stepEnd is the end of the current step, or zero when the engine is idle.
	stepEnd time.Time
	// prefilling is the request whose prompt the current step processes, or nil.
	prefilling  *Request
	reports     []report
	roleChanges int
	// busy is the total time spent in steps.
	busy time.Duration
}

// report is a load report with the time at which it was taken.
type report struct {
	at time.Time
	slugpick.Report
}

const (
	tokensPerPiece = 16
	// cachedPrefixes is the capacity of an engine's prefix cache, in prefixes.
	cachedPrefixes = 24
)

// pieces returns the pieces of the KV cache that a request takes, rounded down.
func (r *Request) pieces() int { return int(r.Prompt+r.Output) / tokensPerPiece }

// enqueue appends a request to the queue.
func (e *Engine) enqueue(r *Request) { e.queue = append(e.queue, r) }

// startStep fills the batch from the queue and starts a step. It returns false if the
// engine is idle.
func (e *Engine) startStep(now time.Time) bool {
	for len(e.queue) > 0 && len(e.running) < e.Streams && (e.usedPieces+e.queue[0].pieces() <= e.Pieces || len(e.running) == 0) {
		r := e.queue[0]
		e.queue = e.queue[1:]
		r.prefillLeft = int(r.Prompt) - e.lookUpPrefix(r)
		e.usedPieces += r.pieces()
		e.running = append(e.running, r)
	}
	if len(e.running) == 0 {
		e.stepEnd = time.Time{}
		return false
	}
	duration := e.Speed.StepBase
	e.prefilling = nil
	for _, r := range e.running {
		if r.prefillLeft > 0 {
			if e.prefilling == nil {
				e.prefilling = r
			}
			continue
		}
		duration += e.Speed.StepPerStream
	}
	if e.prefilling != nil {
		n := min(e.prefilling.prefillLeft, e.Speed.Chunk)
		duration += time.Duration(float64(n) / e.Speed.PrefillPerSecond * float64(time.Second))
	}
	e.busy += duration
	e.stepEnd = now.Add(duration)
	return true
}

// lookUpPrefix returns the number of cached tokens of a request's prefix. A prefix that
// isn't cached is added, and the oldest is evicted if the cache is full.
func (e *Engine) lookUpPrefix(r *Request) int {
	if r.Prefix == 0 {
		return 0
	}
	cached, ok := e.cache[r.Prefix]
	if !ok {
		e.cache[r.Prefix] = int(r.PrefixTokens)
		e.cacheOrder = append(e.cacheOrder, r.Prefix)
		if len(e.cacheOrder) > cachedPrefixes {
			delete(e.cache, e.cacheOrder[0])
			e.cacheOrder = e.cacheOrder[1:]
		}
	}
	return min(cached, int(r.Prompt)-1)
}

// finishStep ends the current step and returns the requests that completed.
func (e *Engine) finishStep(now time.Time) []*Request {
	var done []*Request
	remaining := e.running[:0]
	for _, r := range e.running {
		if r == e.prefilling {
			r.prefillLeft = max(0, r.prefillLeft-e.Speed.Chunk)
			remaining = append(remaining, r)
			continue
		}
		if r.prefillLeft > 0 {
			remaining = append(remaining, r)
			continue
		}
		r.recordToken(now)
		if r.generated >= int(r.Output) {
			e.usedPieces -= r.pieces()
			done = append(done, r)
			continue
		}
		remaining = append(remaining, r)
	}
	e.running = remaining
	return done
}

// currentLoad returns a report of the current load.
func (e *Engine) currentLoad(now time.Time) slugpick.Report {
	load := slugpick.Report{TakenAt: now, Running: len(e.running), Queued: len(e.queue), FreePieces: max(0, e.Pieces-e.usedPieces)}
	for _, r := range e.running {
		load.PrefillTokens += slugpick.Tokens(r.prefillLeft)
	}
	for _, r := range e.queue {
		load.PrefillTokens += r.Prompt
	}
	return load
}

// crash clears the engine's queue, batch and cache and returns the requests that were
// in progress.
func (e *Engine) crash() []*Request {
	lost := append(e.running, e.queue...)
	e.running, e.queue, e.usedPieces = nil, nil, 0
	e.cache, e.cacheOrder = map[uint64]int{}, nil
	e.stepEnd = time.Time{}
	return lost
}

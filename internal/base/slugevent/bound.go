package slugevent

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond bounds the lines of one event, on average. A host of today serves
	// some 20 requests a second, each of which has two or three lines of different
	// events.
	linesPerSecond = 60
	// lineBurst is the number of lines of one event that may come at once.
	lineBurst = 300
	// queuedLines is the number of lines that wait for a reader that does not take them.
	queuedLines = 2048
	// tellDropped is the time between lines that tell what was dropped.
	tellDropped = 5 * time.Second
)

// NewBounded returns a Log that never blocks its callers: lines are written by a
// goroutine of its own, those of each event only up to a rate, and what exceeds either
// bound is dropped, counted and told. The returned function writes what is queued, as
// far as the reader takes it within a time, and ends the goroutine.
func NewBounded(w io.Writer, level logrus.Level, process string) (l *Log, flush func(time.Duration)) {
	q := newQueue(w)
	l = New(q, level, process)
	l.bound = newBound()
	stop := make(chan struct{})
	go l.tellDropped(q, stop)
	return l, func(d time.Duration) {
		close(stop)
		q.flush(d)
	}
}

// bound limits the lines of each event.
type bound struct {
	mu       sync.Mutex
	limiters map[Event]*rate.Limiter
	dropped  map[Event]int
}

func newBound() *bound {
	return &bound{limiters: map[Event]*rate.Limiter{}, dropped: map[Event]int{}}
}

// allow reports whether a line may be written, and counts it if not.
func (b *bound) allow(e Event) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	limiter := b.limiters[e]
	if limiter == nil {
		limiter = rate.NewLimiter(linesPerSecond, lineBurst)
		b.limiters[e] = limiter
	}
	if limiter.Allow() {
		return true
	}
	b.dropped[e]++
	return false
}

// takeDropped returns the counts since the last call.
func (b *bound) takeDropped() map[Event]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.dropped
	b.dropped = map[Event]int{}
	return out
}

// tellDropped writes now and then what was dropped.
func (l *Log) tellDropped(q *queue, stop <-chan struct{}) {
	t := time.NewTicker(tellDropped)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		f := Fields{}
		for e, n := range l.bound.takeDropped() {
			f[fmt.Sprintf("event%d", e)] = n
		}
		if n := q.dropped.Swap(0); n > 0 {
			f["unread"] = n
		}
		if len(f) > 0 {
			l.Emit(LinesDropped, f)
		}
	}
}

// queue is a writer that never blocks.
type queue struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

func newQueue(w io.Writer) *queue {
	q := &queue{lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for line := range q.lines {
			if line == nil {
				return
			}
			// A reader that is gone cannot be told.
			_, _ = w.Write(line)
		}
	}()
	return q
}

// Write queues a line, or drops it when too many wait.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// flush waits until all lines are written, for a time at the most.
func (q *queue) flush(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case q.lines <- nil:
	case <-t.C:
		return
	}
	select {
	case <-q.done:
	case <-t.C:
	}
}

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
	// linesPerSecond is the average number of lines per second allowed for one event. A
	// host serves about 20 requests per second, each with two or three lines of
	// different events.
	linesPerSecond = 60
	// lineBurst is the number of lines of one event that may be written at once.
	lineBurst = 300
	// maxQueuedLines limits the lines that wait to be written.
	maxQueuedLines = 2048
	// droppedReportInterval is the time between lines that report dropped lines.
	droppedReportInterval = 5 * time.Second
)

// NewBounded returns a Log that never blocks its callers. Lines are queued and written by
// a goroutine, and the lines of each event are rate limited. Lines that exceed the rate or
// the queue are dropped and counted, and the counts are logged as LinesDropped. The
// returned function writes the queued lines, waiting at most for the given time, and stops
// the goroutines. It must be called only once; lines logged after that are lost.
func NewBounded(w io.Writer, level logrus.Level, process string) (l *Log, flush func(time.Duration)) {
	q := newQueue(w)
	l = New(q, level, process)
	l.limits = newRateLimits()
	stop := make(chan struct{})
	go l.reportDropped(q, stop)
	return l, func(d time.Duration) {
		close(stop)
		q.flush(d)
	}
}

// rateLimits limits the rate of lines per event.
type rateLimits struct {
	mu       sync.Mutex
	limiters map[Event]*rate.Limiter
	dropped  map[Event]int
}

func newRateLimits() *rateLimits {
	return &rateLimits{limiters: map[Event]*rate.Limiter{}, dropped: map[Event]int{}}
}

// allow reports whether a line may be written. If not, it counts the line as dropped. A
// nil receiver allows all lines.
func (r *rateLimits) allow(e Event) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	limiter := r.limiters[e]
	if limiter == nil {
		limiter = rate.NewLimiter(linesPerSecond, lineBurst)
		r.limiters[e] = limiter
	}
	if limiter.Allow() {
		return true
	}
	r.dropped[e]++
	return false
}

// takeDropped returns the number of dropped lines per event since the last call.
func (r *rateLimits) takeDropped() map[Event]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.dropped
	r.dropped = map[Event]int{}
	return out
}

// reportDropped periodically logs how many lines were dropped, until stop is closed.
func (l *Log) reportDropped(q *queue, stop <-chan struct{}) {
	t := time.NewTicker(droppedReportInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		f := Fields{}
		for e, n := range l.limits.takeDropped() {
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

// queue is a writer that never blocks. A goroutine passes its lines on; a nil line stops
// the goroutine.
type queue struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

func newQueue(w io.Writer) *queue {
	q := &queue{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for line := range q.lines {
			if line == nil {
				return
			}
			// There is no other place to report a failed write.
			_, _ = w.Write(line)
		}
	}()
	return q
}

// Write queues a line, or drops it if the queue is full. It never fails.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// flush waits until all queued lines are written, but at most for d.
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

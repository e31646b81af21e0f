// Package slugstanding decides which prompts are refused while a queue stands at the engines
// of a service.
//
// It answers a load that exceeds the engines for longer than a burst: prompts arrive faster
// than they are processed until every one of them waits almost to its deadline. The engines
// then process as many prompts as with a short queue, but all of them too late for their
// objective. A queue that does not become short within an interval is standing, and prompts
// that would have to wait longer than the limit are refused at once, so that those admitted
// are on time. The limit is the same for all kinds of prompts of a service, which keeps the
// share refused about equal. Much shorter prompts than the mean are admitted regardless:
// refusing them would not shorten the queue.
//
// Short bursts are not refused, because their prompts are served before the deadline. The
// method follows published work on controlled delay in routers.
//
// The package performs no I/O.
//
// # Usage
//
//	q := slugstanding.New()
//	if retryAfter, ok := q.Admit(slugstanding.Prompt{Wait: wait, Work: 0.8}, objective, time.Now()); !ok {
//		refuse(retryAfter)
//	}
package slugstanding

import (
	"sync"
	"time"
)

const (
	// waitFraction is the longest wait during a standing queue, as a fraction of the
	// shortest objective of the service. The rest of the objective is for processing the
	// prompt and starting the response.
	waitFraction = 0.5
	// standingAfter is how long every prompt must find a longer wait than the limit before
	// the queue is standing, in multiples of the shortest objective.
	standingAfter = 4
	// clearAfter is how long no prompt may find a longer wait than the limit before the
	// queue is no longer standing, in multiples of the shortest objective.
	clearAfter = 10
	// minPrompts is the number of prompts that must find a long wait in a row before the
	// queue is standing.
	minPrompts = 4
	// shortPrompt is the work of a prompt, as a fraction of the mean, below which it is
	// admitted regardless of the queue.
	shortPrompt = 0.25
)

// Prompt is a prompt to be admitted.
type Prompt struct {
	// Wait is the time for which the prompt is predicted to wait at the best engine.
	Wait time.Duration
	// Work is the work of the prompt as a fraction of the mean.
	Work float64
}

// Queue observes the waits at the engines of one service. It is safe for concurrent use.
type Queue struct {
	mu sync.Mutex
	// longSince is the time of the first of a row of prompts that found a long wait, and
	// long their number.
	longSince time.Time
	long      int
	// longAt is when the last prompt found a long wait.
	longAt   time.Time
	standing bool
}

// New returns a Queue that is not standing.
func New() *Queue { return &Queue{} }

// Admit reports whether a prompt is admitted, given the shortest objective of the service.
// If not, it returns the time after which the queue will have shortened to the limit. An
// objective of 0 admits everything.
func (q *Queue) Admit(p Prompt, objective time.Duration, now time.Time) (retryAfter time.Duration, ok bool) {
	if objective <= 0 {
		return 0, true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	limit := time.Duration(waitFraction * float64(objective))
	if p.Wait <= limit {
		q.long = 0
		if now.Sub(q.longAt) > clearAfter*objective {
			q.standing = false
		}
		return 0, true
	}
	if q.long == 0 {
		q.longSince = now
	}
	q.long++
	q.longAt = now
	if q.long >= minPrompts && now.Sub(q.longSince) >= standingAfter*objective {
		q.standing = true
	}
	if !q.standing || p.Work < shortPrompt {
		return 0, true
	}
	return p.Wait - limit, false
}

// Standing reports whether the queue is standing.
func (q *Queue) Standing() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.standing
}

//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryTime is how long the memory is watched.
	memoryTime = 100 * time.Second
	// strangers is the number of clients that nobody controls, and strangerPause the time between
	// the requests of one.
	strangers     = 6
	strangerPause = 40 * time.Millisecond
)

// playMemory sends ordinary prompts and, as the disruption, prompts of legal size with very many
// short parts, on a public route. The platform ends a process that exceeds its memory.
func playMemory(r *rig, trouble bool) (broken bool, err error) {
	f := &servers{rig: r}
	defer f.closeAll()
	for _, stage := range []string{prefill, decode, prefill, decode, prefill, decode, prefill, decode} {
		if err := f.add(modelService, stage); err != nil {
			return false, err
		}
	}
	if err := r.startHosts(2); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	defer clients.Wait()
	var sent, served, longSent, longServed atomic.Int64
	for n := range 4 {
		clients.Go(func() {
			c := client{host: r.hosts[n%len(r.hosts)]}
			defer c.close()
			for i := 0; !ended(stop); i++ {
				sent.Add(1)
				if c.do(request{ID: fmt.Sprintf("o-%d-%d", n, i), Method: "POST", Target: "/ask/x", Parts: []string{fmt.Sprintf("a%x", n), fmt.Sprintf("b%x%x", n, i)}, NoKey: true}).Status == 200 {
					served.Add(1)
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	parts := 1
	if trouble {
		parts = longPrompt(2)
	}
	for n := range strangers {
		clients.Go(func() {
			c := client{host: r.hosts[n%len(r.hosts)]}
			defer c.close()
			for i := 0; !ended(stop); i++ {
				q := request{ID: fmt.Sprintf("s-%d-%d", n, i), Method: "POST", Target: "/ask/x", Parts: prompt(n*1000000+i, parts), NoKey: true}
				if len(q.head()) > maxHeaderBytes {
					panic("head is too long")
				}
				longSent.Add(1)
				if c.do(q).Status == 200 {
					longServed.Add(1)
				}
				time.Sleep(strangerPause)
			}
		})
	}
	r.note("prompts of strangers have %d parts of one token, heads at most %d bytes of %d", parts, len(request{Target: "/ask/x", Method: "POST", Parts: prompt(1, parts)}.head()), maxHeaderBytes)
	for begun, noted := time.Now(), time.Now(); time.Since(begun) < memoryTime && !broken; time.Sleep(200 * time.Millisecond) {
		var line []string
		for _, h := range r.hosts {
			m := h.memory()
			line = append(line, fmt.Sprintf("%s %.0f MB", h.name, m))
			if how := h.endedByItself(); how != "" {
				r.note("%s %s", h.name, how)
				broken = true
			}
			if m > memoryMB {
				r.note("%s exceeds its memory of %d MB: the platform ends it", h.name, memoryMB)
				h.kill()
				broken = true
			}
		}
		if time.Since(noted) > 5*time.Second || broken {
			noted = time.Now()
			r.note("%s; ordinary requests: %d of %d served, those of strangers: %d of %d", strings.Join(line, ", "), served.Load(), sent.Load(), longServed.Load(), longSent.Load())
		}
	}
	close(stop)
	return broken, nil
}

// longPrompt returns the number of parts with IDs of the given number of bytes and a separator
// that leave room for the rest of a head.
func longPrompt(extra int) int {
	const rest, id = 400, 7
	return (maxHeaderBytes - rest) / (id + extra + 1)
}

// prompt returns the IDs of n parts that no other prompt with another number has.
func prompt(number, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%07x", (number*4099+i)&0xfffffff)
	}
	return out
}

// ended reports whether a channel is closed.
func ended(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

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
	// memoryTime is how long the memory is watched at most.
	memoryTime = 110 * time.Second
	// strangers is the number of clients that nobody controls, and strangerPause the time between
	// the requests of one.
	strangers     = 16
	strangerPause = 30 * time.Millisecond
	// allowedEnds is how often processes may end by themselves on one machine, and machinesAllowed
	// the number of machines on which they may do so more often.
	allowedEnds     = 2
	machinesAllowed = 1
	// restartDelay is the time after which the platform starts a process that has ended.
	restartDelay = 500 * time.Millisecond
)

// playMemory sends ordinary prompts and, as the disruption, prompts of legal size with very many
// short parts, on a public route. The platform ends a process that exceeds its memory, and starts
// it again.
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
	ends := map[*host]int{}
	for begun, noted := time.Now(), time.Now(); time.Since(begun) < memoryTime && !broken; time.Sleep(200 * time.Millisecond) {
		var line []string
		note := false
		for _, h := range r.hosts {
			m, how := h.memory(), h.endedByItself()
			line = append(line, fmt.Sprintf("%s %.0f MB", h.name, m))
			if how == "" && m > memoryMB {
				how = fmt.Sprintf("exceeds its memory of %d MB: the platform ends it", memoryMB)
				h.kill()
			}
			if how == "" {
				continue
			}
			ends[h]++
			note = true
			r.note("%s %s (end %d)", h.name, how, ends[h])
			time.Sleep(restartDelay)
			if err := h.start(); err != nil {
				return false, err
			}
		}
		if time.Since(noted) > 5*time.Second || note {
			noted = time.Now()
			r.note("%s; ordinary requests: %d of %d served, those of strangers: %d of %d", strings.Join(line, ", "), served.Load(), sent.Load(), longServed.Load(), longSent.Load())
		}
		n := 0
		for _, count := range ends {
			if count > allowedEnds {
				n++
			}
		}
		broken = n > machinesAllowed
	}
	r.note("machines: %d; ends of processes: %s %d, %s %d; the day counts 0 from 3 on each of 2", len(r.hosts), r.hosts[0].name, ends[r.hosts[0]], r.hosts[1].name, ends[r.hosts[1]])
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

//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// poisonPart is the part of prompts on which servers crash, and poisonPause the time between
	// requests with it.
	poisonPart  = "bad"
	poisonPause = 1500 * time.Millisecond
	// otherParts is the number of the other parts that all prompts of the client share.
	otherParts = 2200
	// poisonTime is how long requests are sent.
	poisonTime = 36 * time.Second
	// partCrashes is the crash after which, and stability later, at most maxPoison requests may
	// reach servers.
	partCrashes = 5
	maxPoison   = 3
)

// playParts sends sound prompts and, as the disruption, prompts with one further part on which
// servers crash. All share their caller and their other parts. The variable OTHERS sets the
// number of the other parts, for comparison.
func playParts(r *rig, trouble bool) (broken bool, err error) {
	f := &servers{rig: r, crash: trouble, poison: hasPoisonPart}
	defer f.closeAll()
	for i := range 8 {
		stage := decode
		if i < 2 {
			stage = prefill
		}
		if err := f.add(modelService, stage); err != nil {
			return false, err
		}
	}
	if err := r.startHosts(2); err != nil {
		return false, err
	}
	others := otherParts
	if n, err := strconv.Atoi(os.Getenv("OTHERS")); err == nil {
		others = n
	}
	shared := make([]string, others)
	for i := range shared {
		shared[i] = fmt.Sprintf("%x", 0x1000+i)
	}
	with := func(own string, first ...string) []string { return append(append(first, shared...), own) }
	r.note("prompts share %d parts of one token; heads at most %d bytes of %d", others, len(request{Parts: with("e000", poisonPart)}.head()), maxHeaderBytes)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var sent, served atomic.Int64
	for n := range 4 {
		clients.Go(func() {
			c := client{host: r.hosts[n%len(r.hosts)]}
			defer c.close()
			for i := 0; !ended(stop); i++ {
				sent.Add(1)
				if c.do(request{ID: fmt.Sprintf("o-%d-%d", n, i), Method: "POST", Target: "/ask/x", Parts: with(fmt.Sprintf("d%x%x", n, i))}).Status == http.StatusOK {
					served.Add(1)
				}
				time.Sleep(250 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	for i, begun := 0, time.Now(); time.Since(begun) < poisonTime; i++ {
		clients.Go(func() {
			c := client{host: r.hosts[i%len(r.hosts)]}
			defer c.close()
			q := request{ID: fmt.Sprintf("p-%d", i), Method: "POST", Target: "/ask/x", Parts: with(fmt.Sprintf("e%x", i), poisonPart)}
			a := c.do(q)
			r.note("client: %s with the part %q: status %d, error %v", q.ID, poisonPart, a.Status, a.Err)
		})
		time.Sleep(poisonPause)
	}
	close(stop)
	clients.Wait()
	r.note("sound requests: %d of %d served", served.Load(), sent.Load())
	at, late := f.poisonAfter(partCrashes, stability)
	if late == nil {
		r.note("fewer than %d crashes", partCrashes)
		return false, nil
	}
	r.note("crash %d was at %.3f; requests with the part that reached servers over %s later: %d, allowed %d", partCrashes, at.Sub(r.begun).Seconds(), stability, len(late), maxPoison)
	return len(late) > maxPoison, nil
}

// hasPoisonPart reports whether a prompt has poisonPart before its last part.
func hasPoisonPart(r *http.Request) bool {
	parts := strings.Split(r.Header.Get("X-Prompt-Prefix"), ",")
	for _, p := range parts[:len(parts)-1] {
		if strings.HasPrefix(p, poisonPart+":") {
			return true
		}
	}
	return false
}

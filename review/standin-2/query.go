//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queryPause is the time between the attempts at the request that crashes servers, and
	// queryTime how long requests are sent.
	queryPause = 2 * time.Second
	queryTime  = 36 * time.Second
	// requestCrashes is the crash after which, and stability later, at most maxPoison attempts at
	// the request may reach servers.
	requestCrashes = 3
)

// playQuery sends look-ups that differ in their query and, as the disruption, one on which
// servers crash. The variable TARGET sets the target of the sound ones, for comparison.
func playQuery(r *rig, trouble bool) (broken bool, err error) {
	const poison = "/lookup/cert?id=bad"
	f := &servers{rig: r, crash: trouble, poison: func(q *http.Request) bool { return q.RequestURI == poison }}
	defer f.closeAll()
	for range 5 {
		if err := f.add(plainService, ""); err != nil {
			return false, err
		}
	}
	if err := r.startHosts(2); err != nil {
		return false, err
	}
	target := "/lookup/cert?id=%d"
	if t := os.Getenv("TARGET"); t != "" {
		target = t
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var sent, served atomic.Int64
	for n := range 6 {
		clients.Go(func() {
			c := client{host: r.hosts[n%len(r.hosts)]}
			defer c.close()
			for i := 0; !ended(stop); i++ {
				sent.Add(1)
				if c.do(request{ID: fmt.Sprintf("o-%d-%d", n, i), Method: "GET", Target: fmt.Sprintf(target, 1000*n+i)}).Status == http.StatusOK {
					served.Add(1)
				}
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	for i, begun := 0, time.Now(); time.Since(begun) < queryTime; i++ {
		clients.Go(func() {
			c := client{host: r.hosts[i%len(r.hosts)]}
			defer c.close()
			q := request{ID: fmt.Sprintf("p-%d", i), Method: "GET", Target: poison}
			a := c.do(q)
			r.note("client: %s GET %s: status %d, error %v", q.ID, q.Target, a.Status, a.Err)
		})
		time.Sleep(queryPause)
	}
	close(stop)
	clients.Wait()
	r.note("other requests: %d of %d served", served.Load(), sent.Load())
	at, late := f.poisonAfter(requestCrashes, stability)
	if late == nil {
		r.note("fewer than %d crashes", requestCrashes)
		return false, nil
	}
	r.note("crash %d was at %.3f; attempts at GET %s that reached servers over %s later: %d, allowed %d", requestCrashes, at.Sub(r.begun).Seconds(), poison, stability, len(late), maxPoison)
	return len(late) > maxPoison, nil
}

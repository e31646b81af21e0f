//go:build review

package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"
)

// slack is what a time limit may end later than that of the requester.
const slack = 500 * time.Millisecond

// loseAnswer runs the request and resets the channel instead of answering.
func loseAnswer(p *replica, w http.ResponseWriter, r *http.Request, a *arrival) {
	defer func() { a.endedAt = time.Now() }()
	a.ran = true
	if !sleep(r, p.work) {
		return
	}
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// resend: replicas lose answers of safe requests without a body, which take 0.7 s.
func resend(g *rig, trouble bool) (bool, error) {
	const limit = 4 * time.Second
	var losing atomic.Bool
	var replicas []*replica
	for i := range 5 {
		p := &replica{name: fmt.Sprintf("i-%08x", 0xfc002d00+i), service: "xano55b", work: 700 * time.Millisecond}
		loses := i < 3
		p.plan = func(*replica, *http.Request) fault {
			if loses && losing.Load() && rand.Float64() < 0.4 {
				return loseAnswer
			}
			return nil
		}
		replicas = append(replicas, p)
		if err := g.startReplica(p); err != nil {
			return false, err
		}
	}
	g.store.Put("config", "main", configuration(7, []route{{"/puxa403/", "safe", "xano55b", int(limit.Milliseconds()), 2, false}}))
	store, err := g.serve(g.store)
	if err != nil {
		return false, err
	}
	if err := g.startHosts(5, func(int) string { return store }); err != nil {
		return false, err
	}
	c := newRequesters(g)
	defer c.close()
	begin := time.Now()
	go func() {
		for i := range 5 {
			time.Sleep(time.Until(begin.Add(time.Duration(8+15*i) * time.Second)))
			losing.Store(trouble)
			g.note("answers are lost for 4 s: %v", trouble)
			time.Sleep(4 * time.Second)
			losing.Store(false)
		}
	}()
	c.load(40, begin.Add(80*time.Second), func(int) (request, bool) {
		return request{method: http.MethodGet, path: "/puxa403/2f", limit: limit}, true
	})
	return g.checkDeadlines(replicas, c, limit), nil
}

// checkDeadlines counts the arrivals, sent once more over half a second later, whose time limit
// ends over half a second after the first and the requester's own.
func (g *rig) checkDeadlines(replicas []*replica, c *requesters, limit time.Duration) bool {
	sent := map[string]time.Time{}
	status := map[string]int{}
	for _, a := range c.seen() {
		sent[a.id] = a.sentAt
		status[cmp.Or(a.err, fmt.Sprint(a.status))]++
		g.rec.add(fmt.Sprintf("%8.3f sent %s to %s, ended %.3f: status %d %s", g.at(a.sentAt), a.id, a.host, g.at(a.endedAt), a.status, a.err))
	}
	var all []arrival
	for _, p := range replicas {
		all = append(all, p.seen()...)
	}
	slices.SortFunc(all, func(a, b arrival) int { return a.at.Compare(b.at) })
	end := func(a arrival) time.Time {
		ms, _ := strconv.Atoi(a.deadline)
		return a.at.Add(time.Duration(ms) * time.Millisecond)
	}
	first := map[string]arrival{}
	again, late := 0, 0
	for _, a := range all {
		f, seen := first[a.id]
		g.rec.add(fmt.Sprintf("%8.3f arrived %s at %s X-Deadline-Ms %s, first %v", g.at(a.at), a.id, a.replica, a.deadline, !seen))
		if !seen {
			first[a.id] = a
			continue
		}
		if a.at.Sub(f.at) <= slack {
			continue
		}
		again++
		if end(a).Sub(end(f)) > slack && end(a).Sub(sent[a.id].Add(limit)) > slack {
			late++
		}
	}
	verdict := "held"
	broken := late > 20 && late*5 > again
	if broken {
		verdict = "BROKEN"
	}
	g.note("answers %v", status)
	g.note("BUDGET: %s: of %d arrivals sent once more over 0.5 s later, %d got over 0.5 s more than was left; 20 are allowed", verdict, again, late)
	return broken
}

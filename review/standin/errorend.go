//go:build review

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// errorBytes is the size of a failure whose body ends.
const errorBytes = 300_000

// longError answers a stream with a failure that has a long body.
func longError(p *replica, w http.ResponseWriter, _ *http.Request, a *arrival) {
	a.ran = true
	w.Header().Set("X-Server-Signature", "s."+p.name)
	w.Header().Set("Content-Length", strconv.Itoa(errorBytes))
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = w.Write(bytes.Repeat([]byte{'e'}, errorBytes))
	a.endedAt = time.Now()
}

// endlessError answers a stream with a failure whose body does not end until the caller
// closes.
func endlessError(p *replica, w http.ResponseWriter, r *http.Request, a *arrival) {
	a.ran = true
	w.Header().Set("X-Server-Signature", "s."+p.name)
	w.WriteHeader(http.StatusInternalServerError)
	b := bytes.Repeat([]byte{'x'}, 16<<10)
	for {
		if _, err := w.Write(b); err != nil {
			break
		}
	}
	a.endedAt = time.Now()
}

// errorEnd: one of seven replicas fails 0.4 of its requests with bodies without end.
func errorEnd(g *rig, trouble bool) (bool, error) {
	var failing atomic.Bool
	var failures atomic.Int64
	var replicas []*replica
	for i := range 9 {
		p := &replica{name: fmt.Sprintf("i-%08x", 0xfc002d00+i), service: "dele69a", work: 10 * time.Millisecond, stage: "prefill"}
		if i < 7 {
			p.stage, p.work, p.events = "decode", 20*time.Millisecond, 4
		}
		if i == 0 {
			p.plan = func(_ *replica, r *http.Request) fault {
				if failing.Load() && r.Header.Get("X-Stage") == "" && rand.Float64() < 0.4 {
					if failures.Add(1)%2 == 0 {
						return longError
					}
					return endlessError
				}
				return nil
			}
		}
		replicas = append(replicas, p)
		if err := g.startReplica(p); err != nil {
			return false, err
		}
	}
	g.store.Put("config", "main", configuration(7, []route{{"/pufi791/", "stream", "dele69a", 3000, 1, false}}, "dele69a"))
	store, err := g.serve(g.store)
	if err != nil {
		return false, err
	}
	if err := g.startHosts(3, func(int) string { return store }); err != nil {
		return false, err
	}
	c := newRequesters(g)
	defer c.close()
	begin := time.Now()
	go func() {
		time.Sleep(time.Until(begin.Add(8 * time.Second)))
		failing.Store(trouble)
		time.Sleep(6 * time.Second)
		failing.Store(false)
	}()
	c.load(30, begin.Add(18*time.Second), func(n int) (request, bool) {
		return request{method: http.MethodPost, path: "/pufi791/2f", body: fmt.Sprintf("body %d", n), limit: 3 * time.Second, header: map[string]string{
			"X-Model": "m", "X-Token-Usage": "1460,80", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%x:660", n+1),
		}}, false
	})
	for _, p := range replicas {
		for _, a := range p.seen() {
			g.rec.add(fmt.Sprintf("%8.3f arrived %s at %s stage %q ran %v", g.at(a.at), a.id, a.replica, a.stage, a.ran))
		}
	}
	endless, short, status := 0, 0, map[string]int{}
	for _, a := range c.seen() {
		status[fmt.Sprintf("%d complete %v %s", a.status, a.complete, a.err)]++
		g.rec.add(fmt.Sprintf("%8.3f sent %s to %s, ended %.3f: status %d signed %v complete %v %d bytes %s", g.at(a.sentAt), a.id, a.host, g.at(a.endedAt), a.status, a.signed, a.complete, len(a.body), a.err))
		if a.complete && a.signed && a.status == http.StatusInternalServerError {
			switch {
			case strings.HasPrefix(a.body, "x"):
				endless++
			case len(a.body) < errorBytes:
				short++
			}
		}
	}
	verdict := "held"
	if endless+short > 0 {
		verdict = "BROKEN"
	}
	g.note("answers %v", status)
	g.note("MIXED: %s: %d answers without end, and %d that were cut short, reached requesters as complete", verdict, endless, short)
	return endless+short > 0, nil
}

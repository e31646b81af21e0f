//go:build review

package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// silence: a sound replica falls silent for 1.5 s, and soon after it has gone on another
// replica crashes.
func silence(g *rig, trouble bool) (bool, error) {
	const perSecond, events = 60, 20
	var replicas []*replica
	for i := range 6 {
		p := &replica{name: fmt.Sprintf("i-%08x", 0xfc002d00+i), service: "dele69a", work: 10 * time.Millisecond, stage: "prefill"}
		if i < 4 {
			p.stage, p.work, p.events = "decode", 60*time.Millisecond, events
		}
		replicas = append(replicas, p)
		if err := g.startReplica(p); err != nil {
			return false, err
		}
	}
	g.store.Put("config", "main", configuration(7, []route{{"/lohu930/", "stream", "dele69a", 5000, 2, true}}, "dele69a"))
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
		replicas[0].pause(1500 * time.Millisecond)
		g.note("%s falls silent for 1.5 s", replicas[0].name)
		time.Sleep(1600 * time.Millisecond)
		if trouble {
			replicas[1].listener.crash()
			g.note("%s crashes", replicas[1].name)
			time.Sleep(3600 * time.Millisecond)
			g.store.Remove("servers", replicas[1].name)
		}
	}()
	c.load(perSecond, begin.Add(16*time.Second), func(n int) (request, bool) {
		return request{method: http.MethodPost, path: "/lohu930/2f", body: fmt.Sprintf("body %d", n), limit: 5 * time.Second, gap: 3200 * time.Millisecond, header: map[string]string{
			"X-Model": "m", "X-Token-Usage": "1460,80", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%x:660", n+1),
		}}, false
	})
	ranAt := map[string][]string{}
	for _, p := range replicas {
		for _, a := range p.seen() {
			g.rec.add(fmt.Sprintf("%8.3f arrived %s at %s stage %q after %q ran %v, work ended %.3f", g.at(a.at), a.id, a.replica, a.stage, a.after, a.ran, g.at(a.endedAt)))
			if a.ran {
				ranAt[a.id] = append(ranAt[a.id], a.replica)
			}
		}
	}
	lost, status := 0, map[string]int{}
	for _, a := range c.seen() {
		n := strings.Count(a.body, "\n\n")
		status[fmt.Sprintf("%d complete %v", a.status, a.complete)]++
		g.rec.add(fmt.Sprintf("%8.3f sent %s to %s, kept %v, ended %.3f: status %d complete %v events %d %s, ran at %v", g.at(a.sentAt), a.id, a.host, a.kept, g.at(a.endedAt), a.status, a.complete, n, a.err, ranAt[a.id]))
		if a.kept && !a.complete && slices.Contains(ranAt[a.id], replicas[0].name) {
			lost++
		}
	}
	verdict := "held"
	if lost > 3 {
		verdict = "BROKEN"
	}
	g.note("answers %v", status)
	g.note("LOST: %s: %d requests from kept channels that were passed on to %s, which was sound all the time, ended with their channel and without an answer, 3 are allowed", verdict, lost, replicas[0].name)
	return lost > 3, nil
}

//go:build review

package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// addedRoutes plays requests on the first routes, adds routes, and compares how requests on
// both are served. events is the number of events of a whole answer.
func (g *rig) addedRoutes(replicas []*replica, first, added []route, events int, trouble bool) (bool, error) {
	for _, p := range replicas {
		if err := g.startReplica(p); err != nil {
			return false, err
		}
	}
	g.store.Put("config", "main", configuration(7, first, "dele69a", "huvo11a"))
	store, err := g.serve(g.store)
	if err != nil {
		return false, err
	}
	if err := g.startHosts(3, func(int) string { return store }); err != nil {
		return false, err
	}
	c := newRequesters(g)
	defer c.close()
	paths := map[string]string{}
	send := func(routes []route, until time.Time) {
		c.load(20, until, func(n int) (request, bool) {
			r := routes[n%len(routes)]
			// The longest of two seconds, four times the objective and eight times the pause.
			return request{method: http.MethodPost, path: r.prefix + "2f", body: fmt.Sprintf("body %d", n), limit: time.Duration(r.timeoutMs) * time.Millisecond, gap: 3200 * time.Millisecond, header: map[string]string{
				"X-Model": "m", "X-Token-Usage": "1460,80", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%x:660", n+1),
			}}, false
		})
	}
	begin := time.Now()
	send(first, begin.Add(6*time.Second))
	routes := first
	if trouble {
		routes = slices.Concat(first, added)
		g.store.Put("config", "main", configuration(12, routes, "dele69a", "huvo11a"))
		for _, r := range added {
			g.note("version 12 adds the route %s", r.prefix)
		}
	}
	// Steady state: stability_ms after the last change.
	send(first, begin.Add(10*time.Second))
	send(routes, begin.Add(26*time.Second))
	for _, p := range replicas {
		for _, a := range p.seen() {
			paths[a.id] = a.path
			g.rec.add(fmt.Sprintf("%8.3f arrived %s at %s stage %q %s after %q, work ended %.3f", g.at(a.at), a.id, a.replica, a.stage, a.path, a.after, g.at(a.endedAt)))
		}
	}
	isAdded := func(path string) bool {
		return slices.ContainsFunc(added, func(r route) bool { return strings.HasPrefix(path, r.prefix) })
	}
	type count struct{ sent, served int }
	var on [2]count
	for _, a := range c.seen() {
		k := 0
		if isAdded(paths[a.id]) {
			k = 1
		}
		n := strings.Count(a.body, "\n\n")
		on[k].sent++
		if a.status == http.StatusOK && a.signed && a.complete && n == events {
			on[k].served++
		}
		g.rec.add(fmt.Sprintf("%8.3f sent %s to %s %s, ended %.3f: status %d complete %v events %d %s", g.at(a.sentAt), a.id, a.host, paths[a.id], g.at(a.endedAt), a.status, a.complete, n, a.err))
	}
	broken := on[1].sent >= 20 && 4*on[1].served*on[0].sent < on[0].served*on[1].sent
	verdict := "held"
	if broken {
		verdict = "BROKEN"
	}
	g.note("CONFIG: %s: %d of %d requests on the first routes were served, %d of %d on those that were added", verdict, on[0].served, on[0].sent, on[1].served, on[1].sent)
	return broken, nil
}

// ids: a new version of the config adds two routes to a service whose replicas number the
// events of a stream by the tokens so far.
func ids(g *rig, trouble bool) (bool, error) {
	const events = 6
	var replicas []*replica
	for i := range 10 {
		p := &replica{name: fmt.Sprintf("i-%08x", 0xfc002d00+i), service: "dele69a", work: 10 * time.Millisecond, stage: "prefill", events: events}
		if i%5 < 3 {
			p.stage, p.work = "decode", 40*time.Millisecond
		}
		if i >= 5 {
			p.service, p.stride = "huvo11a", 13
		}
		replicas = append(replicas, p)
	}
	first := []route{{"/lohu930/", "stream", "dele69a", 5000, 2, true}, {"/pufi791/", "stream", "dele69a", 3000, 1, false}}
	added := []route{{"/lohu931/", "stream", "huvo11a", 5000, 2, true}, {"/pufi792/", "stream", "huvo11a", 3000, 1, false}}
	return g.addedRoutes(replicas, first, added, events, trouble)
}

//go:build review

package main

import (
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/sassafraslug/sassafraslug/platform/slugstandin"
)

// revokeBound is revoke_ms.
const revokeBound = 5 * time.Second

// copyKey: the store comes back from a copy made before a key was taken away, and all
// processes were killed as it went away.
func copyKey(g *rig, trouble bool) (bool, error) {
	const takenAway = "nu6wsjnbanfqasnmgkcu"
	var replicas []*replica
	for i := range 3 {
		p := &replica{name: fmt.Sprintf("i-%08x", 0xfc002d00+i), service: "xano55b", work: 30 * time.Millisecond}
		replicas = append(replicas, p)
		if err := g.startReplica(p); err != nil {
			return false, err
		}
	}
	config := func(version int, keys ...string) map[string]any {
		c := configuration(version, []route{{"/puxa403/", "safe", "xano55b", 1500, 2, false}})
		c["tenants"] = []any{map[string]any{"name": tenantName, "api_keys": keys, "priority": 1}}
		return c
	}
	g.store.Put("config", "main", config(7, apiKey, takenAway))
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
	revoked := make(chan time.Time, 1)
	go func() {
		at := func(d time.Duration) { time.Sleep(time.Until(begin.Add(8*time.Second + d))) }
		at(0)
		copied := g.store.Copy()
		g.note("a copy of the store is made")
		at(500 * time.Millisecond)
		g.store.Put("config", "main", config(8, apiKey))
		revoked <- time.Now()
		g.note("version 8, which takes a key away, is confirmed")
		if !trouble {
			return
		}
		at(4 * time.Second)
		g.store.SetFaults(slugstandin.StoreFaults{Refuse: true})
		for _, h := range g.hosts {
			h.signal(syscall.SIGKILL, true)
		}
		g.note("the store goes away, and all processes are killed")
		for _, h := range g.hosts {
			h.kill()
		}
		at(4500 * time.Millisecond)
		for _, h := range g.hosts {
			if err := h.restart(); err != nil {
				g.note("%v", err)
			}
		}
		at(6 * time.Second)
		g.store.Restore(copied)
		g.store.SetFaults(slugstandin.StoreFaults{})
		g.note("the store is back from the copy")
		at(8 * time.Second)
		g.store.Put("config", "main", config(8, apiKey))
		g.note("the operator writes version 8 again")
	}()
	c.load(60, begin.Add(22*time.Second), func(n int) (request, bool) {
		key := apiKey
		if n%2 == 1 {
			key = takenAway
		}
		return request{method: http.MethodPost, path: "/puxa403/2f", body: "x", limit: 1500 * time.Millisecond, header: map[string]string{"X-Key": key}}, true
	})
	return g.checkKey(replicas, c, takenAway, <-revoked), nil
}

// checkKey counts the requests with a key that were sent later than revokeBound after it was
// taken away, and ran.
func (g *rig) checkKey(replicas []*replica, c *requesters, key string, revoked time.Time) bool {
	ran := map[string]bool{}
	for _, p := range replicas {
		for _, a := range p.seen() {
			ran[a.id] = ran[a.id] || a.ran
		}
	}
	late, first, last := 0, time.Time{}, time.Time{}
	attempts := c.seen()
	slices.SortFunc(attempts, func(a, b attempt) int { return a.sentAt.Compare(b.sentAt) })
	for _, a := range attempts {
		g.rec.add(fmt.Sprintf("%8.3f sent %s to %s, key taken away %v, ended %.3f: status %d %s, ran %v", g.at(a.sentAt), a.id, a.host, a.key == key, g.at(a.endedAt), a.status, a.err, ran[a.id]))
		if a.key != key || !ran[a.id] || a.sentAt.Sub(revoked) <= revokeBound {
			continue
		}
		if late++; late == 1 {
			first = a.sentAt
		}
		last = a.sentAt
	}
	if late == 0 {
		g.note("CONFIG: held: no request with the key ran that was sent later than %s after it was taken away", revokeBound)
		return false
	}
	g.note("CONFIG: BROKEN: %d requests with the key ran that were sent later than %s after it was taken away, from %.3f s to %.3f s after", late, revokeBound, first.Sub(revoked).Seconds(), last.Sub(revoked).Seconds())
	return true
}

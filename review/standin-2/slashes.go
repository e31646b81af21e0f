//go:build review

package main

import (
	"fmt"
	"strings"
)

// playSlashes sends requests with ordinary paths and, as the disruption, with paths that begin
// with two slashes.
func playSlashes(r *rig, trouble bool) (broken bool, err error) {
	f := &servers{rig: r}
	defer f.closeAll()
	if err := f.add(plainService, ""); err != nil {
		return false, err
	}
	if err := r.startHosts(1); err != nil {
		return false, err
	}
	targets := []string{"/accounts/7", "/accounts//7", "/accounts/7?from=//a"}
	if trouble {
		targets = append(targets, "//accounts/7", "//accounts/7?from=//a", "//accounts/close/7")
	}
	c := client{host: r.hosts[0]}
	defer c.close()
	for i, target := range targets {
		q := request{ID: fmt.Sprintf("q-%d", i), Method: "POST", Target: target}
		a := c.do(q)
		r.note("client sent %q for host %s: status %d, signed %v, %q", q.Method+" "+target, hostName, a.Status, a.Signed, a.Body)
		path, _, _ := strings.Cut(target, "?")
		f.mu.Lock()
		for _, x := range f.arrivals {
			if x.id != q.ID {
				continue
			}
			r.note("server ran %q: path %q of host %q", x.target, x.path, x.host)
			if x.path != path || x.host != hostName {
				broken = true
			}
		}
		f.mu.Unlock()
	}
	return broken, nil
}

//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	// streams is the number of streams that are sent, and maxCut the number of them that may end
	// without a complete answer.
	streams = 10
	maxCut  = 3
)

// playEvents sends streams to sound servers, whose events hold one token or, as the disruption,
// two. Each goes over a channel on which a request was answered before.
func playEvents(r *rig, trouble bool) (broken bool, err error) {
	f := &servers{rig: r}
	if trouble {
		f.tokensPerEvent = 2
	}
	defer f.closeAll()
	for _, stage := range []string{prefill, decode, decode} {
		if err := f.add(modelService, stage); err != nil {
			return false, err
		}
	}
	if err := f.add(plainService, ""); err != nil {
		return false, err
	}
	if err := r.startHosts(2); err != nil {
		return false, err
	}
	// New decode engines get requests after a while.
	time.Sleep(2 * time.Second)
	cut := 0
	for i := range streams {
		c := client{host: r.hosts[i%len(r.hosts)]}
		a := c.do(request{ID: fmt.Sprintf("q-%d", i), Method: "GET", Target: "/lookup/x"})
		r.note("client: q-%d: status %d, channel kept %v", i, a.Status, c.conn != nil)
		q := request{ID: fmt.Sprintf("t-%d", i), Method: "POST", Target: "/ask/x", Parts: []string{"a", fmt.Sprintf("b%x", i)}}
		a = c.do(q)
		r.note("client: %s: status %d, closed by the host %v (%v), %q", q.ID, a.Status, a.closedByHost(), a.Err, a.Body)
		if a.closedByHost() {
			cut++
		}
		c.close()
	}
	r.note("streams that ended without a complete answer: %d of %d, allowed %d", cut, streams, maxCut)
	return cut > maxCut, nil
}

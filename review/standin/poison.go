//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/platform/slugstandin"
)

const (
	// sharedPart is the first part of all prompts, and badPart the one that crashes replicas.
	sharedPart, soundPart, badPart = "5c1e07a2", "91bd3f06", "e4402b7d"
	// downFor is how long a replica is away after a crash.
	downFor = 2500 * time.Millisecond
	// burstSize requests with the bad part come together, every burstEvery.
	burstSize, burstEvery = 6, 5 * time.Second
	// stability is stability_ms.
	stability = 3 * time.Second
)

// crashes records the crashes of replicas.
type crashes struct {
	mu sync.Mutex
	at []time.Time
}

func (c *crashes) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
}

// crashAndReturn ends a replica with its channels, and starts it again after downFor.
func (g *rig) crashAndReturn(p *replica) {
	p.mu.Lock()
	l := p.listener
	p.mu.Unlock()
	l.crash()
	go func() {
		time.Sleep(downFor)
		next, err := net.Listen("tcp", p.address)
		if err != nil {
			g.note("%s could not return: %v", p.name, err)
			return
		}
		p.mu.Lock()
		p.born = time.Now().UnixMilli()
		p.listener = &resettable{Listener: next, conns: map[net.Conn]bool{}}
		p.running = make(chan struct{}, cap(p.running))
		l := p.listener
		p.mu.Unlock()
		_ = g.serveOn(l, p)
		g.store.Put("servers", p.name, p.entry("ready"))
	}()
}

// poison: requests with a part that crashes replicas come several at once.
func poison(g *rig, trouble bool) (bool, error) {
	var replicas []*replica
	var fallen crashes
	for i := range 11 {
		p := &replica{name: fmt.Sprintf("i-%08x", 0xfc002d00+i), service: "dele69a", work: 10 * time.Millisecond, stage: "prefill"}
		if i < 9 {
			p.stage, p.work, p.events = "decode", 20*time.Millisecond, 5
			p.plan = func(p *replica, r *http.Request) fault {
				if trouble && r.Header.Get("X-Stage") == "" && slugstandin.HasSharedPart(r.Header.Get("X-Prompt-Prefix"), badPart) {
					return func(p *replica, _ http.ResponseWriter, _ *http.Request, a *arrival) {
						a.ran = true
						fallen.add()
						g.note("%s crashes as it begins to write the answer to %s", p.name, a.id)
						g.crashAndReturn(p)
						panic(http.ErrAbortHandler)
					}
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
	until := begin.Add(38 * time.Second)
	prompt := func(part string, n int) request {
		return request{method: http.MethodPost, path: "/pufi791/2f", body: fmt.Sprintf("body %s %d", part, n), limit: 3 * time.Second, header: map[string]string{
			"X-Model": "m", "X-Token-Usage": "1460,80", "X-Prompt-Prefix": fmt.Sprintf("%s:800,%s:410,%x:250", sharedPart, part, n+1),
		}}
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			at := begin.Add(8*time.Second + time.Duration(n)*burstEvery)
			if at.After(until) {
				return
			}
			time.Sleep(time.Until(at))
			for i := range burstSize {
				wg.Go(func() {
					c.send(g.hosts[i%len(g.hosts)], prompt(badPart, 100000+n*burstSize+i), time.Now().Add(3*time.Second), true)
				})
			}
		}
	})
	c.load(20, until, func(n int) (request, bool) { return prompt(soundPart, n), false })
	wg.Wait()
	return g.checkPoison(replicas, c, &fallen), nil
}

// checkPoison counts the requests with the bad part that ran later than stability after the
// fifth crash.
func (g *rig) checkPoison(replicas []*replica, c *requesters, fallen *crashes) bool {
	status := map[string]int{}
	for _, a := range c.seen() {
		status[fmt.Sprintf("%d complete %v %s", a.status, a.complete, a.err)]++
		g.rec.add(fmt.Sprintf("%8.3f sent %s to %s, ended %.3f: status %d complete %v %s", g.at(a.sentAt), a.id, a.host, g.at(a.endedAt), a.status, a.complete, a.err))
	}
	fallen.mu.Lock()
	at := slices.Clone(fallen.at)
	fallen.mu.Unlock()
	late := 0
	for _, p := range replicas {
		for _, a := range p.seen() {
			bad := strings.Contains(a.body, badPart)
			g.rec.add(fmt.Sprintf("%8.3f arrived %s at %s stage %q bad part %v ran %v", g.at(a.at), a.id, a.replica, a.stage, bad, a.ran))
			if bad && a.ran && len(at) >= 5 && a.at.Sub(at[4]) > stability {
				late++
			}
		}
	}
	verdict := "held"
	if late > 3 {
		verdict = "BROKEN"
	}
	g.note("answers %v, crashes %d", status, len(at))
	g.note("BUDGET: %s: %d requests with the bad part ran later than %s after the fifth crash, 3 are allowed", verdict, late, stability)
	return late > 3
}

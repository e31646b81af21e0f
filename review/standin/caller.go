//go:build review

package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// attempt is one requester attempt as the requester saw it.
type attempt struct {
	id       string
	sentAt   time.Time
	endedAt  time.Time
	host     string
	key      string
	kept     bool
	status   int
	signed   bool
	complete bool
	body     string
	err      string
}

// request is what a requester sends.
type request struct {
	method, path, body string
	header             map[string]string
	limit              time.Duration
	// gap is the time without an event after which the requester leaves; 0 means none.
	gap time.Duration
}

// key returns the API key that the request carries.
func (q request) key() string { return cmp.Or(q.header["X-Key"], apiKey) }

// nextRead returns the time until which the requester waits for the next bytes.
func (q request) nextRead(deadline time.Time) time.Time {
	until := deadline.Add(200 * time.Millisecond)
	if gap := time.Now().Add(q.gap); q.gap > 0 && gap.Before(until) {
		return gap
	}
	return until
}

// read reads a body.
func (q request) read(c net.Conn, body io.Reader, deadline time.Time) (out []byte, err error) {
	b := make([]byte, 32<<10)
	for {
		_ = c.SetReadDeadline(q.nextRead(deadline))
		n, err := body.Read(b)
		out = append(out, b[:n]...)
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return out, err
		}
	}
}

// requesters send requests to hosts.
type requesters struct {
	g        *rig
	mu       sync.Mutex
	n        int
	attempts []*attempt
	kept     map[string][]*channel
}

type channel struct {
	net.Conn
	r *bufio.Reader
}

func newRequesters(g *rig) *requesters { return &requesters{g: g, kept: map[string][]*channel{}} }

// channelTo returns a kept channel to a host, or a new one.
func (c *requesters) channelTo(address string, fresh bool) (ch *channel, kept bool, err error) {
	c.mu.Lock()
	if list := c.kept[address]; len(list) > 0 && !fresh {
		ch := list[len(list)-1]
		c.kept[address] = list[:len(list)-1]
		c.mu.Unlock()
		return ch, true, nil
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, false, err
	}
	return &channel{conn, bufio.NewReader(conn)}, false, nil
}

func (c *requesters) keep(address string, ch *channel) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept[address] = append(c.kept[address], ch)
}

// send sends one attempt to a host and waits for its end.
func (c *requesters) send(h *host, q request, deadline time.Time, fresh bool) *attempt {
	c.mu.Lock()
	c.n++
	a := &attempt{id: fmt.Sprintf("%016x", 0x1c41d07be2a30000+int64(c.n)), sentAt: time.Now(), host: h.name, key: q.key()}
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	defer func() { a.endedAt = time.Now() }()
	ch, kept, err := c.channelTo(h.callers, fresh)
	a.kept = kept
	if err != nil {
		a.err = "no connection"
		return a
	}
	_ = ch.SetDeadline(deadline.Add(200 * time.Millisecond))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Key: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, routeHost, a.id, q.key(), time.Until(deadline).Milliseconds()+1)
	for k, v := range q.header {
		if k == "X-Key" {
			continue
		}
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if q.body != "" || q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	if _, err := io.WriteString(ch, b.String()); err != nil {
		a.err = err.Error()
		_ = ch.Close()
		return a
	}
	_ = ch.SetReadDeadline(q.nextRead(deadline))
	resp, err := http.ReadResponse(ch.r, &http.Request{Method: q.method})
	if err != nil {
		a.err = err.Error()
		_ = ch.Close()
		return a
	}
	a.status, a.signed = resp.StatusCode, resp.Header.Get("X-Server-Signature") != ""
	body, err := q.read(ch, resp.Body, deadline)
	a.body = string(body)
	if err != nil {
		a.err = err.Error()
		_ = ch.Close()
		return a
	}
	a.complete = true
	if resp.Close {
		_ = ch.Close()
	} else {
		c.keep(h.callers, ch)
	}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		time.Sleep(min(time.Duration(s*float64(time.Second)), time.Until(deadline)/3))
	}
	return a
}

// work sends a request, and once more on a new channel if that is allowed.
func (c *requesters) work(q request, idempotent bool) {
	deadline := time.Now().Add(q.limit)
	hosts := c.g.hosts
	n := rand.IntN(len(hosts))
	a := c.send(hosts[n], q, deadline, false)
	failed := a.status == 0 || a.status >= 500
	notRun := a.complete && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421)
	if failed && (idempotent || notRun) && time.Until(deadline) > 200*time.Millisecond {
		c.send(hosts[(n+1)%len(hosts)], q, deadline, true)
	}
}

// load sends requests at a rate until the end of a time.
func (c *requesters) load(perSecond float64, until time.Time, next func(n int) (request, bool)) {
	var wg sync.WaitGroup
	interval := time.Duration(float64(time.Second) / perSecond)
	begin := time.Now()
	for n := 0; ; n++ {
		at := begin.Add(time.Duration(n) * interval)
		if at.After(until) {
			break
		}
		time.Sleep(time.Until(at))
		q, idempotent := next(n)
		wg.Go(func() { c.work(q, idempotent) })
	}
	wg.Wait()
}

// seen returns the attempts so far.
func (c *requesters) seen() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]attempt, len(c.attempts))
	for i, a := range c.attempts {
		out[i] = *a
	}
	return out
}

// close closes the kept channels.
func (c *requesters) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.kept {
		for _, ch := range list {
			_ = ch.Close()
		}
	}
}

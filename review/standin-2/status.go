//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// spoiltEvery is which answer of the faulty server has a spoilt status line.
	spoiltEvery = 30
	// statusRequests is the number of requests, and statusPause the time between two of them.
	statusRequests, statusPause = 200, 25 * time.Millisecond
)

// spoil answers with a status line in which the first digit of the status is lost.
func (s *server) spoil(w http.ResponseWriter, id, body string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 000 OK\r\nX-Request-Id: %s\r\nX-Server-Signature: signed.%s\r\nContent-Length: %d\r\n\r\n%s", id, s.name, len(body), body)
}

// playStatus sends requests to two servers. As the disruption, one of them spoils some answers.
func playStatus(r *rig, trouble bool) (broken bool, err error) {
	f := &servers{rig: r}
	defer f.closeAll()
	for range 2 {
		if err := f.add(plainService, ""); err != nil {
			return false, err
		}
	}
	if trouble {
		f.list[0].spoiltEvery = spoiltEvery
	}
	if err := r.startHosts(1); err != nil {
		return false, err
	}
	c := client{host: r.hosts[0]}
	defer c.close()
	wrong := 0
	for i := range statusRequests {
		q := request{ID: fmt.Sprintf("q-%d", i), Method: "POST", Target: "/accounts/7"}
		a := c.do(q)
		if a.Status != http.StatusOK || a.Err != nil {
			r.note("client: %s: status %d, signed %v, body %q, error %v", q.ID, a.Status, a.Signed, a.Body, a.Err)
			if a.Signed {
				wrong++
			}
		}
		time.Sleep(statusPause)
	}
	r.note("failures with the signature of a server that did not give that status: %d, allowed 0", wrong)
	return wrong > 0, nil
}

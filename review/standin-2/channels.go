//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// strangerChannels is the number of channels that strangers keep open to one host, a little
	// over what it allows: 40% of its descriptors.
	strangerChannels = descriptors*4/10 + 60
	// redialPause is the time after which a stranger opens a channel again that the host closed.
	redialPause = time.Second
	// channelTime is how long requesters try, each with a new channel each tryPause.
	channelTime, tryPause = 24 * time.Second, 250 * time.Millisecond
	requesters            = 8
)

// playChannels keeps many channels of strangers open to one of two hosts, while requesters open
// new ones. Each stranger sends one ordinary request or, as the disruption, one whose header
// Content-Length has 60 spaces before its value, and whose body doesn't come. With
// STRANGERS=preface it sends the first two lines of the preface of HTTP/2 instead.
func playChannels(r *rig, trouble bool) (broken bool, err error) {
	f := &servers{rig: r}
	defer f.closeAll()
	for range 2 {
		if err := f.add(plainService, ""); err != nil {
			return false, err
		}
	}
	if err := r.startHosts(2); err != nil {
		return false, err
	}
	text := request{ID: "stranger", Method: "GET", Target: "/lookup/s"}.head()
	switch {
	case trouble && os.Getenv("STRANGERS") == "preface":
		text = "PRI * HTTP/2.0\r\n\r\n"
	case trouble:
		text = strings.Replace(text, "Content-Length: 0", "Content-Length:"+strings.Repeat(" ", 60)+"5", 1)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	failed := make(chan error, strangerChannels)
	for range strangerChannels {
		clients.Go(func() {
			for !ended(stop) {
				if err := keepOpen(r.hosts[0].address("front"), text, stop); err != nil {
					failed <- err
					return
				}
				select {
				case <-stop:
				case <-time.After(redialPause):
				}
			}
		})
	}
	r.note("strangers keep %d channels open to %s, with %d bytes each: %q", strangerChannels, r.hosts[0].name, len(text), text)
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	// takenAt is when a host last took a new channel, and longest the longest time without that
	// while it said that it was ready.
	takenAt, longest := map[*host]time.Time{}, map[*host]time.Duration{}
	tried, served, answers := map[*host]int{}, map[*host]int{}, map[string]int{}
	for _, h := range r.hosts {
		takenAt[h] = time.Now()
	}
	begun := time.Now()
	for n := range requesters {
		for _, h := range r.hosts {
			clients.Go(func() {
				for i := 0; time.Since(begun) < channelTime; i++ {
					c := client{host: h}
					a := c.do(request{ID: fmt.Sprintf("q-%s-%d-%d", h.name, n, i), Method: "GET", Target: "/lookup/x"})
					c.close()
					mu.Lock()
					tried[h]++
					answers[fmt.Sprintf("%s: status %d", h.name, a.Status)]++
					if a.Status == http.StatusOK && a.Signed {
						served[h]++
						takenAt[h] = time.Now()
					}
					mu.Unlock()
					time.Sleep(tryPause)
				}
			})
		}
	}
	for time.Since(begun) < channelTime {
		for _, h := range r.hosts {
			ready := h.ready()
			mu.Lock()
			if !ready {
				takenAt[h] = time.Now()
			}
			longest[h] = max(longest[h], time.Since(takenAt[h]))
			r.note("%s: ready %v; %d of %d requests on new channels served so far, the last one %.1f s ago", h.name, ready, served[h], tried[h], time.Since(takenAt[h]).Seconds())
			mu.Unlock()
		}
		time.Sleep(time.Second)
	}
	close(stop)
	clients.Wait()
	if len(failed) > 0 {
		return false, <-failed
	}
	r.note("answers: %v", answers)
	for _, h := range r.hosts {
		r.note("%s was ready and took no new channel for at most %.1f s; %s is allowed", h.name, longest[h].Seconds(), stability)
		broken = broken || longest[h] > stability
	}
	return broken, nil
}

// keepOpen opens a channel, sends a text and returns when the host has closed the channel, or at
// the end. An error means that the channel could not be opened.
func keepOpen(address, text string, stop <-chan struct{}) error {
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.WriteString(conn, text)
		_, _ = io.Copy(io.Discard, conn)
	}()
	select {
	case <-closed:
	case <-stop:
	}
	return nil
}

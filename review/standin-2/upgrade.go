//go:build review

package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the time between the writes of a server's entry.
	heartbeat = 1200 * time.Millisecond
	// silenceTime is how long a sound server falls silent, and silenceAfter the time from the
	// streams' begin to it.
	silenceTime  = 1500 * time.Millisecond
	silenceAfter = 800 * time.Millisecond
	// startedBefore is the time from the restart to the streams' begin.
	startedBefore = 600 * time.Millisecond
	// newStreams is the number of streams that begin after the restart.
	newStreams = 32
	// maxJoined is how many streams may be joined.
	maxJoined = 2
)

// restart starts the server again under its ID as another version of its software. It writes
// its entry one heartbeat later, or after the time in the variable ENTRY, for comparison.
func (s *server) restart(version string) error {
	s.mu.Lock()
	x := s.running
	s.version = version
	s.mu.Unlock()
	_ = x.Close()
	if err := s.listen(); err != nil {
		return err
	}
	delay := heartbeat
	if d, err := time.ParseDuration(os.Getenv("ENTRY")); err == nil {
		delay = d
	}
	time.AfterFunc(delay, func() {
		s.awaitSound()
		s.register()
		s.rig.note("server %s writes its entry: version %s", s.name, version)
	})
	return nil
}

// silence makes the server pause for a time.
func (s *server) silence(d time.Duration) {
	s.mu.Lock()
	s.silentTo = time.Now().Add(d)
	s.mu.Unlock()
}

// awaitSound waits for the end of a silence.
func (s *server) awaitSound() {
	s.mu.Lock()
	d := time.Until(s.silentTo)
	s.mu.Unlock()
	time.Sleep(d)
}

// playUpgrade sends streams to four servers, one of which soon falls silent for a while. As the
// disruption, that one has started again as another version just before. The variable PAUSE sets
// the time from the restart to the streams, for comparison.
func playUpgrade(r *rig, trouble bool) (broken bool, err error) {
	f := &servers{rig: r, streamTokens: 20, eventTime: 60 * time.Millisecond}
	defer f.closeAll()
	for i := range 6 {
		stage := decode
		if i < 2 {
			stage = prefill
		}
		if err := f.add(modelService, stage); err != nil {
			return false, err
		}
	}
	if err := r.startHosts(2); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	pause := startedBefore
	if d, err := time.ParseDuration(os.Getenv("PAUSE")); err == nil {
		pause = d
	}
	s := f.list[2]
	if trouble {
		if err := s.restart("v2"); err != nil {
			return false, err
		}
		r.note("server %s has started again under its ID as version v2", s.name)
	}
	time.Sleep(pause)
	var clients sync.WaitGroup
	answers := make([]answer, newStreams)
	for i := range answers {
		clients.Go(func() {
			c := client{host: r.hosts[i%len(r.hosts)]}
			defer c.close()
			answers[i] = c.do(request{ID: fmt.Sprintf("q-%d", i), Method: "POST", Target: "/ask/x", Parts: []string{"1000", fmt.Sprintf("e%x", i)}})
		})
	}
	time.Sleep(silenceAfter)
	s.silence(silenceTime)
	r.note("server %s is silent for %s", s.name, silenceTime)
	clients.Wait()
	joined := 0
	for i, a := range answers {
		versions := versionsOf(a.Body)
		r.note("client: q-%d: status %d, error %v, %d events of versions %v", i, a.Status, a.Err, strings.Count(a.Body, "\n\n"), versions)
		if len(versions) > 1 {
			if joined == 0 {
				r.note("its events: %q", a.Body)
			}
			joined++
		}
	}
	f.mu.Lock()
	for _, a := range f.arrivals {
		r.note("server %s got %s %.3f s after the begin, to go on after event %q", a.server, a.id, a.at.Sub(r.begun).Seconds(), a.after)
	}
	f.mu.Unlock()
	r.note("streams with events of two versions: %d, allowed %d", joined, maxJoined)
	return joined > maxJoined, nil
}

// versionsOf returns the versions that wrote the events of an answer.
func versionsOf(body string) (out []string) {
	for line := range strings.Lines(body) {
		if _, v, ok := strings.Cut(strings.TrimSpace(line), " by "); ok && !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	return out
}

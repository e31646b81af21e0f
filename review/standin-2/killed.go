//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// killedStreams is the number of streams that run when the processes are killed, and of new
	// ones that begin when these are taken up again.
	killedStreams = 24
	// killedAfter is the time from the streams' begin to the kill, and downTime the time until the
	// processes are started again.
	killedAfter, downTime = 400 * time.Millisecond, 300 * time.Millisecond
	// takenUpAfter is the time from the start of the processes, or in calm from when they would
	// have been started, to the take-ups that count. All machines are in touch then.
	takenUpAfter = stability + 200*time.Millisecond
	// earlyTakeUp is the time from the start of the processes to a try before that, with EARLY=1.
	earlyTakeUp = 700 * time.Millisecond
	// minTakenUp is the number of streams that must be taken up for the rule to apply.
	minTakenUp = 12
	// observedTime is how long the hosts run before the streams begin.
	observedTime = 20 * time.Second
)

// received is what a client got of a stream.
type received struct {
	status, events int
	// last is the ID of the last event.
	last string
	// complete is set if the last piece arrived.
	complete bool
	versions []string
	err      error
}

// readStream sends a request for a stream on a new channel and reads its events until the stream
// ends or broken is closed, which closes the channel. after and resumes are those of a take-up,
// and left is what is left of the client's time.
func readStream(h *host, q request, after, resumes string, left time.Duration, tokens int, broken <-chan struct{}) (x received) {
	conn, err := net.DialTimeout("tcp", h.address("front"), time.Second)
	if err != nil {
		return received{err: err}
	}
	defer func() { _ = conn.Close() }()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-broken:
			_ = conn.Close()
		case <-done:
		}
	}()
	_ = conn.SetDeadline(time.Now().Add(left))
	head := strings.Replace(q.head(), fmt.Sprintf("X-Deadline-Ms: %d", requestTimeout.Milliseconds()), fmt.Sprintf("X-Deadline-Ms: %d", left.Milliseconds()), 1)
	if resumes != "" {
		head = strings.TrimSuffix(head, "\r\n") + fmt.Sprintf("Last-Event-Id: %s\r\nResumes: %s\r\n\r\n", after, resumes)
	}
	if _, x.err = conn.Write([]byte(head)); x.err != nil {
		return x
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.Method})
	if err != nil {
		return received{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	x.status = resp.StatusCode
	id, text := "", ""
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		line := lines.Text()
		text += line + "\n"
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			id = v
		}
		if strings.HasPrefix(line, fmt.Sprintf("data: token %d of ", tokens)) {
			x.complete = true
		}
		if line == "" && id != "" {
			x.events, x.last = x.events+1, id
		}
	}
	x.err, x.versions = lines.Err(), versionsOf(text)
	return x
}

// restart starts a killed process again. The system has been started before.
func (h *host) restart() error {
	b, err := os.ReadFile(h.settings)
	if err != nil {
		return err
	}
	text := strings.Replace(string(b), "firstStart = true", "firstStart = false", 1)
	if err := os.WriteFile(h.settings, []byte(text), 0o644); err != nil {
		return err
	}
	return h.start()
}

// playKilled begins streams while servers of two software versions serve. The channels of all
// streams break; as the disruption, since the processes of all machines are killed at once. They
// are started again, and the clients take their streams up when all machines are in touch. With
// EARLY=1, for comparison, they try once before, and with VERSIONS=1 all servers have one version.
func playKilled(r *rig, trouble bool) (broken bool, err error) {
	f := &servers{rig: r, streamTokens: 12, eventTime: 100 * time.Millisecond}
	defer f.closeAll()
	for i := range 6 {
		stage := decode
		if i < 2 {
			stage = prefill
		}
		if err := f.add(modelService, stage); err != nil {
			return false, err
		}
		if i >= 4 && os.Getenv("VERSIONS") != "1" {
			f.list[i].version = "v2"
			f.list[i].register()
		}
	}
	if err := r.startHosts(3); err != nil {
		return false, err
	}
	time.Sleep(observedTime)
	play := func(kind string, before []received, begunAt time.Time, channels <-chan struct{}) []received {
		out := make([]received, killedStreams)
		var clients sync.WaitGroup
		for i := range out {
			q := request{ID: fmt.Sprintf("%s-%d", kind, i), Method: "POST", Target: "/ask/x", Parts: []string{"1000", fmt.Sprintf("%se%x", map[bool]string{true: "1", false: "2"}[kind == "new"], i)}}
			after, resumes := "", ""
			if before != nil {
				if before[i].events == 0 || before[i].complete {
					continue
				}
				after, resumes = before[i].last, fmt.Sprintf("first-%d", i)
			}
			clients.Go(func() {
				out[i] = readStream(r.hosts[i%len(r.hosts)], q, after, resumes, requestTimeout-time.Since(begunAt), f.streamTokens, channels)
			})
		}
		clients.Wait()
		for i, x := range out {
			r.note("client: %s-%d: status %d, %d events of versions %v, the last one %q, complete %v, error %v", kind, i, x.status, x.events, x.versions, x.last, x.complete, x.err)
		}
		return out
	}
	breaks, begunAt := make(chan struct{}), time.Now()
	time.AfterFunc(killedAfter, func() {
		if trouble {
			for _, h := range r.hosts {
				h.kill()
			}
			r.note("the processes of all %d machines are killed", len(r.hosts))
		}
		close(breaks)
	})
	first := play("first", nil, begunAt, breaks)
	time.Sleep(time.Until(begunAt.Add(killedAfter + downTime)))
	if trouble {
		for _, h := range r.hosts {
			if err := h.restart(); err != nil {
				return false, err
			}
		}
		r.note("the processes are started again")
	}
	startedAt := time.Now()
	if trouble && os.Getenv("EARLY") == "1" {
		time.Sleep(earlyTakeUp)
		early := play("early", first, begunAt, nil)
		for i, x := range early {
			if x.events > 0 {
				first[i].complete = true // It went on before the machines were in touch.
			}
		}
	}
	time.Sleep(time.Until(startedAt.Add(takenUpAfter)))
	for _, h := range r.hosts {
		r.note("%s is ready: %v", h.name, h.ready())
	}
	var again, fresh []received
	var both sync.WaitGroup
	both.Go(func() { again = play("again", first, begunAt, nil) })
	both.Go(func() { fresh = play("new", nil, time.Now(), nil) })
	both.Wait()
	takenUp, wentOn, begun := 0, 0, 0
	for i := range first {
		if first[i].events > 0 && !first[i].complete {
			takenUp++
			if again[i].events > 0 {
				wentOn++
			}
		}
		if fresh[i].events > 0 {
			begun++
		}
	}
	r.note("taken up again at machines in touch: %d, of which %d went on; new streams: %d of %d began", takenUp, wentOn, begun, killedStreams)
	return takenUp >= minTakenUp && wentOn*killedStreams*2 < takenUp*begun, nil
}

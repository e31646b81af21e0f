package slugcheck

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// events returns events first to last of a run.
func events(first, last int, version, run string) (out []Event) {
	for n := first; n <= last; n++ {
		out = append(out, Event{n, "w", version, run})
	}
	return out
}

// plain returns a sound attempt, and stream a sound stream of four events.
func plain(kind Kind) Attempt {
	return Attempt{ID: "r", Work: "w", Kind: kind, SentAt: at(0), EndedAt: at(time.Second), Deadline: at(3 * time.Second), Status: 200, EchoedID: "r", Signed: true, Body: AnswerTo("r"), End: Complete}
}

func stream(kind Kind) Attempt {
	a := plain(kind)
	a.Body, a.Last, a.Events = "", 4, events(1, 4, "v1", "e#1")
	return a
}

func with(a Attempt, change func(*Attempt)) Attempt {
	change(&a)
	return a
}

func cut(a *Attempt)    { a.End, a.Events = Closed, a.Events[:2] }
func unread(a *Attempt) { a.End, a.Status, a.EndedAt = Closed, 0, at(100*time.Millisecond) }

// leave makes an attempt one whose caller left, and late is a request sent more than goneSlack after that.
func leave(a *Attempt) {
	a.End, a.Status, a.Events, a.EndedAt, a.GoneAt = Left, 0, nil, at(90*time.Millisecond), at(100*time.Millisecond)
}

var late = Arrival{ID: "r", Endpoint: "e", Connection: "c", SentAt: at(601 * time.Millisecond), At: at(602 * time.Millisecond), Ran: true}

var arrival = Arrival{ID: "r", Endpoint: "e", Connection: "c", SentAt: at(9 * time.Millisecond), At: at(10 * time.Millisecond), Ran: true}

// Each planted fault must be found by the checker of its promise and by no other.
func TestPlantedFaults(t *testing.T) {
	refusal := with(plain(Unsafe), func(a *Attempt) { a.Status = 503 })
	again := with(stream(Resumable), func(a *Attempt) { a.After, a.Events = 2, events(3, 4, "v2", "f#1") })
	for _, tt := range []struct {
		name string
		o    Observation
		want Promise
	}{
		{"read and closed", Observation{Attempts: []Attempt{with(plain(Safe), unread)}, Arrivals: []Arrival{arrival}}, Lost},
		{"closed late", Observation{Attempts: []Attempt{with(plain(Safe), func(a *Attempt) { a.End, a.Status = Closed, 0 })}}, Lost},
		{"no response at all", Observation{Attempts: []Attempt{with(plain(Safe), func(a *Attempt) { a.End, a.Status, a.EndedAt = TimedOut, 0, at(4*time.Second) })}}, Lost},
		{"stream cut", Observation{Attempts: []Attempt{with(stream(Resumable), cut)}, Arrivals: []Arrival{arrival}}, Lost},
		{"closed late, stopped later", Observation{Attempts: []Attempt{with(plain(Safe), func(a *Attempt) { a.End, a.Status = Closed, 0 })}, Outages: []Outage{{0, at(250 * time.Millisecond), at(time.Second), false}, {0, at(500 * time.Millisecond), at(800 * time.Millisecond), false}}}, Lost},
		{"read before a stop", Observation{Attempts: []Attempt{with(plain(Safe), unread)}, Arrivals: []Arrival{arrival}, Outages: []Outage{{0, at(-time.Second), at(time.Second), false}}}, Lost},
		{"stream cut shortly before its time limit", Observation{Attempts: []Attempt{with(stream(Once), func(a *Attempt) { cut(a); a.EndedAt = a.Deadline.Add(-responseMargin - time.Millisecond) })}, Arrivals: []Arrival{arrival}}, Lost},
		{"stream cut beside the reset of another connection", Observation{Attempts: []Attempt{with(stream(Resumable), cut)}, Arrivals: []Arrival{arrival}, Breaks: []Break{{"d", at(20 * time.Millisecond)}}}, Lost},
		{"stream cut while its host is stopped", Observation{Attempts: []Attempt{with(stream(Once), cut)}, Arrivals: []Arrival{arrival}, Outages: []Outage{{0, at(0), at(time.Second), false}}}, Lost},
		{"answer of another request", Observation{Attempts: []Attempt{with(plain(Safe), func(a *Attempt) { a.Body = AnswerTo("s") })}}, Mixed},
		{"ID of another request", Observation{Attempts: []Attempt{with(plain(Safe), func(a *Attempt) { a.EchoedID = "s" })}}, Mixed},
		{"unsigned", Observation{Attempts: []Attempt{with(plain(Safe), func(a *Attempt) { a.Signed = false })}}, Mixed},
		{"events of another stream", Observation{Attempts: []Attempt{with(stream(Once), func(a *Attempt) { a.Work = "x" })}}, Mixed},
		{"event missing", Observation{Attempts: []Attempt{with(stream(Once), func(a *Attempt) { a.Events[2].Number = 4; a.Events[3].Number = 5 })}}, Order},
		{"event twice", Observation{Attempts: []Attempt{with(stream(Resumable), func(a *Attempt) { a.Events[2].Number = 2 })}}, Order},
		{"two runs", Observation{Attempts: []Attempt{with(stream(Once), func(a *Attempt) { a.Events[3].Run = "e#2" })}}, Order},
		{"two versions", Observation{Attempts: []Attempt{with(stream(Resumable), func(a *Attempt) { a.Events[3].Version = "v2" })}}, Order},
		{"taken up at another version", Observation{Attempts: []Attempt{with(stream(Resumable), func(a *Attempt) { cut(a); a.EndedAt = a.Deadline }), again}}, Order},
		{"ends early", Observation{Attempts: []Attempt{with(stream(Once), func(a *Attempt) { a.Events = a.Events[:3] })}}, Order},
		{"unsafe twice", Observation{Attempts: []Attempt{plain(Unsafe)}, Arrivals: []Arrival{arrival, arrival}}, Twice},
		{"stream twice", Observation{Attempts: []Attempt{stream(Once)}, Arrivals: []Arrival{arrival, arrival}}, Twice},
		{"refused and ran", Observation{Attempts: []Attempt{refusal}, Arrivals: []Arrival{arrival}}, Refused},
		{"sent on after its caller left", Observation{Attempts: []Attempt{with(plain(Safe), leave)}, Arrivals: []Arrival{late}}, Gone},
		{"prompt sent on after its caller gave up", Observation{Attempts: []Attempt{with(stream(Once), func(a *Attempt) { leave(a); a.End = Abandoned })}, Prompts: []Arrival{late}}, Gone},
		{"sent on by a host that was stopped", Observation{Attempts: []Attempt{with(plain(Unsafe), leave)}, Arrivals: []Arrival{late}, Outages: []Outage{{0, at(0), at(time.Second), false}}}, Gone},
		{"sent on after the caller's time was over", Observation{Attempts: []Attempt{with(plain(Safe), func(a *Attempt) { a.GoneAt = at(100 * time.Millisecond) })}, Arrivals: []Arrival{late}}, Gone},
		{"too much memory", Observation{Memory: []Memory{{"host-0", 100, 100}, {"host-1", 101, 100}}}, MemoryUsed},
		{"ended by itself", Observation{Exits: []Exit{{"host-0", at(0), "exit status 2"}}}, Ended},
	} {
		t.Run(tt.name, func(t *testing.T) {
			found := tt.o.Check()
			assert.Equal(t, len(found), 1, "%v", found)
			assert.Equal(t, found[0].Promise, tt.want, "%s", found[0])
		})
	}
}

// What the promises allow must not be reported.
func TestAllowed(t *testing.T) {
	for i, o := range []Observation{
		{Attempts: []Attempt{plain(Safe), plain(Unsafe), stream(Resumable), stream(Once)}, Arrivals: []Arrival{arrival}},
		{Attempts: []Attempt{with(plain(Safe), unread)}},
		{Attempts: []Attempt{with(plain(Safe), func(a *Attempt) { a.End, a.Status = Closed, 0 })}, Outages: []Outage{{0, at(-time.Second), at(900 * time.Millisecond), false}}},
		{Attempts: []Attempt{with(stream(Once), cut)}, Arrivals: []Arrival{arrival}, Breaks: []Break{{"c", at(20 * time.Millisecond)}}},
		{Attempts: []Attempt{with(stream(Once), cut)}, Arrivals: []Arrival{arrival}, Outages: []Outage{{0, at(500 * time.Millisecond), at(2 * time.Second), true}}},
		{Attempts: []Attempt{with(stream(Once), func(a *Attempt) { cut(a); a.EndedAt = a.Deadline.Add(-responseMargin) })}, Arrivals: []Arrival{arrival}},
		{Attempts: []Attempt{with(plain(Safe), func(a *Attempt) { a.End, a.Status, a.EndedAt = TimedOut, 0, at(4*time.Second) })}, Outages: []Outage{{AllHosts, at(time.Second), at(2 * time.Second), false}}},
		{Attempts: []Attempt{with(stream(Once), func(a *Attempt) { cut(a); a.End = Abandoned })}, Arrivals: []Arrival{arrival}},
		{Attempts: []Attempt{plain(Safe)}, Arrivals: []Arrival{arrival, arrival}},
		{Attempts: []Attempt{with(plain(Safe), leave)}, Arrivals: []Arrival{arrival, {ID: "r", Endpoint: "e", SentAt: at(600 * time.Millisecond), At: at(time.Second), Ran: true}}},
		{Attempts: []Attempt{with(plain(Safe), leave)}, Arrivals: []Arrival{late}, Outages: []Outage{{AllHosts, at(200 * time.Millisecond), at(650 * time.Millisecond), false}}},
		{Attempts: []Attempt{plain(Safe)}, Arrivals: []Arrival{{ID: "r", Endpoint: "e", SentAt: at(2 * time.Second), At: at(2 * time.Second), Ran: true}}},
		{Attempts: []Attempt{with(plain(Unsafe), func(a *Attempt) { a.Status = 502 })}, Arrivals: []Arrival{arrival}},
		{Attempts: []Attempt{with(plain(Unsafe), func(a *Attempt) { a.Status = 503 })}, Arrivals: []Arrival{{ID: "r"}}},
	} {
		assert.Equal(t, fmt.Sprint(o.Check()), "[]", "observation %d", i)
	}
}

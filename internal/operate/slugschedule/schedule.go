// Package slugschedule decides which faults a soak injects and when. The decision depends on
// nothing but the seed and the shape of the system, so that a seed can be played again.
//
// # Usage
//
//	s := slugschedule.New(seed, slugschedule.Shape{Hosts: 3, Endpoints: 12, Duration: 10 * time.Second})
//	for _, f := range s.Faults {
//		time.Sleep(f.At - elapsed)
//		apply(f)
//	}
package slugschedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/operate/slugattacker"
)

// Seed determines a schedule.
type Seed uint64

// Kind is what a fault does.
type Kind string

// Kinds of faults. The first four concern connections, the next four processes.
const (
	// Silence holds all bytes of connections back until the fault ends.
	Silence Kind = "silence"
	// Cut holds the bytes of one direction back until the fault ends.
	Cut Kind = "cut"
	// Delay delivers all bytes later.
	Delay Kind = "delay"
	// Reset resets connections, and new ones until the fault ends.
	Reset Kind = "reset"
	// Stop stops a process by SIGSTOP and continues it when the fault ends.
	Stop Kind = "stop"
	// Terminate ends a process by SIGTERM, and starts it again when it has ended and the
	// fault is over.
	Terminate Kind = "terminate"
	// Kill ends a process by SIGKILL and starts it again when the fault ends.
	Kill Kind = "kill"
	// Hangup sends SIGHUP to a process.
	Hangup Kind = "hangup"
	// Configure writes a new configuration to the store.
	Configure Kind = "configure"
	// Flood makes endpoints send bytes without end to all calls.
	Flood Kind = "flood"
	// Attack lets untrusted callers send to a listener of hosts.
	Attack Kind = "attack"
)

// Link is a group of connections.
type Link string

// Links between the parts of the system.
const (
	// ToEndpoints are the connections of all hosts to an endpoint.
	ToEndpoints Link = "endpoint"
	// ToStore are the connections of a host to the store.
	ToStore Link = "store"
	// ToRequests, ToLookups, ToReadiness and ToMetrics are connections to the listeners of a
	// host.
	ToRequests  Link = "requests"
	ToLookups   Link = "lookups"
	ToReadiness Link = "readiness"
	ToMetrics   Link = "metrics"
)

// Direction is one direction of a connection.
type Direction string

// Directions of a connection, as seen from the host that opened it.
const (
	Outward Direction = "outward"
	Inward  Direction = "inward"
)

// Fault is one fault of a schedule.
type Fault struct {
	// At is the start, counted from the start of the load.
	At time.Duration
	// For is the duration.
	For  time.Duration
	Kind Kind
	// Link is set for faults of connections.
	Link Link
	// Targets are the numbers of endpoints if Link is ToEndpoints, and otherwise of hosts.
	Targets []int
	// Share is the share of the connections of each target that the fault affects.
	Share float64
	// Direction is set for Cut.
	Direction Direction
	// Delay is the additional time for each byte, for Delay.
	Delay time.Duration
	// Callers are the kinds of callers and Connections their number at each target, for Attack.
	Callers     []slugattacker.Kind
	Connections int
}

// Shape describes the system and the load.
type Shape struct {
	Hosts, Endpoints int
	Duration         time.Duration
}

// Schedule lists the faults of a run, in order of their start.
type Schedule struct {
	Seed Seed
	// Mixed reports whether endpoints run two versions of their software.
	Mixed  bool
	Faults []Fault
}

const (
	// meanSeriesGap is the mean time between the starts of two series. It is shorter than most
	// series, so that they overlap.
	meanSeriesGap = 1200 * time.Millisecond
	// maxSeriesLength is the maximum number of faults in a series.
	maxSeriesLength = 3
	// minFault and maxFault limit the duration of a fault. Pauses of up to maxFault are
	// shorter than the time after which callers abandon a stream.
	minFault, maxFault = 200 * time.Millisecond, 2500 * time.Millisecond
	// minSilence is the shortest silence of several endpoints at once. Shorter ones are not
	// noticed by hosts.
	minSilence = time.Second
	// quiet is the time at the start without faults, in which hosts learn of each other.
	quiet = time.Second
)

// New returns the schedule of a seed.
func New(seed Seed, shape Shape) Schedule {
	r := rand.New(rand.NewPCG(uint64(seed), 25))
	s := Schedule{Seed: seed, Mixed: r.IntN(2) == 1}
	for at := quiet; at < shape.Duration; at += time.Duration(r.ExpFloat64() * float64(meanSeriesGap)) {
		s.Faults = append(s.Faults, series(r, shape, at)...)
	}
	s.Faults = append(s.Faults, floods(seed, shape)...)
	s.Faults = append(s.Faults, attacks(seed, shape)...)
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return s
}

// floods returns the floods of half of the seeds, in which part of the endpoints or all of them
// send bytes without end. They are drawn apart from the other faults, which are those of the
// seed without them.
func floods(seed Seed, shape Shape) (out []Fault) {
	r := rand.New(rand.NewPCG(uint64(seed), 44))
	if r.IntN(2) == 0 || shape.Duration <= quiet {
		return nil
	}
	for range 1 + r.IntN(maxSeriesLength) {
		out = append(out, Fault{
			At: between(r, quiet, shape.Duration), For: between(r, minSilence, maxFault), Kind: Flood,
			Link: ToEndpoints, Targets: choose(r, shape.Endpoints, 1+r.IntN(shape.Endpoints)), Share: 1,
		})
	}
	return out
}

const (
	// maxAttacked and maxAttackers bound the connections of an attack, all of which this process
	// opens.
	maxAttacked                = 3
	minAttackers, maxAttackers = 20, 100
)

// attacks returns the attacks of half of the seeds, by callers that fill memory or hold
// connections. They are drawn apart from the other faults, like floods.
func attacks(seed Seed, shape Shape) (out []Fault) {
	r := rand.New(rand.NewPCG(uint64(seed), 61))
	if r.IntN(2) == 0 || shape.Duration <= quiet {
		return nil
	}
	links := []Link{ToRequests, ToRequests, ToLookups, ToReadiness, ToMetrics}
	for range 1 + r.IntN(maxSeriesLength) {
		out = append(out, Fault{
			At: between(r, quiet, shape.Duration), For: between(r, minSilence, maxFault), Kind: Attack, Link: links[r.IntN(len(links))],
			Targets: choose(r, shape.Hosts, 1+r.IntN(min(shape.Hosts, maxAttacked))), Share: 1,
			Callers: slugattacker.AllGroups[r.IntN(len(slugattacker.AllGroups))], Connections: minAttackers + r.IntN(maxAttackers-minAttackers),
		})
	}
	return out
}

// series returns a series of faults of one kind. The next one may begin before the one before
// has ended.
func series(r *rand.Rand, shape Shape, at time.Duration) []Fault {
	kinds := []Kind{Silence, Silence, Silence, Cut, Delay, Reset, Stop, Terminate, Terminate, Kill, Hangup, Configure, Configure}
	kind := kinds[r.IntN(len(kinds))]
	var out []Fault
	for range 1 + r.IntN(maxSeriesLength) {
		if at >= shape.Duration {
			break
		}
		out = append(out, fault(r, shape, kind, at))
		at += between(r, minFault, maxFault)
	}
	return out
}

func fault(r *rand.Rand, shape Shape, kind Kind, at time.Duration) Fault {
	f := Fault{At: at.Round(time.Millisecond), For: between(r, minFault, maxFault), Kind: kind}
	switch kind {
	case Silence, Cut, Delay, Reset:
		connections(r, shape, &f)
	case Configure:
		f.For = 0
	case Hangup:
		f.For, f.Targets = 0, choose(r, shape.Hosts, 1)
	default:
		f.Targets = choose(r, shape.Hosts, 1)
	}
	return f
}

// connections completes a fault of connections: of a host to the store, or of all hosts to
// one or more endpoints.
func connections(r *rand.Rand, shape Shape, f *Fault) {
	f.Share = []float64{0.3, 1, 1}[r.IntN(3)]
	switch f.Kind {
	case Cut:
		f.Direction = []Direction{Outward, Inward}[r.IntN(2)]
	case Delay:
		f.Delay = between(r, 20*time.Millisecond, 400*time.Millisecond)
	}
	if r.IntN(4) == 0 {
		f.Link, f.Targets = ToStore, choose(r, shape.Hosts, 1+r.IntN(shape.Hosts))
		return
	}
	f.Link, f.Targets = ToEndpoints, choose(r, shape.Endpoints, 1+r.IntN(shape.Endpoints))
	if f.Kind == Silence && len(f.Targets) > 1 {
		f.For = between(r, minSilence, maxFault)
	}
}

// choose returns n different numbers below limit, in order.
func choose(r *rand.Rand, limit, n int) []int {
	out := r.Perm(limit)[:n]
	slices.Sort(out)
	return out
}

func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return (low + time.Duration(r.Int64N(int64(high-low)))).Round(time.Millisecond)
}

// String returns the fault as one line.
func (f Fault) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%7.3f s  %-9s", f.At.Seconds(), f.Kind)
	switch {
	case f.Link != "":
		fmt.Fprintf(&b, " %s %v share %.1f", f.Link, f.Targets, f.Share)
	case len(f.Targets) > 0:
		fmt.Fprintf(&b, " host %v", f.Targets)
	}
	if f.Kind == Attack {
		fmt.Fprintf(&b, " by %d connections of %v", f.Connections, f.Callers)
	}
	if f.Direction != "" {
		fmt.Fprintf(&b, " %s", f.Direction)
	}
	if f.Delay > 0 {
		fmt.Fprintf(&b, " by %s", f.Delay)
	}
	if f.For > 0 {
		fmt.Fprintf(&b, " for %s", f.For)
	}
	return b.String()
}

// String returns the schedule with one line for each fault.
func (s Schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, software versions mixed: %t\n", s.Seed, s.Mixed)
	for _, f := range s.Faults {
		fmt.Fprintln(&b, f)
	}
	return b.String()
}

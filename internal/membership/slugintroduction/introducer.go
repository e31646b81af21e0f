// Package slugintroduction introduces a new process to the processes that watch the store
// for its data centre, as far as the membership records show them.
//
// Without it, a process takes itself for the only one until it has heard of its peers through
// periodic exchanges, and watches the store meanwhile. A peer refuses calls of a process whose
// record it has not read yet, so a refused introduction is repeated for a short time. Each
// process is introduced to at most once, since the records of ended processes remain for a
// while.
//
// # Usage
//
//	i := slugintroduction.New(slugintroduction.Config{Self: record, Listed: member.Listed, Records: member.Records, Alive: alive, Call: table.Exchange})
//	go i.Run(ctx)
//	<-i.Done()
package slugintroduction

import (
	"context"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugwatcher"
)

const (
	// timeout limits the introductions that begin together, the first ones including the wait
	// for the records.
	timeout = 800 * time.Millisecond
	// retryInterval is the time between attempts to reach one peer. It is about the time in
	// which the peer reads the record of a new process.
	retryInterval = 150 * time.Millisecond
	// callTimeout limits one attempt. It covers a handshake with a small host.
	callTimeout = 600 * time.Millisecond
	// furtherAnswersTimeout limits the wait for further peers after enough have answered.
	furtherAnswersTimeout = 200 * time.Millisecond
	// listedPollInterval is the time between checks whether the records have been read.
	listedPollInterval = 10 * time.Millisecond
	// spares is the number of peers beyond the watchers that are called, since records may
	// outlast their processes.
	spares = 2
)

// Config configures an Introducer.
type Config struct {
	Self slugmember.Record
	// Listed reports whether the records have been read.
	Listed func() bool
	// Records returns the records of all processes, those that have ended included.
	Records func() []slugmember.Record
	// Alive reports whether a process has been heard of lately.
	Alive func(slugname.Process) bool
	// Call exchanges rows with a process.
	Call func(context.Context, slugmember.Record) error
}

// Introducer introduces one process to others.
type Introducer struct {
	cfg     Config
	changed chan struct{}
	done    chan struct{}
	end     sync.Once
	// called holds the processes that this one was introduced to, or tried to be.
	called map[slugname.Process]bool
}

// New returns an Introducer.
func New(cfg Config) *Introducer {
	return &Introducer{
		cfg: cfg, changed: make(chan struct{}, 1), done: make(chan struct{}),
		called: map[slugname.Process]bool{cfg.Self.Process: true},
	}
}

// Done returns a channel that is closed when enough peers have answered the first
// introductions, or none will.
func (i *Introducer) Done() <-chan struct{} { return i.done }

// End closes the channel of Done.
func (i *Introducer) End() { i.end.Do(func() { close(i.done) }) }

// RecordsChanged tells the Introducer that records were added, changed or removed.
func (i *Introducer) RecordsChanged() {
	select {
	case i.changed <- struct{}{}:
	default:
	}
}

// Run introduces this process to the watchers, and to those that become watchers by new
// records, until ctx ends.
func (i *Introducer) Run(ctx context.Context) error {
	defer i.End()
	first, cancel := context.WithTimeout(ctx, timeout)
	for !i.cfg.Listed() && slugbackoff.Sleep(first, listedPollInterval) == nil {
	}
	i.introduce(first)
	cancel()
	for {
		i.End()
		select {
		case <-ctx.Done():
			return nil
		case <-i.changed:
		}
		further, cancel := context.WithTimeout(ctx, timeout)
		i.introduce(further)
		cancel()
	}
}

// introduce calls the watchers that have not been called, and returns when all have answered
// or ctx ends. It ends the wait for the first introductions when enough have answered.
func (i *Introducer) introduce(ctx context.Context) {
	peers := i.uncalled()
	answered := make(chan bool, len(peers))
	for _, p := range peers {
		i.called[p.Process] = true
		go func() { answered <- i.reach(ctx, p) }()
	}
	answers := 0
	for range peers {
		if !<-answered {
			continue
		}
		if answers++; answers == slugwatcher.MinWatchers {
			enough := time.AfterFunc(furtherAnswersTimeout, i.End)
			defer enough.Stop()
		}
	}
}

// reach calls a peer until it answers or ctx ends, and reports whether it has answered.
func (i *Introducer) reach(ctx context.Context, p slugmember.Record) bool {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := i.cfg.Call(callCtx, p)
		cancel()
		if err == nil {
			return true
		}
		_ = slugbackoff.Sleep(ctx, retryInterval)
	}
	return false
}

// uncalled returns the probable watchers of this data centre that have neither been called
// nor heard of. Only the latest process of a host is considered, since a host runs one.
func (i *Introducer) uncalled() []slugmember.Record {
	latest := map[slugname.Host]slugmember.Record{}
	for _, r := range i.cfg.Records() {
		if r.DataCentre == i.cfg.Self.DataCentre && r.StartedAtMs >= latest[r.Host].StartedAtMs {
			latest[r.Host] = r
		}
	}
	records := make(map[slugname.Process]slugmember.Record, len(latest))
	candidates := make([]slugwatcher.Candidate, 0, len(latest))
	for _, r := range latest {
		records[r.Process] = r
		candidates = append(candidates, slugwatcher.Candidate{Process: r.Process, DataCentre: r.DataCentre, Capacity: r.Capacity})
	}
	var out []slugmember.Record
	for _, p := range slugwatcher.Ranked(candidates, spares) {
		if !i.called[p] && !i.cfg.Alive(p) {
			out = append(out, records[p])
		}
	}
	return out
}

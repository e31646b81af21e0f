// Package slugevidence spreads the evidence against requests that crash endpoints, and keeps
// the verdicts in the platform's store.
//
// Each process decides by itself, with slugquarantine, from what all of them have seen. An
// entry that changes is sent to a few peers, which send it on if it is new to them, so that
// it reaches all processes in a number of rounds that grows with the logarithm of their
// number. Besides, each process compares all entries with one peer at a time, which repairs
// what was lost and informs processes that were cut off or started later. The verdicts are
// written to the store by one process, since all processes may restart at once.
//
// # Usage
//
//	x := slugevidence.New(slugevidence.Config{Trackers: trackers, Peers: peers, Call: transport.Call, Store: store})
//	go store.Watch(ctx, slugstore.Watcher{Prefix: slugevidence.Prefix, OnChange: x.Apply})
//	go x.Run(ctx)
package slugevidence

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugquarantine"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugturn"
)

const (
	// spreadInterval is the time between decisions, and between messages with changed
	// entries.
	spreadInterval = 100 * time.Millisecond
	// spreadFanout is the number of peers to which a changed entry is sent.
	spreadFanout = 3
	// compareRounds is the number of intervals between comparisons of all entries with a
	// peer.
	compareRounds = 5
	// callTimeout bounds a message to a peer.
	callTimeout = time.Second
)

// Config configures an Exchange.
type Config struct {
	Trackers *slugquarantine.Set
	// Peers returns up to n live peers to send to.
	Peers func(n int) []slugmember.Record
	// Call sends a message to a peer and returns the answer.
	Call func(ctx context.Context, to slugmember.Record, m slugpeer.Message) (slugpeer.Message, error)
	// Rank returns the rank of this process among the live ones for a subject.
	Rank  func(subject string) int
	Store *slugstore.Store
	Log   *slugevent.Log
}

// Exchange spreads entries and verdicts. It is safe for concurrent use.
type Exchange struct {
	cfg Config
	// turns are those of writing or removing a verdict.
	turns *slugturn.Turns

	mu sync.Mutex
	// stored holds the verdicts in the store by name.
	stored map[string]storedObject
	// announced holds the verdicts that were logged, by name.
	announced map[string]bool
	era       slugstore.EraTracker
}

// New returns an Exchange.
func New(cfg Config) *Exchange {
	return &Exchange{cfg: cfg, turns: slugturn.New(cfg.Rank), stored: map[string]storedObject{}, announced: map[string]bool{}}
}

// Run decides, spreads and stores until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for round := 0; slugbackoff.Sleep(ctx, spreadInterval) == nil; round++ {
		x.decide(time.Now())
		x.spread(ctx, &wg)
		if round%compareRounds == 0 {
			x.compare(ctx, &wg)
		}
		x.updateStore(ctx, &wg)
	}
	return nil
}

// decide quarantines what has to be, and logs each verdict.
func (x *Exchange) decide(now time.Time) {
	for service, t := range x.cfg.Trackers.All() {
		for _, v := range t.Decide(now) {
			x.cfg.Log.Emit(slugevent.RequestQuarantined, verdictFields(service, v))
			x.markAnnounced(name(service, v.Trait))
		}
	}
}

// markAnnounced records that a verdict was logged, and reports whether that is new.
func (x *Exchange) markAnnounced(name string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.announced[name] {
		return false
	}
	x.announced[name] = true
	return true
}

// verdictFields returns the log fields of a verdict.
func verdictFields(s slugname.Service, v slugquarantine.Verdict) slugevent.Fields {
	return slugevent.Fields{
		"service": s, "scope": v.Trait.Scope.String(), "trait": fmt.Sprintf("%016x", v.Trait.Hash), "forMs": v.For.Milliseconds(),
		"crashes": len(v.Crashes), "endpoints": v.Crashes, "requests": v.Requests, "sinceServedMs": v.SinceServed.Milliseconds(),
	}
}

// spread sends the changed entries to a few peers.
func (x *Exchange) spread(ctx context.Context, wg *sync.WaitGroup) {
	now := time.Now()
	var list []slugpeer.Evidence
	for service, t := range x.cfg.Trackers.All() {
		if entries := t.Changed(now); len(entries) > 0 {
			list = append(list, slugpeer.Evidence{Service: service, Entries: entries})
		}
	}
	if len(list) == 0 {
		return
	}
	for _, p := range x.cfg.Peers(spreadFanout) {
		wg.Go(func() { x.send(ctx, p, slugpeer.Message{Protocol: slugpeer.Protocol, Evidence: list}) })
	}
}

// compare sends all entries to a peer and merges those of the peer.
func (x *Exchange) compare(ctx context.Context, wg *sync.WaitGroup) {
	list := x.all()
	if len(list) == 0 {
		return
	}
	for _, p := range x.cfg.Peers(1) {
		wg.Go(func() {
			x.send(ctx, p, slugpeer.Message{Protocol: slugpeer.Protocol, Evidence: list, CompareEvidence: true})
		})
	}
}

// all returns the entries of all services.
func (x *Exchange) all() []slugpeer.Evidence {
	now := time.Now()
	var out []slugpeer.Evidence
	for service, t := range x.cfg.Trackers.All() {
		if entries := t.All(now); len(entries) > 0 {
			out = append(out, slugpeer.Evidence{Service: service, Entries: entries})
		}
	}
	return out
}

// send sends a message to a peer and merges the answer. A message that is lost is made up
// for by the next comparison.
func (x *Exchange) send(ctx context.Context, to slugmember.Record, m slugpeer.Message) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := x.cfg.Call(ctx, to, m)
	if err != nil {
		if ctx.Err() == nil {
			x.cfg.Log.Error(slugevent.PeerSilent, err, slugevent.Fields{"process": to.Process, "step": "send evidence"})
		}
		return
	}
	x.merge(answer.Evidence)
}

// Serve merges the entries of a peer. It returns those of this process if the peer asks for
// a comparison.
func (x *Exchange) Serve(list []slugpeer.Evidence, compare bool) []slugpeer.Evidence {
	x.merge(list)
	if !compare {
		return nil
	}
	return x.all()
}

// merge merges the entries of a peer.
func (x *Exchange) merge(list []slugpeer.Evidence) {
	now := time.Now()
	for _, e := range list {
		x.cfg.Trackers.Of(e.Service).Merge(e.Entries, now)
	}
}

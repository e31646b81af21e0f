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
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugquarantine"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

// Prefix is the prefix of the names of the verdicts in the store.
const Prefix = "quarantines/"

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
	// writeDelay is the time by which a process waits longer to write a verdict than the one
	// before it in the ranking, and maxWriteRank bounds the number of such delays.
	writeDelay   = 300 * time.Millisecond
	maxWriteRank = 10
	// writeRetryInterval is the time between attempts to write a verdict.
	writeRetryInterval = time.Second
	// writeTimeout bounds an attempt to write a verdict.
	writeTimeout = 5 * time.Second
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

// object is a verdict in the store.
type object struct {
	Service slugname.Service     `json:"service"`
	Scope   slugquarantine.Scope `json:"scope"`
	Hash    uint64               `json:"hash"`
	// UntilMs is the end of the quarantine in milliseconds since the Unix epoch.
	UntilMs int64 `json:"untilMs"`
}

// trait returns the trait of the verdict.
func (o object) trait() slugquarantine.Trait {
	return slugquarantine.Trait{Scope: o.Scope, Hash: o.Hash}
}

// name returns the name of a verdict in the store.
func name(s slugname.Service, t slugquarantine.Trait) string {
	return fmt.Sprintf("%s%s.%s.%016x", Prefix, s, t.Scope, t.Hash)
}

// storedObject is a verdict that the store holds.
type storedObject struct {
	object
	version slugstore.Version
}

// Exchange spreads entries and verdicts. It is safe for concurrent use.
type Exchange struct {
	cfg Config

	mu sync.Mutex
	// stored holds the verdicts in the store by name.
	stored map[string]storedObject
	// writeAt is when this process writes or removes a verdict, by name.
	writeAt map[string]time.Time
	// announced holds the verdicts that were logged, by name.
	announced map[string]bool
}

// New returns an Exchange.
func New(cfg Config) *Exchange {
	return &Exchange{cfg: cfg, stored: map[string]storedObject{}, writeAt: map[string]time.Time{}, announced: map[string]bool{}}
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

// Apply takes over verdicts that appeared in the store or disappeared from it.
func (x *Exchange) Apply(objects []slugstore.Object) {
	now := time.Now()
	for _, o := range objects {
		if !strings.HasPrefix(o.Name, Prefix) {
			continue
		}
		if err := x.apply(o, now); err != nil {
			x.cfg.Log.Error(slugevent.QuarantineUnreadable, err, slugevent.Fields{"object": o.Name, "version": o.Version})
		}
	}
}

// apply takes over one object.
func (x *Exchange) apply(o slugstore.Object, now time.Time) error {
	x.mu.Lock()
	old, known := x.stored[o.Name]
	delete(x.stored, o.Name)
	x.mu.Unlock()
	if o.Body == nil {
		if known {
			x.cfg.Trackers.Of(old.Service).Adopt(old.trait(), 0, now)
		}
		return nil
	}
	var v object
	if err := o.Decode(&v); err != nil {
		return err
	}
	x.mu.Lock()
	x.stored[o.Name] = storedObject{v, o.Version}
	x.mu.Unlock()
	if left := time.UnixMilli(v.UntilMs).Sub(now); left > 0 {
		x.cfg.Trackers.Of(v.Service).Adopt(v.trait(), left, now)
		if x.markAnnounced(o.Name) {
			x.cfg.Log.Emit(slugevent.QuarantineAdopted, slugevent.Fields{"service": v.Service, "scope": v.Scope.String(), "trait": fmt.Sprintf("%016x", v.Hash), "forMs": left.Milliseconds(), "version": o.Version})
		}
	}
	return nil
}

// updateStore writes the verdicts that are not in the store, and removes those that have
// ended. The process that ranks first for a verdict does so at once; the others follow in
// their order, unless it was done by then.
func (x *Exchange) updateStore(ctx context.Context, wg *sync.WaitGroup) {
	now := time.Now()
	open := map[string]bool{}
	for service, t := range x.cfg.Trackers.All() {
		for _, v := range t.Unstored(now) {
			n := name(service, v.Trait)
			open[n] = true
			if x.turn(n, now) {
				wg.Go(func() { x.write(ctx, n, service, v) })
			}
		}
	}
	for n, o := range x.ended(now) {
		open[n] = true
		if x.turn(n, now) {
			wg.Go(func() { x.remove(ctx, n, o) })
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for n := range x.writeAt {
		if !open[n] {
			delete(x.writeAt, n)
		}
	}
}

// ended returns the stored verdicts whose quarantine has ended.
func (x *Exchange) ended(now time.Time) map[string]storedObject {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := map[string]storedObject{}
	for n, o := range x.stored {
		if !x.cfg.Trackers.Of(o.Service).Quarantined(o.trait(), now) {
			out[n] = o
			if x.announced[n] {
				delete(x.announced, n)
				x.cfg.Log.Emit(slugevent.QuarantineEnded, slugevent.Fields{"service": o.Service, "scope": o.Scope.String(), "trait": fmt.Sprintf("%016x", o.Hash)})
			}
		}
	}
	return out
}

// turn reports whether this process writes an object now, and if so defers its next turn.
func (x *Exchange) turn(name string, now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	at, ok := x.writeAt[name]
	if !ok {
		at = now.Add(time.Duration(min(x.cfg.Rank(name), maxWriteRank)) * writeDelay)
		x.writeAt[name] = at
	}
	if now.Before(at) {
		return false
	}
	x.writeAt[name] = now.Add(writeRetryInterval)
	return true
}

// write writes a verdict. It replaces one that has ended.
func (x *Exchange) write(ctx context.Context, name string, s slugname.Service, v slugquarantine.Verdict) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	x.mu.Lock()
	expected := x.stored[name].version
	x.mu.Unlock()
	o := object{Service: s, Scope: v.Trait.Scope, Hash: v.Trait.Hash, UntilMs: time.Now().Add(v.For).UnixMilli()}
	if _, err := x.cfg.Store.Put(ctx, name, expected, o); err != nil && !errors.Is(err, slugstore.ErrConflict) {
		x.cfg.Log.Error(slugevent.StoreUnavailable, err, slugevent.Fields{"step": "write quarantine", "object": name})
	}
}

// remove removes a verdict that has ended.
func (x *Exchange) remove(ctx context.Context, name string, o storedObject) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := x.cfg.Store.Delete(ctx, name, o.version); err != nil && !errors.Is(err, slugstore.ErrConflict) {
		x.cfg.Log.Error(slugevent.StoreUnavailable, err, slugevent.Fields{"step": "remove quarantine", "object": name})
	}
}

// Package slugtakeup finds out which software version began a stream that a caller takes up.
//
// Each host remembers the streams that it began. While several versions of a service serve, it
// also tells a few other hosts, chosen by rendezvous hashing, so that the knowledge outlasts
// the hosts that fail together. A host at which a stream is taken up asks the hosts that rank
// first for it. If nobody knows the stream, it began at the only version that served
// throughout the time that streams may last; if there were several, the version is unknown.
// Hosts answer for the time in which their lists of endpoints were current. The version is
// unknown too if the hosts that answer do not cover all of that time, up to the question: a
// host that is cut off, or was suspended, may have missed a version.
//
// The store holds one list of versions for each service, which changes when a release begins
// or has ended. After all hosts have failed, streams that began before go on if the list has
// one version; otherwise they are unknown until they would have ended.
//
// # Usage
//
//	r := slugtakeup.New(slugtakeup.Config{Memory: slugorigin.New(), Peers: peers, Call: transport.Call, Limit: limit})
//	go r.Run(ctx)
//	r.Began(service, requestID, version)
//	answer := r.Find(ctx, service, requestID)
package slugtakeup

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugorigin"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugturn"
)

const (
	// checkInterval is the time between checks of the versions that serve.
	checkInterval = 100 * time.Millisecond
	// spreadDelay is the time for which new streams are collected for one message. Those that
	// began within it are lost with their host.
	spreadDelay = 20 * time.Millisecond
	// copies is the number of other hosts that know a stream, and askedPeers the number that
	// is asked, which is larger because hosts differ on who is alive, and some are silent.
	copies, askedPeers = 4, 8
	// confirmTimeout bounds the wait for a confirmation of the list of endpoints. Hosts in
	// touch get one each second.
	confirmTimeout = 2 * time.Second
	// askTimeout bounds a question to peers, some of which may have failed.
	askTimeout = 300 * time.Millisecond
	// confirmations is the number of answers after which a host does not wait for others, if
	// they cover the time in question and agree that there was one version only.
	confirmations = 2
)

// Source says how the version of a stream was found.
type Source string

// The values of Source.
const (
	SourceOwn         Source = "own"
	SourcePeer        Source = "peer"
	SourceOnlyVersion Source = "onlyVersion"
	SourceUnknown     Source = "unknown"
)

// Answer is the software version that began a stream, empty if it is unknown.
type Answer struct {
	Version slugname.SoftwareVersion
	Source  Source
	// Versions served while the stream may have begun.
	Versions []slugname.SoftwareVersion
}

// Config configures a Resolver.
type Config struct {
	Memory *slugorigin.Memory
	// Peers returns up to n other live processes, ranked for a subject.
	Peers func(subject string, n int) []slugmember.Record
	// Call sends a message to a peer and returns the answer.
	Call func(ctx context.Context, to slugmember.Record, m slugpeer.Message) (slugpeer.Message, error)
	// Limit returns the longest time that a stream may last.
	Limit func() time.Duration
	// Rank returns the rank of this process among the live ones for a subject.
	Rank  func(subject string) int
	Store *slugstore.Store
	Log   *slugevent.Log
}

// Resolver finds the origins of streams. It is safe for concurrent use.
type Resolver struct {
	cfg Config
	// turns are those of changing a list of versions in the store.
	turns *slugturn.Turns
	// mixed is set while several versions of a service serve, and began then wakes Run at new
	// streams.
	mixed atomic.Bool
	began chan struct{}

	mu sync.Mutex
	// stored holds the lists of versions in the store as of listedAt.
	stored   map[slugname.Service]storedList
	listedAt slugclock.Instant
	// silent are the peers that did not acknowledge the last message about new streams, with
	// the time until which they count as silent.
	silent map[slugname.Process]time.Time
}

// New returns a Resolver.
func New(cfg Config) *Resolver {
	return &Resolver{cfg: cfg, turns: slugturn.New(cfg.Rank), began: make(chan struct{}, 1), stored: map[slugname.Service]storedList{}, silent: map[slugname.Process]time.Time{}}
}

// Began records that a version of a service began the stream of a request.
func (r *Resolver) Began(s slugname.Service, requestID string, v slugname.SoftwareVersion) {
	now := time.Now()
	r.cfg.Memory.Record(slugorigin.NewKey(s, requestID), v, now.Add(r.cfg.Limit()), now)
	if !r.mixed.Load() && v != slugorigin.UnknownVersion {
		return
	}
	select {
	case r.began <- struct{}{}:
	default: // Run is about to look.
	}
}

// Run tells peers of new streams while that is needed, and keeps the lists of versions in the
// store, until ctx ends.
func (r *Resolver) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-check.C:
			now := slugclock.Now()
			r.mixed.Store(r.cfg.Memory.Mixed(r.window(), now))
			r.updateStore(ctx, &wg, now)
		case <-r.began:
			if slugbackoff.Sleep(ctx, spreadDelay) != nil {
				return nil
			}
		}
		// All peers that may be asked are told, since two that don't know a stream suffice to take
		// it for one of the only version.
		r.spread(ctx, &wg, r.cfg.Memory.Urgent(time.Now()), askedPeers)
		if r.mixed.Load() {
			r.spread(ctx, &wg, r.cfg.Memory.Unshared(time.Now()), copies)
		}
	}
}

// window returns the time for which peers are told, and asked, of the versions of a service.
// It exceeds the limit of streams by the time that a question takes.
func (r *Resolver) window() time.Duration { return r.cfg.Limit() + askTimeout }

// subject returns the subject for which peers are ranked for a stream.
func subject(k slugorigin.Key) string { return fmt.Sprintf("%016x", uint64(k)) }

// Merge takes over streams of a peer.
func (r *Resolver) Merge(list []slugorigin.Origin) { r.cfg.Memory.Merge(list, time.Now()) }

// Serve answers the question of a peer.
func (r *Resolver) Serve(q slugpeer.OriginQuery) (slugpeer.OriginAnswer, *slugpeer.ObservedSpan) {
	now := slugclock.Now()
	v, _ := r.cfg.Memory.Find(q.Key, now.Time())
	o := r.cfg.Memory.Observed(q.Service, r.window(), now)
	return slugpeer.OriginAnswer{Version: v, Versions: o.Versions, Complete: o.Complete}, encodeSpan(r.cfg.Memory.Span(), now)
}

// Find returns the version that began the stream of a request.
func (r *Resolver) Find(ctx context.Context, s slugname.Service, requestID string) Answer {
	q := slugpeer.OriginQuery{Service: s, Key: slugorigin.NewKey(s, requestID)}
	e := evidence{service: s, asked: slugclock.Now(), limit: r.cfg.Limit()}
	r.addOwn(&e)
	if v, ok := r.cfg.Memory.Find(q.Key, e.asked.Time()); ok {
		return newAnswer(v, SourceOwn, e.versions)
	}
	if a := r.askPeers(ctx, q, &e); a.Version != "" {
		return newAnswer(a.Version, SourcePeer, a.Versions)
	}
	if r.complete(ctx, &e) && len(e.versions) == 1 {
		return Answer{e.versions[0], SourceOnlyVersion, e.versions}
	}
	return Answer{Source: SourceUnknown, Versions: e.versions}
}

// newAnswer returns the answer of a process that knows the stream.
func newAnswer(v slugname.SoftwareVersion, source Source, versions []slugname.SoftwareVersion) Answer {
	if v == slugorigin.UnknownVersion {
		return Answer{Source: SourceUnknown, Versions: union(versions, []slugname.SoftwareVersion{v})}
	}
	return Answer{v, source, versions}
}

// askPeers adds what peers have observed to e, and returns the answer of one that knows the
// stream, if any.
func (r *Resolver) askPeers(ctx context.Context, q slugpeer.OriginQuery, e *evidence) slugpeer.OriginAnswer {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	peers := r.cfg.Peers(subject(q.Key), askedPeers)
	answers := r.ask(ctx, peers, q)
	confirmed := 0
	for range peers {
		a := <-answers
		if a == nil {
			continue
		}
		if a.Version != "" {
			return a.OriginAnswer
		}
		e.add(a.Versions, a.span)
		if confirmed++; confirmed >= confirmations && e.complete() && len(e.versions) == 1 {
			break
		}
	}
	return slugpeer.OriginAnswer{}
}

// addOwn adds what this process has observed, and what the store lists, to e.
func (r *Resolver) addOwn(e *evidence) {
	now := slugclock.Now()
	span := r.cfg.Memory.Span()
	e.add(r.cfg.Memory.Observed(e.service, e.limit+now.Sub(e.asked), now).Versions, span)
	listed, at, reliable := r.listed(e.service)
	if !reliable {
		at = slugclock.Instant{}
	}
	e.add(listed, slugorigin.Span{To: at})
}

// complete reports whether e covers the time in which the stream may have begun. If only the
// last moments are missing, it waits until the list of endpoints is known to be current.
func (r *Resolver) complete(ctx context.Context, e *evidence) bool {
	own := r.cfg.Memory.Span()
	switch {
	case e.complete():
		return true
	case len(e.versions) != 1 || own.From.After(e.covered()) || e.asked.Sub(own.To) > slugorigin.MaxGap:
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if !r.cfg.Memory.AwaitConfirmation(ctx, e.asked) {
		return false
	}
	r.addOwn(e)
	return e.complete()
}

// union returns the versions in either list.
func union(a, b []slugname.SoftwareVersion) []slugname.SoftwareVersion {
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(a, b))))
}

// peerAnswer is the answer of a peer.
type peerAnswer struct {
	slugpeer.OriginAnswer
	span slugorigin.Span
}

// ask asks peers for a stream. The channel yields one answer for each, nil if there is none.
func (r *Resolver) ask(ctx context.Context, peers []slugmember.Record, q slugpeer.OriginQuery) <-chan *peerAnswer {
	answers := make(chan *peerAnswer, len(peers))
	for _, p := range peers {
		go func() {
			sent := slugclock.Now()
			m, err := r.cfg.Call(ctx, p, slugpeer.Message{Protocol: slugpeer.Protocol, FindOrigin: &q})
			if err != nil || m.Origin == nil {
				answers <- nil
				return
			}
			answers <- &peerAnswer{*m.Origin, decodeSpan(m.Observed, sent, slugclock.Now())}
		}()
	}
	return answers
}

package slugtakeup

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugorigin"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

const (
	// callTimeout bounds a message about new streams.
	callTimeout = time.Second
	// ackTimeout is the time without an acknowledgement after which another peer is told. A
	// peer that stands still, or is cut off, counts as live for seconds.
	ackTimeout = 150 * time.Millisecond
	// maxSilence is the time after which a peer that was not told of anything counts as not
	// silent again.
	maxSilence = 10 * time.Second
)

// telling is a stream with the peers that may be told of it, in order of their rank.
type telling struct {
	slugorigin.Origin

	mu    sync.Mutex
	peers []slugmember.Record
}

// next returns the peers that are told next: up to the n-th one that is not silent. Silent
// ones before it may answer again before others ask.
func (t *telling) next(n int, silent map[slugname.Process]bool) []slugmember.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	end := 0
	for end < len(t.peers) && n > 0 {
		if !silent[t.peers[end].Process] {
			n--
		}
		end++
	}
	out := t.peers[:end]
	t.peers = t.peers[end:]
	return out
}

// spread tells peers of streams, so that n of them know each.
func (r *Resolver) spread(ctx context.Context, wg *sync.WaitGroup, list []slugorigin.Origin, n int) {
	tellings := make([]*telling, len(list))
	for i, o := range list {
		tellings[i] = &telling{Origin: o, peers: r.cfg.Peers(subject(o.Key), askedPeers)}
	}
	r.tell(ctx, wg, tellings, n)
}

// tell tells the next n peers of each stream, and one more for each that does not acknowledge.
func (r *Resolver) tell(ctx context.Context, wg *sync.WaitGroup, list []*telling, n int) {
	silent := r.silentPeers()
	records := map[slugname.Process]slugmember.Record{}
	batches := map[slugname.Process][]*telling{}
	for _, t := range list {
		for _, p := range t.next(n, silent) {
			records[p.Process] = p
			batches[p.Process] = append(batches[p.Process], t)
		}
	}
	for p, batch := range batches {
		// Another peer is told already in place of one that was silent before.
		instead := !silent[p]
		wg.Go(func() {
			acked := make(chan bool, 1)
			wg.Go(func() { acked <- r.send(ctx, records[p], batch) })
			timer := time.NewTimer(ackTimeout)
			defer timer.Stop()
			select {
			case ok := <-acked:
				if ok {
					return
				}
			case <-timer.C:
				r.setSilent(p, true)
			}
			if instead && ctx.Err() == nil {
				r.tell(ctx, wg, batch, 1)
			}
		})
	}
}

// send sends streams to a peer, and returns whether it acknowledged them.
func (r *Resolver) send(ctx context.Context, to slugmember.Record, batch []*telling) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m := slugpeer.Message{Protocol: slugpeer.Protocol}
	for _, t := range batch {
		m.Origins = append(m.Origins, t.Origin)
	}
	_, err := r.cfg.Call(ctx, to, m)
	r.setSilent(to.Process, err != nil)
	return err == nil
}

// silentPeers returns the peers that did not acknowledge the last message.
func (r *Resolver) silentPeers() map[slugname.Process]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, out := time.Now(), map[slugname.Process]bool{}
	for p, until := range r.silent {
		if now.Before(until) {
			out[p] = true
		}
	}
	return out
}

// setSilent records whether a peer acknowledged a message.
func (r *Resolver) setSilent(p slugname.Process, silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(r.silent, func(other slugname.Process, until time.Time) bool { return other == p || now.After(until) })
	if silent {
		r.silent[p] = now.Add(maxSilence)
	}
}

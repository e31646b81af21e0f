package slughost

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

const (
	// maxPeersAsked is the number of peers that a new process asks for their configuration.
	maxPeersAsked = 8
	// askPeersTimeout limits how long it waits for the first answer. It covers the time until
	// the peers know the new process and accept its calls.
	askPeersTimeout = 1500 * time.Millisecond
	// furtherAnswersTimeout limits how long it waits for further answers after the first.
	furtherAnswersTimeout = 200 * time.Millisecond
	// askRetryInterval is the time between calls to a peer that gives no answer.
	askRetryInterval = 50 * time.Millisecond
	// listedPollInterval is how often a new process checks whether it has read the records of
	// the others.
	listedPollInterval = 10 * time.Millisecond
)

// configsOfPeers returns the encoded configurations of processes that were running before
// the store was last restored from a copy, and so may have a newer one than the store.
func (h *Host) configsOfPeers(ctx context.Context) [][]byte {
	ctx, cancel := context.WithTimeout(ctx, askPeersTimeout)
	defer cancel()
	for !h.member.Listed() {
		if slugbackoff.Sleep(ctx, listedPollInterval) != nil {
			return nil
		}
	}
	peers := h.startedBeforeRestore()
	answers := make(chan []byte, len(peers))
	for _, p := range peers {
		go func() { answers <- h.configOf(ctx, p) }()
	}
	var out [][]byte
	further := ctx.Done()
	for range peers {
		select {
		case encoded := <-answers:
			if encoded == nil {
				continue
			}
			if out = append(out, encoded); len(out) == 1 {
				furtherCtx, cancel := context.WithTimeout(ctx, furtherAnswersTimeout)
				defer cancel()
				further = furtherCtx.Done()
			}
		case <-further:
			return out
		}
	}
	return out
}

// startedBeforeRestore returns some of the processes that were running before the store was
// last restored from a copy.
func (h *Host) startedBeforeRestore() []slugmember.Record {
	era := h.store.Era()
	var out []slugmember.Record
	for _, r := range h.member.Records() {
		if r.StartEra < era && r.Process != h.member.Self().Process {
			out = append(out, r)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), maxPeersAsked)]
}

// configOf asks a process for its configuration until it answers, another process has taken
// its place, or ctx ends. It returns nil if the process has none.
func (h *Host) configOf(ctx context.Context, p slugmember.Record) []byte {
	for {
		callCtx, cancel := context.WithTimeout(ctx, peerCallMargin)
		answer, err := h.transport.Call(callCtx, p, slugpeer.Message{Protocol: slugpeer.Protocol, WantBundle: 1})
		cancel()
		if err == nil {
			return answer.Bundle
		}
		if h.replaced(p) || slugbackoff.Sleep(ctx, askRetryInterval) != nil {
			return nil
		}
	}
}

// replaced reports whether a later process runs on the host of a process.
func (h *Host) replaced(p slugmember.Record) bool {
	for _, r := range h.member.Records() {
		if r.Host == p.Host && r.StartedAtMs > p.StartedAtMs {
			return true
		}
	}
	return false
}

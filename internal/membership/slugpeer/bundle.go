package slugpeer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
)

// ErrNoBundle is returned when no peer could send the requested configuration.
var ErrNoBundle = errors.New("no peer returned the requested revision")

// maxBundlePeers is the number of peers asked in one fetch of a configuration, and
// bundlePeerDelay the time after which the next one is asked if those before have not answered.
const (
	maxBundlePeers  = 8
	bundlePeerDelay = 100 * time.Millisecond
)

// bundleAnswer is the answer of a peer that was asked for its configuration.
type bundleAnswer struct {
	bundle []byte
	from   slugname.Process
	err    error
}

// FetchBundle fetches the configuration of a revision, or of a later one, from live peers
// that have it, and names the peer that sent it. Each failure, and each delay, makes it ask one
// more, so that silent peers do not use up the time. The error names those that did not answer.
func (t *Table) FetchBundle(ctx context.Context, r slugconfig.Revision) ([]byte, slugname.Process, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := t.bundlePeers(r)
	answers := make(chan bundleAnswer, len(peers))
	err, asked, answered := ErrNoBundle, 0, 0
	for answered < len(peers) {
		if asked < len(peers) {
			p := peers[asked]
			asked++
			go func() { answers <- t.askForBundle(ctx, p, r) }()
		}
		delay := time.NewTimer(bundlePeerDelay)
		select {
		case a := <-answers:
			delay.Stop()
			if a.err == nil {
				return a.bundle, a.from, nil
			}
			answered++
			err = errors.Wrapf(err, "%s: %v", a.from, a.err)
		case <-delay.C:
		}
	}
	return nil, "", err
}

// bundlePeers returns live peers that have a revision, in random order, those first that were
// heard lately.
func (t *Table) bundlePeers(r slugconfig.Revision) []slugmember.Record {
	rank := map[slugname.Process]int{}
	for _, s := range t.Statuses() {
		if s.Process == t.cfg.Self.Process || !s.Alive || s.Revision < r {
			continue
		}
		rank[s.Process] = 2
		if s.HeardLately {
			rank[s.Process] = 1
		}
	}
	peers := slices.DeleteFunc(slices.Clone(t.cfg.Peers()), func(p slugmember.Record) bool { return rank[p.Process] == 0 })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	slices.SortStableFunc(peers, func(a, b slugmember.Record) int { return rank[a.Process] - rank[b.Process] })
	return peers[:min(len(peers), maxBundlePeers)]
}

// askForBundle asks one peer for the configuration of a revision, or of a later one.
func (t *Table) askForBundle(ctx context.Context, p slugmember.Record, r slugconfig.Revision) bundleAnswer {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := t.cfg.Call(ctx, p, Message{Protocol: Protocol, WantBundle: r})
	if err == nil && answer.Bundle == nil {
		err = ErrNoBundle
	}
	return bundleAnswer{answer.Bundle, p.Process, err}
}

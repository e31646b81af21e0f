package slughost

import (
	"context"
	"slices"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugtakeup"
	"github.com/sassafraslug/sassafraslug/internal/request/slugdispatch"
	"github.com/sassafraslug/sassafraslug/internal/version/slugrouting"
	"golang.org/x/sync/errgroup"
)

// versionsWatchWait is how long one watch call for the lists of software versions waits.
const versionsWatchWait = 10 * time.Second

// newTakeUps returns the resolver of streams that callers take up.
func (h *Host) newTakeUps() *slugtakeup.Resolver {
	return slugtakeup.New(slugtakeup.Config{Memory: h.origins, Peers: h.rankedPeers, Call: h.transport.Call, Limit: h.streamLimit, Rank: h.rankFor, Store: h.store.For("versions"), Log: h.log})
}

// shareOrigins starts to tell peers which software versions began streams.
func (h *Host) shareOrigins(ctx context.Context, g *errgroup.Group) error {
	g.Go(func() error { return h.takeUps.Run(ctx) })
	g.Go(func() error {
		var currentAt slugclock.Instant
		return h.store.For("versions").Watch(ctx, slugstore.Watcher{
			Prefix: slugtakeup.Prefix, Wait: func() time.Duration { return versionsWatchWait },
			OnResponse:  func(r slugstore.Response) { currentAt = r.CurrentAt },
			OnChange:    func(objects []slugstore.Object) { h.takeUps.Apply(objects, currentAt) },
			SharedWatch: h.sharedWatches.SharedWatch(slugtakeup.Prefix, versionsWatchWait),
		})
	})
	return nil
}

// rankedPeers returns the n other live processes that rank first for a subject.
func (h *Host) rankedPeers(subject string, n int) []slugmember.Record {
	self := h.member.Self().Process
	records := map[slugname.Process]slugmember.Record{}
	var others []slugname.Process
	for _, p := range h.livePeers() {
		if p.Process != self {
			others = append(others, p.Process)
			records[p.Process] = p.Record
		}
	}
	out := make([]slugmember.Record, 0, n)
	for _, p := range slugmember.HighestRanked(subject, others, n) {
		out = append(out, records[p])
	}
	return out
}

// streamLimit returns the longest time that a stream may last on any route, and be taken up.
func (h *Host) streamLimit() time.Duration {
	longest := time.Duration(0)
	t := h.follower.Table()
	if t == nil {
		return slugdispatch.DefaultTimeout
	}
	for _, r := range t.Routes {
		if r.Kind != slugrouting.Stream {
			continue
		}
		if r.Timeout <= 0 {
			return slugdispatch.DefaultTimeout
		}
		longest = max(longest, r.Timeout)
	}
	return longest
}

// observeVersions records which software versions of a service may run streams.
func (h *Host) observeVersions(s slugname.Service, now time.Time) {
	var versions []slugname.SoftwareVersion
	for _, e := range h.registry.Endpoints(s) {
		if e.Role != slugplan.RolePrefill && !slices.Contains(versions, e.Version) {
			versions = append(versions, e.Version)
		}
	}
	h.origins.Observe(s, versions, now)
}

// observeAllVersions records which software versions served at an instant, after the list of
// endpoints was brought up to date.
func (h *Host) observeAllVersions(currentAt slugclock.Instant) {
	now := time.Now()
	for _, s := range h.registry.Services() {
		h.observeVersions(s, now)
	}
	h.origins.Confirm(currentAt)
}

// findOrigin finds the software version that began the stream of a request.
func (h *Host) findOrigin(ctx context.Context, s slugname.Service, id slugdispatch.RequestID) slugdispatch.Origin {
	a := h.takeUps.Find(ctx, s, string(id))
	return slugdispatch.Origin{Version: a.Version, Source: string(a.Source), Versions: a.Versions}
}

// streamBegan records which software version began the stream of a request.
func (h *Host) streamBegan(s slugname.Service, id slugdispatch.RequestID, v slugname.SoftwareVersion) {
	h.takeUps.Began(s, string(id), v)
}

package slugdispatch

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugorigin"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
	"github.com/sassafraslug/sassafraslug/internal/version/slugrouting"
)

// errStartUnknown means that an endpoint may have started again, as another software version,
// since its entry was read. It must not go on with a stream of the version in the entry.
var errStartUnknown = errors.New("the endpoint may have started again since its entry was read")

// errCacheEnded means that the endpoint with the KV cache may have started again since.
var errCacheEnded = errors.New("the endpoint with the KV cache may have started again")

// versionFixed reports whether the stream may go on at one software version only.
func (d *dispatch) versionFixed() bool { return d.version != "" }

// mayGoOnAt reports whether the chosen endpoint has the version that the stream needs.
func (d *dispatch) mayGoOnAt(c *slugplacement.Choice) bool {
	return !d.versionFixed() || d.cfg.AwaitStart(c.Address, c.Incarnation)
}

// startEvidence is what is known of the start that runs an attempt.
type startEvidence struct {
	// known is set if the start of the endpoint was known when the request got its connection.
	// All that arrives on the connection is then from that start.
	known atomic.Bool
	// connectedAt is when that was; nil before.
	connectedAt atomic.Pointer[time.Time]
	// checked is set once checkStart has passed.
	checked bool
}

// observeStart wraps the function that is called when a request to the chosen endpoint gets
// its connection, which may be the first one to another start of the endpoint.
func (d *dispatch) observeStart(c *slugplacement.Choice, start *startEvidence, connected func()) func() {
	return func() {
		now := time.Now()
		start.known.Store(d.cfg.StartKnown(c.Address, c.Incarnation, now))
		start.connectedAt.Store(&now)
		d.cfg.CheckStart(c.Address, c.Incarnation)
		if connected != nil {
			connected()
		}
	}
}

// checkStart rejects the first event of an attempt that goes on with a stream at an endpoint
// which may have another version. The endpoint may have started again after it was chosen.
func (d *dispatch) checkStart(c *slugplacement.Choice, start *startEvidence) error {
	if start.checked {
		return nil
	}
	start.checked = true
	if !d.startKnown(c, start) && !d.mayGoOnAt(c) {
		return errStartUnknown
	}
	return nil
}

// recordStart records, at the first event that the caller gets, the software version that
// begins the stream. It is unknown as long as the start of the endpoint is, which may be found
// out by a later event.
func (d *dispatch) recordStart(c *slugplacement.Choice, start *startEvidence) {
	if d.version != "" && d.version != slugorigin.UnknownVersion || d.route.Kind != slugrouting.Stream || c.Version == "" {
		return
	}
	v := c.Version
	if !d.startKnown(c, start) {
		v = slugorigin.UnknownVersion
	}
	if v == d.version {
		return
	}
	d.version = v
	if d.cfg.StreamBegan != nil {
		d.cfg.StreamBegan(d.service.Name, d.call.ID, v)
	}
}

// startKnown reports whether an attempt runs, or ran, at the start that the entry describes.
func (d *dispatch) startKnown(c *slugplacement.Choice, start *startEvidence) bool {
	at := start.connectedAt.Load()
	return start.known.Load() || at != nil && d.cfg.StartKnown(c.Address, c.Incarnation, *at)
}

// settleVersion finds out the version of a stream that was unknown up to the end of the attempt
// that began it: an endpoint that still is in the same start says so.
func (d *dispatch) settleVersion(a *decodeAttempt) {
	if d.version != slugorigin.UnknownVersion {
		return
	}
	if !d.startKnown(a.choice, &a.start) {
		d.cfg.AwaitStart(a.choice.Address, a.choice.Incarnation)
	}
	d.recordStart(a.choice, &a.start)
}

// cacheHeld reports whether the endpoint that processed the prompt is still in the start in
// which it did so. Its KV cache ends with it.
func (d *dispatch) cacheHeld(p *prefillResult) bool {
	return p == nil || p.handle.StartedAt == 0 || d.cfg.AwaitStart(p.choice.Address, p.handle.StartedAt)
}

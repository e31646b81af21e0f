package slugdispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
	"github.com/sassafraslug/sassafraslug/internal/version/slugrouting"
)

// Origin says which software version began a stream.
type Origin struct {
	// Version is empty if it is unknown.
	Version slugname.SoftwareVersion
	// Source says how the version was found, and Versions which ones served while the stream
	// may have begun, for the log.
	Source   string
	Versions []slugname.SoftwareVersion
}

// fixVersion finds the software version that began the stream that the caller takes up, and
// refuses the request if that is unknown: events of two versions do not fit together.
func (d *dispatch) fixVersion(ctx context.Context) *slugrefusal.Refusal {
	if d.call.ResumeAfter == "" || d.route.Kind != slugrouting.Stream || d.cfg.Origin == nil {
		return nil
	}
	o := d.cfg.Origin(ctx, d.service.Name, d.call.Resumes)
	d.version = o.Version
	d.cfg.Log.Emit(slugevent.StreamTakenUp, slugevent.Fields{
		"request": d.call.ID, "resumes": d.call.Resumes, "after": d.call.ResumeAfter, "service": d.service.Name,
		"softwareVersion": o.Version, "source": o.Source, "softwareVersions": o.Versions,
	})
	if o.Version == "" {
		return d.refuseTakeUp("it is not known which software version began the stream")
	}
	return nil
}

// refuseTakeUp refuses a stream that cannot go on.
func (d *dispatch) refuseTakeUp(format string, args ...any) *slugrefusal.Refusal {
	spread := time.Duration(rand.Int64N(int64(transientRetryAfter)))
	return slugrefusal.NotRun(slugrefusal.CodeStreamUnresumable, format, args...).WithRetryAfter(spread)
}

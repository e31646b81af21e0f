// Package slugpartition decides whether a gate may still trust its configuration.
//
// A configuration that was confirmed recently is trusted. Otherwise the gate counts the
// hosts with a gate that it can reach, itself included. If it reaches more than half of
// them, the store is taken to be down: no change can be accepted meanwhile, so the gate
// continues to serve. If it doesn't, the gate is cut off and may have missed a change,
// such as a revoked key, so it refuses requests with API keys until its configuration is
// confirmed again.
//
// # Usage
//
//	d := slugpartition.New(slugpartition.Config{LastConfirmed: follower.LastConfirmed, Statuses: table.Statuses, Records: member.Records, Log: log})
//	go d.Run(ctx)
//	if d.CutOff() { refuse }
package slugpartition

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

const (
	// FreshnessBound is how long a configuration is trusted after it was last confirmed to
	// be the newest.
	FreshnessBound = 4 * time.Second
	// checkInterval is the time between checks.
	checkInterval = 250 * time.Millisecond
)

// Config configures a Detector.
type Config struct {
	// LastConfirmed returns when the configuration in effect was last confirmed to be the
	// newest, and whether the store answers. Only the time is used.
	LastConfirmed func() (slugclock.Instant, bool)
	// Statuses returns the rows of all processes, and Records the published processes.
	Statuses func() []slugpeer.Status
	Records  func() []slugmember.Record
	// Changed is called when the gate becomes cut off or is reconnected; it may be nil.
	Changed func(cutOff bool)
	Log     *slugevent.Log
}

// Detector tracks whether one gate is cut off.
type Detector struct {
	cfg    Config
	cutOff atomic.Bool
}

// New returns a Detector that is not cut off.
func New(cfg Config) *Detector { return &Detector{cfg: cfg} }

// CutOff reports whether requests with API keys must be refused.
func (d *Detector) CutOff() bool { return d.cutOff.Load() }

// Run checks periodically until ctx ends.
func (d *Detector) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		d.Check()
		_ = slugbackoff.Sleep(ctx, checkInterval)
	}
	return nil
}

// Check checks once, and logs an event when the gate becomes cut off or is reconnected.
func (d *Detector) Check() {
	decision := d.isCutOff()
	if d.cutOff.Swap(decision) == decision {
		return
	}
	if d.cfg.Changed != nil {
		d.cfg.Changed(decision)
	}
	if decision {
		d.cfg.Log.Emit(slugevent.HostCutOff, nil)
		return
	}
	d.cfg.Log.Emit(slugevent.HostReconnected, nil)
}

// isCutOff reports whether the gate is cut off. Reaching exactly half of the hosts is not
// enough: in a network partition, both halves would then continue to serve.
func (d *Detector) isCutOff() bool {
	if confirmedAt, _ := d.cfg.LastConfirmed(); slugclock.Since(confirmedAt) < FreshnessBound {
		return false
	}
	reachable := map[slugname.Host]bool{}
	for _, record := range d.cfg.Records() {
		if record.Kind == slugmember.KindGate {
			reachable[record.Host] = false
		}
	}
	for _, status := range d.cfg.Statuses() {
		if _, known := reachable[status.Host]; known && status.HeardLately {
			reachable[status.Host] = true
		}
	}
	reached := 0
	for _, alive := range reachable {
		if alive {
			reached++
		}
	}
	return 2*reached <= len(reachable)
}

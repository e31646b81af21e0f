// Package slugreach decides whether a gate may trust its configuration. A gate
// without fresh word counts the hosts that it can still reach. A majority without
// the store means that the store is down, so that no change can be accepted, and
// the gate serves on. Fewer mean that the gate is cut off: it refuses requests
// with keys until it has word again.
//
// # Usage
//
//	r := slugreach.New(slugreach.Config{Word: follower.Word, Statuses: table.Statuses, Records: member.Records})
//	go r.Run(ctx)
//	if r.CutOff() { refuse }
package slugreach

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
	// FreshnessBound is how long a configuration is trusted without word.
	FreshnessBound = 4 * time.Second
	// checkEvery is the time between decisions.
	checkEvery = 250 * time.Millisecond
)

// Config makes a Reach.
type Config struct {
	Word     func() (slugclock.Instant, bool)
	Statuses func() []slugpeer.Status
	Records  func() []slugmember.Record
	Log      *slugevent.Log
}

// Reach decides for one gate.
type Reach struct {
	cfg    Config
	cutOff atomic.Bool
}

// New returns a Reach that is not cut off.
func New(cfg Config) *Reach { return &Reach{cfg: cfg} }

// CutOff reports whether requests with keys must be refused.
func (r *Reach) CutOff() bool { return r.cutOff.Load() }

// Run decides again and again until ctx ends.
func (r *Reach) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		r.Check()
		_ = slugbackoff.Sleep(ctx, checkEvery)
	}
	return nil
}

// Check decides once.
func (r *Reach) Check() {
	cut := r.decide()
	if r.cutOff.Swap(cut) == cut {
		return
	}
	if cut {
		r.cfg.Log.Emit(slugevent.HostCutOff, nil)
		return
	}
	r.cfg.Log.Emit(slugevent.HostReconnected, nil)
}

func (r *Reach) decide() bool {
	if word, _ := r.cfg.Word(); slugclock.Since(word) < FreshnessBound {
		return false
	}
	hosts := map[slugname.Host]bool{}
	for _, x := range r.cfg.Records() {
		if x.Kind == slugmember.KindGate {
			hosts[x.Host] = false
		}
	}
	for _, s := range r.cfg.Statuses() {
		if _, known := hosts[s.Host]; known && s.Alive {
			hosts[s.Host] = true
		}
	}
	reached := 0
	for _, ok := range hosts {
		if ok {
			reached++
		}
	}
	return 2*reached <= len(hosts)
}

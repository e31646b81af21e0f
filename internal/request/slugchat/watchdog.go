package slugchat

import (
	"context"
	"sync/atomic"
	"time"
)

// watchdog cancels a connection that has been silent for the time limit.
type watchdog struct {
	limit          time.Duration
	cancel         context.CancelFunc
	lastProgressNs atomic.Int64
	timer          *time.Timer
	silent         atomic.Bool
}

func newWatchdog(limit time.Duration, cancel context.CancelFunc) *watchdog {
	d := &watchdog{limit: limit, cancel: cancel}
	d.progress()
	d.timer = time.AfterFunc(limit, d.check)
	return d
}

// progress records that an event arrived.
func (d *watchdog) progress() { d.lastProgressNs.Store(time.Now().UnixNano()) }

func (d *watchdog) check() {
	idle := time.Since(time.Unix(0, d.lastProgressNs.Load()))
	if idle >= d.limit {
		d.silent.Store(true)
		d.cancel()
		return
	}
	d.timer.Reset(d.limit - idle)
}

// stop stops the timer and cancels the connection.
func (d *watchdog) stop() {
	d.timer.Stop()
	d.cancel()
}

// fired reports whether the watchdog canceled the connection because it was silent.
func (d *watchdog) fired() bool { return d.silent.Load() }
